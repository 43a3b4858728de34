//! The runners and service instances that this node knows, with their state.
//!
//! Runners' reports arrive with a delay, so a node combines them with what it
//! observes itself: its own streams, response headers and broken connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::fleet::retry_budget::RetryBudget;
use crate::fleet::runner::{LoadHeaders, ModelVersion, RunnerReport};
use crate::hash::{Fnv, rendezvous_order};
use crate::id::{DataCentreId, Incarnation, RunnerId, ServiceId};
use crate::store::object_api::{Vm, VmRole, VmState};

/// Time for which a runner gets no requests after it could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);
/// Ratio of a runner's load per slot to the mean from which on the runner's
/// prompts go to the next runner in the rendezvous order.
const LOAD_BOUND: f64 = 1.25;

/// A runner that can serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) runner: RunnerId,
    pub(crate) address: SocketAddr,
    /// Last known incarnation; zero if none is known.
    pub(crate) incarnation: Incarnation,
    /// Whether the runner reported its state to this node within
    /// [`RouteQuery::report_max_age`]. If not, the node has to ask whether the
    /// runner is leaving before it opens a stream.
    pub(crate) has_recent_report: bool,
}

/// Criteria by which the runner for a request is chosen.
#[derive(Clone, Debug)]
pub(crate) struct RouteQuery<'a> {
    pub(crate) model: &'a str,
    /// Acceptable versions of the model, the preferred one first.
    pub(crate) versions: Vec<&'a str>,
    /// Hash of the prompt's prefix; all nodes derive the same order of runners
    /// from it.
    pub(crate) prefix_hash: u64,
    /// Runners to exclude, because the request already failed there.
    pub(crate) avoid: &'a BTreeSet<RunnerId>,
    /// Whether the request is suspected of crashing runners. A suspect goes to
    /// the runner with the fewest other suspects.
    pub(crate) is_suspect: bool,
    /// Time for which a report that a runner is not leaving stays valid.
    pub(crate) report_max_age: Duration,
}

/// Last known state of one runner.
#[derive(Clone, Debug)]
struct RunnerState {
    address: SocketAddr,
    data_centre: DataCentreId,
    checks_fence: bool,
    /// Whether the platform lists the VM as leaving.
    vm_leaving: bool,
    incarnation: Incarnation,
    /// Whether the runner itself reported that it is leaving.
    leaving: bool,
    unreachable_until: Option<Instant>,
    slot_count: u32,
    /// Number of streams that all nodes together have at the runner, by its last
    /// report or response headers. Headers count running streams only, a report
    /// also those that are queued.
    reported_count: u32,
    /// Number of streams that this node has at the runner now.
    own_count: u32,
    /// Number of streams that this node had at the runner when the last report or
    /// response headers arrived.
    own_count_at_report: u32,
    /// Number of streams that this node has at the runner and whose requests are
    /// suspects, that is, were in flight when a runner crashed.
    suspect_count: u32,
    ready: Vec<ModelVersion>,
    last_report_at: Option<Instant>,
    last_token: Arc<TokenClock>,
    retry_budget: RetryBudget,
}

/// State of a runner for operators and for the node that gives orders.
#[derive(Clone, Debug)]
pub(crate) struct RunnerView {
    pub(crate) runner: RunnerId,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: DataCentreId,
    /// Whether the runner refuses orders with an outdated fence.
    pub(crate) checks_fence: bool,
    /// Whether the runner is leaving, as reported by itself or by the platform.
    pub(crate) leaving: bool,
    /// Whether a report of the runner has ever reached this node, directly or
    /// through a peer.
    pub(crate) has_reported: bool,
    /// Models that the runner reported as ready.
    pub(crate) ready: Vec<ModelVersion>,
}

/// All runners and service instances that one node knows.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    runners: Mutex<BTreeMap<RunnerId, RunnerState>>,
    services: Mutex<BTreeMap<ServiceId, Vec<Instance>>>,
    slots_changed: Notify,
}

/// One instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Instance {
    pub(crate) address: SocketAddr,
    /// Whether the instance's VM is leaving.
    pub(crate) leaving: bool,
}

/// Guard that counts one stream which this node has at a runner, until the guard
/// is dropped.
#[derive(Debug)]
pub(crate) struct InFlightStream {
    fleet: Arc<Fleet>,
    runner: RunnerId,
    is_suspect: bool,
    last_token: Arc<TokenClock>,
}

/// Time of the last token of all streams that this node has at one runner. An
/// atomic is used instead of a lock, because every token of every stream updates
/// the time.
#[derive(Debug)]
struct TokenClock {
    origin: Instant,
    /// Milliseconds from `origin` to the last token.
    last_ms: AtomicU64,
}

impl Default for TokenClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            last_ms: AtomicU64::new(0),
        }
    }
}

impl InFlightStream {
    /// Records that the runner sent a token.
    pub(crate) fn record_token(&self, now: Instant) {
        let since_origin = now.saturating_duration_since(self.last_token.origin);
        let now_ms = since_origin.as_millis() as u64;
        self.last_token.last_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Time since the last token of all streams that this node has at the runner.
    pub(crate) fn runner_silence(&self, now: Instant) -> Duration {
        let last_ms = self.last_token.last_ms.load(Ordering::Relaxed);
        let last = self.last_token.origin + Duration::from_millis(last_ms);
        now.saturating_duration_since(last)
    }
}

impl Fleet {
    /// Replaces the list of VMs by the platform's current one. A runner that is
    /// no longer listed is kept while this node has streams at the runner.
    pub(crate) fn replace_vms(&self, vms: &[Vm]) {
        let mut runners = self.runners();
        let listed: BTreeSet<&str> = vms.iter().map(|vm| vm.vm.as_str()).collect();
        runners.retain(|name, state| listed.contains(name.as_str()) || state.own_count > 0);
        let mut services: BTreeMap<ServiceId, Vec<Instance>> = BTreeMap::new();
        for vm in vms {
            let leaving = vm.state == VmState::Leaving;
            match &vm.role {
                VmRole::Runner { checks_fence } => {
                    let state = runners
                        .entry(vm.vm.clone())
                        .or_insert_with(|| RunnerState::new(vm, *checks_fence));
                    state.address = vm.address;
                    state.vm_leaving = leaving;
                }
                VmRole::Service { service } => {
                    let instance = Instance {
                        address: vm.address,
                        leaving,
                    };
                    services.entry(service.clone()).or_default().push(instance);
                }
            }
        }
        *self.services.lock().unwrap_or_else(PoisonError::into_inner) = services;
    }

    /// Waits until the slots or the ready models of some runner change.
    pub(crate) async fn wait_for_slot_change(&self) {
        self.slots_changed.notified().await;
    }

    /// Instances of a service, in the order of the platform's list.
    pub(crate) fn instances(&self, service: &str) -> Vec<Instance> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.get(service).cloned().unwrap_or_default()
    }

    /// Runners that can serve a query, the best first, each with the version of
    /// the model that it would serve. That is, for all of them, the first version
    /// of the query that any runner can serve.
    pub(crate) fn candidates(
        &self,
        query: &RouteQuery<'_>,
        now: Instant,
    ) -> Vec<(Candidate, String)> {
        for version in &query.versions {
            let found = self.candidates_for_version(query, version, now);
            if !found.is_empty() {
                let with_version = found.into_iter().map(|c| (c, (*version).to_owned()));
                return with_version.collect();
            }
        }
        Vec::new()
    }

    fn candidates_for_version(
        &self,
        query: &RouteQuery<'_>,
        version: &str,
        now: Instant,
    ) -> Vec<Candidate> {
        let runners = self.runners();
        let usable: BTreeMap<&str, &RunnerState> = runners
            .iter()
            .filter(|(name, state)| {
                state.can_serve(query.model, version, now) && !query.avoid.contains(*name)
            })
            .map(|(name, state)| (name.as_str(), state))
            .collect();
        let order = rendezvous_order(query.prefix_hash, usable.keys().copied());
        let sorted = if query.is_suspect {
            by_suspect_count(order, &usable)
        } else {
            within_load_bound(order, &usable)
        };
        sorted
            .into_iter()
            .map(|name| usable[name].candidate(name, query.report_max_age, now))
            .collect()
    }

    /// Total number of slots of the runners that can serve any of the versions
    /// of a model now.
    pub(crate) fn slot_count(&self, model: &str, versions: &[&str]) -> u32 {
        let now = Instant::now();
        let runners = self.runners();
        let serving = runners.values().filter(|state| {
            let serves = |version: &&str| state.can_serve(model, version, now);
            versions.iter().any(serves)
        });
        serving.map(|state| state.slot_count).sum()
    }

    /// Counts a new stream that this node opens at `runner`.
    pub(crate) fn track_stream(self: &Arc<Self>, runner: &str, is_suspect: bool) -> InFlightStream {
        let mut last_token = Arc::default();
        if let Some(state) = self.runners().get_mut(runner) {
            state.own_count += 1;
            state.suspect_count += u32::from(is_suspect);
            last_token = state.last_token.clone();
        }
        InFlightStream {
            fleet: self.clone(),
            runner: runner.to_owned(),
            is_suspect,
            last_token,
        }
    }

    /// Updates the state of `runner` from the load headers of a response.
    pub(crate) fn apply_load_headers(&self, runner: &str, load: LoadHeaders) {
        if let Some(state) = self.runners().get_mut(runner) {
            state.mark_reachable(load.incarnation, load.leaving);
            state.reported_count = load.running_count;
            state.own_count_at_report = state.own_count;
            state.slot_count = load.slot_count;
        }
    }

    /// Updates the state of `runner` from a report that the runner sent to this
    /// node.
    pub(crate) fn apply_report(&self, runner: &str, report: &RunnerReport) {
        if let Some(state) = self.runners().get_mut(runner) {
            state.mark_reachable(report.incarnation, report.leaving);
            state.reported_count = report.running_count + report.queued_count;
            state.own_count_at_report = state.own_count;
            if state.update_slots(report) {
                self.slots_changed.notify_one();
            }
        }
    }

    /// Updates the state of `runner` from a report that a peer announced. Such a
    /// report can show that the runner is leaving, but is too old to show that
    /// it is not, so `last_report_at` stays.
    pub(crate) fn apply_announced_report(&self, runner: &str, report: &RunnerReport) {
        if let Some(state) = self.runners().get_mut(runner) {
            state.leaving = report.leaving;
            state.incarnation = report.incarnation;
            if state.update_slots(report) {
                self.slots_changed.notify_one();
            }
        }
    }

    /// Records that `runner` could not be reached.
    pub(crate) fn mark_unreachable(&self, runner: &str, now: Instant) {
        if let Some(state) = self.runners().get_mut(runner) {
            state.unreachable_until = Some(now + UNREACHABLE_BACKOFF);
            state.last_report_at = None;
        }
    }

    /// Records a successful request, which adds to the runner's retry budget.
    pub(crate) fn record_success(&self, runner: &str) {
        if let Some(state) = self.runners().get_mut(runner) {
            state.retry_budget.record_success();
        }
    }

    /// Spends one retry of the budget of `runner`; false if none is available,
    /// true if `runner` is no longer listed.
    pub(crate) fn try_spend_retry(&self, runner: &str) -> bool {
        let mut runners = self.runners();
        let state = runners.get_mut(runner);
        state.is_none_or(|state| state.retry_budget.try_spend())
    }

    pub(crate) fn views(&self) -> Vec<RunnerView> {
        let runners = self.runners();
        let states = runners.iter();
        states
            .map(|(name, state)| RunnerView {
                runner: name.clone(),
                address: state.address,
                data_centre: state.data_centre.clone(),
                checks_fence: state.checks_fence,
                leaving: state.is_leaving(),
                has_reported: state.incarnation != 0,
                ready: state.ready.clone(),
            })
            .collect()
    }

    /// Address and last known incarnation of `runner`.
    pub(crate) fn locate(&self, runner: &str) -> Option<(SocketAddr, Incarnation)> {
        let runners = self.runners();
        let state = runners.get(runner)?;
        Some((state.address, state.incarnation))
    }

    fn runners(&self) -> MutexGuard<'_, BTreeMap<RunnerId, RunnerState>> {
        self.runners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunnerState {
    fn new(vm: &Vm, checks_fence: bool) -> Self {
        Self {
            address: vm.address,
            data_centre: vm.data_centre.clone(),
            checks_fence,
            vm_leaving: false,
            incarnation: 0,
            leaving: false,
            unreachable_until: None,
            slot_count: 0,
            reported_count: 0,
            own_count: 0,
            own_count_at_report: 0,
            suspect_count: 0,
            ready: Vec::new(),
            last_report_at: None,
            last_token: Arc::default(),
            retry_budget: RetryBudget::default(),
        }
    }

    fn mark_reachable(&mut self, incarnation: Incarnation, leaving: bool) {
        self.incarnation = incarnation;
        self.leaving = leaving;
        self.unreachable_until = None;
        self.last_report_at = Some(Instant::now());
    }

    /// Updates the slots and the ready models; true if they changed.
    fn update_slots(&mut self, report: &RunnerReport) -> bool {
        let changed = self.slot_count != report.slot_count || self.ready != report.ready;
        self.slot_count = report.slot_count;
        self.ready.clone_from(&report.ready);
        changed
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.vm_leaving
    }

    fn can_serve(&self, model: &str, version: &str, now: Instant) -> bool {
        let is_unreachable = self.unreachable_until.is_some_and(|until| until > now);
        let is_match = |ready: &ModelVersion| ready.model == model && ready.version == version;
        !self.is_leaving() && !is_unreachable && self.ready.iter().any(is_match)
    }

    /// Estimated number of streams at the runner: those that other nodes had by
    /// the last report, and those that this node has now.
    fn load_count(&self) -> u32 {
        let others = self.reported_count.saturating_sub(self.own_count_at_report);
        others + self.own_count
    }

    fn candidate(&self, name: &str, report_max_age: Duration, now: Instant) -> Candidate {
        let is_recent = |at: Instant| now.duration_since(at) < report_max_age;
        Candidate {
            runner: name.to_owned(),
            address: self.address,
            incarnation: self.incarnation,
            has_recent_report: self.last_report_at.is_some_and(is_recent),
        }
    }
}

impl Drop for InFlightStream {
    fn drop(&mut self) {
        if let Some(state) = self.fleet.runners().get_mut(&self.runner) {
            state.own_count = state.own_count.saturating_sub(1);
            let suspects = u32::from(self.is_suspect);
            state.suspect_count = state.suspect_count.saturating_sub(suspects);
        }
    }
}

/// Keeps the rendezvous order, but moves runners whose load per slot reaches
/// `LOAD_BOUND` times the mean to the end, the least loaded of them first.
fn within_load_bound<'a>(
    order: Vec<&'a str>,
    states: &BTreeMap<&str, &RunnerState>,
) -> Vec<&'a str> {
    let load: u32 = states.values().map(|state| state.load_count()).sum();
    let slots: u32 = states.values().map(|state| state.slot_count).sum();
    let mean = f64::from(load + 1) / f64::from(slots.max(1));
    let is_full = |name: &str| {
        let state = states[name];
        let bound = (mean * LOAD_BOUND * f64::from(state.slot_count)).ceil();
        f64::from(state.load_count()) >= bound.max(1.0)
    };
    let (mut sorted, mut full): (Vec<&str>, Vec<&str>) =
        order.into_iter().partition(|name| !is_full(name));
    full.sort_by_key(|name| states[name].load_count());
    sorted.append(&mut full);
    sorted
}

/// Sorts runners by the number of suspects that this node has in flight at
/// each, the fewest first, so that a crash points at few of them.
fn by_suspect_count<'a>(
    order: Vec<&'a str>,
    states: &BTreeMap<&str, &RunnerState>,
) -> Vec<&'a str> {
    let mut sorted = order;
    sorted.sort_by_key(|name| states[name].suspect_count);
    sorted
}

/// Number of bytes of a prompt that determine its preferred runner.
const PREFIX_MAX_BYTES: usize = 256;

/// Hash of a model and the first bytes of a prompt. Prompts with the same
/// prefix prefer the same runner, which may have the prefix in its KV cache.
pub(crate) fn prefix_hash(model: &str, prompt: &[u8]) -> u64 {
    let prefix = &prompt[..prompt.len().min(PREFIX_MAX_BYTES)];
    Fnv::new().text(model).bytes(prefix).finish()
}
