//! The streams that a node has at runners.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::table::Fleet;
use crate::id::RunnerId;

/// Guard that counts one stream which this node has at a runner, until the guard
/// is dropped.
#[derive(Debug)]
pub(crate) struct InFlightStream {
    pub(super) fleet: Arc<Fleet>,
    pub(super) runner: RunnerId,
    pub(super) is_suspect: bool,
    pub(super) last_token: Arc<TokenClock>,
}

/// Time of the last token of all streams that this node has at one runner. An
/// atomic is used instead of a lock, because every token of every stream updates
/// the time.
#[derive(Debug)]
pub(super) struct TokenClock {
    origin: Instant,
    /// Milliseconds from `origin` to the last token.
    last_ms: AtomicU64,
}

impl Default for TokenClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            last_ms: AtomicU64::new(0),
        }
    }
}

impl InFlightStream {
    /// Records that the runner sent a token.
    pub(crate) fn record_token(&self, now: Instant) {
        let since_origin = now.saturating_duration_since(self.last_token.origin);
        let now_ms = since_origin.as_millis() as u64;
        self.last_token.last_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Time since the last token of all streams that this node has at the runner.
    pub(crate) fn runner_silence(&self, now: Instant) -> Duration {
        let last_ms = self.last_token.last_ms.load(Ordering::Relaxed);
        let last = self.last_token.origin + Duration::from_millis(last_ms);
        now.saturating_duration_since(last)
    }
}

impl Drop for InFlightStream {
    fn drop(&mut self) {
        self.fleet.stream_ended(&self.runner, self.is_suspect);
    }
}
