//! When an engine that sends nothing is probed, and when a stream is moved.
//!
//! When a data centre fails, its engines fall silent together under running
//! streams, whose callers allow a pause of 700 ms. But a healthy engine that
//! prefills a prompt beside a stream also pauses the stream for 200 ms. Silence
//! alone is therefore no proof of a loss: it makes the node probe the engine,
//! which answers at once while it lives.

use std::time::Duration;

/// The phase of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamPhase {
    /// The prompt is queued or in prefill.
    Prefill,
    /// Events arrive.
    Decode,
}

/// Silence after which an engine is probed under a stream in decode.
const DECODE_PROBE_DELAY: Duration = Duration::from_millis(260);
/// Silence after which an engine is probed under a stream in prefill.
const PREFILL_PROBE_DELAY: Duration = Duration::from_millis(900);
/// Silence after which an engine is probed while an outage of its data centre
/// is suspected.
const OUTAGE_PROBE_DELAY: Duration = Duration::from_millis(120);
/// How long a stream uses [`OUTAGE_PROBE_DELAY`] after an outage was reported.
pub(crate) const OUTAGE_ALERT_DURATION: Duration = Duration::from_millis(400);

/// Silence after which an engine is probed.
pub(crate) fn probe_delay(phase: StreamPhase, is_outage_suspected: bool) -> Duration {
    match (phase, is_outage_suspected) {
        (_, true) => OUTAGE_PROBE_DELAY,
        (StreamPhase::Decode, false) => DECODE_PROBE_DELAY,
        (StreamPhase::Prefill, false) => PREFILL_PROBE_DELAY,
    }
}

/// Silence after which a stream is moved although its engine answers probes.
pub(crate) fn stall_timeout(phase: StreamPhase) -> Duration {
    match phase {
        StreamPhase::Prefill => Duration::from_millis(8_000),
        StreamPhase::Decode => Duration::from_millis(1_500),
    }
}
