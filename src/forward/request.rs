//! A caller's call, with its body fully read.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Uri};
use rand::RngExt;

use super::route_table::MatchedRoute;
use super::run_origin::{RunKey, run_key};
use crate::hash::Fnv;
use crate::id::{Fingerprint, ServiceId};
use crate::platform::call::{self, CallHeaders, RelayHeaders, UpstreamHeaders};
use crate::policy::priority_class::PriorityClass;

/// Time reserved for returning an answer from the upstream to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(8);

/// An admitted call, with everything that is needed to send it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The parsed headers.
    pub(crate) headers: CallHeaders,
    /// The route that the call takes, and the customer that sent it.
    pub(crate) matched: MatchedRoute,
    /// The service that was drawn by the weights of the route.
    pub(crate) service: ServiceId,
    /// Time at which the call arrived.
    pub(crate) arrived_at: Instant,
    /// Time by which the caller must have the final answer.
    pub(crate) deadline: Instant,
    /// Counts the call as in flight at this node until the call is dropped.
    pub(crate) in_flight: Option<Arc<()>>,
    /// Whether the call is sent once to find out whether its kind still crashes
    /// upstreams.
    pub(crate) is_trial: bool,
    /// Set if another node relayed the call to this one.
    pub(crate) relayed: Option<RelayHeaders>,
    /// Maximum number of sends of the call, not counting those that failed before a
    /// byte left the node.
    pub(crate) sends_max: u32,
    /// Hash of the call's id as a number from 0 to below 1, by which a rollout chooses calls
    /// for a new version.
    pub(crate) draw: f64,
    /// Class of the call at an engine, if the configuration sets one.
    pub(crate) priority_class: Option<PriorityClass>,
    method: Method,
    target: Uri,
    forwarded_headers: HeaderMap,
    body: Bytes,
}

impl Call {
    /// Creates a call. Its deadline follows from the shorter of the route's
    /// time-out and the caller's maximum wait.
    pub(crate) fn new(
        parts: hyper::http::request::Parts,
        headers: CallHeaders,
        body: Bytes,
        matched: MatchedRoute,
        service: ServiceId,
        arrived_at: Instant,
    ) -> Self {
        let timeout = matched.route.timeout;
        let max_wait = headers.max_wait.map_or(timeout, |wait| wait.min(timeout));
        Self {
            forwarded_headers: call::forwardable(&parts.headers),
            draw: draw_of(headers.call_id.as_ref()),
            method: parts.method,
            target: parts.uri,
            headers,
            sends_max: matched.route.attempts_max,
            priority_class: None,
            relayed: None,
            matched,
            service,
            arrived_at,
            deadline: arrived_at + max_wait,
            body,
            in_flight: None,
            is_trial: false,
        }
    }

    /// Returns the id that the caller gave the call, or `-`, for the log.
    pub(crate) fn id(&self) -> &str {
        self.headers.id()
    }

    /// Returns the id of the caller's earlier call that brought the first event of
    /// the stream that this call resumes, for the log.
    pub(crate) fn resumed_id(&self) -> Option<&str> {
        self.headers.resumes.as_ref()?.to_str().ok()
    }

    /// Key of the run that begins with this call, if it is a stream and does not resume an
    /// earlier one.
    pub(crate) fn new_run(&self) -> Option<RunKey> {
        let begins_run = self.matched.route.kind.is_stream() && self.headers.last_event.is_none();
        let id = self.headers.call_id.as_ref().filter(|_| begins_run)?;
        Some(run_key(id.as_bytes()))
    }

    /// What may crash an upstream that runs this call: the request as a whole, and
    /// then the parts of its prompt that other calls may share.
    pub(crate) fn features(&self) -> Vec<Fingerprint> {
        let mut features = vec![self.fingerprint()];
        features.extend(self.shared_parts());
        features
    }

    /// Hashes of the prompt's parts that other calls may share.
    pub(crate) fn shared_parts(&self) -> Vec<Fingerprint> {
        let parts = call::shared_prompt_parts(&self.forwarded_headers).into_iter();
        parts.map(|part| Fnv::new().text(part).finish()).collect()
    }

    /// Returns the hashes of the prompt's parts that other calls may share,
    /// separated by commas, for the log.
    pub(crate) fn shared_parts_for_log(&self) -> String {
        call::shared_prompt_parts(&self.forwarded_headers).join(",")
    }

    /// Whether the call may leave an upstream that may have begun it and go to a peer.
    pub(crate) fn may_move_to_peer(&self) -> bool {
        self.relayed.is_none() && self.matched.route.kind.may_repeat()
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time since the call arrived.
    pub(crate) fn age(&self) -> Duration {
        self.arrived_at.elapsed()
    }

    /// Size of the KV cache that the call's run needs at its end, in tokens.
    pub(crate) fn kv_cache_tokens(&self) -> u64 {
        self.headers.prompt_tokens + self.headers.output_tokens
    }

    /// Hash of path, customer and body. Calls with the same hash count as the
    /// same request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let customer = self.matched.customer.as_deref().unwrap_or_default();
        Fnv::new()
            .text(self.target.path())
            .text(customer)
            .bytes(&self.body)
            .finish()
    }

    /// Builds the HTTP request to one upstream.
    pub(crate) fn request_to(&self, added_headers: &UpstreamHeaders<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.forwarded_headers.clone();
        call::write(request.headers_mut(), added_headers);
        if let Some(class) = self.priority_class {
            call::write_priority_class(request.headers_mut(), class);
        }
        request
    }

    /// Returns the call's class at an engine, or `-`, for the log.
    pub(crate) fn priority_class_for_log(&self) -> String {
        let class = self.priority_class;
        class.map_or_else(|| "-".to_owned(), |class| class.to_string())
    }

    /// Marks the call as relayed by another node, which may have sent it before.
    pub(crate) fn set_relayed(&mut self, relayed: RelayHeaders) {
        self.sends_max = self.sends_max.min(relayed.sends_left);
        self.relayed = Some(relayed);
    }

    /// Builds the HTTP request to a peer that is to run the call.
    pub(crate) fn request_to_peer(
        &self,
        relay: RelayHeaders,
        time_left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.forwarded_headers.clone();
        let api_key = self.headers.api_key.as_ref();
        relay.write(request.headers_mut(), api_key, time_left);
        request
    }

    /// Time left for an upstream to answer, if any.
    pub(crate) fn time_for_upstream(&self, now: Instant) -> Option<Duration> {
        self.time_left(now)
            .checked_sub(RETURN_MARGIN)
            .filter(|left| left.as_millis() > 0)
    }
}

fn draw_of(call_id: Option<&HeaderValue>) -> f64 {
    let hash = match call_id {
        Some(id) => Fnv::new().bytes(id.as_bytes()).finish(),
        None => rand::rng().random(),
    };
    // The upper 53 bits fit a float, which thus stays below 1.
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
