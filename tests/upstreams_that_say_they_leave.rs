//! Upstreams that say in their answers that they leave.

mod support;

use std::time::Duration;

use support::edge_environment::caller::Caller;
use support::edge_environment::running_stream::assert_stream_complete;
use support::edge_environment::{IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, TestEnvironment};

const LEAVING: &str = "server-leaving: 1\r\n";
const EVENT_COUNT: u64 = 60;

/// Makes plain calls one after the other, and asserts that all are served.
async fn call_in_turn(caller: &Caller, count: usize) {
    for number in 0..count {
        let (method, path) = match number % 2 {
            0 => ("GET", IDEMPOTENT_PATH),
            _ => ("POST", NON_IDEMPOTENT_PATH),
        };
        let answer = caller.call(method, path, "").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// The entry that says `ready` again is an old one, or its writer doesn't know.
#[tokio::test]
async fn no_call_follows_an_answer_that_says_its_upstream_leaves() {
    let environment = TestEnvironment::start(1).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let (leaving, other) = (&environment.services[0], &environment.services[1]);
    // The leaving one answers faster, and would be preferred.
    *other.answer_time.lock().expect("unpoisoned") = Duration::from_millis(20);
    *leaving.extra_headers.lock().expect("unpoisoned") = LEAVING.to_owned();

    call_in_turn(&caller, 20).await;
    let store = &environment.store;
    store.put("servers", &leaving.id, leaving.entry("draining"));
    store.put("servers", &leaving.id, leaving.entry("ready"));
    call_in_turn(&caller, 20).await;

    assert_eq!(leaving.received().len(), 1, "the one that says it");
}

#[tokio::test]
async fn a_stream_goes_on_at_an_engine_that_says_it_leaves_and_no_other_begins_there() {
    let environment = TestEnvironment::start(2).await;
    environment.set_event_interval(Duration::from_millis(20));
    let (_node, caller) = environment.start_ready_node("n1").await;
    for engine in &environment.engines {
        engine.set_leaving(true);
    }
    let streaming = caller.clone();
    let stream = tokio::spawn(async move { streaming.stream(EVENT_COUNT).await });
    environment.wait_for_running_stream().await;
    for engine in &environment.engines {
        engine.set_leaving(false);
    }
    let leaving = environment.running_engine();

    let others: Vec<_> = (0..6)
        .map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.stream(EVENT_COUNT).await })
        })
        .collect();
    for other in others {
        assert_stream_complete(&other.await.expect("no panic"), EVENT_COUNT);
    }

    assert_eq!(leaving.runs().len(), 1, "the one that says it");
    assert_stream_complete(&stream.await.expect("no panic"), EVENT_COUNT);
}
