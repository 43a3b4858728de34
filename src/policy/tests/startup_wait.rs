use std::time::{Duration, Instant};

use crate::policy::startup_wait::{
    EarlyCall, WAITING_CALLS_MAX, have_upstreams_returned, wait_until,
};

const STREAM_TIME: Duration = Duration::from_secs(25);

fn wait(since_start: Duration, caller_time: Duration, waiting_count: usize) -> Duration {
    let started_at = Instant::now();
    let arrived_at = started_at + since_start;
    let call = EarlyCall {
        arrived_at,
        caller_time,
    };
    let until = wait_until(started_at, call, waiting_count, arrived_at);
    until.map_or(Duration::ZERO, |until| until - arrived_at)
}

/// Guards against refusing the callers of a restarted fleet just before the store is back.
#[test]
fn calls_of_a_restarted_fleet_wait_until_the_store_is_back() {
    let store_returns_after = Duration::from_millis(850);
    let arrivals = (0..850).step_by(50).map(Duration::from_millis);

    let is_served =
        |arrival: Duration| arrival + wait(arrival, STREAM_TIME, 0) >= store_returns_after;

    assert!(arrivals.into_iter().all(is_served));
}

/// Guards against a wait that leaves a caller no time to come back.
#[test]
fn a_wait_takes_a_small_part_of_the_callers_time() {
    let caller_time = Duration::from_millis(600);

    let waited = wait(Duration::ZERO, caller_time, 0);

    assert_eq!(waited, caller_time / 4);
}

/// Guards against calls that pile up while the store is away for long.
#[test]
fn a_node_that_has_been_without_a_configuration_for_long_refuses_at_once() {
    assert_eq!(wait(Duration::from_secs(5), STREAM_TIME, 0), Duration::ZERO);
    assert!(wait(Duration::from_millis(3_900), STREAM_TIME, 0) <= Duration::from_millis(100));
}

/// Guards against a crowd of callers that takes the memory of a node which can't serve yet.
#[test]
fn only_so_many_calls_wait_at_once() {
    assert_eq!(
        wait(Duration::ZERO, STREAM_TIME, WAITING_CALLS_MAX),
        Duration::ZERO
    );
}

/// Guards against a call that waits for a configuration and then as long for upstreams.
#[test]
fn a_call_waits_once_for_all_that_is_missing() {
    let started_at = Instant::now();
    let call = EarlyCall {
        arrived_at: started_at,
        caller_time: STREAM_TIME,
    };
    let has_waited_for_config = started_at + Duration::from_millis(1_500);

    assert_eq!(wait_until(started_at, call, 0, has_waited_for_config), None);
}

/// Guards against a restarted fleet that begins all its streams at the engines which registered
/// first: of 120 engines a third is known at once, and the others half a second later.
#[test]
fn streams_begin_once_most_engines_have_registered() {
    let store_is_back_at = Instant::now();
    let registrations = (0..120).map(|n| store_is_back_at + Duration::from_millis(n / 40 * 500));
    let registrations: Vec<Instant> = registrations.collect();

    let begins_at = (0..2_000).map(|ms| store_is_back_at + Duration::from_millis(ms));
    let begins_at = begins_at.into_iter().find(|now| {
        let known = registrations.iter().filter(|at| *at <= now).max().copied();
        have_upstreams_returned(known, *now)
    });

    let known = registrations.iter().filter(|at| Some(**at) <= begins_at);
    assert_eq!(known.count(), registrations.len());
}
