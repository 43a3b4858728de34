//! Records answers that their callers did not read in time.

use std::sync::Arc;

use super::budget::MemoryBudget;
use crate::observe::metrics::{Counter, Metrics};

/// Why the connection of an unread answer was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnreadCause {
    /// Its memory was needed for others.
    Reclaimed,
    /// The deadline of its call has passed.
    TimeOver,
}

/// Records that an answer was not read.
#[derive(Clone, Debug)]
pub(crate) struct UnreadAnswer {
    pub(crate) call: String,
    pub(crate) memory: Arc<MemoryBudget>,
    pub(crate) metrics: Arc<Metrics>,
}

impl UnreadAnswer {
    pub(crate) fn record(&self, cause: UnreadCause) {
        let counter = match cause {
            UnreadCause::Reclaimed => Counter::AnswersReclaimed,
            UnreadCause::TimeOver => Counter::AnswersUnread,
        };
        self.metrics.add(counter, 1);
        log::info!(
            "event=answer_unread call={} why={cause:?} held_bytes={} budget_bytes={}",
            self.call,
            self.memory.held_bytes(),
            self.memory.budget_bytes()
        );
    }
}
