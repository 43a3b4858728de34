//! Decides how a rollout moves the calls of a service to a new software version, the
//! target, and when it has succeeded or failed. `docs/design/rollouts.md` describes the
//! rules and what was weighed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::rollout_evidence::{Evidence, Side};
use crate::forward::upstream::SoftwareVersion;
use crate::id::ServiceId;

/// Part of the exposure share that nodes earn as credit. The rest is for the time between
/// the completion and the deadline, and for calls of nodes that don't know of the request.
const CREDIT_PART: f64 = 0.6;
/// Part of the exposure tolerance that the nodes have as credit at the beginning.
const TOLERANCE_PART: f64 = 0.6;
/// Part of the exposure share that the canary uses. What it leaves is for the ramp and the
/// hand-over.
const CANARY_PART: f64 = 0.3;
/// Largest share of the canary, for services with few calls.
const CANARY_SHARE_MAX: f64 = 0.5;
/// Answers of the target that the canary should bring before the ramp.
const CANARY_ANSWERS: f64 = 60.0;
/// Part of the nodes' credit that it should take at most. Without the rest, the target would
/// get no calls in the ramp.
const CANARY_CREDIT_PART: f64 = 0.5;
/// Age from which on the rate of calls is known well enough to set the share by it.
const RATE_KNOWN_AGE: Duration = Duration::from_millis(1_000);
/// Part of the duration after which the ramp begins.
const RAMP_BEGIN: f64 = 0.6;
/// Part of the duration that the ramp takes.
const RAMP_PART: f64 = 0.15;
/// Time that the ramp must have taken before the hand-over: two rounds of reports, which bring
/// the grant to the nodes and their answers to the owners.
const RAMP_MIN: Duration = Duration::from_millis(500);
/// Part of the duration that the hand-over takes, and the shortest such time.
const HAND_OVER_PART: f64 = 0.02;
const HAND_OVER_MIN: Duration = Duration::from_millis(500);
/// Part of the duration between the outcome and the deadline, and its limits.
const SETTLE_MARGIN_PART: f64 = 0.03;
const SETTLE_MARGIN_MIN: Duration = Duration::from_millis(250);
const SETTLE_MARGIN_MAX: Duration = Duration::from_secs(2);
/// Time after which the standby records a request that the owner has not recorded.
const STANDBY_RECORD_DELAY: Duration = Duration::from_millis(600);
/// Time after the deadline at which a rollout is reverted although most nodes are silent.
const WHOLE_EVIDENCE_WAIT: Duration = Duration::from_secs(10);
/// Part of the rollback bound for which a grant is valid.
const GRANT_PART: f64 = 0.4;
/// Part of the rollback bound for which an owner's knowledge of the store is good enough
/// to grant.
const KNOWLEDGE_PART: f64 = 0.3;

/// Limits on what a bad version may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RolloutBounds {
    /// Share of the requests of a service between a request and its deadline.
    pub(crate) exposure_share: f64,
    /// Number of requests in addition to that share.
    pub(crate) exposure_tolerance: f64,
    /// Time after its 50th bad answer from which on a version gets no requests.
    pub(crate) rollback: Duration,
}

impl RolloutBounds {
    /// How long a grant is valid.
    pub(crate) fn grant_lifetime(&self) -> Duration {
        self.rollback.mul_f64(GRANT_PART)
    }

    /// Age of an owner's knowledge of the store above which it grants nothing.
    pub(crate) fn knowledge_max_age(&self) -> Duration {
        self.rollback.mul_f64(KNOWLEDGE_PART)
    }
}

/// The state of a rollout in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RolloutState {
    /// The request was made, and no state has been written.
    Requested,
    /// The target gets a part of the calls.
    InProgress,
    /// The target gets all calls.
    Completed,
    /// The target gets no calls.
    Reverted,
}

impl RolloutState {
    /// Whether the outcome is known.
    pub(crate) fn is_settled(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}

/// A request to move a service's calls, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rollout {
    pub(crate) service: ServiceId,
    pub(crate) target: SoftwareVersion,
    /// Time from the request to its deadline.
    pub(crate) duration: Duration,
    pub(crate) state: RolloutState,
}

impl Rollout {
    /// Whether this is a later state of the same request, as far as can be told.
    fn continues(&self, earlier: &Self) -> bool {
        let is_same = (&self.target, self.duration) == (&earlier.target, earlier.duration);
        is_same && (self.state.is_settled() || !earlier.state.is_settled())
    }
}

/// The steps of a rollout in which the target gets calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A small share brings evidence.
    Canary,
    /// One upstream of the target gets the load that it would have after the rollout.
    Ramp,
    /// New calls move to the target, since the other upstreams will stop.
    HandOver,
}

/// What nodes may send to the target for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Grant {
    pub(crate) stage: Stage,
    /// Share of the calls.
    pub(crate) share: f64,
}

/// Place of a node among those that may decide about a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerRank {
    Owner,
    /// Decides later than the owner, in case that is gone.
    Standby,
}

/// What an owner knows of an unfinished rollout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Situation<'a> {
    pub(crate) rollout: &'a Rollout,
    pub(crate) rank: OwnerRank,
    /// Time since the request.
    pub(crate) age: Duration,
    /// The counts of all nodes.
    pub(crate) evidence: &'a Evidence,
    /// Whether most nodes have reported to this one lately, and for long enough that none of
    /// the others lags behind.
    pub(crate) is_evidence_whole: bool,
    /// For how long this node has granted the ramp.
    pub(crate) ramp_time: Duration,
    /// Time since the store last told this node the state; `None` if it never did.
    pub(crate) knowledge_age: Option<Duration>,
}

/// What an owner does now.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// Grants nothing.
    Withhold,
    /// Writes that the rollout is in progress.
    Record,
    Grant(Grant),
    /// Writes that the target gets all calls.
    Complete,
    /// Writes that the target gets none, for the given cause.
    Revert(String),
}

/// Decides what an owner does now.
pub(crate) fn next_step(situation: &Situation<'_>, bounds: &RolloutBounds) -> Step {
    let Situation { rollout, age, .. } = *situation;
    if let Some(cause) = situation.evidence.alarm() {
        return Step::Revert(cause);
    }
    let is_known = situation
        .knowledge_age
        .is_some_and(|age| age <= bounds.knowledge_max_age());
    let margin = settle_margin(rollout.duration);
    let settle_at = rollout.duration.saturating_sub(margin);
    let own_settle_at = match situation.rank {
        OwnerRank::Owner => settle_at,
        OwnerRank::Standby => settle_at + margin / 2,
    };
    if age >= own_settle_at {
        return settle(situation, bounds);
    }
    if !is_known {
        return Step::Withhold;
    }
    if rollout.state == RolloutState::Requested {
        let is_due = situation.rank == OwnerRank::Owner || age >= STANDBY_RECORD_DELAY;
        return if is_due { Step::Record } else { Step::Withhold };
    }
    Step::Grant(grant(situation, settle_at, bounds))
}

fn settle(situation: &Situation<'_>, bounds: &RolloutBounds) -> Step {
    if !situation.is_evidence_whole {
        // A node apart from most others must not decide for them.
        let is_given_up = situation.age >= situation.rollout.duration + WHOLE_EVIDENCE_WAIT;
        return if is_given_up {
            Step::Revert("most nodes did not report".to_owned())
        } else {
            Step::Withhold
        };
    }
    if situation.age >= situation.rollout.duration + bounds.knowledge_max_age() {
        // The evidence is older than the limit on knowledge.
        return Step::Revert("no outcome could be written in time".to_owned());
    }
    match situation.evidence.objection() {
        Some(cause) => Step::Revert(cause),
        None if !was_tried_under_load(situation) => {
            Step::Revert("the target was not tried under load".to_owned())
        }
        None => Step::Complete,
    }
}

/// Whether the ramp took long enough; an outage may have covered it.
fn was_tried_under_load(situation: &Situation<'_>) -> bool {
    situation.ramp_time >= RAMP_MIN.min(situation.rollout.duration.mul_f64(RAMP_PART))
}

fn grant(situation: &Situation<'_>, settle_at: Duration, bounds: &RolloutBounds) -> Grant {
    let Situation { rollout, age, .. } = *situation;
    let duration = rollout.duration;
    let hand_over_time = duration.mul_f64(HAND_OVER_PART).max(HAND_OVER_MIN);
    let share = canary_share(situation, settle_at, bounds);
    let is_hand_over = age >= settle_at.saturating_sub(hand_over_time);
    if is_hand_over && was_tried_under_load(situation) {
        // A version that would be refused now gets no more calls than before.
        return match situation.evidence.objection() {
            None => Grant {
                stage: Stage::HandOver,
                share: 1.0,
            },
            Some(_) => Grant {
                stage: Stage::Canary,
                share,
            },
        };
    }
    let is_ramp_due = age >= duration.mul_f64(RAMP_BEGIN);
    let is_ramp = is_ramp_due && situation.ramp_time < duration.mul_f64(RAMP_PART);
    let stage = if is_ramp { Stage::Ramp } else { Stage::Canary };
    Grant { stage, share }
}

/// Share of the canary, by which it brings the answers that are still wanted before the ramp,
/// or before the outcome. A target that registers late, or gets fewer calls than the share says
/// since few nodes have credit, gets a larger one.
fn canary_share(situation: &Situation<'_>, settle_at: Duration, bounds: &RolloutBounds) -> f64 {
    let Situation { rollout, age, .. } = *situation;
    let usual = bounds.exposure_share * CANARY_PART;
    if age < RATE_KNOWN_AGE {
        return usual;
    }
    let of_old = situation.evidence.total(Side::Old).answer_count;
    let of_target = situation.evidence.total(Side::Target).answer_count;
    let rate_per_s = f64::from((of_old + of_target).max(1)) / age.as_secs_f64();
    let ramp_at = rollout.duration.mul_f64(RAMP_BEGIN);
    let calls_until_ramp = rate_per_s * ramp_at.as_secs_f64();
    let credit_until_ramp = bounds.exposure_tolerance * TOLERANCE_PART
        + bounds.exposure_share * CREDIT_PART * calls_until_ramp;
    let answers_until_ramp = CANARY_ANSWERS.min(credit_until_ramp * CANARY_CREDIT_PART);
    let (answers, due_at) = if age < ramp_at {
        (answers_until_ramp, ramp_at)
    } else {
        (CANARY_ANSWERS, settle_at)
    };
    let time_left = due_at.saturating_sub(age).max(HAND_OVER_MIN);
    let missing = (answers - f64::from(of_target)).max(0.0);
    let planned = answers_until_ramp / calls_until_ramp;
    let wanted = planned.max(missing / (rate_per_s * time_left.as_secs_f64()));
    wanted.clamp(usual, CANARY_SHARE_MAX.max(usual))
}

fn settle_margin(duration: Duration) -> Duration {
    let margin = duration.mul_f64(SETTLE_MARGIN_PART);
    margin.clamp(SETTLE_MARGIN_MIN, SETTLE_MARGIN_MAX)
}

/// The credit from which one node sends calls to the target. All nodes together can't spend
/// more than the exposure bound.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExposureCredit {
    balance: f64,
    earned_per_send: f64,
}

impl ExposureCredit {
    /// The credit of one of `node_count` nodes at the beginning of a rollout. `draw` rounds it
    /// at random: without it, none of many nodes would have credit for a whole call.
    pub(crate) fn new(bounds: &RolloutBounds, node_count: usize, draw: f64) -> Self {
        let tolerance = bounds.exposure_tolerance * TOLERANCE_PART;
        Self {
            balance: tolerance / node_count.max(1) as f64 + draw,
            earned_per_send: bounds.exposure_share * CREDIT_PART,
        }
    }

    /// Whether a call may be sent to the target.
    pub(crate) fn allows_send(&self) -> bool {
        self.balance >= 1.0
    }

    /// Records a send to the service.
    pub(crate) fn record_send(&mut self, side: Side) {
        self.balance += self.earned_per_send;
        if side == Side::Target {
            self.balance -= 1.0;
        }
    }
}

/// Versions that get no calls. Each call takes a clone.
pub(crate) type DeniedVersions = Arc<BTreeSet<SoftwareVersion>>;

/// Which upstreams of a service a call may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VersionAdmission {
    All,
    AllBut(DeniedVersions),
    /// Those of this version.
    Only(SoftwareVersion),
    /// The first upstream of this version, and all but those that are denied if it takes no
    /// call.
    OnlyFirstOf(SoftwareVersion, DeniedVersions),
    /// Those of this version, and all but those that are denied if none takes the call.
    Prefer(SoftwareVersion, DeniedVersions),
}

impl VersionAdmission {
    /// Whether the call may be sent to an upstream of this version, which is the first one
    /// of it or not.
    pub(crate) fn admits(&self, version: Option<&SoftwareVersion>, is_first: bool) -> bool {
        match self {
            Self::All => true,
            Self::AllBut(denied) => version.is_none_or(|version| !denied.contains(version)),
            Self::Only(wanted) | Self::Prefer(wanted, _) => version == Some(wanted),
            Self::OnlyFirstOf(wanted, _) => version == Some(wanted) && is_first,
        }
    }

    /// What applies if none of the admitted upstreams takes the call.
    pub(crate) fn otherwise(&self) -> Option<Self> {
        match self {
            Self::Prefer(_, denied) | Self::OnlyFirstOf(_, denied) => {
                Some(Self::AllBut(denied.clone()))
            }
            Self::All | Self::AllBut(_) | Self::Only(_) => None,
        }
    }
}

/// What the choice of an upstream for one send depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendContext {
    /// Hash of the call's id, as a number from 0 to below 1.
    pub(crate) draw: f64,
    /// Whether the call goes on with a stream, which stays at its version.
    pub(crate) is_pinned: bool,
    /// Whether an earlier send of the call failed.
    pub(crate) is_retry: bool,
    /// Number of upstreams of the target.
    pub(crate) target_count: usize,
}

/// What one node knows of a rollout, and what it may send to the target.
#[derive(Clone, Debug)]
pub(crate) struct NodeRollout {
    pub(crate) rollout: Rollout,
    /// When the request was made, as far as this node knows.
    pub(crate) requested_at: Instant,
    /// What this node counted since it learned of the request.
    pub(crate) evidence: Evidence,
    credit: ExposureCredit,
    /// Versions that earlier requests reverted. Their upstreams may still drain.
    reverted: DeniedVersions,
    /// Those versions and the target.
    denied: DeniedVersions,
    /// The last grant, and when it expires.
    grant: Option<(Grant, Instant)>,
}

impl NodeRollout {
    /// Begins to follow a rollout of this age, as one of `node_count` nodes, each of which has
    /// another `draw` from 0 to below 1.
    pub(crate) fn new(
        rollout: Rollout,
        age: Duration,
        bounds: &RolloutBounds,
        node_count: usize,
        draw: f64,
        now: Instant,
    ) -> Self {
        let denied = BTreeSet::from([rollout.target.clone()]);
        Self {
            rollout,
            requested_at: now.checked_sub(age).unwrap_or(now),
            evidence: Evidence::default(),
            credit: ExposureCredit::new(bounds, node_count, draw),
            reverted: DeniedVersions::default(),
            denied: denied.into(),
            grant: None,
        }
    }

    /// Keeps denying what the earlier request of the same service, and those before it,
    /// reverted.
    pub(crate) fn deny_reverted(&mut self, earlier: &Self) {
        let mut reverted = BTreeSet::clone(&earlier.reverted);
        if earlier.rollout.state == RolloutState::Reverted {
            reverted.insert(earlier.rollout.target.clone());
        }
        reverted.remove(&self.rollout.target);
        self.reverted = reverted.clone().into();
        reverted.insert(self.rollout.target.clone());
        self.denied = reverted.into();
    }

    /// Applies what the store says now. Returns false if that is another request, which
    /// needs a new [`NodeRollout`].
    pub(crate) fn update(&mut self, rollout: &Rollout) -> bool {
        let continues = rollout.continues(&self.rollout);
        if continues {
            self.rollout = rollout.clone();
        }
        continues
    }

    /// Learns that the request is at least this old.
    pub(crate) fn learn_age(&mut self, age: Duration, now: Instant) {
        let requested_at = now.checked_sub(age).unwrap_or(self.requested_at);
        self.requested_at = self.requested_at.min(requested_at);
    }

    /// Time since the request.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.requested_at)
    }

    /// Applies an owner's reply to a report that was sent at `asked_at`. Of the grants of two
    /// owners the later one counts, and a refusal ends a grant.
    pub(crate) fn set_grant(
        &mut self,
        grant: Option<Grant>,
        asked_at: Instant,
        bounds: &RolloutBounds,
    ) {
        let expires_at = asked_at + bounds.grant_lifetime();
        self.grant = grant.map(|grant| (grant, expires_at));
    }

    /// Side of a version.
    pub(crate) fn side(&self, version: Option<&SoftwareVersion>) -> Side {
        if version == Some(&self.rollout.target) {
            Side::Target
        } else {
            Side::Old
        }
    }

    /// Records a send to an upstream of the service.
    pub(crate) fn record_send(&mut self, side: Side) {
        self.credit.record_send(side);
    }

    /// Which upstreams a call may be sent to.
    pub(crate) fn admission(&self, send: &SendContext, now: Instant) -> VersionAdmission {
        let target = || self.rollout.target.clone();
        match self.rollout.state {
            RolloutState::Completed if send.is_pinned || send.target_count == 0 => {
                VersionAdmission::AllBut(self.reverted.clone())
            }
            RolloutState::Completed => VersionAdmission::Only(target()),
            RolloutState::Reverted => VersionAdmission::AllBut(self.denied.clone()),
            RolloutState::Requested | RolloutState::InProgress => self.granted(send, now),
        }
    }

    fn granted(&self, send: &SendContext, now: Instant) -> VersionAdmission {
        let target = || self.rollout.target.clone();
        let denied = || self.denied.clone();
        let valid = self.grant.filter(|(_, expires_at)| now < *expires_at);
        let Some((grant, _)) = valid else {
            return VersionAdmission::AllBut(denied());
        };
        if send.is_pinned {
            return VersionAdmission::AllBut(self.reverted.clone());
        }
        if send.is_retry && grant.stage != Stage::HandOver {
            return VersionAdmission::AllBut(denied());
        }
        if !self.credit.allows_send() {
            // The old upstreams stop as soon as the rollout is completed.
            let may_leave = grant.stage == Stage::HandOver && send.is_retry;
            return if may_leave {
                VersionAdmission::Prefer(target(), denied())
            } else {
                VersionAdmission::AllBut(denied())
            };
        }
        let share = match grant.stage {
            Stage::Ramp => grant.share.max(1.0 / send.target_count.max(1) as f64),
            Stage::Canary | Stage::HandOver => grant.share,
        };
        match grant.stage {
            _ if send.draw >= share => VersionAdmission::AllBut(denied()),
            Stage::Ramp => VersionAdmission::OnlyFirstOf(target(), denied()),
            Stage::Canary | Stage::HandOver => VersionAdmission::Prefer(target(), denied()),
        }
    }
}
