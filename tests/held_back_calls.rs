//! Calls that a node holds back because their upstreams do not answer a probe.

mod support;

use std::time::Duration;

use support::edge_environment::TestEnvironment;
use support::edge_environment::caller::Caller;
use support::edge_environment::leaving_callers::{CALL_KINDS, call_and_leave};
use zinniawing::EdgeNode;

const DEADLINE_HEADER: &str = "x-zinniawing-deadline-ms: 700\r\n";
/// Time in which an upstream that goes on reads the calls that wait.
const READ_TIME: Duration = Duration::from_millis(300);
/// Time after which all threads of a paused process stand still.
const PAUSE_TIME: Duration = Duration::from_millis(50);

/// A node that one caller has left, so that it probes before it sends, and whose plain
/// services are paused.
async fn start_with_paused_services() -> (TestEnvironment, EdgeNode, Caller) {
    let environment = TestEnvironment::start(0).await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = Duration::from_millis(100);
    }
    let (node, caller) = environment.start_ready_node("n1").await;
    for kind in CALL_KINDS.into_iter().take(2) {
        let patience = Duration::from_millis(30);
        call_and_leave(caller.clone(), kind, patience).await;
    }
    set_paused(&environment, true);
    tokio::time::sleep(PAUSE_TIME).await;
    (environment, node, caller)
}

fn set_paused(environment: &TestEnvironment, is_paused: bool) {
    for service in &environment.services {
        service.process.set_paused(is_paused);
    }
}

#[tokio::test]
async fn a_call_that_waits_for_silent_upstreams_in_vain_is_refused_and_never_runs() {
    let (environment, _node, caller) = start_with_paused_services().await;

    for (method, path, _) in CALL_KINDS.into_iter().take(2) {
        let got = caller.call(method, path, DEADLINE_HEADER).await;
        assert_eq!(got.status, 503, "{path}: {got:?}");
        let refused_id = got.call_id;
        set_paused(&environment, false);
        tokio::time::sleep(READ_TIME).await;
        let arrivals = environment.arrivals_of(&refused_id);
        set_paused(&environment, true);
        tokio::time::sleep(PAUSE_TIME).await;
        assert!(arrivals.is_empty(), "{arrivals:?}");
    }
}

#[tokio::test]
async fn a_call_that_waits_is_sent_when_its_upstream_goes_on() {
    let (environment, _node, caller) = start_with_paused_services().await;
    let calling = {
        let (method, path, _) = CALL_KINDS[1];
        tokio::spawn(async move { caller.call(method, path, "").await })
    };

    tokio::time::sleep(Duration::from_millis(800)).await;
    set_paused(&environment, false);
    let got = calling.await.expect("no panic");

    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(environment.arrivals_of(&got.call_id).len(), 1);
}

#[tokio::test]
async fn a_call_that_waits_is_not_sent_to_an_upstream_that_drains_meanwhile() {
    let (environment, _node, caller) = start_with_paused_services().await;
    let calling = {
        let (method, path, _) = CALL_KINDS[1];
        tokio::spawn(async move { caller.call(method, path, "").await })
    };

    tokio::time::sleep(Duration::from_millis(300)).await;
    for service in &environment.services {
        let entry = service.entry("draining");
        environment.store.put("servers", &service.id, entry);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    set_paused(&environment, false);
    let got = calling.await.expect("no panic");

    assert_eq!(got.status, 503, "{got:?}");
    assert!(environment.arrivals_of(&got.call_id).is_empty());
}
