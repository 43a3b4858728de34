//! Lets the streams of this node resume in the order of [`ResumeRank`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::policy::resume_order::{RESUME_WAIT_MAX, ResumeRank, WaitingResumes};

/// The streams of this node that have lost their upstreams and have not chosen others yet.
#[derive(Debug, Default)]
pub(crate) struct ResumeQueue {
    state: Arc<QueueState>,
}

#[derive(Debug, Default)]
struct QueueState {
    waiting: Mutex<WaitingResumes>,
    changed: Notify,
}

/// The turn of one stream. Those behind it wait until this is dropped.
#[derive(Debug)]
pub(crate) struct ResumeTurn {
    state: Arc<QueueState>,
    rank: ResumeRank,
}

impl ResumeQueue {
    /// Waits until the stream may choose its next upstream, for [`RESUME_WAIT_MAX`] at most.
    pub(crate) async fn wait_for_turn(&self, rank: ResumeRank) -> ResumeTurn {
        let turn = ResumeTurn {
            state: self.state.clone(),
            rank,
        };
        self.state.lock().add(rank);
        // The tasks of all streams at the lost upstream were woken together.
        tokio::task::yield_now().await;
        let wait_ends_at = Instant::now() + RESUME_WAIT_MAX;
        // Ends with an error if the time is over.
        let _ = tokio::time::timeout_at(wait_ends_at, self.state.wait_until_next(rank)).await;
        turn
    }
}

impl QueueState {
    async fn wait_until_next(&self, rank: ResumeRank) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registers before the check, so that no change is missed.
            changed.as_mut().enable();
            if self.lock().may_choose(rank) {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, WaitingResumes> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ResumeTurn {
    fn drop(&mut self) {
        self.state.lock().remove(self.rank);
        self.state.changed.notify_waiters();
    }
}
