//! HTTP handler for connections from callers.

use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;

use super::cluster_view::ClusterView;
use super::unanswered_call::UnansweredCall;
use crate::connection_bound::ConnectionBound;
use crate::forward::forwarder::Forwarder;
use crate::forward::route_table::CallerLimits;
use crate::http::{ConnectionLimits, Handler, HttpResponse};

/// Minimum size of a connection's read buffer.
const BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Passes callers' requests to the forwarder.
pub(crate) struct CallerHandler {
    pub(crate) forwarder: Arc<Forwarder<ClusterView>>,
    pub(crate) connections: Arc<ConnectionBound>,
}

impl Handler for CallerHandler {
    fn limits(&self) -> ConnectionLimits {
        caller_connection_limits(&self.forwarder)
    }

    fn connection_bound(&self) -> Option<Arc<ConnectionBound>> {
        Some(self.connections.clone())
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let unanswered = UnansweredCall::new(&request, self.forwarder.clone());
        let response = self.forwarder.clone().forward(request).await;
        unanswered.answered();
        response
    }
}

/// Limits of connections with calls of callers, as the configuration states them.
pub(crate) fn caller_connection_limits(forwarder: &Forwarder<ClusterView>) -> ConnectionLimits {
    let table = forwarder.route_table.load();
    let limits = table
        .as_ref()
        .map_or_else(CallerLimits::default, |table| table.limits);
    ConnectionLimits {
        idle_timeout: limits.idle_timeout,
        buffer_bytes: limits.header_bytes.max(BUFFER_MIN_BYTES),
    }
}
