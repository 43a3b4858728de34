//! An upstream writes an earlier refusal once more where the answer to another request is due.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use support::edge_environment::caller::Caller;
use support::edge_environment::running_stream::assert_stream_complete;
use support::edge_environment::service::NextFault;
use support::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, TestEnvironment, eventually,
};

/// Time for which an upstream is avoided after an answer that is not the call's.
const AVOIDED_TIME: Duration = Duration::from_millis(800);
const EVENT_COUNT: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the node acts on what the probe met.
const PROBE_TIME: Duration = Duration::from_millis(100);
/// Calls that are made at once, so that one upstream alone is not enough for them.
const CALLS_AT_ONCE: usize = 12;

fn queue_at_all(environment: &TestEnvironment, fault: NextFault) {
    let services = environment.services.iter();
    services.for_each(|service| service.queue_fault(fault));
}

fn clear_faults(environment: &TestEnvironment) {
    let services = environment.services.iter();
    services.for_each(|service| service.clear_faults());
}

/// Makes calls until the node has a kept connection to each upstream.
async fn open_connections(environment: &TestEnvironment, caller: &Caller) {
    while environment.services.iter().any(|s| s.received().is_empty()) {
        caller.call("GET", IDEMPOTENT_PATH, "").await;
    }
}

#[tokio::test]
async fn a_call_that_runs_is_not_said_not_to_have_run_by_the_refusal_of_another_call() {
    for fault in NextFault::EARLIER {
        let environment = TestEnvironment::start(0).await;
        let (_node, caller) = environment.start_ready_node("n1").await;
        open_connections(&environment, &caller).await;
        let before = environment.executed_count();
        queue_at_all(&environment, fault);

        let got = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;

        assert_eq!(got.status, 502, "{fault:?}: {got:?}");
        assert_eq!(environment.executed_count() - before, 1, "{fault:?}");
    }
}

/// The refusal asks for rest, says that the upstream leaves, and names a limit.
#[tokio::test]
async fn an_upstream_is_used_again_after_the_refusal_of_another_call() {
    for fault in NextFault::EARLIER {
        let environment = TestEnvironment::start(0).await;
        let (_node, caller) = environment.start_ready_node("n1").await;
        open_connections(&environment, &caller).await;
        queue_at_all(&environment, fault);
        while environment.services.iter().any(|s| !s.all_faults_used()) {
            caller.call("GET", IDEMPOTENT_PATH, "").await;
            tokio::time::sleep(AVOIDED_TIME).await;
        }
        tokio::time::sleep(AVOIDED_TIME).await;

        let services = &environment.services;
        let before: Vec<usize> = services.iter().map(|s| s.executed().len()).collect();
        let path = format!("{NON_IDEMPOTENT_PATH}?answer-ms=50");
        let calls = (0..CALLS_AT_ONCE).map(|_| caller.call("POST", &path, ""));
        let answers = join_all(calls).await;

        assert!(answers.iter().all(|got| got.status == 200), "{fault:?}");
        for (service, before) in services.iter().zip(before) {
            assert!(
                service.executed().len() > before,
                "{fault:?}: {}",
                service.id
            );
        }
    }
}

/// On a new connection no other call can be meant.
#[tokio::test]
async fn a_refusal_that_names_no_call_is_believed_as_the_first_answer_of_a_connection() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    queue_at_all(&environment, NextFault::UnnamedRefusal);
    let on_new = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;
    let run_count = environment.executed_count();
    clear_faults(&environment);
    open_connections(&environment, &caller).await;
    queue_at_all(&environment, NextFault::UnnamedRefusal);
    let on_kept = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;

    assert_eq!((on_new.status, run_count), (503, 0), "{on_new:?}");
    assert_eq!(on_kept.status, 502, "{on_kept:?}");
}

/// The engine sends nothing for a moment, so that it is probed, and where its report is due
/// stands the refusal of a call.
#[tokio::test]
async fn a_stream_stays_at_its_engine_when_a_probe_meets_the_refusal_of_a_call() {
    let environment = TestEnvironment::start(2).await;
    environment.set_event_interval(EVENT_INTERVAL);
    let (_node, caller) = environment.start_ready_node("n1").await;
    // Leaves a kept connection to each engine, over which a probe goes.
    caller.stream(1).await;
    caller.stream(1).await;
    let streaming = caller.clone();
    let stream = tokio::spawn(async move { streaming.stream(EVENT_COUNT).await });
    environment.wait_for_running_stream().await;
    let engine = environment.running_engine();
    let run_count = environment.run_count();

    engine.reports_while_frozen.store(true, Ordering::Relaxed);
    engine.has_earlier_refusal.store(true, Ordering::Relaxed);
    engine.set_frozen(true);
    let is_met = || !engine.has_earlier_refusal.load(Ordering::Relaxed);
    eventually("a probe met the refusal", is_met).await;
    tokio::time::sleep(PROBE_TIME).await;
    engine.set_frozen(false);
    let got = stream.await.expect("no panic");
    let stayed = environment.run_count() == run_count;
    let others = environment.engines.iter().filter(|e| e.id() != engine.id());
    others.for_each(|other| other.is_full.store(true, Ordering::Relaxed));
    let next = caller.stream(EVENT_COUNT).await;

    assert_stream_complete(&got, EVENT_COUNT);
    assert!(stayed, "the stream moved");
    // The refusal asked for rest, but not of this request.
    assert_stream_complete(&next, EVENT_COUNT);
}
