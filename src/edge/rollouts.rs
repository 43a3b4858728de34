//! Reports what this node counts of rollouts to their owners, and decides about those that
//! this node owns.
//!
//! The first two nodes in the rendezvous order of a service own its rollout.
//! `docs/design/rollouts.md` describes why two owners do no harm.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::cluster_view::ClusterView;
use super::rollout_messages::{to_evidence, to_grant, to_reply, to_report};
use crate::forward::forwarder::{Forwarder, NodeContext};
use crate::forward::rollouts::DueReport;
use crate::hash::{Fnv, rendezvous_order};
use crate::id::{NodeId, ServiceId, Version};
use crate::membership::gossip::Membership;
use crate::membership::members::Member;
use crate::membership::message::{ReplyBody, RequestBody, RolloutReply, RolloutReport};
use crate::membership::peer::PeerClient;
use crate::observe::metrics::Counter;
use crate::platform::rollout_objects::{RolloutObject, StatusWrite};
use crate::platform::store::Store;
use crate::policy::rollout::{
    Grant, OwnerRank, Rollout, RolloutBounds, RolloutState, Situation, Stage, Step, next_step,
};
use crate::policy::rollout_evidence::Evidence;

/// Interval at which owners decide, and nodes check whether a report is due.
const TICK: Duration = Duration::from_millis(100);
/// Interval of reports in a small cluster.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Part of the interval of reports for each node, so that an owner gets a few hundred
/// reports a second at most.
const REPORT_INTERVAL_PER_NODE: Duration = Duration::from_millis(4);
/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an owner collects reports before it settles a rollout.
const COLLECT_TIME: Duration = Duration::from_millis(1_000);
/// Age of an owner's decision up to which it is granted to nodes that report.
const DECISION_MAX_AGE: Duration = Duration::from_millis(500);
/// Number of owners of a rollout.
const OWNER_COUNT: usize = 2;

/// One node's part in all rollouts. Clones share their state.
#[derive(Clone)]
pub(crate) struct RolloutCoordinator {
    pub(crate) store: Store,
    pub(crate) forwarder: Arc<Forwarder<ClusterView>>,
    pub(crate) membership: Membership,
    pub(crate) peers: PeerClient,
    pub(crate) owned: Arc<Mutex<OwnedRollouts>>,
}

/// What this node knows as an owner or a possible owner.
#[derive(Debug, Default)]
pub(crate) struct OwnedRollouts {
    /// The objects as this node read them.
    objects: BTreeMap<ServiceId, RolloutObject>,
    /// Version of the newest announcement, own or of a peer, that was applied.
    versions: BTreeMap<ServiceId, Version>,
    /// When the store last told this node what it holds.
    store_answered_at: Option<Instant>,
    collected: BTreeMap<ServiceId, Collected>,
}

/// What nodes reported of one rollout, and what is granted to them.
#[derive(Debug)]
struct Collected {
    target: String,
    since: Instant,
    reports: BTreeMap<NodeId, (Evidence, Instant)>,
    granted: Option<(Grant, Instant)>,
    /// For how long this node has granted the ramp.
    ramp_time: Duration,
    /// Why the target is to be reverted, once that is decided.
    verdict: Option<String>,
}

impl Collected {
    fn new(target: &str, now: Instant) -> Self {
        Self {
            target: target.to_owned(),
            since: now,
            reports: BTreeMap::new(),
            granted: None,
            ramp_time: Duration::ZERO,
            verdict: None,
        }
    }

    fn evidence(&self) -> Evidence {
        let mut sum = Evidence::default();
        let reports = self.reports.values();
        reports.for_each(|(evidence, _)| sum.add(evidence));
        sum
    }

    /// Ends what is granted, and returns its stage.
    fn take_granted_stage(&mut self, now: Instant) -> Option<Stage> {
        let (grant, granted_at) = self.granted.take()?;
        if grant.stage == Stage::Ramp {
            let granted_time = now.saturating_duration_since(granted_at);
            self.ramp_time += granted_time.min(DECISION_MAX_AGE);
        }
        Some(grant.stage)
    }

    /// Whether most of the nodes have reported lately.
    fn is_whole(&self, node_count: usize, now: Instant) -> bool {
        let recent_time = report_interval(node_count) * 3 + REPORT_TIMEOUT;
        let is_recent =
            |(_, at): &&(Evidence, Instant)| now.saturating_duration_since(*at) <= recent_time;
        let recent_count = self.reports.values().filter(is_recent).count();
        let has_collected = now.saturating_duration_since(self.since) >= COLLECT_TIME;
        has_collected && recent_count * 2 > node_count
    }
}

impl RolloutCoordinator {
    /// Starts all tasks, if the deployment asks for rollouts.
    pub(crate) fn spawn(self) {
        let Some(bounds) = self.forwarder.rollouts.bounds() else {
            return;
        };
        tokio::spawn(self.clone().follow_store());
        tokio::spawn(self.clone().follow_peers());
        tokio::spawn(self.clone().report_periodically(bounds));
        tokio::spawn(self.decide_periodically(bounds));
    }

    pub(crate) fn record_store_answer(&self, now: Instant) {
        self.lock().store_answered_at = Some(now);
    }

    pub(crate) fn known_services(&self) -> BTreeSet<ServiceId> {
        self.lock().objects.keys().cloned().collect()
    }

    pub(crate) fn keep_object(&self, object: RolloutObject) {
        let mut owned = self.lock();
        let service = object.rollout.service.clone();
        if object.rollout.state.is_settled() {
            owned.collected.remove(&service);
        }
        owned.objects.insert(service, object);
    }

    pub(crate) fn forget(&self, service: &ServiceId) {
        self.forwarder.rollouts.remove(service);
        let mut owned = self.lock();
        owned.objects.remove(service);
        owned.collected.remove(service);
    }

    /// Records that what is known of a service at this version is applied; false if
    /// something newer was applied before.
    pub(crate) fn advance(&self, service: &ServiceId, version: Version) -> bool {
        let mut owned = self.lock();
        let held = owned.versions.entry(service.clone()).or_default();
        let is_current = version >= *held;
        *held = version.max(*held);
        is_current
    }

    /// Whether this node owns an unfinished rollout.
    pub(crate) fn is_any_owner(&self) -> bool {
        let unfinished = self.forwarder.rollouts.unfinished();
        let mut services = unfinished.iter().map(|rollout| &rollout.service);
        services.any(|service| self.own_rank(service).is_some())
    }

    fn lock(&self) -> MutexGuard<'_, OwnedRollouts> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Owner and standby of a service's rollout.
    fn owners(&self, service: &str) -> Vec<Member> {
        let mut staying = self.membership.alive();
        staying.retain(|member| !member.leaving);
        let key = Fnv::new().text("rollout").text(service).finish();
        let names = staying.iter().map(|member| member.node.as_str());
        let order = rendezvous_order(key, names).into_iter().take(OWNER_COUNT);
        let members = order.filter_map(|name| staying.iter().find(|m| m.node == name));
        members.cloned().collect()
    }

    fn own_rank(&self, service: &str) -> Option<OwnerRank> {
        let own_name = self.membership.me().node;
        let owners = self.owners(service);
        match owners.iter().position(|owner| owner.node == own_name)? {
            0 => Some(OwnerRank::Owner),
            _ => Some(OwnerRank::Standby),
        }
    }

    /// Reports to the owners of all unfinished rollouts. Never returns; it ends with the
    /// runtime.
    async fn report_periodically(self, bounds: RolloutBounds) {
        loop {
            tokio::time::sleep(TICK).await;
            let interval = report_interval(self.forwarder.node.peak_node_count());
            let now = Instant::now();
            for due in self.forwarder.rollouts.take_due_reports(interval, now) {
                tokio::spawn(self.clone().report(due, bounds));
            }
        }
    }

    async fn report(self, due: DueReport, bounds: RolloutBounds) {
        let asked_at = Instant::now();
        let service = &due.rollout.service;
        let report = to_report(&due, &self.membership.me().node);
        let owners = self.owners(service);
        let mut owners = owners.iter();
        let (first, second) = tokio::join!(
            self.report_to(owners.next(), &report),
            self.report_to(owners.next(), &report)
        );
        let replies: Vec<RolloutReply> = [first, second].into_iter().flatten().collect();
        if replies.is_empty() {
            return;
        }
        let grant = replies.iter().find_map(to_grant);
        self.forwarder.rollouts.with(service, |rollout| {
            if rollout.rollout.target != due.rollout.target {
                return;
            }
            rollout.set_grant(grant, asked_at, &bounds);
            for reply in &replies {
                // The age is that of the moment at which the owner replied.
                rollout.learn_age(Duration::from_millis(reply.age_ms), Instant::now());
            }
        });
    }

    async fn report_to(
        &self,
        owner: Option<&Member>,
        report: &RolloutReport,
    ) -> Option<RolloutReply> {
        let owner = owner?;
        if owner.node == self.membership.me().node {
            return Some(self.receive(report.clone()));
        }
        let request = RequestBody::Rollout(report.clone());
        let address = owner.peer_address;
        match self.peers.call(address, request, REPORT_TIMEOUT).await {
            Ok(ReplyBody::Rollout(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Keeps the report of a node, and returns what it may send.
    pub(crate) fn receive(&self, report: RolloutReport) -> RolloutReply {
        let now = Instant::now();
        let RolloutReport {
            service,
            target,
            node,
            age_ms,
            tallies,
        } = report;
        let age = self.forwarder.rollouts.with(&service, |rollout| {
            let is_same = rollout.rollout.target == target;
            is_same.then(|| {
                rollout.learn_age(Duration::from_millis(age_ms), now);
                rollout.age(now)
            })
        });
        // A node that does not know of the request grants nothing.
        let Some(age) = age.flatten() else {
            return to_reply(None, Duration::ZERO);
        };
        let mut owned = self.lock();
        let collected = owned.collected.entry(service);
        let collected = collected.or_insert_with(|| Collected::new(&target, now));
        if collected.target != target {
            *collected = Collected::new(&target, now);
        }
        let reports = &mut collected.reports;
        reports.insert(node, (to_evidence(tallies), now));
        let is_valid =
            |(_, at): &(Grant, Instant)| now.saturating_duration_since(*at) <= DECISION_MAX_AGE;
        let granted = collected.granted.filter(is_valid);
        to_reply(granted.map(|(grant, _)| grant), age)
    }

    /// Decides about the unfinished rollouts that this node owns. Never returns; it ends
    /// with the runtime.
    async fn decide_periodically(self, bounds: RolloutBounds) {
        loop {
            tokio::time::sleep(TICK).await;
            if !self.forwarder.node.is_membership_settled() {
                continue;
            }
            let unfinished = self.forwarder.rollouts.unfinished();
            let decisions = unfinished
                .iter()
                .filter_map(|rollout| Some((rollout, self.own_rank(&rollout.service)?)));
            let decisions: Vec<_> = decisions
                .map(|(rollout, rank)| self.decide(rollout, rank, &bounds))
                .collect();
            futures_util::future::join_all(decisions).await;
        }
    }

    async fn decide(&self, rollout: &Rollout, rank: OwnerRank, bounds: &RolloutBounds) {
        let Some(object) = self.lock().objects.get(&rollout.service).cloned() else {
            return;
        };
        let step = self.step(&object.rollout, rank, bounds);
        let (state, cause) = match step {
            Step::Withhold | Step::Grant(_) => return,
            Step::Record => (RolloutState::InProgress, String::new()),
            Step::Complete => (RolloutState::Completed, String::new()),
            Step::Revert(cause) => (RolloutState::Reverted, cause),
        };
        let Rollout {
            service, target, ..
        } = &object.rollout;
        self.forwarder.metrics.add(Counter::StoreCalls, 1);
        let written = self.store.write_rollout_status(&object, state).await;
        if written == Ok(StatusWrite::Accepted) {
            self.forwarder.metrics.add(Counter::RolloutWrites, 1);
        }
        log::info!(
            "event=rollout_written service={service} target={target} state={state:?} rank={rank:?} revision={} result={written:?} cause={cause:?}",
            object.revision
        );
    }

    /// Decides about one rollout, and keeps what is granted.
    fn step(&self, rollout: &Rollout, rank: OwnerRank, bounds: &RolloutBounds) -> Step {
        let now = Instant::now();
        let node_count = self.forwarder.node.peak_node_count();
        let rollouts = &self.forwarder.rollouts;
        let age = rollouts.with(&rollout.service, |rollout| rollout.age(now));
        let mut owned = self.lock();
        let store_answered_at = owned.store_answered_at;
        let collected = owned.collected.entry(rollout.service.clone());
        let collected = collected.or_insert_with(|| Collected::new(&rollout.target, now));
        if collected.target != rollout.target {
            *collected = Collected::new(&rollout.target, now);
        }
        let granted_before = collected.take_granted_stage(now);
        if rollout.state.is_settled() {
            return Step::Withhold;
        }
        if let Some(cause) = &collected.verdict {
            return Step::Revert(cause.clone());
        }
        let situation = Situation {
            rollout,
            rank,
            age: age.unwrap_or_default(),
            evidence: &collected.evidence(),
            is_evidence_whole: collected.is_whole(node_count, now),
            ramp_time: collected.ramp_time,
            knowledge_age: store_answered_at.map(|at| now.saturating_duration_since(at)),
        };
        let step = next_step(&situation, bounds);
        match &step {
            Step::Grant(grant) => {
                if granted_before != Some(grant.stage) {
                    log::info!(
                        "event=rollout_step service={} target={} rank={rank:?} stage={:?} share={:.3} age_ms={}",
                        rollout.service,
                        rollout.target,
                        grant.stage,
                        grant.share,
                        situation.age.as_millis()
                    );
                }
                collected.granted = Some((*grant, now));
            }
            Step::Revert(cause) => collected.verdict = Some(cause.clone()),
            Step::Withhold | Step::Record | Step::Complete => {}
        }
        step
    }
}

/// Interval at which each of so many nodes reports.
fn report_interval(node_count: usize) -> Duration {
    let by_count = REPORT_INTERVAL_PER_NODE * u32::try_from(node_count).unwrap_or(u32::MAX);
    by_count.max(REPORT_INTERVAL_MIN)
}
