//! When an engine that sends nothing is probed, and when a stream is moved to
//! another engine.
//!
//! An engine is an upstream that runs a language model. A probe is a request for
//! the engine's report on itself, which a live engine answers at once.
//!
//! When a data centre fails, its engines fall silent together under running
//! streams, whose callers allow a pause of 700 ms. But a healthy engine that
//! prefills a prompt beside a stream also pauses the stream for 200 ms. Silence
//! alone is therefore no proof of a loss: it only makes the node probe the
//! engine.
//!
//! Nor is an unanswered probe, as long as the engine's host completes handshakes. A
//! process that stands still for a second keeps its runs and does not notice that a
//! connection was closed, so a stream that goes on elsewhere would run at both. Until
//! [`SOUND_SILENCE_MAX`] has passed, a silent engine only gets no new calls.
//! `docs/RESUME.md` compares this with other ways.

use std::time::Duration;

/// The phase of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamPhase {
    /// The prompt is queued or in prefill.
    Prefill,
    /// Tokens are generated, and their events arrive.
    Decode,
}

/// Silence after which the engine of a stream in decode is probed.
const DECODE_PROBE_DELAY: Duration = Duration::from_millis(260);
/// Silence after which the engine of a stream in prefill is probed.
const PREFILL_PROBE_DELAY: Duration = Duration::from_millis(900);
/// Silence after which an engine is probed while an outage of its data centre
/// is suspected.
const OUTAGE_PROBE_DELAY: Duration = Duration::from_millis(120);
/// How long a stream uses [`OUTAGE_PROBE_DELAY`] after an outage of its data
/// centre was suspected.
pub(crate) const OUTAGE_ALERT_DURATION: Duration = Duration::from_millis(400);

/// Longest silence of a sound engine whose host can be reached. One that is silent for
/// longer is taken for lost.
pub(crate) const SOUND_SILENCE_MAX: Duration = Duration::from_secs(2);
/// Time after which a stream that was sent to another engine cancels its run at the first
/// one, if that can be reached. Both may work on it for 400 ms at most, of which the rest
/// is left for the close to arrive.
pub(crate) const OVERLAP_MAX: Duration = Duration::from_millis(200);
/// Shortest time between two probes of a silent engine, whatever the number of
/// streams that run at it.
pub(crate) const SILENT_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Silence after which an engine is probed.
pub(crate) fn probe_delay(phase: StreamPhase, is_outage_suspected: bool) -> Duration {
    match (phase, is_outage_suspected) {
        (_, true) => OUTAGE_PROBE_DELAY,
        (StreamPhase::Decode, false) => DECODE_PROBE_DELAY,
        (StreamPhase::Prefill, false) => PREFILL_PROBE_DELAY,
    }
}

/// Pause after which a stream is moved although its engine answers probes.
pub(crate) fn stall_timeout(phase: StreamPhase) -> Duration {
    match phase {
        StreamPhase::Prefill => Duration::from_millis(8_000),
        StreamPhase::Decode => Duration::from_millis(1_500),
    }
}
