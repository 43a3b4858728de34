//! Counts the sends of a call, and tracks whether one of them may have run it.

use super::attempt::AttemptFailure;
use super::write_signal::WriteSignal;
use crate::policy::failure_response::Progress;

/// The sends of one call so far. Sends of a plain call may overlap.
#[derive(Debug)]
pub(crate) struct SendHistory {
    sent_count: u32,
    undelivered_count: u32,
    unconnected_count: u32,
    misdirected_count: u32,
    /// Sends that were begun, less those that ended and cannot have run the call.
    may_have_run_count: u32,
    /// The sends that were begun, less those that ended unsent.
    writes: Vec<WriteSignal>,
}

impl SendHistory {
    /// Creates a history without sends.
    pub(crate) fn new() -> Self {
        Self {
            sent_count: 0,
            undelivered_count: 0,
            unconnected_count: 0,
            misdirected_count: 0,
            may_have_run_count: 0,
            writes: Vec::new(),
        }
    }

    /// Records the start of a send, which sets the signal when its bytes leave. From then
    /// on, until it is known how the send ends, the call may be running.
    pub(crate) fn begin(&mut self) -> WriteSignal {
        let written = WriteSignal::default();
        self.begin_with(&written);
        written
    }

    /// Records the start of a send like [`Self::begin`], with this signal.
    pub(crate) fn begin_with(&mut self, written: &WriteSignal) {
        self.may_have_run_count += 1;
        self.sent_count += 1;
        self.writes.push(written.clone());
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
            AttemptFailure::Silent | AttemptFailure::Resting => self.sent_count -= 1,
            AttemptFailure::Misdirected(_) => {
                self.undelivered_count += 1;
                self.misdirected_count += 1;
            }
            AttemptFailure::NotExecuted => {}
            AttemptFailure::MayHaveRun(_) | AttemptFailure::Abandoned(_) => return false,
        }
        self.may_have_run_count -= 1;
        if failure.is_unsent() {
            self.remove_unwritten();
        }
        true
    }

    /// Drops one of the sends of which no byte has left.
    fn remove_unwritten(&mut self) {
        let unwritten = self.writes.iter().position(|w| w.written_at().is_none());
        if let Some(at) = unwritten {
            self.writes.swap_remove(at);
        }
    }

    /// Number of sends of which bytes left this node, or still may.
    pub(crate) fn sent_count(&self) -> u32 {
        self.sent_count
    }

    /// Number of sends that count towards the most that the call's route allows. One that
    /// reached another upstream than intended does not: an entry that is wrong must not use up
    /// the only attempt of a call. It takes a retry from the budget like others.
    pub(crate) fn attempt_count(&self) -> u32 {
        self.sent_count - self.misdirected_count
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
        let waiting = self.writes.iter().filter(|w| w.written_at().is_none());
        if self.may_have_run_count as usize <= waiting.count() {
            Progress::NotRun
        } else {
            Progress::MayHaveRun
        }
    }
}
