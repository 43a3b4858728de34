//! Answers with neither a length nor chunks, which end with their connections, and
//! bytes that are no answer.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::json;
use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::engine::StreamBreak;
use support::edge_environment::service::NextFault;
use support::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, SINGLE_RUN_STREAM_PATH, STREAM_PATH, TestEnvironment,
    config,
};
use zinniawing::EdgeNode;

const EVENT_COUNT: u64 = 12;
/// Deadline of calls whose upstreams send without end.
const DEADLINE: Duration = Duration::from_millis(1_500);

async fn start_with_unframed_streams() -> (TestEnvironment, EdgeNode, Caller) {
    let environment = TestEnvironment::start(2).await;
    for engine in &environment.engines {
        engine.is_close_delimited.store(true, Ordering::Relaxed);
    }
    let (node, caller) = environment.start_ready_node("n1").await;
    (environment, node, caller)
}

async fn stream(caller: &Caller, path: &str) -> Response {
    let headers = format!(
        "x-zinniawing-deadline-ms: 6000\r\nx-zinniawing-token-usage: 800,{EVENT_COUNT}\r\n"
    );
    caller.call("POST", path, &headers).await
}

/// The places at which a break can be told from the end: all but a close between two
/// events.
fn breaks() -> Vec<StreamBreak> {
    let mut breaks = Vec::new();
    for after_events in [0, 1, 5, EVENT_COUNT - 1] {
        for is_inside_event in [false, true] {
            for resets in [false, true] {
                breaks.push(StreamBreak {
                    after_events,
                    is_inside_event,
                    resets,
                });
            }
        }
    }
    breaks.retain(|at| at.after_events == 0 || at.is_inside_event || at.resets);
    breaks
}

#[tokio::test]
async fn an_unframed_stream_is_passed_on_whole_and_resumed_wherever_it_breaks() {
    let (environment, _node, caller) = start_with_unframed_streams().await;
    let whole = stream(&caller, STREAM_PATH).await;

    let mut resumed = Vec::new();
    let breaking = &environment.engines[0];
    for at in breaks() {
        breaking.break_next_stream(at);
        while breaking.has_break_ahead() {
            resumed.push((at, stream(&caller, STREAM_PATH).await));
        }
    }

    let all_ids: Vec<u64> = (1..=EVENT_COUNT).collect();
    assert!(whole.is_complete);
    assert_eq!(whole.event_ids(), all_ids);
    for (at, got) in resumed {
        assert!(got.is_complete, "{at:?}: {got:?}");
        assert_eq!(got.event_ids(), all_ids, "{at:?}");
    }
}

#[tokio::test]
async fn an_unframed_stream_that_may_run_once_does_not_look_complete_when_it_breaks() {
    let (environment, _node, caller) = start_with_unframed_streams().await;

    for at in breaks() {
        for engine in &environment.engines {
            engine.break_next_stream(at);
        }
        let got = stream(&caller, SINGLE_RUN_STREAM_PATH).await;

        assert!(!got.is_complete || got.status != 200, "{at:?}: {got:?}");
    }
}

#[tokio::test]
async fn an_unframed_plain_answer_is_passed_on_whole_and_a_reset_one_is_not() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let queue = |fault| {
        environment
            .services
            .iter()
            .for_each(|s| s.queue_fault(fault))
    };

    queue(NextFault::CloseDelimited);
    let whole = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;
    environment.services.iter().for_each(|s| s.clear_faults());
    queue(NextFault::CloseDelimitedReset);
    let broken = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;
    environment.services.iter().for_each(|s| s.clear_faults());
    environment.services[0].queue_fault(NextFault::CloseDelimitedReset);
    environment.services[1].queue_fault(NextFault::CloseDelimitedReset);
    let repeated = caller.call("GET", IDEMPOTENT_PATH, "").await;

    assert_eq!((whole.status, whole.is_complete), (200, true));
    assert_eq!(whole.body, format!("done {}", whole.call_id));
    assert_eq!(broken.status, 502, "{broken:?}");
    // Both upstreams broke off, and a further attempt finds none that was not tried.
    assert_ne!(repeated.status, 200, "{repeated:?}");
}

/// The upstream sends until the caller of the node, or the node itself, closes.
#[tokio::test]
async fn bytes_without_end_are_cut_off_at_the_latest_at_the_deadline() {
    let environment = TestEnvironment::start(0).await;
    let mut config = config(2);
    config["routes"][1]["max-attempts"] = json!(1);
    environment.store.put("config", "main", config);
    let (_node, caller) = environment.start_ready_node("n1").await;
    let headers = format!("x-zinniawing-deadline-ms: {}\r\n", DEADLINE.as_millis());

    for fault in [NextFault::EndlessHead, NextFault::EndlessBody] {
        for path in [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH] {
            for service in &environment.services {
                service.clear_faults();
                service.queue_fault(fault);
            }
            let began_at = Instant::now();
            let got = caller.call("POST", path, &headers).await;

            assert!(
                began_at.elapsed() < DEADLINE + Duration::from_millis(500),
                "{fault:?} {path}: {:?}",
                began_at.elapsed()
            );
            assert!(!got.is_complete || got.status != 200, "{fault:?} {path}");
        }
    }
}
