//! When an upstream that says nothing is asked whether it lives.
//!
//! Answers this load: a data centre's engines go silent together under running
//! streams, whose callers allow a pause of 700 ms; and engines that read a
//! prompt beside a stream pause for 200 ms without being lost. Silence alone
//! therefore decides nothing: it makes a node ask the engine, which answers
//! at once while it lives.

use std::time::Duration;

/// Where a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its prompt waits or is being read.
    Reading,
    /// Its events come.
    Running,
}

/// Pause after which an engine with running streams is asked.
const RUNNING_PAUSE: Duration = Duration::from_millis(260);
/// Pause after which an engine is asked that reads a prompt.
const READING_PAUSE: Duration = Duration::from_millis(900);
/// The same while engines are being lost elsewhere.
const ALARMED_PAUSE: Duration = Duration::from_millis(120);
/// How long an alarm lasts.
pub(crate) const ALARM_TIME: Duration = Duration::from_millis(400);

/// Pause after which an engine is asked.
pub(crate) fn pause_before_probe(phase: Phase, is_alarmed: bool) -> Duration {
    match (phase, is_alarmed) {
        (_, true) => ALARMED_PAUSE,
        (Phase::Running, false) => RUNNING_PAUSE,
        (Phase::Reading, false) => READING_PAUSE,
    }
}

/// Pause after which a stream is given up although its engine lives.
pub(crate) fn pause_before_loss(phase: Phase) -> Duration {
    match phase {
        Phase::Reading => Duration::from_millis(8_000),
        Phase::Running => Duration::from_millis(1_500),
    }
}
