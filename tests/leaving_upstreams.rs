//! Calls that leave a sound upstream, because it is silent, for one that turns out
//! not to serve them.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::engine::Engine;
use support::edge_environment::running_stream::assert_stream_complete;
use support::edge_environment::{IDEMPOTENT_PATH, TestEnvironment, config, eventually};
use tokio::task::JoinHandle;
use zinniawing::EdgeNode;

const EVENT_COUNT: u64 = 100;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const SILENCE: Duration = Duration::from_millis(1_200);

fn spawn_stream(caller: &Caller) -> JoinHandle<Response> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.stream(EVENT_COUNT).await })
}

/// Starts a node and a stream that has sent its first events.
async fn start_with_running_stream(
    engine_count: usize,
) -> (TestEnvironment, EdgeNode, Caller, JoinHandle<Response>) {
    let environment = TestEnvironment::start(engine_count).await;
    environment.set_event_interval(EVENT_INTERVAL);
    let (node, caller) = environment.start_ready_node("n1").await;
    let stream = spawn_stream(&caller);
    environment.wait_for_running_stream().await;
    (environment, node, caller, stream)
}

fn other_engines(environment: &TestEnvironment, engine: &Engine) -> Vec<Arc<Engine>> {
    let engines = environment.engines.iter().cloned();
    engines.filter(|e| e.address != engine.address).collect()
}

fn assert_complete(got: &Response) {
    assert_stream_complete(got, EVENT_COUNT);
}

#[tokio::test]
async fn a_stream_is_not_cut_when_its_engine_is_silent_and_the_others_are_full() {
    let (environment, _node, _caller, stream) = start_with_running_stream(6).await;
    let silent = environment.running_engine().clone();

    for engine in other_engines(&environment, &silent) {
        engine.is_full.store(true, Ordering::Relaxed);
    }
    silent.silence(SILENCE).await;
    let got = stream.await.expect("no panic");

    assert_complete(&got);
}

#[tokio::test]
async fn a_stream_is_not_cut_when_its_engine_is_silent_and_the_others_accept_no_connection() {
    let (environment, _node, caller, stream) = start_with_running_stream(2).await;
    let silent = environment.running_engine().clone();
    let other = other_engines(&environment, &silent)[0].clone();
    let second = spawn_stream(&caller);
    eventually("the other engine runs a stream", || {
        other.running_count() > 0
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    other.refuses_connections.store(true, Ordering::Relaxed);
    silent.silence(SILENCE).await;
    let got = stream.await.expect("no panic");
    let second = second.await.expect("no panic");

    assert_complete(&second);
    assert_complete(&got);
}

#[tokio::test]
async fn a_stream_returns_to_an_engine_that_was_silent_when_its_next_engine_crashes() {
    let (environment, _node, _caller, stream) = start_with_running_stream(2).await;
    let silent = environment.running_engine().clone();
    let other = other_engines(&environment, &silent)[0].clone();

    silent.set_frozen(true);
    eventually("the stream moved", || other.running_count() > 0).await;
    silent.set_frozen(false);
    tokio::time::sleep(Duration::from_millis(300)).await;
    other.crash();
    let got = stream.await.expect("no panic");

    assert_complete(&got);
}

#[tokio::test]
async fn a_stream_stays_at_an_engine_that_goes_on_while_others_are_probed() {
    let (environment, _node, _caller, stream) = start_with_running_stream(4).await;

    let silent = environment.running_engine().clone();
    environment.set_all_engines_frozen(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    silent.set_frozen(false);
    tokio::time::sleep(Duration::from_millis(60)).await;
    environment.set_all_engines_frozen(false);
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert_eq!(
        environment.run_count(),
        1,
        "longest pause {:?}",
        got.longest_pause
    );
}

#[tokio::test]
async fn a_call_keeps_its_upstream_when_no_time_is_left_for_another_one() {
    let environment = TestEnvironment::start(1).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = Duration::from_millis(260);
    }

    let got = caller
        .call("GET", IDEMPOTENT_PATH, "x-zinniawing-deadline-ms: 400\r\n")
        .await;

    assert_eq!(got.status, 200, "{} {}", got.head, got.body);
}

#[tokio::test]
async fn a_stream_that_may_be_sent_once_stays_at_its_silent_engine_although_others_respond() {
    let environment = TestEnvironment::start(4).await;
    let mut config = config(2);
    config["routes"][0]["max-attempts"] = json!(1);
    environment.store.put("config", "main", config);
    environment.set_event_interval(EVENT_INTERVAL);
    let (_node, caller) = environment.start_ready_node("n1").await;
    let stream = spawn_stream(&caller);
    environment.wait_for_running_stream().await;

    let silent = environment.running_engine().clone();
    silent.silence(SILENCE).await;
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert_eq!(environment.run_count(), 1);
}

#[tokio::test]
async fn a_stream_keeps_its_next_engine_when_the_silent_one_crashes_meanwhile() {
    let environment = TestEnvironment::start(4).await;
    let mut config = config(2);
    config["services"][0]["engine"]["replicas"] = json!(false);
    environment.store.put("config", "main", config);
    environment.set_event_interval(EVENT_INTERVAL);
    let (_node, caller) = environment.start_ready_node("n1").await;
    let stream = spawn_stream(&caller);
    environment.wait_for_running_stream().await;

    for engine in &environment.engines {
        *engine.prefill_time.lock().expect("unpoisoned") = Duration::from_millis(800);
    }
    let silent = environment.running_engine().clone();
    silent.set_frozen(true);
    eventually("the stream moves", || environment.run_count() > 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    silent.crash();
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert_eq!(environment.run_count(), 2);
}
