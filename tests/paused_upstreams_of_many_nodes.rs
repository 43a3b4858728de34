//! An upstream of a plain service is paused for over a second under a fleet of nodes, each
//! of which sends it a call every few seconds: nearly every call is a node's first one into
//! the silence.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use support::edge_environment::TestEnvironment;
use support::edge_environment::caller::Caller;
use support::edge_environment::leaving_callers::{
    CALL_KINDS, LATE_ARRIVAL_AGE, LATE_ARRIVALS_MAX, LeftCall, call_and_leave,
};

const NODE_COUNT: usize = 89;
const SILENCE: Duration = Duration::from_millis(1_250);
/// Time for which callers come and leave before the silence.
const TIME_BEFORE_SILENCE: Duration = Duration::from_secs(4);
/// Time between two calls at one node.
const CALL_INTERVAL: Duration = Duration::from_secs(1);
/// Callers of the first kind leave before the answer, the others only if it is late.
const PATIENCES: [Duration; 3] = [
    Duration::from_millis(30),
    Duration::from_millis(300),
    Duration::from_millis(600),
];
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Sends a plain call every [`CALL_INTERVAL`], beginning within the first one.
async fn send_impatient_calls(caller: Caller, node: usize, count: usize) -> Vec<LeftCall> {
    tokio::time::sleep(CALL_INTERVAL.mul_f64(node as f64 / NODE_COUNT as f64)).await;
    let mut calls = Vec::new();
    for n in node..node + count {
        let (kind, patience) = (CALL_KINDS[n % 2], PATIENCES[n % PATIENCES.len()]);
        calls.push(tokio::spawn(call_and_leave(caller.clone(), kind, patience)));
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let ended = join_all(calls).await;
    let ended = ended.into_iter().map(|call| call.expect("no panic"));
    ended.flatten().collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn calls_of_callers_that_left_do_not_reach_a_silent_upstream_of_many_nodes() {
    let mut environment = TestEnvironment::start(0).await;
    environment.add_services(1).await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = ANSWER_TIME;
    }
    let (_nodes, callers) = environment.start_ready_nodes(NODE_COUNT).await;

    let count = (TIME_BEFORE_SILENCE + SILENCE).as_secs_f64() / CALL_INTERVAL.as_secs_f64();
    let calling = callers
        .into_iter()
        .enumerate()
        .map(|(n, caller)| tokio::spawn(send_impatient_calls(caller, n, count.ceil() as usize)));
    let calling: Vec<_> = calling.collect();
    tokio::time::sleep(TIME_BEFORE_SILENCE).await;
    environment.services[0].process.set_paused(true);
    tokio::time::sleep(SILENCE).await;
    environment.services[0].process.set_paused(false);
    let left_calls = join_all(calling).await;
    tokio::time::sleep(LATE_ARRIVAL_AGE).await;

    let left_calls = left_calls.into_iter().flat_map(|c| c.expect("no panic"));
    let left_calls: Vec<LeftCall> = left_calls.collect();
    let late_counts = environment.late_counts(&left_calls);
    let late_count: usize = late_counts.values().sum();
    assert!(
        late_count <= LATE_ARRIVALS_MAX,
        "late: {late_counts:?} of {} calls",
        left_calls.len()
    );
}
