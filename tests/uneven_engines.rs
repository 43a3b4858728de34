//! Prompts went to a slow engine as often as to a fast one that was as free.

mod support;

use std::time::Duration;

use support::edge_environment::TestEnvironment;

const EVENT_COUNT: u64 = 12;
/// Streams after which both of two engines were chosen, but for one case in 2^19.
const LEARNING_STREAMS_MAX: usize = 20;
const MEASURED_STREAMS: usize = 6;

#[tokio::test]
async fn prompts_go_to_the_faster_of_two_free_engines_once_both_were_measured() {
    let environment = TestEnvironment::start(2).await;
    for (engine, factor) in environment.engines.iter().zip([1, 4]) {
        *engine.prefill_time.lock().expect("unpoisoned") = Duration::from_millis(200) * factor;
        *engine.event_interval.lock().expect("unpoisoned") = Duration::from_millis(20) * factor;
    }
    let [fast, slow] = &environment.engines[..] else {
        panic!("two engines");
    };
    let (_node, caller) = environment.start_ready_node("n1").await;
    let mut stream_count = 0;
    while fast.runs().is_empty() || slow.runs().is_empty() {
        assert!(stream_count < LEARNING_STREAMS_MAX, "one engine gets all");
        caller.stream(EVENT_COUNT).await;
        stream_count += 1;
    }

    let before = fast.runs().len();
    for _ in 0..MEASURED_STREAMS {
        let got = caller.stream(EVENT_COUNT).await;
        assert!(got.is_complete, "{got:?}");
    }

    assert_eq!(fast.runs().len() - before, MEASURED_STREAMS);
}
