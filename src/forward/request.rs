//! One caller's call, read whole.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Uri};

use super::route_table::Admitted;
use crate::fleet::poison::Fingerprint;
use crate::hash::Fnv;
use crate::id::ServiceId;
use crate::platform::call::{self, CallHeaders, Dispatch};

/// Time that an answer needs on its way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(8);

/// A call that may pass, with all that is needed to send it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// What its headers say.
    pub(crate) headers: CallHeaders,
    /// Its route and customer.
    pub(crate) admitted: Admitted,
    /// The service that the route's weights drew for it.
    pub(crate) service: ServiceId,
    /// When it arrived.
    pub(crate) arrived: Instant,
    /// When its final answer is due.
    pub(crate) deadline: Instant,
    /// Counts the call as in flight until it is dropped.
    pub(crate) in_flight: Option<Arc<()>>,
    method: Method,
    target: Uri,
    forwarded: HeaderMap,
    body: Bytes,
}

impl Call {
    /// Gathers a call from its parts.
    pub(crate) fn new(
        parts: hyper::http::request::Parts,
        headers: CallHeaders,
        body: Bytes,
        admitted: Admitted,
        service: ServiceId,
        arrived: Instant,
    ) -> Self {
        let timeout = admitted.route.timeout;
        let patience = headers.patience.map_or(timeout, |p| p.min(timeout));
        Self {
            forwarded: call::forwardable(&parts.headers),
            method: parts.method,
            target: parts.uri,
            headers,
            admitted,
            service,
            arrived,
            deadline: arrived + patience,
            body,
            in_flight: None,
        }
    }

    /// The caller's id of the call, for the log.
    pub(crate) fn id(&self) -> &str {
        let id = self.headers.call_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Time until the final answer is due.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time since it arrived.
    pub(crate) fn age(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Tokens of memory that its run takes in the end.
    pub(crate) fn memory_tokens(&self) -> u64 {
        self.headers.prompt_tokens + self.headers.output_tokens
    }

    /// Hash of what makes two calls the same request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let customer = self.admitted.customer.as_deref().unwrap_or_default();
        Fnv::new()
            .text(self.target.path())
            .text(customer)
            .bytes(&self.body)
            .finish()
    }

    /// Builds the request to one upstream.
    pub(crate) fn request_to(&self, dispatch: &Dispatch<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.forwarded.clone();
        call::write(request.headers_mut(), dispatch);
        request
    }

    /// Time that an upstream may take, if any is left.
    pub(crate) fn time_for_upstream(&self, now: Instant) -> Option<Duration> {
        self.time_left(now)
            .checked_sub(WAY_BACK)
            .filter(|left| left.as_millis() > 0)
    }
}
