//! Tells how long a connection to the HTTP server has been idle.
//!
//! A client may reuse a kept connection for as long as the idle time-out in force
//! allows, and that time-out can change while the connection is open. It is
//! therefore read when it is about to expire, and not when the connection opens.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::http::{HttpResponse, ResponseBody, TruncatedResponse};
use crate::memory::unread_answers::{UnreadAnswer, UnreadCause};

/// Time from the end of an answer's deadline until its connection is closed. An answer that
/// is still being read ends with its deadline.
const UNREAD_GRACE: Duration = Duration::from_secs(1);

/// When an answer must have been read, as an extension of its response. A server does not
/// poll an answer that its client does not read, so only its connection can be closed.
#[derive(Clone, Debug)]
pub(crate) struct AnswerEnd {
    pub(crate) deadline: Instant,
    /// Cancelled when the memory of the answer is needed for others.
    pub(crate) reclaimed: CancellationToken,
    /// Told if the answer was not read.
    pub(crate) unread: UnreadAnswer,
}

/// The requests in progress on one connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionActivity {
    state: Arc<Mutex<State>>,
    answer_changed: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    request_count: usize,
    /// Whether a request has begun since the connection opened.
    is_used: bool,
    /// End of the last request, or the time at which the connection opened.
    idle_since: Instant,
    answer_end: Option<AnswerEnd>,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that opens now.
    pub(crate) fn new() -> Self {
        let state = State {
            request_count: 0,
            is_used: false,
            idle_since: Instant::now(),
            answer_end: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            answer_changed: Arc::default(),
        }
    }

    /// Records the start of a request, which lasts until the result is dropped.
    pub(crate) fn begin_request(&self) -> ActiveRequest {
        let mut state = self.lock();
        state.request_count += 1;
        state.is_used = true;
        drop(state);
        ActiveRequest(self.clone())
    }

    /// Whether a whole request has arrived since the connection opened.
    pub(crate) fn is_used(&self) -> bool {
        self.lock().is_used
    }

    /// Time since which the connection has no request in progress, if it has none.
    pub(crate) fn unused_since(&self) -> Option<Instant> {
        let state = self.lock();
        (state.request_count == 0).then_some(state.idle_since)
    }

    /// Waits until an answer should have been read, and was not.
    pub(crate) async fn wait_until_answer_overdue(&self) {
        loop {
            let end = self.lock().answer_end.clone();
            let Some(end) = end else {
                self.answer_changed.notified().await;
                continue;
            };
            let cause = tokio::select! {
                () = self.answer_changed.notified() => continue,
                () = end.reclaimed.cancelled() => UnreadCause::Reclaimed,
                () = tokio::time::sleep_until((end.deadline + UNREAD_GRACE).into()) => {
                    UnreadCause::TimeOver
                }
            };
            return end.unread.record(cause);
        }
    }

    fn set_answer_end(&self, end: Option<AnswerEnd>) {
        self.lock().answer_end = end;
        self.answer_changed.notify_one();
    }

    /// Waits until the connection has been idle for the time-out, which is read
    /// each time that it could expire.
    pub(crate) async fn wait_until_idle_for(&self, timeout: impl Fn() -> Duration) {
        loop {
            let expires_at = self.idle_since() + timeout();
            if expires_at <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(expires_at.into()).await;
        }
    }

    /// Time since which the connection is idle: now, while a request is in progress.
    fn idle_since(&self) -> Instant {
        let state = self.lock();
        if state.request_count > 0 {
            Instant::now()
        } else {
            state.idle_since
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in progress, until this is dropped.
#[derive(Debug)]
pub(crate) struct ActiveRequest(ConnectionActivity);

impl ActiveRequest {
    /// Keeps the request in progress until the body of its response has been sent.
    pub(crate) fn track(self, mut response: HttpResponse) -> Response<TrackedBody> {
        if let Some(end) = response.extensions_mut().remove::<AnswerEnd>() {
            self.0.set_answer_end(Some(end));
        }
        response.map(|body| TrackedBody {
            body,
            _request: self,
        })
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.request_count -= 1;
        state.idle_since = Instant::now();
        let had_end = state.answer_end.take().is_some();
        drop(state);
        if had_end {
            self.0.answer_changed.notify_one();
        }
    }
}

/// The body of a response to an [`ActiveRequest`].
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: ResponseBody,
    _request: ActiveRequest,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
