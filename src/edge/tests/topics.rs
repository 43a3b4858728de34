use std::collections::BTreeSet;

use crate::edge::observations::{
    DISCOVERY_TOPIC, HANDOVER_TOPIC, LIMIT_TOPIC, LOSS_TOPIC, UNREACHABLE_TOPIC,
};
use crate::edge::rollout_messages::ROLLOUT_TOPIC;
use crate::membership::crash_announcement::{CLEARANCE_TOPIC, CRASH_TOPIC, LATE_CLEARANCE_TOPIC};

/// Guards against announcements of two kinds under one topic, each of which is then read as
/// the other one.
#[test]
fn announcements_of_each_kind_have_a_topic_of_their_own() {
    let topics = [
        CRASH_TOPIC,
        LOSS_TOPIC,
        DISCOVERY_TOPIC,
        HANDOVER_TOPIC,
        CLEARANCE_TOPIC,
        LIMIT_TOPIC,
        UNREACHABLE_TOPIC,
        LATE_CLEARANCE_TOPIC,
        ROLLOUT_TOPIC,
    ];

    let distinct: BTreeSet<u32> = topics.into_iter().collect();

    assert_eq!(distinct.len(), topics.len());
}
