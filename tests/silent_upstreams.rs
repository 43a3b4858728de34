//! Calls whose upstreams fall silent for about a second, with open connections, and
//! then go on. Silence alone must not end an answer.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::{IDEMPOTENT_PATH, TestEnvironment, config, eventually};
use tokio::task::JoinHandle;
use zinniawing::EdgeNode;

const EVENT_COUNT: u64 = 100;
const STREAM_COUNT: usize = 6;
/// How long the engines are silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time between two silences, in which the streams go on.
const PAUSE: Duration = Duration::from_millis(800);

/// Starts a node that forwards [`STREAM_COUNT`] streams, with the configuration's
/// stream route changed by `change_route`.
async fn start_with_running_streams(
    engine_count: usize,
    change_route: impl Fn(&mut serde_json::Value),
) -> (TestEnvironment, EdgeNode, Vec<JoinHandle<Response>>) {
    let environment = TestEnvironment::start(engine_count).await;
    let mut config = config(2);
    change_route(&mut config["routes"][0]);
    environment.store.put("config", "main", config);
    environment.set_event_interval(Duration::from_millis(30));
    let (node, caller) = environment.start_ready_node("n1").await;
    let streams = (0..STREAM_COUNT).map(|_| spawn_stream(&caller)).collect();
    let engines = environment.engines.iter();
    let running_count = || engines.clone().map(|e| e.running_count()).sum::<usize>();
    eventually("all streams run", || running_count() == STREAM_COUNT).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    (environment, node, streams)
}

fn spawn_stream(caller: &Caller) -> JoinHandle<Response> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.stream(EVENT_COUNT).await })
}

/// Silences all engines for [`SILENCE`].
async fn silence_engines(environment: &TestEnvironment) {
    for engine in &environment.engines {
        engine.set_frozen(true);
    }
    tokio::time::sleep(SILENCE).await;
    for engine in &environment.engines {
        engine.set_frozen(false);
    }
}

async fn assert_complete(streams: Vec<JoinHandle<Response>>) {
    for stream in streams {
        let got = stream.await.expect("no panic");
        assert!(
            got.is_complete,
            "cut after {} events",
            got.event_ids().len()
        );
        assert_eq!(got.event_ids(), (1..=EVENT_COUNT).collect::<Vec<u64>>());
    }
}

#[tokio::test]
async fn a_stream_is_not_cut_when_all_engines_are_silent_twice() {
    let (environment, _node, streams) =
        start_with_running_streams(8, |route| route["timeout-ms"] = json!(20_000)).await;

    silence_engines(&environment).await;
    tokio::time::sleep(PAUSE).await;
    silence_engines(&environment).await;

    assert_complete(streams).await;
}

#[tokio::test]
async fn a_stream_that_may_not_be_sent_again_is_not_cut_by_a_silence() {
    let (environment, _node, streams) =
        start_with_running_streams(4, |route| route["max-attempts"] = json!(1)).await;

    silence_engines(&environment).await;

    assert_complete(streams).await;
}

#[tokio::test]
async fn a_stream_is_not_cut_when_the_upstreams_that_it_could_move_to_refuse_it() {
    let (environment, _node, streams) =
        start_with_running_streams(4, |route| route["max-attempts"] = json!(2)).await;
    for engine in &environment.engines {
        engine.is_full.store(true, Ordering::Relaxed);
    }
    let silent = environment.running_engine();

    silent.set_frozen(true);
    tokio::time::sleep(SILENCE).await;
    silent.set_frozen(false);

    assert_complete(streams).await;
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_not_cut_by_a_silence() {
    let (environment, _node, streams) =
        start_with_running_streams(4, |route| route["resumable"] = json!(false)).await;

    silence_engines(&environment).await;

    assert_complete(streams).await;
}

#[tokio::test]
async fn a_stream_that_has_not_begun_is_not_given_up_because_of_a_silence() {
    let environment = TestEnvironment::start(4).await;
    let mut config = config(2);
    config["routes"][0]["max-attempts"] = json!(1);
    environment.store.put("config", "main", config);
    let (_node, caller) = environment.start_ready_node("n1").await;

    let stream = spawn_stream(&caller);
    silence_engines(&environment).await;

    assert_complete(vec![stream]).await;
}

#[tokio::test]
async fn an_idempotent_call_is_answered_when_all_upstreams_are_silent_for_a_second() {
    let environment = TestEnvironment::start(1).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = SILENCE;
    }

    let got = caller.call("GET", IDEMPOTENT_PATH, "").await;

    assert_eq!(got.status, 200, "{} {}", got.head, got.body);
    assert_eq!(environment.executed_count(), environment.services.len());
}
