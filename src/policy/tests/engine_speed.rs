//! What a node learns of an engine's speed is neither too slow because of other nodes' work
//! there nor lasting.

use std::time::{Duration, Instant};

use crate::policy::engine_speed::{EngineSpeed, GapMeter};

const PROMPT_TOKENS: u64 = 8_200;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An engine reads 8 tokens a millisecond; three of five prompts come behind one of another
/// node, of which this node doesn't know.
#[test]
fn prompts_of_other_nodes_do_not_make_an_engine_look_slow() {
    let start = Instant::now();
    let mut speed = EngineSpeed::default();
    for (at_s, elapsed_ms) in [(1, 2_100), (3, 1_030), (5, 1_900), (7, 1_040), (9, 2_050)] {
        let now = start + Duration::from_secs(at_s);
        speed.record_prefill(PROMPT_TOKENS, ms(elapsed_ms), now);
    }

    let estimate = speed.estimate(start + Duration::from_secs(10));

    let prefill_ms = estimate.prefill_ms_per_token.expect("known") * PROMPT_TOKENS as f64;
    assert!((1_030.0..=1_041.0).contains(&prefill_ms), "{prefill_ms}");
    assert_eq!(estimate.age, Some(Duration::from_secs(1)));
}

/// A slow engine gets no work, so no sample would ever show that it has recovered.
#[test]
fn an_engine_that_was_slow_counts_as_unknown_after_a_while_and_is_tried_again() {
    let start = Instant::now();
    let mut speed = EngineSpeed::default();
    speed.record_prefill(PROMPT_TOKENS, ms(9_000), start);
    speed.record_gap(ms(300), start);

    assert!(
        speed
            .estimate(start + Duration::from_secs(29))
            .event_gap_ms
            .is_some()
    );
    let later = speed.estimate(start + Duration::from_secs(30));
    assert_eq!(later.prefill_ms_per_token, None);
    assert_eq!((later.event_gap_ms, later.age), (None, None));
}

/// A slow caller holds the events of its stream back, and takes them all at once then.
#[test]
fn waiting_for_a_slow_caller_is_no_measure_of_the_engine() {
    let start = Instant::now();
    let mut meter = GapMeter::default();
    let even: Vec<Option<Duration>> = (0..9)
        .map(|n| meter.record_event(start + n * ms(31)))
        .collect();
    assert_eq!(even[8], Some(ms(31)));

    meter.record_wait();
    let burst = (0..9).filter_map(|_| meter.record_event(start + ms(2_000)));

    assert_eq!(burst.count(), 0);
}
