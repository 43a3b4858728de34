//! Tests of when a configuration counts as current, and the store as reachable.

use std::time::{Duration, Instant};

use crate::policy::freshness::ConfigFreshness;
use crate::policy::store_reachability::StoreReachability;
use crate::policy::watchers::watch_timeout_max;

const BOUND: Duration = Duration::from_secs(2);
const IN_FORCE: u64 = 5;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn the_store_is_reachable_only_after_a_recent_answer() {
    let mut store = StoreReachability::default();
    let start = Instant::now();
    assert!(!store.is_reachable(start), "it has not answered yet");

    store.set(true, start);
    assert!(store.is_reachable(start + ms(4_000)));
    assert!(!store.is_reachable(start + ms(7_000)), "too long ago");

    store.set(false, start + ms(4_000));
    assert!(!store.is_reachable(start + ms(4_001)), "a request failed");
}

#[test]
fn a_configuration_is_not_fresh_once_a_newer_one_could_be_due() {
    let mut freshness = ConfigFreshness::new(BOUND);
    let start = Instant::now();
    assert!(!freshness.is_fresh(IN_FORCE, start), "nothing confirmed it");

    freshness.record_read(start);

    let next_answer = watch_timeout_max(BOUND) + ms(200);
    assert!(freshness.is_fresh(IN_FORCE, start + next_answer));
    assert!(!freshness.is_fresh(IN_FORCE, start + BOUND));
}

#[test]
fn a_configuration_is_not_fresh_after_a_failed_request_until_a_peer_confirms_it() {
    let mut freshness = ConfigFreshness::new(BOUND);
    let now = Instant::now();
    freshness.record_read(now);

    freshness.record_failure();
    assert!(!freshness.is_fresh(IN_FORCE, now));

    freshness.record_peer_confirmation(now);
    assert!(freshness.is_fresh(IN_FORCE, now));
}

#[test]
fn a_configuration_is_not_fresh_while_a_newer_one_is_known_to_exist() {
    let mut freshness = ConfigFreshness::new(BOUND);
    let now = Instant::now();
    freshness.record_read(now);

    freshness.record_announced(IN_FORCE + 1, now);

    assert!(!freshness.is_fresh(IN_FORCE, now));
    assert!(freshness.is_fresh(IN_FORCE + 1, now));
    assert!(!freshness.is_fetch_overdue(IN_FORCE, now));
    assert!(freshness.is_fetch_overdue(IN_FORCE, now + ms(600)));
    freshness.record_read(now);
    assert!(
        freshness.is_fresh(IN_FORCE, now),
        "the store has no newer one"
    );
}

#[test]
fn a_configuration_is_not_fresh_while_the_stores_cannot_be_parsed() {
    let mut freshness = ConfigFreshness::new(BOUND);
    let now = Instant::now();
    freshness.record_read(now);

    freshness.set_newest_readable(false);
    assert!(!freshness.is_fresh(IN_FORCE, now));

    freshness.set_newest_readable(true);
    assert!(freshness.is_fresh(IN_FORCE, now));
}
