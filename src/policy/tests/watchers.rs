use std::time::{Duration, Instant};

use crate::policy::watchers::{StoreWord, is_watcher, knows_fleet, list_patience, watch_wait};

/// Time in which a node must know that an upstream leaves.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

#[test]
fn a_large_fleet_asks_once_for_each_data_centre() {
    let asking = (0..30).filter(|rank| is_watcher(89, *rank)).count();

    assert_eq!(asking, 1);
    assert!(
        (0..7).all(|rank| is_watcher(7, rank)),
        "a small one asks itself"
    );
}

/// Replays the death of all nodes that ask, at the worst moment.
#[test]
fn nodes_whose_watchers_died_ask_in_time_and_not_all_at_once() {
    let mut word = StoreWord::default();
    let died = Instant::now();
    word.answered(died);

    let first_ask = |draw: f64| {
        let steps = (0..60).map(|step| Duration::from_millis(step * 50));
        let mut steps = steps.filter(|after| word.is_overdue(draw, died + *after));
        steps.next().expect("it asks")
    };
    let asks: Vec<Duration> = (0..40).map(|n| first_ask(f64::from(n) / 40.0)).collect();

    assert!(asks.iter().all(|after| *after < LEAVING_BOUND * 2 / 3));
    assert!(*asks.iter().max().expect("one") - asks[0] >= Duration::from_millis(300));
    assert!(
        watch_wait(89) < asks[0],
        "a live watcher's word is never overdue"
    );
}

#[test]
fn the_word_rises_whoever_heard_it_and_is_passed_on_at_intervals() {
    let now = Instant::now();
    let (mut one, mut two) = (StoreWord::default(), StoreWord::default());

    let first = one.answered(now).expect("it is passed on");
    assert_eq!(one.answered(now + Duration::from_millis(20)), None);
    assert!(two.heard(first, now));
    assert!(!two.heard(first, now), "it is no news twice");
    let second = two.answered(now + Duration::from_secs(1)).expect("again");

    assert!(second > first);
    assert!(one.heard(second, now + Duration::from_secs(1)));
}

/// Replays the start of all nodes at once, before upstreams that the store
/// lists in sixty answers.
#[test]
fn nodes_that_start_together_leave_a_long_list_to_those_that_are_found_first() {
    const NODES: usize = 300;
    const SEEDS: usize = 3;
    const ANSWERS: usize = 60;
    /// Store calls a second that all nodes may make.
    const STORE_RATE: usize = 6_000;
    let told_after = Duration::from_millis(500);

    let reads_on = |node: usize| {
        let draw = node as f64 / NODES as f64;
        list_patience(node < SEEDS, draw) < told_after
    };
    let readers = (0..NODES).filter(|node| reads_on(*node)).count();

    assert_eq!(readers, SEEDS);
    assert!(NODES + readers * ANSWERS < STORE_RATE / 2);
    let patience = (0..NODES).map(|node| list_patience(false, node as f64 / NODES as f64));
    assert!(patience.max().expect("one") <= Duration::from_secs(1));
}

/// In its first moments each of ninety nodes knows itself and the seeds, which
/// is a small fleet.
#[test]
fn nodes_that_start_together_do_not_all_wait_at_the_store() {
    let known = 4;
    let just_started = Duration::from_millis(300);

    let waits = |is_seed| knows_fleet(is_seed, just_started) && is_watcher(known, known - 1);

    assert!(waits(true));
    assert!(!waits(false));
    assert!(
        knows_fleet(false, LEAVING_BOUND / 2),
        "one that finds nobody waits there in time"
    );
}
