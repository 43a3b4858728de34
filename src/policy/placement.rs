//! Which upstream gets a call, and which keeps a copy of its run.
//!
//! Answers this load: prompts of eight thousand tokens arrive at many nodes
//! that do not see each other's work. A prompt holds an engine for a second,
//! so that two on one engine make the second late. Each node therefore prefers
//! engines of its own, whose work it knows, and goes to others only when its
//! own are busy.

use std::time::Duration;

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate<'a> {
    /// Its name.
    pub(crate) id: &'a str,
    /// Data centre it stands in.
    pub(crate) data_centre: &'a str,
    /// Tokens of this node's prompts that it still reads.
    pub(crate) prompt_tokens: u64,
    /// Tokens of memory that this node's runs and copies take.
    pub(crate) memory_tokens: u64,
    /// Calls of this node that it runs.
    pub(crate) call_count: u32,
    /// Time that it takes over a call, as this node saw of late.
    pub(crate) latency: Duration,
    /// Share of this node's calls that it failed of late.
    pub(crate) failure_share: f64,
    /// Whether it failed a short time ago.
    pub(crate) is_avoided: bool,
    /// Whether this call was already sent there.
    pub(crate) was_tried: bool,
    /// Whether it is one of this node's own.
    pub(crate) is_own: bool,
}

/// Tokens of other nodes' prompts to be expected where they are not known.
const UNKNOWN_PROMPT_TOKENS: u64 = 4_000;
/// Tokens of prompt that slow a call as much as one running call does.
const PROMPT_TOKENS_PER_CALL: u64 = 150;
/// Time that a call to another data centre costs beside its way.
const FAR_COST: Duration = Duration::from_millis(4);
/// Time that a failed call costs, which has to go elsewhere.
const FAILURE_COST: Duration = Duration::from_millis(60);

/// Chooses an engine for a prompt; `draw` decides between equals.
pub(crate) fn choose_engine(candidates: &[Candidate<'_>], draw: u64) -> Option<usize> {
    choose(candidates, draw, |candidate| {
        let unknown = if candidate.is_own {
            0
        } else {
            UNKNOWN_PROMPT_TOKENS
        };
        candidate.prompt_tokens + unknown + u64::from(candidate.call_count) * PROMPT_TOKENS_PER_CALL
    })
}

/// Chooses an upstream for a plain call: the one from which an answer is to be
/// expected soonest, failures and the way included.
pub(crate) fn choose_plain(
    candidates: &[Candidate<'_>],
    data_centre: &str,
    draw: u64,
) -> Option<usize> {
    choose(candidates, draw, |candidate| {
        let turns = candidate.call_count + 1;
        let mut expected = candidate.latency * turns;
        expected += FAILURE_COST.mul_f64(candidate.failure_share);
        if candidate.data_centre != data_centre {
            expected += FAR_COST;
        }
        // Differences below a millisecond are chance.
        expected.as_millis() as u64
    })
}

/// Chooses who keeps a copy of a run in `data_centre`: the least filled engine
/// of another data centre, because a data centre is lost as a whole.
pub(crate) fn choose_replica(
    candidates: &[Candidate<'_>],
    primary: Option<&str>,
    data_centre: &str,
    draw: u64,
) -> Option<usize> {
    let score = |c: &Candidate<'_>| c.memory_tokens + c.prompt_tokens;
    let is_unfit = |c: &Candidate<'_>| c.was_tried || c.is_avoided || primary == Some(c.id);
    let excluding = |is_excluded: &dyn Fn(&Candidate<'_>) -> bool| {
        let kept = candidates.iter().map(|c| Candidate {
            was_tried: is_excluded(c),
            ..*c
        });
        choose(&kept.collect::<Vec<_>>(), draw, score)
    };
    excluding(&|c| is_unfit(c) || c.data_centre == data_centre).or_else(|| excluding(&is_unfit))
}

/// The least score wins; avoided ones come after all others, tried ones never.
fn choose(
    candidates: &[Candidate<'_>],
    draw: u64,
    score: impl Fn(&Candidate<'_>) -> u64,
) -> Option<usize> {
    let usable = candidates.iter().enumerate().filter(|(_, c)| !c.was_tried);
    let rank = |c: &Candidate<'_>| (c.is_avoided, score(c));
    let best = usable.clone().map(|(_, c)| rank(c)).min()?;
    let equals: Vec<usize> = usable
        .filter(|(_, c)| rank(c) == best)
        .map(|(at, _)| at)
        .collect();
    let pick = draw.checked_rem(equals.len() as u64)?;
    equals.get(pick as usize).copied()
}

/// Whether an upstream is one of a node's own: nodes and upstreams are dealt
/// out in the order of their names, so that all nodes agree without talking.
pub(crate) fn is_own(
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
