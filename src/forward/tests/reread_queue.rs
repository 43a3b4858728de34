use std::time::Duration;

use tokio::time::timeout;

use crate::forward::reread_queue::RereadQueue;
use crate::policy::reread_queue::{rereads_max, wait_max};

const WAIT: Duration = Duration::from_millis(400);
const AT_ONCE: Duration = Duration::from_millis(20);

/// Guards against all streams of a lost fleet that have their prompts read again at once.
#[tokio::test]
async fn one_prompt_is_read_again_at_a_time_and_the_most_urgent_stream_is_next() {
    let queue = RereadQueue::default();
    let first = queue.wait_for_turn(1, 1, WAIT).await;
    let mut casual = Box::pin(queue.wait_for_turn(2, 1, WAIT));
    let mut urgent = Box::pin(queue.wait_for_turn(0, 1, WAIT));
    assert!(timeout(AT_ONCE, &mut casual).await.is_err());
    assert!(timeout(AT_ONCE, &mut urgent).await.is_err());

    drop(first);

    assert!(timeout(AT_ONCE, &mut casual).await.is_err());
    assert!(timeout(AT_ONCE, &mut urgent).await.is_ok());
}

/// Guards against a stream that waits for ever behind more urgent ones.
#[tokio::test]
async fn a_stream_is_sent_when_its_wait_is_over() {
    let queue = RereadQueue::default();
    let _first = queue.wait_for_turn(0, 1, WAIT).await;

    let second = timeout(10 * WAIT, queue.wait_for_turn(9, 1, WAIT)).await;

    assert!(second.is_ok());
}

/// Guards against a place that is lost with a caller who leaves the queue, or who leaves just
/// after it was admitted.
#[tokio::test]
async fn callers_that_leave_the_queue_hold_up_nobody() {
    let queue = RereadQueue::default();
    let first = queue.wait_for_turn(0, 1, WAIT).await;
    let mut leaves = Box::pin(queue.wait_for_turn(0, 1, WAIT));
    let mut leaves_late = Box::pin(queue.wait_for_turn(0, 1, WAIT));
    let mut stays = Box::pin(queue.wait_for_turn(1, 1, WAIT));
    assert!(timeout(AT_ONCE, &mut leaves).await.is_err());
    assert!(timeout(AT_ONCE, &mut leaves_late).await.is_err());
    assert!(timeout(AT_ONCE, &mut stays).await.is_err());

    drop(leaves);
    drop(first);
    drop(leaves_late);

    assert!(timeout(AT_ONCE, &mut stays).await.is_ok());
}

/// Replays the restart of a fleet: 160 streams of 67 nodes before 120 engines, each of which
/// reads a prompt in 1.1 s. Guards against more than one prompt read again at an engine, and
/// against a queue in which streams wait in vain.
#[test]
fn the_streams_of_a_restarted_fleet_are_read_again_in_some_seconds() {
    let (streams, nodes, engines, read_ms) = (160_usize, 67_usize, 120_usize, 1_100);

    let at_once = nodes * rereads_max(engines, nodes);
    let rounds = streams
        .div_ceil(nodes)
        .div_ceil(rereads_max(engines, nodes));

    assert!(at_once < engines, "{at_once}");
    let last_begins = Duration::from_millis(read_ms * (rounds as u64 - 1));
    assert!(
        last_begins <= wait_max(Duration::from_secs(16)),
        "{last_begins:?}"
    );
}
