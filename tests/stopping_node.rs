//! What callers get from a node that has got the stop signal, and how long it takes.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use support::edge_environment::caller::Caller;
use support::edge_environment::{
    NON_IDEMPOTENT_PATH, NodeSpec, TestEnvironment, eventually, start_node_with_grace,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use zinniawing::EdgeNode;

const GRACE_PERIOD_S: u32 = 2;
/// A grace period in which calls of [`WORK_TIME`] can end.
const LONG_GRACE_PERIOD_S: u32 = 4;
/// Time that a call takes.
const WORK_TIME: Duration = Duration::from_millis(1_000);
/// Calls that are sent in the grace period, and the time between two of them.
const CALLS_IN_GRACE: usize = 34;
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a node without calls has stopped: it stays for three seconds
/// for callers that have an older list of addresses.
const IDLE_STOP_MAX: Duration = Duration::from_millis(3_500);

/// Starts a node with a short grace period.
async fn start_node(environment: &TestEnvironment) -> (EdgeNode, Caller) {
    let spec = NodeSpec::new("n1", "dc-a");
    let node = start_node_with_grace(&spec, environment.store.address, GRACE_PERIOD_S).await;
    let caller = Caller::new(&spec);
    caller.wait_until_ready().await;
    (node, caller)
}

#[tokio::test]
async fn a_call_that_outlasts_the_shutdown_of_its_node_is_answered() {
    let environment = TestEnvironment::start(1).await;
    let (node, caller) = start_node(&environment).await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = Duration::from_millis(4_000);
    }
    let call = tokio::spawn(async move { caller.call("POST", NON_IDEMPOTENT_PATH, "").await });
    eventually("the call runs", || environment.executed_count() > 0).await;

    node.drain().await;
    let got = call.await.expect("no panic");

    assert_ne!(
        got.status, 0,
        "the call got neither an answer nor a refusal"
    );
}

#[tokio::test]
async fn a_stream_that_has_not_begun_when_its_node_stops_is_answered() {
    let environment = TestEnvironment::start(1).await;
    let (node, caller) = start_node(&environment).await;
    environment.engines[0].set_frozen(true);
    let call = tokio::spawn(async move { caller.stream(5).await });
    tokio::time::sleep(Duration::from_millis(100)).await;

    node.drain().await;
    let got = call.await.expect("no panic");

    assert_ne!(
        got.status, 0,
        "the stream got neither an answer nor a refusal"
    );
}

/// Guards against calls that are taken in the grace period, run, and are then given up because
/// their node shuts down before they can end.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_a_stopping_node_can_not_finish_are_refused_unrun() {
    let environment = TestEnvironment::start(1).await;
    let spec = NodeSpec::new("n1", "dc-a");
    let node = start_node_with_grace(&spec, environment.store.address, LONG_GRACE_PERIOD_S).await;
    let caller = Caller::new(&spec);
    caller.wait_until_ready().await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = WORK_TIME;
    }
    let call = || {
        let caller = caller.clone();
        tokio::spawn(async move { caller.call("POST", NON_IDEMPOTENT_PATH, "").await })
    };
    for first in (0..4).map(|_| call()) {
        assert_eq!(first.await.expect("no panic").status, 200);
    }

    let stopping = tokio::spawn(node.drain());
    let mut calls = Vec::new();
    for _ in 0..CALLS_IN_GRACE {
        calls.push(call());
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    stopping.await.expect("no panic");

    let runs = environment.services.iter().flat_map(|s| s.executed());
    let run_ids: Vec<String> = runs
        .filter_map(|run| run.header("x-zinniawing-attempt-id").map(str::to_owned))
        .collect();
    let mut statuses = BTreeSet::new();
    for call in calls {
        let got = call.await.expect("no panic");
        let has_run = run_ids.contains(&got.call_id);
        statuses.insert(got.status);
        assert_eq!(has_run, got.status == 200, "{got:?}");
    }
    assert!(
        statuses.is_superset(&BTreeSet::from([200, 503])),
        "{statuses:?}"
    );
}

/// Returns how long a node without calls takes to stop while a caller has an open
/// connection on which it has sent `sent`.
async fn stop_time_with_connection(sent: &[u8]) -> Duration {
    let environment = TestEnvironment::start(1).await;
    let (node, caller) = environment.start_ready_node("n1").await;
    let mut connection = TcpStream::connect(caller.address).await.expect("connected");
    connection.write_all(sent).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(100)).await;

    let started_at = Instant::now();
    node.drain().await;
    started_at.elapsed()
}

#[tokio::test]
async fn a_connection_without_a_request_does_not_delay_the_stop_of_its_node() {
    let took = stop_time_with_connection(b"").await;

    assert!(took < IDLE_STOP_MAX, "{took:?}");
}

#[tokio::test]
async fn a_connection_with_an_incomplete_request_does_not_delay_the_stop_of_its_node() {
    let took = stop_time_with_connection(b"GET /x HTTP/1.1\r\nho").await;

    assert!(took < IDLE_STOP_MAX, "{took:?}");
}
