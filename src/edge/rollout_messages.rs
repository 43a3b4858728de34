//! Converts rollouts, evidence and grants for messages between nodes.

use std::time::Duration;

use prost::Message;

use crate::forward::rollouts::DueReport;
use crate::id::{NodeId, ServiceId, Version};
use crate::membership::announcement::Announcement;
use crate::membership::message::{
    AnnouncedState, GrantedStage, RolloutRecord, RolloutReply, RolloutReport, TallyRecord,
};
use crate::policy::rollout::{Grant, Rollout, RolloutState, Stage};
use crate::policy::rollout_evidence::{Evidence, Side, TIME_CLASS_COUNT, Tally, TimeClasses};
use crate::store::revision::Revision;

/// Topic of the announcements of rollouts.
pub(crate) const ROLLOUT_TOPIC: u32 = 12;
/// Lifetime of such an announcement. A node that starts later reads the store.
const ROLLOUT_TTL: Duration = Duration::from_secs(120);
/// Bits of an announcement's version that hold the number of the store's revision, below
/// the era.
const REVISION_BITS: u32 = 44;

/// A rollout as a peer announced it; none if its object was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AnnouncedRollout {
    pub(crate) service: ServiceId,
    pub(crate) rollout: Option<Rollout>,
    /// Time since the request.
    pub(crate) age: Duration,
}

/// Version of the announcement of what the store held at this revision.
pub(crate) fn announced_version(revision: Revision) -> Version {
    (revision.era.unwrap_or_default() << REVISION_BITS) | revision.number
}

/// Encodes the announcement of a rollout, or of its removal.
pub(crate) fn to_announcement(
    service: &ServiceId,
    rollout: Option<&Rollout>,
    age: Duration,
    revision: Revision,
) -> Announcement {
    let state = rollout.map_or(AnnouncedState::Removed, |rollout| match rollout.state {
        RolloutState::Requested => AnnouncedState::Requested,
        RolloutState::InProgress => AnnouncedState::InProgress,
        RolloutState::Completed => AnnouncedState::Completed,
        RolloutState::Reverted => AnnouncedState::Reverted,
    });
    let duration = rollout.map_or(Duration::ZERO, |rollout| rollout.duration);
    let record = RolloutRecord {
        target: rollout.map_or_else(String::new, |rollout| rollout.target.clone()),
        duration_ms: to_ms(duration),
        state: state.into(),
        age_ms: to_ms(age),
    };
    Announcement {
        topic: ROLLOUT_TOPIC,
        key: service.clone(),
        version: announced_version(revision),
        ttl: ROLLOUT_TTL,
        body: record.encode_to_vec().into(),
    }
}

/// Decodes an announcement. Returns none if it can't be read.
pub(crate) fn from_announcement(announcement: &Announcement) -> Option<AnnouncedRollout> {
    let record = RolloutRecord::decode(announcement.body.clone()).ok()?;
    let state = match AnnouncedState::try_from(record.state).ok()? {
        AnnouncedState::Removed => None,
        AnnouncedState::Requested => Some(RolloutState::Requested),
        AnnouncedState::InProgress => Some(RolloutState::InProgress),
        AnnouncedState::Completed => Some(RolloutState::Completed),
        AnnouncedState::Reverted => Some(RolloutState::Reverted),
    };
    let under_way = ROLLOUT_TTL.saturating_sub(announcement.ttl);
    Some(AnnouncedRollout {
        service: announcement.key.clone(),
        rollout: state.map(|state| Rollout {
            service: announcement.key.clone(),
            target: record.target,
            duration: Duration::from_millis(record.duration_ms),
            state,
        }),
        age: Duration::from_millis(record.age_ms) + under_way,
    })
}

/// Encodes what a node tells an owner.
pub(crate) fn to_report(due: &DueReport, node: &NodeId) -> RolloutReport {
    let tallies = due.evidence.tallies.iter();
    RolloutReport {
        service: due.rollout.service.clone(),
        target: due.rollout.target.clone(),
        node: node.clone(),
        age_ms: to_ms(due.age),
        tallies: tallies
            .map(|((route, side), tally)| TallyRecord {
                route: route.clone(),
                is_target: *side == Side::Target,
                answer_count: tally.answer_count,
                failure_count: tally.failure_count,
                times: tally.times.to_vec(),
                gaps: tally.gaps.to_vec(),
            })
            .collect(),
    }
}

/// Decodes the evidence in a report.
pub(crate) fn to_evidence(records: Vec<TallyRecord>) -> Evidence {
    let mut evidence = Evidence::default();
    for record in records {
        let side = if record.is_target {
            Side::Target
        } else {
            Side::Old
        };
        let tally = Tally {
            answer_count: record.answer_count,
            failure_count: record.failure_count,
            times: to_classes(&record.times),
            gaps: to_classes(&record.gaps),
        };
        evidence.tallies.insert((record.route, side), tally);
    }
    evidence
}

/// Converts classes of times. A later build may send more of them.
fn to_classes(counts: &[u32]) -> TimeClasses {
    let mut classes: TimeClasses = [0; TIME_CLASS_COUNT];
    for (index, count) in counts.iter().enumerate() {
        let class = &mut classes[index.min(TIME_CLASS_COUNT - 1)];
        *class = class.saturating_add(*count);
    }
    classes
}

/// Encodes an owner's reply.
pub(crate) fn to_reply(grant: Option<Grant>, age: Duration) -> RolloutReply {
    let stage = grant.map_or(GrantedStage::Nothing, |grant| match grant.stage {
        Stage::Canary => GrantedStage::Canary,
        Stage::Ramp => GrantedStage::Ramp,
        Stage::HandOver => GrantedStage::HandOver,
    });
    RolloutReply {
        stage: stage.into(),
        share: grant.map_or(0.0, |grant| grant.share),
        age_ms: to_ms(age),
    }
}

/// Decodes the grant in a reply. A stage of a later build grants nothing.
pub(crate) fn to_grant(reply: &RolloutReply) -> Option<Grant> {
    let stage = match GrantedStage::try_from(reply.stage).ok()? {
        GrantedStage::Nothing => return None,
        GrantedStage::Canary => Stage::Canary,
        GrantedStage::Ramp => Stage::Ramp,
        GrantedStage::HandOver => Stage::HandOver,
    };
    Some(Grant {
        stage,
        share: reply.share,
    })
}

fn to_ms(duration: Duration) -> u64 {
    duration.as_millis().try_into().unwrap_or(u64::MAX)
}
