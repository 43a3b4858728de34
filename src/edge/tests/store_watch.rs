//! Tests of the time that a node takes to notice that what it has of the store is old.

use std::time::Duration;

use crate::edge::store_watch::POLL_CHECK_INTERVAL;
use crate::platform::store::WATCH_TIMEOUT_MARGIN;
use crate::policy::watchers::{HEARTBEAT_MAX_AGE, JITTER_MAX, watch_timeout};

/// Time from the moment at which connections fell silent to that from which nodes are bound
/// again by what the store has.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for a new connection to the store and its answer.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Wait of one request on a dead connection, after which the next one uses a new one.
fn wait_on_dead_connection(node_count: usize, is_watcher: bool) -> Duration {
    watch_timeout(node_count, is_watcher) + WATCH_TIMEOUT_MARGIN
}

/// The other connections of the node, to its peers, are silent too.
#[test]
fn the_waits_of_a_node_that_is_no_watcher_add_up_to_less_than_the_contact_time() {
    for node_count in [13, 89, 390] {
        let noticed = HEARTBEAT_MAX_AGE + JITTER_MAX + POLL_CHECK_INTERVAL;
        let answered = noticed + wait_on_dead_connection(node_count, false) + ANSWER_TIME;

        assert!(answered < CONTACT_TIME, "{node_count} nodes: {answered:?}");
    }
}
