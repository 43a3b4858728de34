//! Reports sends that are cancelled before their upstream answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;

use super::upstream::Upstream;

/// A send whose upstream has not answered.
///
/// Cancelling a send drops its future, for example when the caller disconnects. The
/// upstream may read the request later all the same, so the log states whether it was
/// silent, see `docs/OPERATIONS.md`.
#[derive(Debug)]
pub(super) struct UnansweredSend {
    upstream: Arc<Upstream>,
    call_id: Option<HeaderValue>,
    sent_at: Instant,
    /// Age of the first send that was unanswered when this one began; zero if this is
    /// the first.
    unanswered_before: Duration,
    /// Whether the upstream had failed before, and had sent nothing since.
    is_trial: bool,
    has_ended: bool,
}

impl UnansweredSend {
    /// Records that a call is being sent to an upstream.
    pub(super) fn new(upstream: &Arc<Upstream>, call_id: Option<&HeaderValue>) -> Self {
        let sent_at = Instant::now();
        Self {
            upstream: upstream.clone(),
            call_id: call_id.cloned(),
            sent_at,
            unanswered_before: upstream.time_unanswered(sent_at),
            is_trial: upstream.has_failed(),
            has_ended: false,
        }
    }

    /// When the send began.
    pub(super) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Records that the send ended with an answer or a failure.
    pub(super) fn ended(mut self) {
        self.has_ended = true;
    }
}

impl Drop for UnansweredSend {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let id = self.call_id.as_ref().and_then(|id| id.to_str().ok());
        let silence = self.upstream.time_since_contact(Instant::now());
        log::info!(
            "event=send_cancelled call={} upstream={} heard_ms_ago={:?} sent_ms_ago={} unanswered_ms_before={} trial={}",
            id.unwrap_or("-"),
            self.upstream.entry.id,
            silence.map(|silence| silence.as_millis()),
            self.sent_at.elapsed().as_millis(),
            self.unanswered_before.as_millis(),
            self.is_trial
        );
    }
}
