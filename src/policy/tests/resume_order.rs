//! Streams that would read their prompts again took the retry budget and the idle engines
//! before those that could resume from replicas.

use crate::policy::priority_class::PriorityClass;
use crate::policy::resume_order::{ResumeRank, WaitingResumes};

fn rank(has_replica: bool, priority: u32) -> ResumeRank {
    ResumeRank::new(has_replica, Some(PriorityClass::of_priority(priority)))
}

/// An engine with six streams is lost. They are told in any order.
#[test]
fn streams_with_replicas_resume_first_and_the_more_urgent_ones_among_equals() {
    let lost = [
        rank(false, 0),
        rank(true, 2),
        rank(false, 2),
        rank(true, 0),
        rank(false, 1),
        rank(true, 2),
    ];
    let mut waiting = WaitingResumes::default();
    for rank in lost {
        waiting.add(rank);
    }

    let mut left = lost.to_vec();
    let mut order = Vec::new();
    while let Some(at) = left.iter().position(|rank| waiting.may_choose(*rank)) {
        let next = left.remove(at);
        waiting.remove(next);
        order.push(next);
    }

    let expected = [
        rank(true, 0),
        rank(true, 2),
        rank(true, 2),
        rank(false, 0),
        rank(false, 1),
        rank(false, 2),
    ];
    assert_eq!(order, expected);
}

#[test]
fn a_stream_that_resumes_alone_or_among_equals_does_not_wait() {
    let mut waiting = WaitingResumes::default();
    let alone = ResumeRank::new(false, None);
    waiting.add(alone);
    waiting.add(alone);

    assert!(waiting.may_choose(alone));
}
