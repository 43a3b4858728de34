//! Reports calls whose connection closed before this node answered.

use std::sync::Arc;
use std::time::Instant;

use hyper::Request;
use hyper::body::Incoming;

use super::cluster_view::ClusterView;
use crate::forward::forwarder::Forwarder;
use crate::observe::metrics::Counter;
use crate::platform::call;

/// A call that has no answer yet.
///
/// The HTTP server drops the handler of a call when the caller disconnects, or
/// when this node aborts its connections. Without this guard such a call would
/// leave no trace in the log, see `docs/OPERATIONS.md`.
pub(crate) struct UnansweredCall {
    id: String,
    arrived_at: Instant,
    forwarder: Arc<Forwarder<ClusterView>>,
    is_answered: bool,
}

impl UnansweredCall {
    /// Creates the guard of a call that has just arrived.
    pub(crate) fn new(request: &Request<Incoming>, forwarder: Arc<Forwarder<ClusterView>>) -> Self {
        Self {
            id: call::id(request.headers()).to_owned(),
            arrived_at: Instant::now(),
            forwarder,
            is_answered: false,
        }
    }

    /// Records that the call has an answer.
    pub(crate) fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredCall {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.forwarder.metrics.add(Counter::CallsUnanswered, 1);
        self.forwarder.departures.record(Instant::now());
        log::warn!(
            "event=call_unanswered call={} age_ms={}",
            self.id,
            self.arrived_at.elapsed().as_millis()
        );
    }
}
