use std::time::{Duration, Instant};

use crate::policy::watchers::{StoreWord, is_watcher, watch_wait};

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
