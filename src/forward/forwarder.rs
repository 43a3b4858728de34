//! Admits calls of callers and forwards them to upstreams.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING};
use rand::RngExt;

use super::caller_departures::CallerDepartures;
use super::directory::Directory;
use super::hedges::Hedges;
use super::observation::Observations;
use super::reach_monitor::ReachMonitor;
use super::relay::RelayPeer;
use super::request::Call;
use super::request_crashes::{Permission, RequestCrashes};
use super::reread_queue::RereadQueue;
use super::resume_queue::ResumeQueue;
use super::retry_budgets::RetryBudgets;
use super::rollouts::Rollouts;
use super::route_table::{AdmissionError, MatchedRoute, RouteTable};
use super::run_origin::{OriginSearch, RunKey, RunOrigin, RunOrigins};
use super::sessions::Sessions;
use super::startup_wait::StartupWait;
use super::upstream::Upstream;
use super::upstream_permits::{PermitWait, WithoutPermit};
use crate::error::{Error, ErrorKind};
use crate::http::{self, HttpResponse};
use crate::id::{DataCentreId, NodeId, ServiceId, UpstreamId, Version};
use crate::memory::budget::MemoryBudget;
use crate::observe::metrics::{Counter, Metrics};
use crate::platform::call::{self, CallHeaders, RelayHeaders};
use crate::policy::failure_response::{GiveUpReason, Progress};
use crate::policy::freshness::ConfigEvidence;
use crate::policy::placement::{Candidate, is_assigned};
use crate::policy::rollout::VersionAdmission;
use crate::policy::startup_wait::{EarlyCall, have_upstreams_returned};
use crate::policy::upstream_limit::{Grant, PermitDemand};

/// Shortest time before the shutdown of this node in which a plain call is begun
/// that might not end before it.
const CALL_TIME_MIN: Duration = Duration::from_millis(500);
/// Factor of the time that calls of a service have taken, within which one that begins now
/// will probably end.
const CALL_TIME_FACTOR: f64 = 1.25;

/// Time that a caller is assumed to wait if it does not say.
pub(super) const CALLER_TIME_DEFAULT: Duration = Duration::from_secs(3);

/// The forwarder's view of its node and of the cluster.
pub(crate) trait NodeContext: Send + Sync + 'static {
    /// Index of this node among the live nodes that are not leaving, sorted by
    /// name, and the number of these nodes.
    fn position(&self) -> (usize, usize);
    /// Whether the task with this key is assigned to this node. All nodes that know
    /// the same live nodes agree on the one.
    fn is_assigned(&self, key: u64) -> bool;
    /// Highest number of live nodes that were not leaving, seen at once since
    /// this node's start. Nodes that are unreachable now may still spend their
    /// shares of the retry budget.
    fn peak_node_count(&self) -> usize;
    /// Whether the configuration in force, of the given version, is known to be
    /// current.
    fn is_config_fresh(&self, in_force: Version) -> bool;
    /// What this node knows about the age of the configuration in force.
    fn config_evidence(&self, in_force: Version) -> ConfigEvidence;
    /// Whether the store answers, so that its list of upstreams decides.
    fn is_store_reachable(&self) -> bool;
    /// Whether the store answered this node or a peer so lately that entries of upstreams
    /// which have started again are known.
    fn has_store_answered_lately(&self) -> bool;
    /// Whether this node is shutting down.
    fn is_draining(&self) -> bool;
    /// Asks other nodes to spend a retry from their shares of the service's
    /// retry budget. Returns whether one did.
    fn borrow_retry(&self, service: &ServiceId) -> impl Future<Output = bool> + Send;
    /// Asks the node that keeps the limit of an upstream for permits to send to it.
    /// Returns none if no such node answers.
    fn request_permits(
        &self,
        upstream: &UpstreamId,
        demand: PermitDemand,
    ) -> impl Future<Output = Option<Grant>> + Send;
    /// Chooses a peer that reaches the service, other than those in `tried`.
    fn relay_peer(&self, service: &str, tried: &[NodeId]) -> Option<RelayPeer>;
    /// Has other nodes keep the origin of a run.
    fn publish_origin(&self, key: RunKey, origin: RunOrigin);
    /// Asks other nodes for the origin of a run.
    fn find_origin(&self, key: RunKey) -> impl Future<Output = Option<RunOrigin>> + Send;
    /// Has the platform's store keep the origin to which a run is sent, before its
    /// first event.
    fn record_sent_to(&self, key: RunKey, origin: &RunOrigin);
    /// Withdraws that record, because a peer sends the run to its origin, and records it.
    fn withdraw_origin(&self, key: RunKey);
    /// Waits until the store can't name an origin of the run to which it was sent
    /// before, however long that takes.
    fn wait_for_origin_correction(&self, key: RunKey) -> impl Future<Output = ()> + Send;
    /// Looks in the platform's store for the origin of a run of the service that no
    /// node knows, and has other nodes look there if this node can't.
    fn find_stored_origin(
        &self,
        key: RunKey,
        service: &str,
    ) -> impl Future<Output = OriginSearch> + Send;
    /// Completes shortly before this node closes the streams that still run.
    fn shutdown_imminent(&self) -> impl Future<Output = ()> + Send;
    /// Whether new streams are refused, because this node shuts down before they
    /// could end.
    fn refuses_streams(&self) -> bool;
    /// Time by which calls must be answered, if this node shuts down.
    fn answer_deadline(&self) -> Option<Instant>;
}

/// Forwards calls according to the configuration in force.
pub(crate) struct Forwarder<N> {
    /// The configuration in force, if there is one.
    pub(crate) route_table: ArcSwapOption<RouteTable>,
    /// Calls that wait for the first configuration and upstreams.
    pub(crate) startup_wait: StartupWait,
    pub(crate) directory: Directory,
    /// Which services' upstreams this node can't reach.
    pub(crate) reach: ReachMonitor,
    /// The callers of this node that left before they were answered.
    pub(crate) departures: CallerDepartures,
    /// The shares that this node has of the services' retry budgets.
    pub(crate) budgets: RetryBudgets,
    /// Streams that were taken up and wait to have their prompts read again.
    pub(crate) rereads: RereadQueue,
    /// When plain calls are hedged.
    pub(crate) hedges: Hedges,
    /// Requests suspected of crashing their upstreams.
    pub(crate) request_crashes: RequestCrashes,
    /// Engines at which the prompts of recent streams are cached.
    pub(crate) sessions: Sessions,
    /// Rollouts of new software versions of the services.
    pub(crate) rollouts: Rollouts,
    /// The streams that have lost their upstreams and have not chosen others yet.
    pub(crate) resumes: ResumeQueue,
    /// Where recent runs began.
    pub(crate) run_origins: RunOrigins,
    /// Publishes to other nodes what this node observes.
    pub(crate) observations: Observations,
    /// Bytes that this process may hold for calls.
    pub(crate) memory: Arc<MemoryBudget>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) data_centre: DataCentreId,
    /// State of the node and of the cluster.
    pub(crate) node: N,
    /// Cloned into each call, so that its reference count shows how many calls
    /// are in flight.
    pub(crate) in_flight: Arc<()>,
}

/// Route and customer of an admitted call, and the configuration in which they
/// were found.
struct Admission {
    table: Arc<RouteTable>,
    matched: MatchedRoute,
}

/// When a call arrived, and whether another node relayed it.
struct Arrival {
    arrived_at: Instant,
    relayed: Option<RelayHeaders>,
}

impl<N: NodeContext> Forwarder<N> {
    /// Version of the configuration in force, or zero if there is none.
    pub(crate) fn config_version(&self) -> Version {
        self.route_table.load().as_ref().map_or(0, |t| t.version)
    }

    /// The services of the configuration in force that have upstreams. An entry of another
    /// service names no upstream to use.
    pub(crate) fn known_services(&self) -> BTreeSet<ServiceId> {
        let mut services = self.directory.services();
        services.retain(|service| self.is_configured(service));
        services
    }

    /// Whether the configuration in force names the service.
    pub(crate) fn is_configured(&self, service: &str) -> bool {
        let table = self.route_table.load();
        table.as_ref().is_some_and(|t| t.names_service(service))
    }

    /// Answers one call of a caller.
    pub(crate) async fn forward(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        self.forward_from(request, None).await
    }

    /// Answers one call that another node relays.
    pub(crate) async fn forward_relayed(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> HttpResponse {
        let relayed = RelayHeaders::read(request.headers());
        self.forward_from(request, Some(relayed)).await
    }

    async fn forward_from(
        self: Arc<Self>,
        request: Request<Incoming>,
        relayed: Option<RelayHeaders>,
    ) -> HttpResponse {
        let arrived_at = Instant::now();
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let headers = call::read(request.headers());
        self.wait_at_startup(&headers, arrived_at, || self.config_version() > 0)
            .await;
        let mut response = match self.admit(&request, headers.api_key.as_deref()) {
            Err(error) => self.reject(&headers, &error),
            Ok(admission) => {
                let arrival = Arrival {
                    arrived_at,
                    relayed,
                };
                self.accept(request, headers, admission, arrival).await
            }
        };
        // A request with both `Transfer-Encoding` and `Content-Length` may be
        // request smuggling. `Content-Length` has been removed before this point,
        // so such a request can't be told apart, and the connection is closed
        // after every chunked request.
        if is_chunked || self.node.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Waits for a limited time if this node has just started and can't serve the call yet, as
    /// `is_servable` tells. A call that takes up a stream does not wait: the pause has made it
    /// late, and its prompt would be read again before those of callers who can be on time.
    async fn wait_at_startup(
        &self,
        headers: &CallHeaders,
        arrived_at: Instant,
        is_servable: impl Fn() -> bool,
    ) {
        let call = EarlyCall {
            arrived_at,
            caller_time: headers.max_wait.unwrap_or(CALLER_TIME_DEFAULT),
        };
        let takes_up_stream = headers.last_event.is_some();
        if takes_up_stream
            || self.node.is_draining()
            || !self.startup_wait.wait(call, &is_servable).await
        {
            return;
        }
        self.metrics.add(Counter::CallsHeldAtStartup, 1);
        log::info!(
            "event=call_held_at_startup call={} config={} servable={} waited_ms={}",
            headers.id(),
            self.config_version(),
            is_servable(),
            arrived_at.elapsed().as_millis()
        );
    }

    /// Whether this node, which has just started, knows the upstreams of the service. Those
    /// whose entries expired with the store return one after the other.
    fn are_upstreams_known(&self, service: &str, is_stream: bool) -> bool {
        if !self.startup_wait.has_store_failed() {
            return self.directory.is_listed();
        }
        let last_joined_at = self.directory.last_joined_at();
        self.directory.has_upstreams_of(service)
            && (!is_stream || have_upstreams_returned(last_joined_at, Instant::now()))
    }

    fn admit(
        &self,
        request: &Request<Incoming>,
        api_key: Option<&[u8]>,
    ) -> Result<Admission, Error> {
        let not_ready = || Error::new(ErrorKind::NotReady, "this node has no configuration yet");
        let table = self.route_table.load_full().ok_or_else(not_ready)?;
        let host = http::header(request, HOST.as_str()).unwrap_or_default();
        let matched = table.admit(host, request.uri().path(), api_key);
        let denied = match matched {
            Ok(matched) => return Ok(Admission { table, matched }),
            Err(denied) => denied,
        };
        if !self.node.is_config_fresh(table.version) {
            let text = "no route or customer matches, but the configuration may be outdated";
            return Err(Error::new(ErrorKind::NotReady, text));
        }
        let error = match denied {
            AdmissionError::NoRoute => Error::new(ErrorKind::NotFound, "no matching route"),
            AdmissionError::UnknownKey => Error::new(ErrorKind::Unauthorized, "unknown API key"),
        };
        Err(error)
    }

    async fn accept(
        self: &Arc<Self>,
        request: Request<Incoming>,
        headers: CallHeaders,
        admission: Admission,
        arrival: Arrival,
    ) -> HttpResponse {
        let Admission { table, matched } = admission;
        let arrived_at = arrival.arrived_at;
        let (parts, body) = request.into_parts();
        let body = match self.read_body(&parts, body, table.limits.body_bytes).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let Some(service) = matched.route.service(rand::rng().random()).cloned() else {
            return http::error_response(&Error::new(
                ErrorKind::NoUpstream,
                "the route has no service",
            ));
        };
        let kind = matched.route.kind;
        self.wait_at_startup(&headers, arrived_at, || {
            self.are_upstreams_known(&service, kind.is_stream())
        })
        .await;
        let mut call = Call::new(parts, headers, body, matched, service, arrived_at);
        call.in_flight = Some(self.in_flight.clone());
        call.priority_class = table.priority_class(&call.matched, &call.service);
        self.metrics.add(Counter::Calls, 1);
        if let Some(relayed) = arrival.relayed {
            call.set_relayed(relayed);
        }
        if !self.has_time_before_shutdown(&mut call) {
            return self.give_up(
                &call,
                GiveUpReason::NoUpstream,
                Progress::NotRun,
                "this node is shutting down",
            );
        }
        if let Some(response) = self.relay_on_arrival(&call).await {
            return response;
        }
        if self.reach.is_unreachable(&call.service) {
            let cause = "neither this node nor a peer reaches an upstream of the service";
            return self.give_up(&call, GiveUpReason::NoUpstream, Progress::NotRun, cause);
        }
        if call.relayed.is_none_or(|relayed| !relayed.is_counted) {
            self.budgets.record_call(&call.service, arrived_at);
        }
        match self.permission(&call) {
            Permission::Allowed => {}
            Permission::Trial => call.is_trial = true,
            Permission::Refused(reason, wait) => return self.refuse(&call, reason, wait),
        }
        if kind.is_stream() {
            self.forward_stream(call).await
        } else {
            self.forward_plain(call).await
        }
    }

    /// Whether the call can be served before this node shuts down, by what calls of its
    /// service have taken. Moves the deadline of a plain call so that it is answered before
    /// its connection is closed.
    fn has_time_before_shutdown(&self, call: &mut Call) -> bool {
        if call.matched.route.kind.is_stream() {
            return !self.node.refuses_streams();
        }
        let Some(answered_by) = self.node.answer_deadline() else {
            return true;
        };
        if call.deadline <= answered_by {
            return true;
        }
        let time_left = answered_by.saturating_duration_since(Instant::now());
        if time_left < self.expected_call_time(&call.service) {
            return false;
        }
        call.deadline = answered_by;
        true
    }

    /// Time that a plain call of the service takes, by the slowest of its upstreams.
    fn expected_call_time(&self, service: &str) -> Duration {
        let upstreams = self.directory.serving(service).into_iter();
        let latency = upstreams.map(|upstream| upstream.latency()).max();
        let expected = latency.unwrap_or_default().mul_f64(CALL_TIME_FACTOR);
        expected.max(CALL_TIME_MIN)
    }

    /// Waits until a call must be answered: until its deadline, or shortly before
    /// this node closes its connection. The stop signal may come while the call waits.
    pub(crate) async fn wait_until_answer_due(&self, call_deadline: Instant) {
        let before_shutdown = async {
            self.node.shutdown_imminent().await;
            match self.node.answer_deadline() {
                Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = tokio::time::sleep_until(call_deadline.into()) => {}
            () = before_shutdown => {}
        }
    }

    /// Chooses among the upstreams of a service, and only among those that
    /// `origin` admits if the run has one, and that a rollout of the service admits for
    /// the call's draw. `choose` gets the candidates and a random number, and returns the
    /// index of one candidate.
    pub(crate) fn choose_upstream(
        &self,
        service: &str,
        tried: &[Arc<Upstream>],
        origin: Option<&RunOrigin>,
        call_draw: f64,
        choose: impl Fn(&[Candidate<'_>], u64) -> Option<usize>,
    ) -> Option<Arc<Upstream>> {
        let upstreams = self.directory.serving(service);
        let is_retry = !tried.is_empty();
        let admission = self.rollout_admission(service, &upstreams, is_retry, origin, call_draw);
        let choose_by = |admission: &VersionAdmission| {
            self.choose_admitted(&upstreams, tried, origin, admission, &choose)
        };
        choose_by(&admission).or_else(|| admission.otherwise().and_then(|other| choose_by(&other)))
    }

    fn choose_admitted(
        &self,
        upstreams: &[Arc<Upstream>],
        tried: &[Arc<Upstream>],
        origin: Option<&RunOrigin>,
        admission: &VersionAdmission,
        choose: impl Fn(&[Candidate<'_>], u64) -> Option<usize>,
    ) -> Option<Arc<Upstream>> {
        let (node_index, node_count) = self.node.position();
        let now = Instant::now();
        let mut has_first = false;
        let mut is_admitted = |upstream: &Upstream| {
            let version = upstream.software_version();
            let is_admitted = admission.admits(version, !has_first);
            has_first |= is_admitted;
            is_admitted && origin.is_none_or(|o| o.admits(upstream))
        };
        let admitted: Vec<(usize, &Arc<Upstream>)> = upstreams
            .iter()
            .enumerate()
            .filter(|(_, upstream)| is_admitted(upstream))
            .collect();
        for (_, upstream) in &admitted {
            upstream.avoid_if_overdue(now);
        }
        let suspected = self.directory.suspected_outages(now);
        let candidates: Vec<Candidate<'_>> = admitted
            .iter()
            .map(|(index, upstream)| Candidate {
                id: &upstream.entry.id,
                data_centre: &upstream.entry.data_centre,
                pending_prompt_tokens: upstream.pending_prompt_tokens(),
                kv_cache_tokens: upstream.kv_cache_tokens(),
                call_count: upstream.call_count(),
                latency: upstream.latency(),
                failure_share: upstream.failure_share(),
                is_avoided: is_avoided(upstream, &suspected, now),
                was_tried: tried.iter().any(|t| t.entry.id == upstream.entry.id),
                is_assigned: is_assigned(*index, upstreams.len(), node_index, node_count),
                speed: upstream.speed(now),
            })
            .collect();
        let index = choose(&candidates, rand::rng().random())?;
        admitted
            .get(index)
            .map(|(_, upstream)| Arc::clone(upstream))
    }

    /// Chooses among the upstreams of a service like [`Self::choose_upstream`], and
    /// gets a permit to send to the chosen one. If none of those that are left has
    /// room, returns when the call or its caller may try again.
    pub(crate) async fn choose_permitted(
        &self,
        tried: &[Arc<Upstream>],
        otherwise: WithoutPermit,
        choose: impl Fn(&[Arc<Upstream>]) -> Option<Arc<Upstream>>,
    ) -> Result<Arc<Upstream>, Option<PermitWait>> {
        let mut excluded = tried.to_vec();
        let mut waits: Vec<PermitWait> = Vec::new();
        while let Some(upstream) = choose(&excluded) {
            match self.acquire_permit(&upstream, otherwise).await {
                Ok(()) => return Ok(upstream),
                Err(wait) => {
                    waits.push(wait);
                    excluded.push(upstream);
                }
            }
        }
        Err(waits.into_iter().min_by_key(|wait| wait.of_caller()))
    }

    /// Spends one retry for a service from this node's share of the budget, for
    /// itself or for another node. Returns whether one was left.
    pub(crate) fn spend_retry(&self, service: &ServiceId) -> bool {
        let node_count = self.node.peak_node_count();
        self.budgets.try_spend(service, node_count, Instant::now())
    }

    /// Spends one retry for a call that this node forwards, from its own share
    /// of the budget. Returns whether one was left.
    pub(crate) fn spend_own_retry(&self, call: &Call) -> bool {
        let is_spent = self.spend_retry(&call.service);
        if !is_spent {
            self.metrics.add(Counter::RetriesOverBudget, 1);
        }
        is_spent
    }

    /// Spends one retry for a call from this node's share of the budget, or from
    /// another node's share if its own is used up. Returns whether one was left.
    pub(crate) async fn spend_or_borrow_retry(&self, call: &Call) -> bool {
        if self.spend_own_retry(call) {
            return true;
        }
        let is_borrowed = self.node.borrow_retry(&call.service).await;
        log::info!(
            "event=retry_over_budget call={} service={} borrowed={is_borrowed}",
            call.id(),
            call.service
        );
        is_borrowed
    }
}

/// Whether calls go to other upstreams first, given the data centres of which an outage is
/// suspected.
pub(crate) fn is_avoided(
    upstream: &Upstream,
    suspected_outages: &BTreeSet<DataCentreId>,
    now: Instant,
) -> bool {
    upstream.avoided_until(now).is_some()
        || upstream.has_overdue_probe(now)
        || suspected_outages.contains(&upstream.entry.data_centre)
}
