//! A stream has begun and breaks off, and the next engine answers with an error.

mod support;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::engine::{Engine, SharedBreak, StreamBreak};
use support::edge_environment::error_answer::{ERROR_TEXT, ErrorAnswer};
use support::edge_environment::{STREAM_PATH, TestEnvironment};
use zinniawing::EdgeNode;

const EVENT_COUNT: u64 = 12;
const BREAK_AFTER: u64 = 5;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// More errors of an engine than a call is sent there.
const ALWAYS: usize = 8;
const HEADERS: &str = "x-zinniawing-deadline-ms: 3000\r\nx-zinniawing-token-usage: 800,12\r\n";

async fn start(is_close_delimited: bool) -> (TestEnvironment, EdgeNode, Caller) {
    let environment = TestEnvironment::start(4).await;
    for engine in &environment.engines {
        let framing = &engine.is_close_delimited;
        framing.store(is_close_delimited, Ordering::Relaxed);
    }
    let (node, caller) = environment.start_ready_node("n1").await;
    (environment, node, caller)
}

fn fail(engine: &Engine, errors: Vec<ErrorAnswer>) {
    *engine.error_answers.lock().expect("unpoisoned") = errors;
}

/// Makes a call whose first run breaks off, whichever engine the node chooses for it. The
/// break is set before the call: a stream that ends before its break is set stays whole.
async fn call_that_breaks(environment: &TestEnvironment, caller: &Caller) -> Response {
    environment.set_event_interval(EVENT_INTERVAL);
    let shared: SharedBreak = Arc::new(Mutex::new(Some(StreamBreak {
        after_events: BREAK_AFTER,
        is_inside_event: false,
        resets: true,
    })));
    for engine in &environment.engines {
        engine.share_next_break(&shared);
    }

    let got = caller.call("POST", STREAM_PATH, HEADERS).await;

    let is_met = shared.lock().expect("unpoisoned").is_none();
    assert!(is_met, "no run has met the break: {got:?}");
    got
}

fn assert_no_error_in(got: &Response, what: impl std::fmt::Debug) {
    assert!(!got.body.contains(ERROR_TEXT), "{what:?}: {got:?}");
    assert!(!got.body.contains("HTTP/1.1"), "{what:?}: {got:?}");
}

fn all_ids() -> Vec<u64> {
    (1..=EVENT_COUNT).collect()
}

#[tokio::test]
async fn a_stream_goes_on_whole_after_an_engine_answered_with_an_error() {
    for is_close_delimited in [false, true] {
        for error in ErrorAnswer::ALL {
            let (environment, _node, caller) = start(is_close_delimited).await;
            // Each engine that goes on with the stream fails once.
            for engine in &environment.engines[..2] {
                fail(engine, vec![error]);
            }

            let got = call_that_breaks(&environment, &caller).await;

            let what = (error, is_close_delimited);
            assert_no_error_in(&got, what);
            // A client error is final: the stream breaks off.
            if error != ErrorAnswer::ClientError {
                assert!(got.is_complete, "{what:?}: {got:?}");
                assert_eq!(got.event_ids(), all_ids(), "{what:?}");
            }
        }
    }
}

#[tokio::test]
async fn a_stream_does_not_look_complete_when_all_other_engines_answer_with_errors() {
    for error in ErrorAnswer::ALL {
        let (environment, _node, caller) = start(false).await;
        for engine in &environment.engines {
            fail(engine, vec![error; ALWAYS]);
        }

        let got = call_that_breaks(&environment, &caller).await;

        assert_no_error_in(&got, error);
        assert!(!got.is_complete, "{error:?}: {got:?}");
    }
}

/// The caller appends what it gets to what it has.
#[tokio::test]
async fn a_caller_that_resumes_gets_no_error_as_the_next_part_of_its_stream() {
    for error in ErrorAnswer::ALL {
        let (environment, _node, caller) = start(false).await;
        environment.wait_for_served_versions().await;
        for engine in &environment.engines {
            fail(engine, vec![error; ALWAYS]);
        }

        let headers = format!("{HEADERS}last-event-id: {BREAK_AFTER}\r\n");
        let got = caller.call("POST", STREAM_PATH, &headers).await;

        let has_error = got.body.contains(ERROR_TEXT);
        assert!(got.status != 200 || !has_error, "{error:?}: {got:?}");
    }
}

#[tokio::test]
async fn a_stream_without_any_event_does_not_look_complete() {
    let (environment, _node, caller) = start(false).await;
    for engine in &environment.engines {
        engine.fails_first_sends.store(true, Ordering::Relaxed);
        fail(engine, vec![ErrorAnswer::Empty; ALWAYS]);
    }

    let got = caller.call("POST", STREAM_PATH, HEADERS).await;

    assert!(got.status != 200 || !got.is_complete, "{got:?}");
}
