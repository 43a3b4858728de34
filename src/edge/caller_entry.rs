//! Where callers' connections come in.

use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;

use super::beliefs::Beliefs;
use crate::forward::forwarder::Forwarder;
use crate::forward::route_table::CallerLimits;
use crate::http::{ConnectionLimits, Handler, HttpResponse};

/// Smallest buffer that a connection works with.
const BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Hands callers' requests to the forwarder.
pub(crate) struct CallerEntry {
    pub(crate) forwarder: Arc<Forwarder<Beliefs>>,
}

impl Handler for CallerEntry {
    fn limits(&self) -> ConnectionLimits {
        let table = self.forwarder.routing.load();
        let limits = table
            .as_ref()
            .map_or_else(CallerLimits::default, |table| table.limits);
        ConnectionLimits {
            // The wait for the next request's head is the idle time as well.
            header_timeout: limits.idle_timeout,
            buffer_bytes: limits.header_bytes.max(BUFFER_MIN_BYTES),
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        self.forwarder.clone().forward(request).await
    }
}
