//! Streams that would read their prompts again waited for none, or for one that was stuck.

use std::sync::Arc;
use std::time::Duration;

use crate::forward::resume_queue::ResumeQueue;
use crate::policy::resume_order::ResumeRank;

const CHEAP: bool = true;

fn rank(has_replica: bool) -> ResumeRank {
    ResumeRank::new(has_replica, None)
}

#[tokio::test]
async fn a_stream_that_reads_its_prompt_again_resumes_after_one_with_a_replica() {
    let queue = Arc::new(ResumeQueue::default());
    let order = Arc::new(std::sync::Mutex::new(Vec::new()));
    let resume = |has_replica: bool| {
        let (queue, order) = (queue.clone(), order.clone());
        tokio::spawn(async move {
            let _turn = queue.wait_for_turn(rank(has_replica)).await;
            order.lock().expect("unpoisoned").push(has_replica);
        })
    };

    let tasks = [resume(!CHEAP), resume(CHEAP), resume(!CHEAP), resume(CHEAP)];
    for task in tasks {
        task.await.expect("no panic");
    }

    let order = order.lock().expect("unpoisoned");
    assert_eq!(*order, [CHEAP, CHEAP, !CHEAP, !CHEAP]);
}

#[tokio::test]
async fn a_stream_does_not_wait_for_one_that_finds_no_upstream() {
    let queue = ResumeQueue::default();
    let _stuck = queue.wait_for_turn(rank(CHEAP)).await;

    let waiting = queue.wait_for_turn(rank(!CHEAP));

    let waited = tokio::time::timeout(Duration::from_secs(5), waiting).await;
    assert!(waited.is_ok(), "it waits without a bound");
}
