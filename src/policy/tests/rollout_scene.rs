//! A cluster of nodes that replays a rollout against a store, without a network.

use std::time::{Duration, Instant};

use crate::hash::Fnv;
use crate::policy::rollout::{
    Grant, NodeRollout, OwnerRank, Rollout, RolloutBounds, RolloutState, SendContext, Situation,
    Stage, Step, VersionAdmission, next_step,
};
use crate::policy::rollout_evidence::{Evidence, Outcome, Side};

pub(super) const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_share: 0.1,
    exposure_tolerance: 50.0,
    rollback: Duration::from_millis(5_000),
};
pub(super) const DURATION_MS: u64 = 12_000;
const TICK_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 250;
const OWNER_INTERVAL_MS: u64 = 100;
/// Time until nodes notice that another one is dead.
const DETECTION_MS: u64 = 2_500;
/// Time until a node knows what the store accepted.
const NEWS_MS: u64 = 300;
/// Bad answers after which the rollback bound counts.
const COUNTED_BAD: usize = 50;
const ROUTES: [&str; 2] = ["balance", "disburse"];

/// When a node or the store is out of reach, in milliseconds since the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The node with this index is killed.
    Killed(usize, u64),
    /// The node reaches no other node from the first to the second time.
    Apart(usize, u64, u64),
    /// The store answers nobody.
    StoreAway(u64, u64),
}

/// The answer of an upstream: the side that runs the call, its route, the time since the
/// request and the calls that the target gets in a second, and a number from 0 to below 1.
pub(super) type Behaviour = fn(&Sent) -> Outcome;

#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    pub(super) side: Side,
    pub(super) route: &'static str,
    pub(super) at_ms: u64,
    pub(super) is_concentrated: bool,
    pub(super) draw: f64,
}

/// What the scene counted.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Sends to both versions before the deadline.
    pub(super) sends: usize,
    /// Those to the target.
    pub(super) target_sends: usize,
    /// Node and time of each send to the target before it was completed.
    pub(super) unfinished_target_sends: Vec<(usize, u64)>,
    /// Time of the 50th bad answer of the target.
    counted_bad_at_ms: Option<u64>,
    pub(super) bad: usize,
    pub(super) last_target_send_ms: u64,
    pub(super) state: Option<RolloutState>,
    pub(super) settled_at_ms: Option<u64>,
    /// Writes that the store accepted after the rollout was settled.
    pub(super) writes_after_outcome: usize,
}

impl Counts {
    /// Whether this node, or any if it is `None`, sent to the unfinished target in this time.
    pub(super) fn has_sent(&self, node: Option<usize>, from_ms: u64, to_ms: u64) -> bool {
        let mut sends = self.unfinished_target_sends.iter();
        sends.any(|(by, at)| node.is_none_or(|node| node == *by) && (from_ms..to_ms).contains(at))
    }

    pub(super) fn assert_exposure_bound(&self) {
        let allowed = BOUNDS.exposure_share * self.sends as f64 + BOUNDS.exposure_tolerance;
        assert!(self.target_sends as f64 <= allowed, "{self:?}");
        assert_eq!(self.writes_after_outcome, 0, "{self:?}");
    }

    /// The bound on the rollback of a bad version.
    pub(super) fn assert_rollback_bound(&self) {
        if let Some(at_ms) = self.counted_bad_at_ms {
            let rollback_ms = BOUNDS.rollback.as_millis() as u64;
            assert!(self.last_target_send_ms <= at_ms + rollback_ms, "{self:?}");
        }
    }
}

pub(super) struct Scene {
    pub(super) node_count: usize,
    pub(super) calls_per_s: u64,
    pub(super) duration_ms: u64,
    /// When the upstreams of the target register, in milliseconds since the request.
    pub(super) registered_at_ms: u64,
    pub(super) behaviour: Behaviour,
    pub(super) faults: Vec<Fault>,
}

struct Node {
    own: NodeRollout,
    /// Last report of each node, and when it came.
    reports: Vec<Option<(Evidence, u64)>>,
    /// What the node knows of the store, and when it heard that.
    known: (RolloutState, u64),
    granted: Option<Grant>,
    ramp_ms: u64,
}

impl Scene {
    pub(super) fn run(&self) -> Counts {
        let start = Instant::now();
        let rollout = Rollout {
            service: "pay".to_owned(),
            target: "v2".to_owned(),
            duration: Duration::from_millis(self.duration_ms),
            state: RolloutState::Requested,
        };
        let draw = |index| Fnv::new().number(index as u64).finish() as f64 / u64::MAX as f64;
        let new_node = |index| Node {
            own: NodeRollout::new(
                rollout.clone(),
                Duration::ZERO,
                &BOUNDS,
                self.node_count,
                draw(index),
                start,
            ),
            reports: vec![None; self.node_count],
            known: (RolloutState::Requested, 0),
            granted: None,
            ramp_ms: 0,
        };
        let mut nodes: Vec<Node> = (0..self.node_count).map(new_node).collect();
        let mut store = RolloutState::Requested;
        let mut changed_at_ms = 0;
        let mut counts = Counts::default();
        let mut call_number = 0;
        for at_ms in (0..self.duration_ms + 14_000).step_by(TICK_MS as usize) {
            let now = start + Duration::from_millis(at_ms);
            for index in 0..self.node_count {
                self.learn(&mut nodes[index], index, store, changed_at_ms, at_ms);
                if at_ms % REPORT_INTERVAL_MS == (index as u64 * TICK_MS) % REPORT_INTERVAL_MS {
                    self.report(&mut nodes, index, at_ms, now);
                }
                if at_ms % OWNER_INTERVAL_MS == 0
                    && let Some(state) = self.decide(&mut nodes, index, at_ms, now)
                {
                    let is_conflict = nodes[index].known.0 != store;
                    if self.is_store_away(at_ms) || is_conflict {
                        continue;
                    }
                    counts.writes_after_outcome += usize::from(store.is_settled());
                    store = state;
                    changed_at_ms = at_ms;
                    nodes[index].known = (store, at_ms);
                    if store.is_settled() {
                        counts.settled_at_ms = Some(at_ms);
                    }
                }
            }
            let calls =
                self.calls_per_s * (at_ms + TICK_MS) / 1_000 - self.calls_per_s * at_ms / 1_000;
            for _ in 0..calls {
                call_number += 1;
                self.send_call(&mut nodes, call_number, at_ms, now, &mut counts);
            }
        }
        counts.state = Some(store);
        counts
    }

    fn is_dead(&self, node: usize, at_ms: u64) -> bool {
        let is_kill =
            |fault: &Fault| matches!(fault, Fault::Killed(n, t) if *n == node && *t <= at_ms);
        self.faults.iter().any(is_kill)
    }

    fn is_apart(&self, node: usize, at_ms: u64) -> bool {
        self.faults.iter().any(|fault| {
            matches!(fault, Fault::Apart(n, from, to) if *n == node && (*from..*to).contains(&at_ms))
        })
    }

    fn is_store_away(&self, at_ms: u64) -> bool {
        self.faults.iter().any(
            |fault| matches!(fault, Fault::StoreAway(from, to) if (*from..*to).contains(&at_ms)),
        )
    }

    fn learn(
        &self,
        node: &mut Node,
        index: usize,
        store: RolloutState,
        changed_at_ms: u64,
        at_ms: u64,
    ) {
        if self.is_store_away(at_ms) || at_ms < changed_at_ms + NEWS_MS {
            return;
        }
        // A node apart learns of nothing, as in a cluster in which few nodes watch the store.
        if self.is_apart(index, at_ms) && index > 1 {
            return;
        }
        node.known = (store, at_ms);
        let mut rollout = node.own.rollout.clone();
        rollout.state = store;
        node.own.update(&rollout);
    }

    /// Owner and standby as a node sees them.
    fn owners(&self, seen_by: usize, at_ms: u64) -> Vec<usize> {
        let seen = |node: &usize| {
            let was_dead = at_ms.checked_sub(DETECTION_MS);
            let is_known_dead = was_dead.is_some_and(|then| self.is_dead(*node, then));
            let was_apart = was_dead.is_some_and(|then| {
                *node != seen_by && (self.is_apart(*node, then) || self.is_apart(seen_by, then))
            });
            !is_known_dead && !was_apart
        };
        (0..self.node_count).filter(seen).take(2).collect()
    }

    fn report(&self, nodes: &mut [Node], index: usize, at_ms: u64, now: Instant) {
        if self.is_dead(index, at_ms) {
            return;
        }
        let evidence = nodes[index].own.evidence.clone();
        let mut replies = Vec::new();
        for owner in self.owners(index, at_ms) {
            let is_cut =
                owner != index && (self.is_apart(index, at_ms) || self.is_apart(owner, at_ms));
            if is_cut || self.is_dead(owner, at_ms) {
                continue;
            }
            nodes[owner].reports[index] = Some((evidence.clone(), at_ms));
            replies.push(nodes[owner].granted);
        }
        if let Some(reply) = replies.into_iter().reduce(|a, b| a.or(b)) {
            nodes[index].own.set_grant(reply, now, &BOUNDS);
        }
    }

    /// The state that the node writes, if it is an owner and decides so.
    fn decide(
        &self,
        nodes: &mut [Node],
        index: usize,
        at_ms: u64,
        now: Instant,
    ) -> Option<RolloutState> {
        let node = &mut nodes[index];
        node.granted = None;
        let owners = self.owners(index, at_ms);
        let rank = match owners.iter().position(|owner| *owner == index)? {
            0 => OwnerRank::Owner,
            _ => OwnerRank::Standby,
        };
        if self.is_dead(index, at_ms) || node.known.0.is_settled() {
            return None;
        }
        let mut evidence = Evidence::default();
        let reports = node.reports.iter().flatten();
        reports.for_each(|(report, _)| evidence.add(report));
        let is_recent = |(_, at): &&(Evidence, u64)| at + 1_000 >= at_ms;
        let recent_count = node.reports.iter().flatten().filter(is_recent).count();
        let mut rollout = node.own.rollout.clone();
        rollout.state = node.known.0;
        let situation = Situation {
            rollout: &rollout,
            rank,
            age: node.own.age(now),
            evidence: &evidence,
            is_evidence_whole: recent_count * 2 > self.node_count,
            ramp_time: Duration::from_millis(node.ramp_ms),
            knowledge_age: Some(Duration::from_millis(at_ms - node.known.1)),
        };
        match next_step(&situation, &BOUNDS) {
            Step::Withhold => None,
            Step::Record => Some(RolloutState::InProgress),
            Step::Grant(grant) => {
                node.granted = Some(grant);
                if grant.stage == Stage::Ramp {
                    node.ramp_ms += OWNER_INTERVAL_MS;
                }
                None
            }
            Step::Complete => Some(RolloutState::Completed),
            Step::Revert(_) => Some(RolloutState::Reverted),
        }
    }

    fn send_call(
        &self,
        nodes: &mut [Node],
        number: u64,
        at_ms: u64,
        now: Instant,
        counts: &mut Counts,
    ) {
        let live: Vec<usize> = (0..self.node_count)
            .filter(|node| !self.is_dead(*node, at_ms))
            .collect();
        let index = live[number as usize % live.len()];
        let node = &mut nodes[index];
        let draw = |salt| Fnv::new().number(number).number(salt).finish() as f64 / u64::MAX as f64;
        let context = SendContext {
            draw: draw(1),
            is_pinned: false,
            is_retry: false,
            target_count: 4,
        };
        let admission = node.own.admission(&context, now);
        let is_concentrated = matches!(admission, VersionAdmission::OnlyFirstOf(..));
        let side = match admission {
            _ if at_ms < self.registered_at_ms => Side::Old,
            VersionAdmission::All | VersionAdmission::AllBut(_) => Side::Old,
            VersionAdmission::Only(_)
            | VersionAdmission::OnlyFirstOf(..)
            | VersionAdmission::Prefer(..) => Side::Target,
        };
        let route = ROUTES[usize::from(draw(2) < 0.2)];
        let outcome = (self.behaviour)(&Sent {
            side,
            route,
            at_ms,
            is_concentrated,
            draw: draw(3),
        });
        node.own.record_send(side);
        node.own.evidence.record(route, side, outcome);
        counts.sends += usize::from(at_ms < self.duration_ms);
        if side == Side::Target {
            counts.target_sends += usize::from(at_ms < self.duration_ms);
            counts.last_target_send_ms = at_ms;
            if node.own.rollout.state != RolloutState::Completed {
                counts.unfinished_target_sends.push((index, at_ms));
            }
            let is_bad = !matches!(outcome, Outcome::Answered(time) if time < SLOW);
            counts.bad += usize::from(is_bad);
            if counts.bad == COUNTED_BAD {
                counts.counted_bad_at_ms.get_or_insert(at_ms);
            }
        }
    }
}

/// Answers that take this long are those of a slow version.
pub(super) const SLOW: Duration = Duration::from_millis(120);
