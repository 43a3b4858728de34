use std::time::{Duration, Instant};

use crate::policy::watchers::{
    StoreHeartbeat, WatchRank, is_membership_settled, is_watcher, peer_list_wait, watch_timeout,
};

/// Time within which a node must know that an upstream leaves.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

fn rank(in_data_centre: usize, of_data_centre: usize) -> WatchRank {
    WatchRank {
        in_data_centre,
        of_data_centre,
    }
}

#[test]
fn a_large_cluster_has_one_watcher_in_each_data_centre() {
    let ranks = (0..3).flat_map(|centre| (0..30).map(move |node| rank(node, centre)));

    let watchers = ranks.filter(|rank| is_watcher(89, *rank)).count();

    assert_eq!(watchers, 3);
    assert!(
        (0..7).all(|node| is_watcher(7, rank(node, 0))),
        "in a small cluster every node is a watcher"
    );
}

/// 295 nodes in five data centres, of which a watcher in each made requests for nothing.
#[test]
fn the_number_of_watchers_does_not_grow_with_the_data_centres() {
    let count = |centres: usize| {
        let ranks = (0..centres).flat_map(|centre| (0..59).map(move |node| rank(node, centre)));
        ranks.filter(|rank| is_watcher(centres * 59, *rank)).count()
    };

    assert_eq!([count(1), count(3), count(5), count(15)], [1, 3, 3, 3]);
}

/// All watchers die right after a store heartbeat, which is when the other nodes
/// take longest to notice.
#[test]
fn nodes_whose_watchers_died_poll_the_store_in_time_and_not_all_at_once() {
    let mut heartbeat = StoreHeartbeat::default();
    let died_at = Instant::now();
    heartbeat.store_answered(died_at);

    let first_poll = |draw: f64| {
        let steps = (0..60).map(|step| Duration::from_millis(step * 50));
        let mut steps = steps.filter(|after| heartbeat.is_overdue(draw, died_at + *after));
        steps.next().expect("the node polls within 3 s")
    };
    let polls: Vec<Duration> = (0..40).map(|n| first_poll(f64::from(n) / 40.0)).collect();

    assert!(polls.iter().all(|after| *after < LEAVING_BOUND * 2 / 3));
    assert!(
        *polls.iter().max().expect("there are 40 nodes") - polls[0] >= Duration::from_millis(300)
    );
    assert!(
        watch_timeout(89, true) < polls[0],
        "the heartbeat of a live watcher is never overdue"
    );
}

#[test]
fn any_node_can_raise_the_heartbeat_and_it_is_published_at_intervals() {
    let now = Instant::now();
    let (mut one, mut two) = (StoreHeartbeat::default(), StoreHeartbeat::default());

    let first = one
        .store_answered(now)
        .expect("the first answer is published");
    assert_eq!(one.store_answered(now + Duration::from_millis(20)), None);
    assert!(two.receive(first, now));
    assert!(
        !two.receive(first, now),
        "the same counter is not new twice"
    );
    let second = two
        .store_answered(now + Duration::from_secs(1))
        .expect("an answer after the interval is published");

    assert!(second > first);
    assert!(one.receive(second, now + Duration::from_secs(1)));
}

/// All nodes start at once, and the store's list of upstreams has sixty pages.
#[test]
fn nodes_that_start_together_leave_a_long_list_to_the_seed_nodes() {
    const NODES: usize = 300;
    const SEEDS: usize = 3;
    const PAGES: usize = 60;
    /// Requests a second that the store allows all nodes together.
    const STORE_RATE: usize = 6_000;
    let peers_sent_list_after = Duration::from_millis(500);

    let reads_list = |node: usize| {
        let draw = node as f64 / NODES as f64;
        peer_list_wait(node < SEEDS, draw) < peers_sent_list_after
    };
    let readers = (0..NODES).filter(|node| reads_list(*node)).count();

    assert_eq!(readers, SEEDS);
    assert!(NODES + readers * PAGES < STORE_RATE / 2);
    let waits = (0..NODES).map(|node| peer_list_wait(false, node as f64 / NODES as f64));
    assert!(waits.max().expect("there are nodes") <= Duration::from_secs(1));
}

/// Right after the start each of ninety nodes knows only itself and the seed
/// nodes, and could take the cluster for a small one.
#[test]
fn nodes_that_start_together_do_not_all_watch_the_store() {
    let known = 4;
    let just_started = Duration::from_millis(300);

    let watches = |is_seed| {
        is_membership_settled(is_seed, just_started) && is_watcher(known, rank(known - 1, 0))
    };

    assert!(watches(true));
    assert!(!watches(false));
    assert!(
        is_membership_settled(false, LEAVING_BOUND / 2),
        "a node that has discovered no other node still watches the store in time"
    );
}
