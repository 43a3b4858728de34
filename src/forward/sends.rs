//! What the sends of one call have come to.

use super::send::SendOutcome;
use crate::policy::failure_response::Progress;

/// The sends of one call so far, and whether one of them may have run it.
#[derive(Debug)]
pub(crate) struct Sends {
    sent_count: u32,
    unsent_count: u32,
    progress: Progress,
    progress_before: Progress,
}

impl Sends {
    /// Begins with none.
    pub(crate) fn none() -> Self {
        Self {
            sent_count: 0,
            unsent_count: 0,
            progress: Progress::NotRun,
            progress_before: Progress::NotRun,
        }
    }

    /// Notes that a send begins: until its outcome is known, the call may run.
    pub(crate) fn begin(&mut self) {
        self.progress_before = self.progress;
        self.progress = Progress::MayHaveRun;
        self.sent_count += 1;
    }

    /// Notes how the last send ended; true when it cannot have run the call.
    pub(crate) fn end(&mut self, outcome: &SendOutcome) -> bool {
        match outcome {
            SendOutcome::NotSent(_) => {
                self.sent_count -= 1;
                self.unsent_count += 1;
            }
            SendOutcome::Misdirected(_) => self.unsent_count += 1,
            SendOutcome::NotExecuted => {}
            SendOutcome::MayHaveRun(_) | SendOutcome::Silent(_) => return false,
        }
        self.progress = self.progress_before;
        true
    }

    /// Upstreams that bytes of the call went to.
    pub(crate) fn sent_count(&self) -> u32 {
        self.sent_count
    }

    /// Upstreams that were out of reach, or not who they were taken for.
    pub(crate) fn unsent_count(&self) -> u32 {
        self.unsent_count
    }

    /// Whether an upstream may have run the call.
    pub(crate) fn progress(&self) -> Progress {
        self.progress
    }
}
