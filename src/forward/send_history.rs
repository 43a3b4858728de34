//! Counts the sends of a call, and tracks whether one of them may have run it.

use super::attempt::AttemptFailure;
use crate::policy::failure_response::Progress;

/// The sends of one call so far. Sends of a plain call may overlap.
#[derive(Debug)]
pub(crate) struct SendHistory {
    sent_count: u32,
    undelivered_count: u32,
    unconnected_count: u32,
    /// Sends that were begun, less those that ended and cannot have run the call.
    may_have_run_count: u32,
}

impl SendHistory {
    /// Creates a history without sends.
    pub(crate) fn new() -> Self {
        Self {
            sent_count: 0,
            undelivered_count: 0,
            unconnected_count: 0,
            may_have_run_count: 0,
        }
    }

    /// Records the start of a send. Until it is known how the send ends, the
    /// call may be running.
    pub(crate) fn begin(&mut self) {
        self.may_have_run_count += 1;
        self.sent_count += 1;
    }

    /// Records that a send failed. Returns true if this send cannot have made an
    /// upstream run the call.
    pub(crate) fn record_failure(&mut self, failure: &AttemptFailure) -> bool {
        match failure {
            AttemptFailure::NotConnected(_) => {
                self.sent_count -= 1;
                self.undelivered_count += 1;
                self.unconnected_count += 1;
            }
            AttemptFailure::NotSent(_) => {
                self.sent_count -= 1;
                self.undelivered_count += 1;
            }
            AttemptFailure::Resting => self.sent_count -= 1,
            AttemptFailure::Misdirected(_) => self.undelivered_count += 1,
            AttemptFailure::NotExecuted => {}
            AttemptFailure::MayHaveRun(_) | AttemptFailure::Abandoned(_) => return false,
        }
        self.may_have_run_count -= 1;
        true
    }

    /// Number of sends of which bytes left this node.
    pub(crate) fn sent_count(&self) -> u32 {
        self.sent_count
    }

    /// Number of sends that reached no upstream, or another one than intended.
    pub(crate) fn undelivered_count(&self) -> u32 {
        self.undelivered_count
    }

    /// Number of sends that failed because no connection could be opened.
    pub(crate) fn unconnected_count(&self) -> u32 {
        self.unconnected_count
    }

    /// Whether an upstream may have run the call.
    pub(crate) fn progress(&self) -> Progress {
        if self.may_have_run_count == 0 {
            Progress::NotRun
        } else {
            Progress::MayHaveRun
        }
    }
}
