//! Decides when a plain call is hedged: sent to a second upstream while the first may
//! still answer.
//!
//! A few answers of a service take many times as long as the others. A second send ends
//! the wait, but costs an upstream work, and must not add to an overload. The delay is
//! therefore a percentile of the route's recent answers, the number of hedges has a limit,
//! and there are none while all answers are slow. `docs/design/hedged-requests.md` gives
//! the reasons and the figures.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::placement::{Candidate, choose_for_plain_call};
use super::send_probe::answer_patience;
use crate::id::ServiceId;

/// Number of answers of a route and service that are kept.
const SAMPLES_MAX: usize = 200;
/// Number of answers below which no percentile is known.
const SAMPLES_MIN: usize = 20;
/// Age above which an answer says nothing of the present.
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(300);

/// Highest percentile that can be told from [`SAMPLES_MAX`] answers.
const QUANTILE_MAX: f64 = 0.99;
/// Percentiles at which a hedge may start earlier, if it saves more there.
const EARLIER_QUANTILES: [f64; 3] = [0.95, 0.9, 0.8];
/// Factor by which an earlier hedge must save more time, since more of them are in vain.
const EARLIER_GAIN_FACTOR: f64 = 1.1;

/// Number of the latest answers that show whether all upstreams are slow.
const RECENT_SAMPLES: usize = 20;
/// Quantile of them. It changes little where answers have two modes.
const RECENT_QUANTILE: f64 = 0.25;
/// Factor above the reference at which all upstreams count as slow.
const ALL_SLOW_FACTOR: f64 = 2.0;
/// Time constant with which the reference rises.
const REFERENCE_RISE: Duration = Duration::from_secs(300);

/// Number of hedges of one service that a node keeps for a burst.
const SAVED_HEDGES_MAX: f64 = 2.0;

/// Shortest time without an answer after which a call leaves a silent upstream.
const SILENCE_MIN: Duration = Duration::from_millis(200);
/// Longest such time that follows from the route's answers. These take long, too, after
/// many upstreams were silent, and must not hide the next ones.
const SLOW_ANSWER_MAX: Duration = Duration::from_millis(800);
/// Quantile of the route's answers above which one is slow.
const SLOW_ANSWER_QUANTILE: f64 = 0.9;

/// Share of failed calls from which an upstream is no target.
const TARGET_FAILURE_SHARE_MAX: f64 = 0.1;

/// Share of the calls to each service that may be hedged.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HedgeLimits {
    /// For services that are not listed.
    pub(crate) default_share: f64,
    pub(crate) services: BTreeMap<ServiceId, f64>,
}

impl HedgeLimits {
    /// Share of the service's calls that may be hedged; 0 if none may.
    pub(crate) fn share(&self, service: &str) -> f64 {
        let listed = self.services.get(service).copied();
        listed.unwrap_or(self.default_share)
    }
}

/// Why a call that was due for a hedge got none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Withheld {
    /// Too few answers of the route are known.
    FewSamples,
    /// All answers have become slow.
    AllSlow,
    /// A hedge would save less time than an answer takes.
    SmallGain,
    /// The operators' limit is used up.
    OverLimit,
    /// The retry budget is used up.
    OverRetryBudget,
    /// No upstream is expected to answer sooner.
    NoTarget,
    /// The call must not be sent again, or has no time left for it.
    NotAllowed,
}

/// When a call is due for a hedge, and how that is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HedgePlan {
    /// Time without an answer after which the hedge is sent.
    pub(crate) delay: Duration,
    /// Quantile of the answers' times that `delay` is.
    pub(crate) quantile: f64,
    /// Time for which answers that are slower than `delay` take longer, on average.
    pub(crate) remaining: Duration,
    pub(crate) sample_count: usize,
    /// Age of the oldest answer that was counted.
    pub(crate) oldest_age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct AnswerSample {
    received_at: Instant,
    duration: Duration,
}

/// A time that answers usually take, and when it was last updated.
#[derive(Clone, Copy, Debug)]
struct Reference {
    duration: Duration,
    updated_at: Instant,
}

/// The times of a route's recent answers from one service.
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes {
    samples: VecDeque<AnswerSample>,
    reference: Option<Reference>,
}

impl AnswerTimes {
    /// Records the time of an answer that is no server error, or that a cancelled send
    /// had taken.
    pub(crate) fn record(&mut self, duration: Duration, now: Instant) {
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(AnswerSample {
            received_at: now,
            duration,
        });
        self.drop_old(now);
        self.update_reference(now);
    }

    /// Whether no recent answer is known.
    pub(crate) fn is_empty(&mut self, now: Instant) -> bool {
        self.drop_old(now);
        self.samples.is_empty()
    }

    /// Plans the hedge of a call to a service of which `share` of the calls may be hedged.
    pub(crate) fn plan(&mut self, share: f64, now: Instant) -> Result<HedgePlan, Withheld> {
        self.drop_old(now);
        let Some(oldest) = self.samples.front() else {
            return Err(Withheld::FewSamples);
        };
        let oldest_age = now.saturating_duration_since(oldest.received_at);
        if self.samples.len() < SAMPLES_MIN {
            return Err(Withheld::FewSamples);
        }
        if self.are_all_slow() {
            return Err(Withheld::AllSlow);
        }
        let mut sorted: Vec<Duration> = self.samples.iter().map(|s| s.duration).collect();
        sorted.sort_unstable();
        let (quantile, delay) = best_delay(&sorted, share).ok_or(Withheld::SmallGain)?;
        Ok(HedgePlan {
            delay,
            quantile,
            remaining: time_saved(&sorted, delay, Duration::ZERO),
            sample_count: sorted.len(),
            oldest_age,
        })
    }

    /// Time without an answer after which a call leaves an upstream whose calls take
    /// `latency` on average, and which has sent nothing in that time.
    pub(crate) fn silence_patience(&self, latency: Duration) -> Duration {
        let mut sorted: Vec<Duration> = self.samples.iter().map(|s| s.duration).collect();
        sorted.sort_unstable();
        let slow = at_quantile(&sorted, SLOW_ANSWER_QUANTILE) * 2;
        let usual = answer_patience(latency).max(SILENCE_MIN);
        usual.max(slow.min(SLOW_ANSWER_MAX))
    }

    fn drop_old(&mut self, now: Instant) {
        let age = |sample: &AnswerSample| now.saturating_duration_since(sample.received_at);
        while self
            .samples
            .front()
            .is_some_and(|s| age(s) > SAMPLE_AGE_MAX)
        {
            self.samples.pop_front();
        }
        if self.samples.is_empty() {
            self.reference = None;
        }
    }

    /// Time of the quicker ones among the latest answers.
    fn recent(&self) -> Option<Duration> {
        if self.samples.len() < RECENT_SAMPLES {
            return None;
        }
        let latest = self.samples.iter().rev().take(RECENT_SAMPLES);
        let mut latest: Vec<Duration> = latest.map(|s| s.duration).collect();
        latest.sort_unstable();
        Some(at_quantile(&latest, RECENT_QUANTILE))
    }

    /// Lowers the reference to the latest answers at once, and raises it slowly, so that an
    /// overload does not soon look usual.
    fn update_reference(&mut self, now: Instant) {
        let Some(recent) = self.recent() else {
            return;
        };
        let before = self.reference.unwrap_or(Reference {
            duration: recent,
            updated_at: now,
        });
        let elapsed = now.saturating_duration_since(before.updated_at);
        let weight = 1.0 - (-elapsed.as_secs_f64() / REFERENCE_RISE.as_secs_f64()).exp();
        let rise = recent.saturating_sub(before.duration).mul_f64(weight);
        self.reference = Some(Reference {
            duration: recent.min(before.duration + rise),
            updated_at: now,
        });
    }

    fn are_all_slow(&self) -> bool {
        let (Some(recent), Some(reference)) = (self.recent(), self.reference) else {
            return false;
        };
        recent > reference.duration.mul_f64(ALL_SLOW_FACTOR)
    }
}

/// The quantile and delay at which a hedge saves most; none if that is less than a median
/// answer takes.
fn best_delay(sorted: &[Duration], share: f64) -> Option<(f64, Duration)> {
    let median = at_quantile(sorted, 0.5);
    // The slowest answer but one, since nothing is known beyond the slowest.
    let known = 1.0 - 2.0 / sorted.len() as f64;
    let latest = (1.0 - share).min(QUANTILE_MAX).min(known);
    let earlier = EARLIER_QUANTILES.into_iter().filter(|q| *q < latest);
    let mut best = (latest, at_quantile(sorted, latest));
    let mut best_saved = time_saved(sorted, best.1, median);
    for quantile in earlier {
        let delay = at_quantile(sorted, quantile);
        let saved = time_saved(sorted, delay, median);
        if saved > best_saved.mul_f64(EARLIER_GAIN_FACTOR) {
            best = (quantile, delay);
            best_saved = saved;
        }
    }
    (best_saved >= median && !best_saved.is_zero()).then_some(best)
}

/// Time that a hedge after `delay` saves on average, if it takes `hedge_time`.
fn time_saved(sorted: &[Duration], delay: Duration, hedge_time: Duration) -> Duration {
    let slower = &sorted[sorted.partition_point(|time| *time <= delay)..];
    let saved = slower
        .iter()
        .map(|time| time.saturating_sub(delay + hedge_time));
    let total: Duration = saved.sum();
    total / u32::try_from(slower.len().max(1)).unwrap_or(u32::MAX)
}

fn at_quantile(sorted: &[Duration], quantile: f64) -> Duration {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    let last = sorted.len().saturating_sub(1);
    let at = rank.saturating_sub(1).min(last);
    sorted.get(at).copied().unwrap_or_default()
}

/// The hedges that a node may still send to one service. Each node earns hedges with its
/// own calls, so the limit holds for all nodes together without messages between them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HedgeAllowance {
    hedges: f64,
}

impl HedgeAllowance {
    /// Creates an allowance; `draw` is a random number from 0 to below 1, so that nodes
    /// that start together don't send their first hedges together.
    pub(crate) fn new(draw: f64) -> Self {
        Self { hedges: draw }
    }

    /// Records that a caller sent a call to this node.
    pub(crate) fn record_call(&mut self, share: f64) {
        self.hedges = (self.hedges + share).min(SAVED_HEDGES_MAX);
    }

    /// Whether one hedge is left.
    pub(crate) fn has_hedge(&self) -> bool {
        self.hedges >= 1.0
    }

    /// Spends one hedge. Returns false if none is left.
    pub(crate) fn try_spend(&mut self) -> bool {
        let is_left = self.has_hedge();
        if is_left {
            self.hedges -= 1.0;
        }
        is_left
    }
}

/// Chooses the upstream of a hedge: the one from which an answer is expected soonest. None
/// is chosen that is avoided, fails often, is unknown, or takes longer on average than the
/// `remaining` time of the first send. Returns the index of a candidate; the random `draw` breaks ties.
pub(crate) fn choose_target(
    candidates: &[Candidate<'_>],
    data_centre: &str,
    remaining: Duration,
    draw: u64,
) -> Option<usize> {
    let is_fit = |candidate: &Candidate<'_>| {
        !candidate.is_avoided
            && candidate.failure_share < TARGET_FAILURE_SHARE_MAX
            && !candidate.latency.is_zero()
            && candidate.latency <= remaining
    };
    let marked = candidates.iter().map(|candidate| Candidate {
        was_tried: candidate.was_tried || !is_fit(candidate),
        ..*candidate
    });
    choose_for_plain_call(&marked.collect::<Vec<_>>(), data_centre, draw)
}

/// Whether an upstream that owes an answer for `time_unanswered` is in the same trouble as
/// the one from which a call has waited for `waited`.
pub(crate) fn is_in_same_trouble(time_unanswered: Duration, waited: Duration) -> bool {
    time_unanswered * 2 > waited
}
