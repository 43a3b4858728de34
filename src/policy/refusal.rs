//! How a call that was not served is answered, and when it may come back.
//!
//! Answers this load: a service has lost its upstreams for a second, and all
//! its callers are told to come back. They are spread over the time in which
//! upstreams return, and never told to come back after a third of their time,
//! which they would not wait for.

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

/// Earliest return.
const RETURN_MIN: Duration = Duration::from_millis(200);
/// Time over which returns are spread.
const RETURN_SPREAD: Duration = Duration::from_millis(800);

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
pub(crate) fn retry_after(time_left: Duration, draw: f64) -> Duration {
    let wanted = RETURN_MIN + RETURN_SPREAD.mul_f64(draw);
    wanted.min(time_left / 3)
}
