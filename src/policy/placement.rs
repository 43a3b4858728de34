//! Chooses the upstream of a call, and the engine that holds a replica of a
//! stream's KV cache.
//!
//! An engine is an upstream that runs a language model. A replica is a second
//! copy of a stream's KV cache at another engine, at which the stream can resume
//! without another prefill.
//!
//! Prompts of eight thousand tokens arrive at many nodes that don't know of each
//! other's work. The prefill of one prompt takes an engine a second, so of two
//! prompts that arrive together at one engine, one is served late. Engines are
//! therefore assigned to nodes: a node prefers its assigned engines, whose work
//! it knows, and uses others only when those are busy.

use std::time::Duration;

/// What a node knows of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate<'a> {
    pub(crate) id: &'a str,
    pub(crate) data_centre: &'a str,
    /// Prompt tokens that this node sent to the upstream and whose prefill is not
    /// finished.
    pub(crate) pending_prompt_tokens: u64,
    /// Tokens of KV cache that this node's streams, and the replicas of its
    /// streams, take at the upstream.
    pub(crate) kv_cache_tokens: u64,
    /// Calls that this node has in flight at the upstream.
    pub(crate) call_count: u32,
    /// Moving average of the time that this node's calls to the upstream took.
    pub(crate) latency: Duration,
    /// Moving average of the fraction of this node's calls to the upstream that
    /// failed.
    pub(crate) failure_share: f64,
    /// Whether the upstream failed or refused a call recently, or an outage of
    /// its data centre is suspected.
    pub(crate) is_avoided: bool,
    /// Whether the present call was already sent to the upstream.
    pub(crate) was_tried: bool,
    /// Whether the upstream is assigned to this node, see [`is_assigned`].
    pub(crate) is_assigned: bool,
}

/// Prompt tokens that other nodes are assumed to have pending at an engine that
/// is not assigned to this node.
const UNKNOWN_PROMPT_TOKENS: u64 = 4_000;
/// Prompt tokens pending at an engine that slow a new call as much as one call
/// in flight does.
const PROMPT_TOKENS_PER_CALL: u64 = 150;
/// Expected time that a call to another data centre takes longer, beyond the
/// latency measured to the upstream.
const REMOTE_COST: Duration = Duration::from_millis(4);
/// Expected time that a failure costs a call, which has to be sent to another
/// upstream then.
const FAILURE_COST: Duration = Duration::from_millis(60);

/// Chooses the engine for a stream: the one with the least load. Returns the
/// index of a candidate; the random `draw` breaks ties.
pub(crate) fn choose_engine(candidates: &[Candidate<'_>], draw: u64) -> Option<usize> {
    choose(candidates, draw, |candidate| {
        let unknown_tokens = if candidate.is_assigned {
            0
        } else {
            UNKNOWN_PROMPT_TOKENS
        };
        candidate.pending_prompt_tokens
            + unknown_tokens
            + u64::from(candidate.call_count) * PROMPT_TOKENS_PER_CALL
    })
}

/// Chooses the upstream for a plain call, whose answer is a single body: the
/// one with the shortest expected time to an answer, including failures and the
/// distance. `data_centre` is that of this node. Returns the index of a
/// candidate; the random `draw` breaks ties.
pub(crate) fn choose_for_plain_call(
    candidates: &[Candidate<'_>],
    data_centre: &str,
    draw: u64,
) -> Option<usize> {
    choose(candidates, draw, |candidate| {
        let queued_calls = candidate.call_count + 1;
        let mut expected = candidate.latency * queued_calls;
        expected += FAILURE_COST.mul_f64(candidate.failure_share);
        if candidate.data_centre != data_centre {
            expected += REMOTE_COST;
        }
        // Differences below a millisecond are noise.
        expected.as_millis() as u64
    })
}

/// Chooses the engine that holds the replica of a stream which runs at `source`
/// in `data_centre`: the one with the least load in another data centre, because
/// a data centre fails as a whole, or in the same one if no other has a usable
/// engine.
pub(crate) fn choose_replica_holder(
    candidates: &[Candidate<'_>],
    source: Option<&str>,
    data_centre: &str,
    draw: u64,
) -> Option<usize> {
    let score = |c: &Candidate<'_>| c.kv_cache_tokens + c.pending_prompt_tokens;
    let is_unfit = |c: &Candidate<'_>| c.was_tried || c.is_avoided || source == Some(c.id);
    let choose_excluding = |is_excluded: &dyn Fn(&Candidate<'_>) -> bool| {
        let kept = candidates.iter().map(|c| Candidate {
            was_tried: is_excluded(c),
            ..*c
        });
        choose(&kept.collect::<Vec<_>>(), draw, score)
    };
    choose_excluding(&|c| is_unfit(c) || c.data_centre == data_centre)
        .or_else(|| choose_excluding(&is_unfit))
}

/// Chooses the candidate with the lowest score. Avoided candidates rank behind
/// all others, tried ones are never chosen, and `draw` breaks ties.
fn choose(
    candidates: &[Candidate<'_>],
    draw: u64,
    score: impl Fn(&Candidate<'_>) -> u64,
) -> Option<usize> {
    let usable = candidates.iter().enumerate().filter(|(_, c)| !c.was_tried);
    let rank = |c: &Candidate<'_>| (c.is_avoided, score(c));
    let best = usable.clone().map(|(_, c)| rank(c)).min()?;
    let tied: Vec<usize> = usable
        .filter(|(_, c)| rank(c) == best)
        .map(|(index, _)| index)
        .collect();
    let pick = draw.checked_rem(tied.len() as u64)?;
    tied.get(pick as usize).copied()
}

/// Whether the upstream is assigned to the node. Nodes and the upstreams of a
/// service are each numbered in the order of their names, so all nodes that know
/// the same nodes and upstreams agree without exchanging messages.
pub(crate) fn is_assigned(
    upstream_index: usize,
    upstream_count: usize,
    node_index: usize,
    node_count: usize,
) -> bool {
    if node_count <= upstream_count {
        return upstream_index % node_count.max(1) == node_index;
    }
    node_index % upstream_count.max(1) == upstream_index
}
