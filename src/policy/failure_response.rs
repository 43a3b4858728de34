//! How a call that was not served is answered, and when its caller may retry.
//!
//! When a service has lost its upstreams for a second, all its callers are
//! refused together. Their retries are spread over the time in which upstreams
//! return. When all nodes restart while the store is unreachable, they have no
//! configuration until the store is reachable again. That takes longer, and
//! callers that retry before then are refused again and give up. No caller is
//! asked to wait for more than a third of the time left until its deadline,
//! because it would not wait longer.

use std::time::Duration;

use crate::error::ErrorKind;

/// Whether a call may have run when it was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Progress {
    /// No byte of the call left this node, or every upstream that got it stated
    /// that it did not run it.
    NotRun,
    /// An upstream may have run the call.
    MayHaveRun,
}

/// Why a call was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GiveUpReason {
    /// No upstream can take the call.
    NoUpstream,
    /// The call's deadline has passed.
    TimeOver,
    /// All upstreams that were tried failed.
    UpstreamsFailed,
    /// The call is a poison request: it crashes the upstreams that begin to run
    /// it.
    CrashesUpstreams,
    /// The call shares what crashed upstreams under other calls.
    SharesCrashingPart,
}

/// What a refused call needs before it can be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// Upstreams, which are back within a second; or an answer of the store,
    /// which confirms that the node's configuration is the newest.
    Upstreams,
    /// A configuration, at a node that has none yet.
    Configuration,
}

impl Unavailable {
    /// Shortest delay before a retry, and the time over which retries are
    /// spread after it.
    fn retry_window(self) -> (Duration, Duration) {
        match self {
            Self::Upstreams => (Duration::from_millis(200), Duration::from_millis(800)),
            Self::Configuration => (Duration::from_millis(1_000), Duration::from_millis(1_500)),
        }
    }
}

/// The kind of error that answers a call which was given up.
pub(crate) fn error_kind(reason: GiveUpReason, progress: Progress) -> ErrorKind {
    match (progress, reason) {
        (_, GiveUpReason::CrashesUpstreams) => ErrorKind::CrashesRunners,
        (Progress::NotRun, GiveUpReason::SharesCrashingPart) => ErrorKind::Quarantined,
        (Progress::NotRun, _) => ErrorKind::NoUpstream,
        (Progress::MayHaveRun, GiveUpReason::TimeOver) => ErrorKind::OutcomeUnknown,
        (Progress::MayHaveRun, _) => ErrorKind::UpstreamFailed,
    }
}

/// Delay after which a caller should retry; `time_left` is the time until its
/// deadline, and `draw` a random number from 0 to below 1.
pub(crate) fn retry_after(unavailable: Unavailable, time_left: Duration, draw: f64) -> Duration {
    let (shortest, spread) = unavailable.retry_window();
    let delay = shortest + spread.mul_f64(draw);
    delay.min(time_left / 3)
}
