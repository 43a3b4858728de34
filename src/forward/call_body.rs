//! Reads the bodies of calls, and refuses those for which this node has no room.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;

use super::forwarder::{Forwarder, NodeContext};
use crate::http::{self, HttpResponse};
use crate::memory::request_body::{BodyRefusal, read_request_body};
use crate::observe::metrics::Counter;
use crate::platform::call;

/// Bytes that a call holds in addition to its headers and its body: its task, and the
/// buffers of its connections while little is sent over them.
const CALL_OVERHEAD_BYTES: usize = 4 * 1024;

impl<N: NodeContext> Forwarder<N> {
    /// Reads the body of a call, or returns the response that refuses it. The connection
    /// is closed after a refusal, since the rest of the body stays unread.
    pub(super) async fn read_body(
        &self,
        parts: &Parts,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, HttpResponse> {
        let head_bytes = CALL_OVERHEAD_BYTES + headers_bytes(&parts.headers);
        let read = read_request_body(&self.memory, body, head_bytes, max_bytes).await;
        read.map_err(|refusal| {
            self.record_body_refusal(&parts.headers, &refusal);
            let mut response = http::error_response(&refusal.error());
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            response
        })
    }

    fn record_body_refusal(&self, headers: &HeaderMap, refusal: &BodyRefusal) {
        let counter = match refusal {
            BodyRefusal::Full => Counter::BodiesRefusedFull,
            BodyRefusal::Stalled => Counter::BodiesReclaimed,
            BodyRefusal::TooSlow => Counter::BodiesTooSlow,
            BodyRefusal::OverLimit(_) => Counter::BodiesOverLimit,
            BodyRefusal::Unreadable(_) => Counter::BodiesUnreadable,
        };
        self.metrics.add(counter, 1);
        log::info!(
            "event=body_refused call={} why={} held_bytes={} budget_bytes={}",
            call::id(headers),
            refusal.name(),
            self.memory.held_bytes(),
            self.memory.budget_bytes()
        );
    }
}

fn headers_bytes(headers: &HeaderMap) -> usize {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    sizes.sum()
}
