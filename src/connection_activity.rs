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
use hyper::body::{Body, Frame, SizeHint};

use crate::http::{ResponseBody, TruncatedResponse};

/// The requests in progress on one connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionActivity {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    request_count: usize,
    /// End of the last request, or the time at which the connection opened.
    idle_since: Instant,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that opens now.
    pub(crate) fn new() -> Self {
        let state = State {
            request_count: 0,
            idle_since: Instant::now(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records the start of a request, which lasts until the result is dropped.
    pub(crate) fn begin_request(&self) -> ActiveRequest {
        self.lock().request_count += 1;
        ActiveRequest(self.clone())
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
    /// Keeps the request in progress until `body` has been sent.
    pub(crate) fn track(self, body: ResponseBody) -> TrackedBody {
        TrackedBody {
            body,
            _request: self,
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.request_count -= 1;
        state.idle_since = Instant::now();
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
