//! Takes in a call, decides whether it may pass, and sees it to its end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Request, StatusCode};
use rand::RngExt;

use super::directory::Directory;
use super::observation::Observations;
use super::request::Call;
use super::request_crashes::RequestCrashes;
use super::retry_budgets::RetryBudgets;
use super::route_table::{AdmissionError, Admitted, RouteTable};
use super::sessions::Sessions;
use super::upstream::Upstream;
use crate::error::{Error, ErrorKind};
use crate::http::{self, HttpResponse, read_body};
use crate::id::{DataCentreId, ServiceId};
use crate::observe::metrics::{Counter, Metrics};
use crate::platform::call::{self, CallHeaders};
use crate::policy::failure_response::{
    GiveUpReason, Progress, Unavailable, error_kind, retry_after,
};
use crate::policy::placement::{Candidate, is_assigned};

/// What the forwarder asks of the node that it runs in.
pub(crate) trait Surroundings: Send + Sync + 'static {
    /// Position of this node among all live nodes, and their number.
    fn position(&self) -> (usize, usize);
    /// Most nodes that lived at once of late; those that cannot be seen now
    /// may still spend their part of the retry budget.
    fn fleet_size(&self) -> usize;
    /// Whether the configuration in force is known to be the newest.
    fn is_config_fresh(&self) -> bool;
    /// Whether this node is about to stop.
    fn is_draining(&self) -> bool;
    /// Has another node spend a repeated send for this one; true if it did.
    fn borrow_retry(&self, service: &ServiceId) -> impl Future<Output = bool> + Send;
    /// Wakes when streams that are still running will be cut soon.
    fn cut_is_near(&self) -> impl Future<Output = ()> + Send;
    /// Whether streams that begin now could not end before this node stops.
    fn refuses_streams(&self) -> bool;
}

/// Forwards calls by the configuration in force.
pub(crate) struct Forwarder<S> {
    /// The configuration in force.
    pub(crate) routing: ArcSwapOption<RouteTable>,
    /// All upstreams.
    pub(crate) directory: Directory,
    /// Repeated sends that are left.
    pub(crate) budgets: RetryBudgets,
    /// What is known of requests that crash their upstreams.
    pub(crate) request_crashes: RequestCrashes,
    /// Where the prompts of recent streams lie.
    pub(crate) sessions: Sessions,
    /// What this node finds out and others may not know.
    pub(crate) sightings: Observations,
    /// Counters.
    pub(crate) metrics: Arc<Metrics>,
    /// Data centre of this node.
    pub(crate) data_centre: DataCentreId,
    /// The node.
    pub(crate) node: S,
    /// Held by each call until it has ended.
    pub(crate) in_flight: Arc<()>,
}

/// A call that may pass, and the configuration that says so.
struct Admission {
    table: Arc<RouteTable>,
    admitted: Admitted,
}

impl<S: Surroundings> Forwarder<S> {
    /// Answers one call.
    pub(crate) async fn forward(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let arrived = Instant::now();
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let headers = call::read(request.headers());
        let mut response = match self.admit(&request, headers.api_key.as_deref()) {
            Err(error) => self.reject(&headers, &error),
            Ok(admission) => self.accept(request, headers, admission, arrived).await,
        };
        // Where a length stood beside the chunks it is gone by now, and what
        // follows on this connection may be no request.
        if is_chunked || self.node.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn admit(
        &self,
        request: &Request<Incoming>,
        api_key: Option<&[u8]>,
    ) -> Result<Admission, Error> {
        let not_ready = || Error::new(ErrorKind::NotReady, "no configuration yet");
        let table = self.routing.load_full().ok_or_else(not_ready)?;
        let host = http::header(request, HOST.as_str()).unwrap_or_default();
        let admitted = table.admit(host, request.uri().path(), api_key);
        let denied = match admitted {
            Ok(admitted) => return Ok(Admission { table, admitted }),
            Err(denied) => denied,
        };
        if !self.node.is_config_fresh() {
            let text = "the configuration may have changed";
            return Err(Error::new(ErrorKind::NotReady, text));
        }
        let error = match denied {
            AdmissionError::NoRoute => Error::new(ErrorKind::NotFound, "no route"),
            AdmissionError::UnknownKey => {
                Error::new(ErrorKind::Unauthorized, "no customer has this key")
            }
        };
        Err(error)
    }

    fn reject(&self, headers: &CallHeaders, error: &Error) -> HttpResponse {
        self.metrics.add(Counter::CallsRejected, 1);
        let id = headers.call_id.as_ref().and_then(|id| id.to_str().ok());
        log::info!(
            "event=call_rejected call={} kind={} config={} fresh={}",
            id.unwrap_or("-"),
            error.kind.name(),
            self.routing
                .load()
                .as_ref()
                .map_or(0, |table| table.version),
            self.node.is_config_fresh()
        );
        let mut response = http::failure(error);
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let patience = headers.patience.unwrap_or(Duration::from_secs(3));
            let missing = if self.routing.load().is_some() {
                Unavailable::Upstreams
            } else {
                Unavailable::Configuration
            };
            set_retry_after(&mut response, retry_after(missing, patience, draw()));
        }
        response
    }

    async fn accept(
        self: &Arc<Self>,
        request: Request<Incoming>,
        headers: CallHeaders,
        admission: Admission,
        arrived: Instant,
    ) -> HttpResponse {
        let Admission { table, admitted } = admission;
        let (parts, body) = request.into_parts();
        let body = match read_body(body, table.limits.body_bytes).await {
            Ok(body) => body,
            Err(error) => {
                let mut response = http::failure(&error);
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
                return response;
            }
        };
        let Some(service) = admitted.route.service(rand::rng().random()).cloned() else {
            return http::failure(&Error::new(
                ErrorKind::NoUpstream,
                "the route has no service",
            ));
        };
        let kind = admitted.route.kind;
        let mut call = Call::new(parts, headers, body, admitted, service, arrived);
        call.in_flight = Some(self.in_flight.clone());
        self.metrics.add(Counter::Calls, 1);
        self.budgets.record_call(&call.service, arrived);
        if self.request_crashes.is_poison(&call) {
            return self.give_up(
                &call,
                GiveUpReason::CrashesUpstreams,
                Progress::MayHaveRun,
                "convicted",
            );
        }
        if kind.is_stream() && self.node.refuses_streams() {
            return self.give_up(
                &call,
                GiveUpReason::NoUpstream,
                Progress::NotRun,
                "draining",
            );
        }
        if kind.is_stream() {
            self.stream(call).await
        } else {
            self.plain(call).await
        }
    }

    /// The final answer to a call that is given up.
    pub(crate) fn give_up(
        &self,
        call: &Call,
        given_up: GiveUpReason,
        progress: Progress,
        cause: &str,
    ) -> HttpResponse {
        let kind = error_kind(given_up, progress);
        self.metrics.add(Counter::CallsGivenUp, 1);
        log::warn!(
            "event=call_given_up call={} route={} service={} why={given_up:?} progress={progress:?} cause={cause:?} age_ms={} left_ms={} status={}",
            call.id(),
            call.admitted.route.name,
            call.service,
            call.age().as_millis(),
            call.time_left(Instant::now()).as_millis(),
            kind.answer().status.as_u16()
        );
        let mut response = http::failure(&Error::new(kind, cause));
        if progress == Progress::NotRun {
            let time_left = call.time_left(Instant::now());
            let after = retry_after(Unavailable::Upstreams, time_left, draw());
            set_retry_after(&mut response, after);
        }
        response
    }

    /// Runs `choose` over the upstreams of a call's service.
    pub(crate) fn choose(
        &self,
        service: &str,
        tried: &[Arc<Upstream>],
        choose: impl FnOnce(&[Candidate<'_>], u64) -> Option<usize>,
    ) -> Option<Arc<Upstream>> {
        let upstreams = self.directory.serving(service);
        let (node_index, node_count) = self.node.position();
        let now = Instant::now();
        let candidates: Vec<Candidate<'_>> = upstreams
            .iter()
            .enumerate()
            .map(|(index, upstream)| Candidate {
                id: &upstream.entry.id,
                data_centre: &upstream.entry.data_centre,
                pending_prompt_tokens: upstream.pending_prompt_tokens(),
                kv_cache_tokens: upstream.kv_cache_tokens(),
                call_count: upstream.call_count(),
                latency: upstream.latency(),
                failure_share: upstream.failure_share(),
                is_avoided: upstream.avoided_until(now).is_some()
                    || self
                        .directory
                        .is_outage_suspected(&upstream.entry.data_centre, now),
                was_tried: tried.iter().any(|t| t.entry.id == upstream.entry.id),
                is_assigned: is_assigned(index, upstreams.len(), node_index, node_count),
            })
            .collect();
        let at = choose(&candidates, rand::rng().random())?;
        upstreams.get(at).cloned()
    }

    /// Spends one repeated send to a service from this node's own part, for
    /// itself or for a node that asks.
    pub(crate) fn spend_retry(&self, service: &ServiceId) -> bool {
        let node_count = self.node.fleet_size();
        self.budgets.try_spend(service, node_count, Instant::now())
    }

    /// Spends one repeated send of a call from this node's own part.
    pub(crate) fn may_send_again(&self, call: &Call) -> bool {
        let is_affordable = self.spend_retry(&call.service);
        if !is_affordable {
            self.metrics.add(Counter::RetriesOverBudget, 1);
        }
        is_affordable
    }

    /// Spends one repeated send from this node's own part, or from another's.
    pub(crate) async fn may_send_again_or_borrow(&self, call: &Call) -> bool {
        if self.may_send_again(call) {
            return true;
        }
        let is_lent = self.node.borrow_retry(&call.service).await;
        log::info!(
            "event=retry_over_budget call={} service={} borrowed={is_lent}",
            call.id(),
            call.service
        );
        is_lent
    }
}

/// Sets a time to come back, with fractions of a second.
fn set_retry_after(response: &mut HttpResponse, after: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

fn draw() -> f64 {
    rand::rng().random_range(0.0..1.0)
}
