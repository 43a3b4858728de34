//! The runners and service instances that this node knows, with their state.
//!
//! Runners' reports arrive with a delay, so a node combines them with what it
//! observes itself: its own streams, response headers and broken connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::fleet::in_flight::InFlightStream;
use crate::fleet::ranking::{Candidate, RouteQuery, by_suspect_count, within_load_bound};
use crate::fleet::runner::{LoadHeaders, ModelVersion, RunnerReport};
use crate::fleet::runner_state::RunnerState;
use crate::hash::rendezvous_order;
use crate::id::{DataCentreId, Incarnation, RunnerId, ServiceId};
use crate::store::object_api::{Vm, VmRole, VmState};

/// Time for which a runner gets no requests after it could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

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

impl Fleet {
    /// Replaces the list of VMs by the platform's current one. A runner that is
    /// no longer listed is kept while this node has streams at the runner.
    pub(crate) fn replace_vms(&self, vms: &[Vm]) {
        let mut runners = self.runners();
        let listed: BTreeSet<&str> = vms.iter().map(|vm| vm.vm.as_str()).collect();
        runners.retain(|name, state| listed.contains(name.as_str()) || state.own_count > 0);
        let mut services: BTreeMap<ServiceId, Vec<Instance>> = BTreeMap::new();
        let mut listings: BTreeMap<&str, BTreeMap<SocketAddr, VmState>> = BTreeMap::new();
        for vm in vms {
            match &vm.role {
                VmRole::Runner { checks_fence } => {
                    runners
                        .entry(vm.vm.clone())
                        .or_insert_with(|| RunnerState::new(vm, *checks_fence));
                    let of_runner = listings.entry(vm.vm.as_str()).or_default();
                    of_runner.insert(vm.address, vm.state);
                }
                VmRole::Service { service } => {
                    let instance = Instance {
                        address: vm.address,
                        leaving: vm.state == VmState::Leaving,
                    };
                    services.entry(service.clone()).or_default().push(instance);
                }
            }
        }
        for (name, listings) in listings {
            if let Some(state) = runners.get_mut(name) {
                state.set_listings(listings);
            }
        }
        drop(runners);
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
            state.mark_unreachable(now + UNREACHABLE_BACKOFF);
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

    /// Stops counting a stream of this node at `runner`.
    pub(super) fn stream_ended(&self, runner: &str, is_suspect: bool) {
        if let Some(state) = self.runners().get_mut(runner) {
            state.own_count = state.own_count.saturating_sub(1);
            let suspects = u32::from(is_suspect);
            state.suspect_count = state.suspect_count.saturating_sub(suspects);
        }
    }

    fn runners(&self) -> MutexGuard<'_, BTreeMap<RunnerId, RunnerState>> {
        self.runners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
