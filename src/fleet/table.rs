//! The runners and service instances, as this node knows them.
//!
//! What runners say arrives late, so a node adds what it knows at once: its
//! own streams, refusals and broken connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::fleet::retry_budget::RetryBudget;
use crate::fleet::runner::{LoadHint, ModelVersion, RunnerReport};
use crate::hash::{Fnv, rendezvous_order};
use crate::id::{DataCentreId, Incarnation, RunnerId, ServiceId};
use crate::store::object_api::{Vm, VmRole, VmState};

/// How long a runner that could not be reached is left alone.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// A runner may hold this much more than the mean load before its prompts
/// spill to the next in order.
const LOAD_BOUND: f64 = 1.25;

/// One runner, as it is offered to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Name.
    pub(crate) runner: RunnerId,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The life that was last seen; zero when none was.
    pub(crate) incarnation: Incarnation,
    /// Whether it said lately enough that it stays.
    pub(crate) confirmed: bool,
}

/// What a request wants of a runner.
#[derive(Clone, Debug)]
pub(crate) struct RouteQuery<'a> {
    /// Model.
    pub(crate) model: &'a str,
    /// Its versions that may serve, the wanted one first.
    pub(crate) versions: Vec<&'a str>,
    /// Hash of the prompt's beginning, on which nodes agree.
    pub(crate) prefix_hash: u64,
    /// Runners that already failed the request.
    pub(crate) avoid: &'a BTreeSet<RunnerId>,
    /// Whether to keep apart from other suspects.
    pub(crate) is_suspect: bool,
    /// How old a runner's word that it stays may be.
    pub(crate) confirmed_within: Duration,
}

/// What one runner was last known to be.
#[derive(Clone, Debug)]
struct Row {
    address: SocketAddr,
    data_centre: DataCentreId,
    checks_fence: bool,
    vm_leaving: bool,
    incarnation: Incarnation,
    leaving: bool,
    down_until: Option<Instant>,
    slot_count: u32,
    reported_count: u32,
    own_count: u32,
    own_at_report: u32,
    suspect_count: u32,
    ready: Vec<ModelVersion>,
    confirmed_at: Option<Instant>,
    last_token: Arc<TokenClock>,
    retries: RetryBudget,
}

/// A runner as operators and the order holder see it.
#[derive(Clone, Debug)]
pub(crate) struct RunnerView {
    /// Name.
    pub(crate) runner: RunnerId,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Data centre it stands in.
    pub(crate) data_centre: DataCentreId,
    /// Whether it refuses orders with an old fence.
    pub(crate) checks_fence: bool,
    /// Whether it is about to go, by its own word or the platform's.
    pub(crate) leaving: bool,
    /// Whether it has ever reported, to this node or to a peer.
    pub(crate) known: bool,
    /// Models it reported ready.
    pub(crate) ready: Vec<ModelVersion>,
}

/// All upstreams that one node knows.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    runners: Mutex<BTreeMap<RunnerId, Row>>,
    services: Mutex<BTreeMap<ServiceId, Vec<Instance>>>,
    slots_changed: Notify,
}

/// One instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Instance {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Whether it is about to go.
    pub(crate) leaving: bool,
}

/// Counts one of this node's streams at a runner until dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    fleet: Arc<Fleet>,
    runner: RunnerId,
    is_suspect: bool,
    last_token: Arc<TokenClock>,
}

/// When any stream of one runner last had a token, shared without a lock
/// because every token of every stream writes it.
#[derive(Debug)]
struct TokenClock {
    origin: Instant,
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

impl InFlight {
    /// Notes that a token came from the runner.
    pub(crate) fn token_came(&self, now: Instant) {
        let since_origin = now.saturating_duration_since(self.last_token.origin);
        let now_ms = since_origin.as_millis() as u64;
        self.last_token.last_ms.store(now_ms, Ordering::Relaxed);
    }

    /// How long all of this node's streams at the runner have been silent.
    pub(crate) fn runner_silence(&self, now: Instant) -> Duration {
        let last_ms = self.last_token.last_ms.load(Ordering::Relaxed);
        let last = self.last_token.origin + Duration::from_millis(last_ms);
        now.saturating_duration_since(last)
    }
}

impl Fleet {
    /// Takes over the platform's list of VMs.
    pub(crate) fn replace_vms(&self, vms: &[Vm]) {
        let mut runners = self.runners();
        let listed: BTreeSet<&str> = vms.iter().map(|vm| vm.vm.as_str()).collect();
        runners.retain(|name, row| listed.contains(name.as_str()) || row.own_count > 0);
        let mut services: BTreeMap<ServiceId, Vec<Instance>> = BTreeMap::new();
        for vm in vms {
            let leaving = vm.state == VmState::Leaving;
            match &vm.role {
                VmRole::Runner { checks_fence } => {
                    let row = runners
                        .entry(vm.vm.clone())
                        .or_insert_with(|| Row::new(vm, *checks_fence));
                    row.address = vm.address;
                    row.vm_leaving = leaving;
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

    /// Waits until some runner has other slots or models than before.
    pub(crate) async fn slots_changed(&self) {
        self.slots_changed.notified().await;
    }

    /// Instances of a service, those that stay first.
    pub(crate) fn instances(&self, service: &str) -> Vec<Instance> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.get(service).cloned().unwrap_or_default()
    }

    /// Orders the runners that can serve a query, the best first.
    pub(crate) fn candidates(
        &self,
        query: &RouteQuery<'_>,
        now: Instant,
    ) -> Vec<(Candidate, String)> {
        for version in &query.versions {
            let found = self.candidates_at(query, version, now);
            if !found.is_empty() {
                let with_version = found.into_iter().map(|c| (c, (*version).to_owned()));
                return with_version.collect();
            }
        }
        Vec::new()
    }

    fn candidates_at(&self, query: &RouteQuery<'_>, version: &str, now: Instant) -> Vec<Candidate> {
        let runners = self.runners();
        let usable: BTreeMap<&str, &Row> = runners
            .iter()
            .filter(|(name, row)| {
                row.can_serve(query.model, version, now) && !query.avoid.contains(*name)
            })
            .map(|(name, row)| (name.as_str(), row))
            .collect();
        let order = rendezvous_order(query.prefix_hash, usable.keys().copied());
        let sorted = if query.is_suspect {
            apart_from_suspects(order, &usable)
        } else {
            within_load_bound(order, &usable)
        };
        sorted
            .into_iter()
            .map(|name| usable[name].candidate(name, query.confirmed_within, now))
            .collect()
    }

    /// Whether any runner is known at all for a model.
    pub(crate) fn slot_count(&self, model: &str, versions: &[&str]) -> u32 {
        let now = Instant::now();
        let runners = self.runners();
        let serving = runners.values().filter(|row| {
            let serves = |version: &&str| row.can_serve(model, version, now);
            versions.iter().any(serves)
        });
        serving.map(|row| row.slot_count).sum()
    }

    /// Counts a stream of this node at a runner.
    pub(crate) fn begin(self: &Arc<Self>, runner: &str, is_suspect: bool) -> InFlight {
        let mut last_token = Arc::default();
        if let Some(row) = self.runners().get_mut(runner) {
            row.own_count += 1;
            row.suspect_count += u32::from(is_suspect);
            last_token = row.last_token.clone();
        }
        InFlight {
            fleet: self.clone(),
            runner: runner.to_owned(),
            is_suspect,
            last_token,
        }
    }

    /// Takes in what the headers of an answer tell.
    pub(crate) fn observed(&self, runner: &str, load_hint: LoadHint) {
        if let Some(row) = self.runners().get_mut(runner) {
            row.seen_alive(load_hint.incarnation, load_hint.leaving);
            row.reported_count = load_hint.running_count;
            row.own_at_report = row.own_count;
            row.slot_count = load_hint.slot_count;
        }
    }

    /// Takes in a runner's report.
    pub(crate) fn reported(&self, runner: &str, report: &RunnerReport) {
        if let Some(row) = self.runners().get_mut(runner) {
            row.seen_alive(report.incarnation, report.leaving);
            row.reported_count = report.running_count + report.queued_count;
            row.own_at_report = row.own_count;
            if row.take_slots(report) {
                self.slots_changed.notify_one();
            }
        }
    }

    /// Takes in what a peer that watches the runner announced. It says when a
    /// runner goes, but it is too old to confirm that one stays.
    pub(crate) fn announced(&self, runner: &str, report: &RunnerReport) {
        if let Some(row) = self.runners().get_mut(runner) {
            row.leaving = report.leaving;
            row.incarnation = report.incarnation;
            if row.take_slots(report) {
                self.slots_changed.notify_one();
            }
        }
    }

    /// Notes that a runner could not be reached.
    pub(crate) fn unreachable(&self, runner: &str, now: Instant) {
        if let Some(row) = self.runners().get_mut(runner) {
            row.down_until = Some(now + DOWN_TIME);
            row.confirmed_at = None;
        }
    }

    /// Notes a success, which earns part of a retry.
    pub(crate) fn succeeded(&self, runner: &str) {
        if let Some(row) = self.runners().get_mut(runner) {
            row.retries.succeed();
        }
    }

    /// Spends a retry at a runner, if one is left.
    pub(crate) fn may_retry(&self, runner: &str) -> bool {
        let mut runners = self.runners();
        let row = runners.get_mut(runner);
        row.is_none_or(|row| row.retries.spend())
    }

    /// All runners.
    pub(crate) fn views(&self) -> Vec<RunnerView> {
        let runners = self.runners();
        let rows = runners.iter();
        rows.map(|(name, row)| RunnerView {
            runner: name.clone(),
            address: row.address,
            data_centre: row.data_centre.clone(),
            checks_fence: row.checks_fence,
            leaving: row.is_leaving(),
            known: row.incarnation != 0,
            ready: row.ready.clone(),
        })
        .collect()
    }

    /// One runner's address and the life that was last seen.
    pub(crate) fn locate(&self, runner: &str) -> Option<(SocketAddr, Incarnation)> {
        let runners = self.runners();
        let row = runners.get(runner)?;
        Some((row.address, row.incarnation))
    }

    fn runners(&self) -> MutexGuard<'_, BTreeMap<RunnerId, Row>> {
        self.runners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Row {
    fn new(vm: &Vm, checks_fence: bool) -> Self {
        Self {
            address: vm.address,
            data_centre: vm.data_centre.clone(),
            checks_fence,
            vm_leaving: false,
            incarnation: 0,
            leaving: false,
            down_until: None,
            slot_count: 0,
            reported_count: 0,
            own_count: 0,
            own_at_report: 0,
            suspect_count: 0,
            ready: Vec::new(),
            confirmed_at: None,
            last_token: Arc::default(),
            retries: RetryBudget::default(),
        }
    }

    fn seen_alive(&mut self, incarnation: Incarnation, leaving: bool) {
        self.incarnation = incarnation;
        self.leaving = leaving;
        self.down_until = None;
        self.confirmed_at = Some(Instant::now());
    }

    /// Takes over slots and models; true when they are others than before.
    fn take_slots(&mut self, report: &RunnerReport) -> bool {
        let changed = self.slot_count != report.slot_count || self.ready != report.ready;
        self.slot_count = report.slot_count;
        self.ready.clone_from(&report.ready);
        changed
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.vm_leaving
    }

    fn can_serve(&self, model: &str, version: &str, now: Instant) -> bool {
        let is_down = self.down_until.is_some_and(|until| until > now);
        let holds = |held: &ModelVersion| held.model == model && held.version == version;
        !self.is_leaving() && !is_down && self.ready.iter().any(holds)
    }

    /// What others were reported to run here, and what this node has now.
    fn load_count(&self) -> u32 {
        let others = self.reported_count.saturating_sub(self.own_at_report);
        others + self.own_count
    }

    fn candidate(&self, name: &str, confirmed_within: Duration, now: Instant) -> Candidate {
        let fresh = |at: Instant| now.duration_since(at) < confirmed_within;
        Candidate {
            runner: name.to_owned(),
            address: self.address,
            incarnation: self.incarnation,
            confirmed: self.confirmed_at.is_some_and(fresh),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(row) = self.fleet.runners().get_mut(&self.runner) {
            row.own_count = row.own_count.saturating_sub(1);
            let suspects = u32::from(self.is_suspect);
            row.suspect_count = row.suspect_count.saturating_sub(suspects);
        }
    }
}

/// Keeps the order in which nodes agree, but moves runners that hold more
/// than their bounded share behind the others.
fn within_load_bound<'a>(order: Vec<&'a str>, rows: &BTreeMap<&str, &Row>) -> Vec<&'a str> {
    let load: u32 = rows.values().map(|row| row.load_count()).sum();
    let slots: u32 = rows.values().map(|row| row.slot_count).sum();
    let mean = f64::from(load + 1) / f64::from(slots.max(1));
    let is_full = |name: &str| {
        let row = rows[name];
        let bound = (mean * LOAD_BOUND * f64::from(row.slot_count)).ceil();
        f64::from(row.load_count()) >= bound.max(1.0)
    };
    let (mut light, mut full): (Vec<&str>, Vec<&str>) =
        order.into_iter().partition(|name| !is_full(name));
    full.sort_by_key(|name| rows[name].load_count());
    light.append(&mut full);
    light
}

fn apart_from_suspects<'a>(order: Vec<&'a str>, rows: &BTreeMap<&str, &Row>) -> Vec<&'a str> {
    let mut sorted = order;
    sorted.sort_by_key(|name| rows[name].suspect_count);
    sorted
}

/// Bytes of a prompt on which its runner is chosen.
const PREFIX_BYTES: usize = 256;

/// Hash of a prompt's beginning, under which its cached blocks are sought.
pub(crate) fn prefix_hash(model: &str, prompt: &[u8]) -> u64 {
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    Fnv::new().text(model).bytes(prefix).finish()
}
