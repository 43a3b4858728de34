//! What a node knows of one runner.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::in_flight::TokenClock;
use crate::fleet::ranking::Candidate;
use crate::fleet::retry_budget::RetryBudget;
use crate::fleet::runner::{ModelVersion, RunnerReport};
use crate::id::{DataCentreId, Incarnation};
use crate::store::object_api::{Vm, VmState};

/// Last known state of one runner.
#[derive(Clone, Debug)]
pub(super) struct RunnerState {
    pub(super) address: SocketAddr,
    /// The addresses at which the platform lists the runner, each with the state of its VM.
    /// More than one if another writer has left an entry with its name; which one is right is
    /// told by what answers.
    listings: BTreeMap<SocketAddr, VmState>,
    pub(super) data_centre: DataCentreId,
    pub(super) checks_fence: bool,
    pub(super) incarnation: Incarnation,
    /// Whether the runner itself reported that it is leaving.
    pub(super) leaving: bool,
    pub(super) unreachable_until: Option<Instant>,
    pub(super) slot_count: u32,
    /// Number of streams that all nodes together have at the runner, by its last
    /// report or response headers. Headers count running streams only, a report
    /// also those that are queued.
    pub(super) reported_count: u32,
    /// Number of streams that this node has at the runner now.
    pub(super) own_count: u32,
    /// Number of streams that this node had at the runner when the last report or
    /// response headers arrived.
    pub(super) own_count_at_report: u32,
    /// Number of streams that this node has at the runner and whose requests are
    /// suspects, that is, were in flight when a runner crashed.
    pub(super) suspect_count: u32,
    pub(super) ready: Vec<ModelVersion>,
    pub(super) last_report_at: Option<Instant>,
    pub(super) last_token: Arc<TokenClock>,
    pub(super) retry_budget: RetryBudget,
}

impl RunnerState {
    pub(super) fn new(vm: &Vm, checks_fence: bool) -> Self {
        Self {
            address: vm.address,
            listings: BTreeMap::new(),
            data_centre: vm.data_centre.clone(),
            checks_fence,
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

    /// Sets at which addresses the platform lists the runner, each with the state of its VM.
    /// The address in use stays so if it is among them.
    pub(super) fn set_listings(&mut self, listings: BTreeMap<SocketAddr, VmState>) {
        self.listings = listings;
        if !self.listings.contains_key(&self.address) {
            self.use_next_address();
        }
    }

    /// Records that nothing answers at the address, and uses the next one that is listed.
    pub(super) fn mark_unreachable(&mut self, until: Instant) {
        self.unreachable_until = Some(until);
        self.last_report_at = None;
        self.use_next_address();
    }

    fn use_next_address(&mut self) {
        let after = (Bound::Excluded(self.address), Bound::Unbounded);
        let mut later = self.listings.range(after);
        let next = later.next().or_else(|| self.listings.first_key_value());
        if let Some((next, _)) = next {
            self.address = *next;
        }
    }

    pub(super) fn mark_reachable(&mut self, incarnation: Incarnation, leaving: bool) {
        self.incarnation = incarnation;
        self.leaving = leaving;
        self.unreachable_until = None;
        self.last_report_at = Some(Instant::now());
    }

    /// Updates the slots and the ready models; true if they changed.
    pub(super) fn update_slots(&mut self, report: &RunnerReport) -> bool {
        let changed = self.slot_count != report.slot_count || self.ready != report.ready;
        self.slot_count = report.slot_count;
        self.ready.clone_from(&report.ready);
        changed
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving || self.listings.get(&self.address) == Some(&VmState::Leaving)
    }

    pub(super) fn can_serve(&self, model: &str, version: &str, now: Instant) -> bool {
        let is_unreachable = self.unreachable_until.is_some_and(|until| until > now);
        let is_match = |ready: &ModelVersion| ready.model == model && ready.version == version;
        !self.is_leaving() && !is_unreachable && self.ready.iter().any(is_match)
    }

    /// Estimated number of streams at the runner: those that other nodes had by
    /// the last report, and those that this node has now.
    pub(super) fn load_count(&self) -> u32 {
        let others = self.reported_count.saturating_sub(self.own_count_at_report);
        others + self.own_count
    }

    pub(super) fn candidate(
        &self,
        name: &str,
        report_max_age: Duration,
        now: Instant,
    ) -> Candidate {
        let is_recent = |at: Instant| now.duration_since(at) < report_max_age;
        Candidate {
            runner: name.to_owned(),
            address: self.address,
            incarnation: self.incarnation,
            has_recent_report: self.last_report_at.is_some_and(is_recent),
        }
    }
}
