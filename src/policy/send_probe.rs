//! When an upstream is probed before a call is sent to it.
//!
//! The bytes of a call can't be taken back. An upstream whose process stands still reads
//! them when it goes on, long after the caller may have left. A probe that is read late
//! costs nothing, so where callers leave, the call follows the answer to a probe unless the
//! upstream was heard just now. `docs/incidents/grown-silent-upstreams.md` weighs this
//! against other ways.

use std::time::Duration;

/// Age of the last answer or event of an upstream up to which it is not probed. What is
/// sent into a silence within this time may be read late.
const HEARD_MAX_AGE: Duration = Duration::from_millis(5);
/// Time for which a caller that left its call unanswered lets more of them be expected.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(30);
/// Shortest time without an answer after which an upstream counts as silent.
const PATIENCE_MIN: Duration = Duration::from_millis(100);
/// The same time as a multiple of the average latency.
const PATIENCE_LATENCIES: u32 = 2;

/// What a node knows when it is about to send a call to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendConditions {
    /// Time since the upstream was heard; `None` if it never was.
    pub(crate) silence: Option<Duration>,
    /// Whether the upstream failed and has sent nothing since.
    pub(crate) has_failed: bool,
    /// Whether the upstream rests or limits its requests, towards which probes count.
    pub(crate) counts_probes: bool,
    /// Time since a caller of this node left its call unanswered, if one did.
    pub(crate) time_since_departure: Option<Duration>,
}

impl SendConditions {
    /// Whether the upstream must answer a probe before the call is sent.
    pub(crate) fn need_probe(&self) -> bool {
        let was_heard = self.silence.is_some_and(|silence| silence <= HEARD_MAX_AGE);
        let departure = self.time_since_departure;
        let callers_leave = departure.is_some_and(|time| time < DEPARTURE_MEMORY);
        !self.counts_probes && !was_heard && (self.has_failed || callers_leave)
    }
}

/// Time without an answer after which an upstream whose calls take `latency` on average
/// counts as silent.
pub(crate) fn answer_patience(latency: Duration) -> Duration {
    PATIENCE_MIN.max(latency * PATIENCE_LATENCIES)
}
