//! How a call that was not served is answered, and when it may come back.
//!
//! Answers two loads. A service has lost its upstreams for a second, and all
//! its callers are told to come back: they are spread over the time in which
//! upstreams return. All nodes start anew while the store is away, and have no
//! configuration until it is back: that takes longer, and who comes back too
//! soon is refused for good. Nobody is told to come back after a third of their
//! time, which they would not wait for.

use std::time::Duration;

use crate::error::ErrorKind;

/// How far a call had come when it was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Progress {
    /// No byte of it left this node, or every upstream stated that it did not
    /// run it.
    NotRun,
    /// An upstream may have run it.
    MayHaveRun,
}

/// Why a call was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GivenUp {
    /// No upstream can take it.
    NoUpstream,
    /// Its time is over.
    TimeOver,
    /// Its upstreams failed it.
    UpstreamsFailed,
    /// It crashes the upstreams that begin to run it.
    CrashesUpstreams,
}

/// What a call would have to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Missing {
    /// Upstreams, which come back within a second, or their word.
    Upstreams,
    /// A configuration, at a node that has none yet.
    Configuration,
}

impl Missing {
    /// Earliest return, and the time over which returns are spread.
    fn returns(self) -> (Duration, Duration) {
        match self {
            Self::Upstreams => (Duration::from_millis(200), Duration::from_millis(800)),
            Self::Configuration => (Duration::from_millis(1_000), Duration::from_millis(1_500)),
        }
    }
}

/// The answer for a call that was given up.
pub(crate) fn error_kind(given_up: GivenUp, progress: Progress) -> ErrorKind {
    match (progress, given_up) {
        (_, GivenUp::CrashesUpstreams) => ErrorKind::CrashesRunners,
        (Progress::NotRun, _) => ErrorKind::NoUpstream,
        (Progress::MayHaveRun, GivenUp::TimeOver) => ErrorKind::OutcomeUnknown,
        (Progress::MayHaveRun, _) => ErrorKind::UpstreamFailed,
    }
}

/// When a caller with `time_left` is to come back; `draw` is below one.
pub(crate) fn retry_after(missing: Missing, time_left: Duration, draw: f64) -> Duration {
    let (earliest, spread) = missing.returns();
    let wanted = earliest + spread.mul_f64(draw);
    wanted.min(time_left / 3)
}
