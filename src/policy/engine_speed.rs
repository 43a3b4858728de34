//! Learns how fast an engine is from the streams that a node runs there.
//!
//! An engine is an upstream that runs a language model. Engines of one service may
//! differ in speed, and one may be slow for a moment. What a node measures is also
//! slowed by work of other nodes that it doesn't know, so an estimate is the lower
//! quartile of recent samples: the time that the engine takes when little else
//! runs there. A sample that is too short, because events queued up on their way
//! or because a prompt was cached, moves a quartile little.

use std::collections::VecDeque;
use std::fmt;
use std::time::{Duration, Instant};

/// Largest number of samples of one kind that are kept.
const SAMPLES_MAX: usize = 12;
/// Age at which a sample no longer counts. An engine that is not chosen because it
/// was slow counts as the median after that, and so is tried again.
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(30);
/// Number of events over which the time between two events is averaged. Single events
/// arrive unevenly.
const EVENTS_PER_GAP_SAMPLE: u32 = 8;

/// What a node knows of the speed of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineSpeed {
    /// Milliseconds of prefill for each token of a prompt.
    prefills: RecentSamples,
    /// Milliseconds between two events of a stream.
    gaps: RecentSamples,
}

/// The speed of one engine, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SpeedEstimate {
    /// Milliseconds of prefill for each token of a prompt.
    pub(crate) prefill_ms_per_token: Option<f64>,
    /// Milliseconds between two events of a stream.
    pub(crate) event_gap_ms: Option<f64>,
    /// Age of the newest sample.
    pub(crate) age: Option<Duration>,
}

/// As fields of a log line.
impl fmt::Display for SpeedEstimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = |value: Option<f64>| value.map_or("-".to_owned(), |v| format!("{v:.1}"));
        let prefill_ms = self.prefill_ms_per_token.map(|ms| ms * 1e3);
        let age_ms = self.age.map(|age| age.as_secs_f64() * 1e3);
        let (prefill_ms, gap_ms, age_ms) =
            (field(prefill_ms), field(self.event_gap_ms), field(age_ms));
        write!(
            f,
            "prefill_ms_per_1000={prefill_ms} event_gap_ms={gap_ms} speed_age_ms={age_ms}"
        )
    }
}

impl EngineSpeed {
    /// Records that the first event of a stream came `elapsed` after a prompt of
    /// `prompt_tokens` was sent, when this node had no other prompt pending there.
    pub(crate) fn record_prefill(&mut self, prompt_tokens: u64, elapsed: Duration, now: Instant) {
        if prompt_tokens == 0 {
            return;
        }
        let ms_per_token = elapsed.as_secs_f64() * 1e3 / prompt_tokens as f64;
        self.prefills.add(ms_per_token, now);
    }

    /// Records the mean time between events that a [`GapMeter`] measured.
    pub(crate) fn record_gap(&mut self, gap: Duration, now: Instant) {
        self.gaps.add(gap.as_secs_f64() * 1e3, now);
    }

    /// The speed by the samples that still count.
    pub(crate) fn estimate(&self, now: Instant) -> SpeedEstimate {
        let ages = [self.prefills.age(now), self.gaps.age(now)];
        SpeedEstimate {
            prefill_ms_per_token: self.prefills.lower_quartile(now),
            event_gap_ms: self.gaps.lower_quartile(now),
            age: ages.into_iter().flatten().min(),
        }
    }
}

/// The newest samples of one quantity.
#[derive(Clone, Debug, Default)]
struct RecentSamples {
    samples: VecDeque<(Instant, f64)>,
}

impl RecentSamples {
    fn add(&mut self, value: f64, now: Instant) {
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back((now, value));
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = f64> {
        let is_recent = move |at: Instant| now.saturating_duration_since(at) < SAMPLE_AGE_MAX;
        let samples = self.samples.iter();
        samples
            .filter(move |(at, _)| is_recent(*at))
            .map(|(_, value)| *value)
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        let (at, _) = self.samples.back()?;
        Some(now.saturating_duration_since(*at)).filter(|age| *age < SAMPLE_AGE_MAX)
    }

    fn lower_quartile(&self, now: Instant) -> Option<f64> {
        let mut values: Vec<f64> = self.recent(now).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 4).copied()
    }
}

/// Measures the time between the events of one stream at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GapMeter {
    block_began_at: Option<Instant>,
    event_count: u32,
    /// Whether the present block tells nothing of the engine.
    is_disturbed: bool,
}

impl GapMeter {
    /// Records that an event arrived. Returns the mean time between the events of a block
    /// that ends with this one.
    pub(crate) fn record_event(&mut self, now: Instant) -> Option<Duration> {
        let Some(began_at) = self.block_began_at else {
            self.block_began_at = Some(now);
            return None;
        };
        self.event_count += 1;
        if self.event_count < EVENTS_PER_GAP_SAMPLE {
            return None;
        }
        let is_disturbed = self.is_disturbed;
        *self = Self {
            block_began_at: Some(now),
            ..Self::default()
        };
        let gap = now.saturating_duration_since(began_at) / EVENTS_PER_GAP_SAMPLE;
        (!is_disturbed).then_some(gap)
    }

    /// Discards the present block, and the next events up to a whole block: an event had to
    /// wait for the caller, and those behind it queued up.
    pub(crate) fn record_wait(&mut self) {
        *self = Self {
            is_disturbed: true,
            ..Self::default()
        };
    }
}
