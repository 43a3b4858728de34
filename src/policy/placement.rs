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

use super::engine_speed::SpeedEstimate;

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
    /// What this node learned of the speed of the upstream, if it is an engine.
    pub(crate) speed: SpeedEstimate,
}

/// Prompt tokens that other nodes are assumed to have pending at an engine that
/// is not assigned to this node.
const UNKNOWN_PROMPT_TOKENS: u64 = 4_000;
/// Prompt tokens pending at an engine that slow a new call as much as one call
/// in flight does.
const PROMPT_TOKENS_PER_CALL: u64 = 150;
/// Weight of a pause of another stream, against a later first event of the new one.
const PAUSE_WEIGHT: f64 = 0.1;
/// Factor of the median within which an engine counts as fast as the median. Engines of one
/// speed seem to differ by as much, depending on what other nodes run there.
const EQUAL_SPEED_FACTOR: f64 = 1.5;
/// Number of engines assigned to other nodes that are weighed for one prompt. Otherwise all
/// nodes would send their prompts to the same fast engine.
const UNASSIGNED_WEIGHED_MAX: usize = 8;
/// Difference in expected time that is too small to prefer an engine for.
const TIME_RESOLUTION_MS: f64 = 50.0;
/// Expected time that a call to another data centre takes longer, beyond the
/// latency measured to the upstream.
const REMOTE_COST: Duration = Duration::from_millis(4);
/// Expected time that a failure costs a call, which has to be sent to another
/// upstream then.
const FAILURE_COST: Duration = Duration::from_millis(60);

/// Chooses the engine for a stream with a prompt of `prompt_tokens`: the one that costs
/// the least time, in which the prompt waits for its first event and the streams that run
/// there wait for the prompt. While the speed of no engine is known, the one with the
/// fewest pending tokens. Returns the index of a candidate; the random `draw` decides
/// among those that are equally good.
pub(crate) fn choose_engine(
    candidates: &[Candidate<'_>],
    prompt_tokens: u64,
    draw: u64,
) -> Option<usize> {
    match MedianSpeed::of(candidates) {
        Some(median) => choose_by_time(candidates, &median, prompt_tokens, draw),
        None => choose(candidates, draw, pending_tokens_score),
    }
}

/// Whether the speed of any candidate is known, by which [`choose_engine`] then chooses.
pub(crate) fn knows_speed(candidates: &[Candidate<'_>]) -> bool {
    let mut speeds = candidates.iter().map(|candidate| candidate.speed);
    speeds.any(|speed| speed.prefill_ms_per_token.is_some())
}

fn pending_tokens_score(candidate: &Candidate<'_>) -> u64 {
    let unknown_tokens = if candidate.is_assigned {
        0
    } else {
        UNKNOWN_PROMPT_TOKENS
    };
    candidate.pending_prompt_tokens
        + unknown_tokens
        + u64::from(candidate.call_count) * PROMPT_TOKENS_PER_CALL
}

/// Speed of the engine in the middle of those whose speed is known.
#[derive(Clone, Copy, Debug)]
struct MedianSpeed {
    prefill_ms_per_token: f64,
    event_gap_ms: Option<f64>,
}

impl MedianSpeed {
    fn of(candidates: &[Candidate<'_>]) -> Option<Self> {
        let speeds = || candidates.iter().map(|candidate| candidate.speed);
        Some(Self {
            prefill_ms_per_token: median(speeds().filter_map(|s| s.prefill_ms_per_token))?,
            event_gap_ms: median(speeds().filter_map(|s| s.event_gap_ms)),
        })
    }

    /// Milliseconds of prefill for each token at an engine. One without samples counts as the
    /// median.
    fn prefill_ms_per_token(&self, speed: &SpeedEstimate) -> f64 {
        let learned = self.learned_ms_per_token(speed);
        let factor = learned / self.prefill_ms_per_token;
        let is_equal = (1.0 / EQUAL_SPEED_FACTOR..EQUAL_SPEED_FACTOR).contains(&factor);
        if is_equal {
            self.prefill_ms_per_token
        } else {
            learned
        }
    }

    /// The time between events is trusted before the time of prefills, which contains the wait
    /// for prompts of other nodes: with prefills alone, an engine looks slow under overload.
    fn learned_ms_per_token(&self, speed: &SpeedEstimate) -> f64 {
        let gaps = speed.event_gap_ms.zip(self.event_gap_ms);
        let by_gap = gaps.map(|(gap, median_gap)| self.prefill_ms_per_token * gap / median_gap);
        by_gap
            .or(speed.prefill_ms_per_token)
            .unwrap_or(self.prefill_ms_per_token)
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.filter(|value| *value > 0.0).collect();
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

fn choose_by_time(
    candidates: &[Candidate<'_>],
    median: &MedianSpeed,
    prompt_tokens: u64,
    draw: u64,
) -> Option<usize> {
    let unknown_ms = UNKNOWN_PROMPT_TOKENS as f64 * median.prefill_ms_per_token;
    let weighed = limit_unassigned(candidates, draw.rotate_left(32));
    choose(&weighed, draw, |candidate| {
        let ms_per_token = median.prefill_ms_per_token(&candidate.speed);
        let prefill_ms = prompt_tokens as f64 * ms_per_token;
        let queue_ms = candidate.pending_prompt_tokens as f64 * ms_per_token;
        let others_ms = if candidate.is_assigned {
            0.0
        } else {
            unknown_ms
        };
        let paused_ms = prefill_ms * f64::from(candidate.call_count) * PAUSE_WEIGHT;
        let cost_ms = queue_ms + prefill_ms + others_ms + paused_ms;
        // Of engines that cost the same, the one with the fewest calls: the pause that a short
        // prompt causes is below the resolution.
        let steps = (cost_ms / TIME_RESOLUTION_MS) as u64;
        let ranked = steps.saturating_mul(1 << 32);
        ranked.saturating_add(u64::from(candidate.call_count))
    })
}

/// Leaves out all but [`UNASSIGNED_WEIGHED_MAX`] of the candidates that are assigned to other
/// nodes, which follow each other from a random one on. Those to be avoided stay, since they
/// are chosen only when no other is left.
fn limit_unassigned<'a>(candidates: &[Candidate<'a>], draw: u64) -> Vec<Candidate<'a>> {
    let is_limited = |c: &Candidate<'_>| !c.is_assigned && !c.is_avoided && !c.was_tried;
    let limited_count = candidates.iter().filter(|c| is_limited(c)).count();
    let first = draw.checked_rem(limited_count as u64).unwrap_or(0) as usize;
    let mut limited = 0;
    let weigh = |candidate: &Candidate<'a>| {
        let mut weighed = *candidate;
        if is_limited(candidate) {
            let distance = (limited + limited_count - first) % limited_count;
            weighed.was_tried = distance >= UNASSIGNED_WEIGHED_MAX;
            limited += 1;
        }
        weighed
    };
    candidates.iter().map(weigh).collect()
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
