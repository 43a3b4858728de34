//! Tests of the simulation against figures calculated by hand.

mod hedging;

use std::time::Duration;

use crate::policy::priority_class::PriorityClass;
use crate::simulation::engine::{Engine, EngineProfile, Progress, StreamWork};
use crate::simulation::simulator::{
    Placement, RecurringLosses, ResumeMethod, Scenario, SimulationResult, Simulator, StreamKind,
};

fn profile() -> EngineProfile {
    EngineProfile {
        decode_step: Duration::from_millis(4),
        prefill_tokens_per_ms: 8,
        prefill_chunk_tokens: 512,
        slot_count: 64,
        kv_cache_tokens: 88_000,
        tokens_per_event: 7,
    }
}

fn work(stream: usize) -> StreamWork {
    StreamWork {
        stream,
        tokens_to_prefill: 8_192,
        cached_tokens: 0,
        tokens_to_generate: 70,
        priority_class: PriorityClass::LAST,
    }
}

/// Runs the engine until it is idle and returns when each event of `stream` was
/// sent.
fn event_times(engine: &mut Engine, stream: usize) -> Vec<Duration> {
    let mut now = Duration::ZERO;
    let mut times = Vec::new();
    while !engine.is_idle() {
        let (step_time, progress) = engine.step();
        now += step_time;
        let is_event = |p: &&Progress| **p == Progress::Event(stream);
        times.extend(progress.iter().filter(is_event).map(|_| now));
    }
    times
}

#[test]
fn a_single_prompt_goes_through_prefill_at_the_engines_rate_and_its_events_come_evenly() {
    let mut engine = Engine::new(profile());
    engine.accept(work(0));

    let times = event_times(&mut engine, 0);

    // The prefill takes 16 chunks of 64 ms. The seventh token ends the 22nd
    // step of 4 ms, because the last chunk's step also generates the first
    // token.
    assert_eq!(times[0], Duration::from_millis(16 * 64 + 22 * 4));
    assert_eq!(times.len(), 10);
    assert!(
        times
            .windows(2)
            .all(|w| w[1] - w[0] == Duration::from_millis(28))
    );
}

#[test]
fn prefill_of_another_prompt_slows_a_running_stream() {
    let mut engine = Engine::new(profile());
    engine.accept(work(0));
    engine.accept(work(1));

    let times = event_times(&mut engine, 0);

    // While the other prompt is in prefill, each step takes 64 ms for a chunk of
    // that prompt and 4 ms for the tokens. An event of 7 tokens takes 7 steps.
    let longest_gap = times.windows(2).map(|w| w[1] - w[0]).max();
    assert_eq!(longest_gap, Some(Duration::from_millis(476)));
}

#[test]
fn the_newest_stream_is_preempted_when_the_kv_cache_is_full() {
    let mut engine = Engine::new(EngineProfile {
        kv_cache_tokens: 2 * 8_192 + 80,
        ..profile()
    });
    engine.accept(work(0));
    engine.accept(work(1));

    let mut preempted = Vec::new();
    while !engine.is_idle() {
        let (_, progress) = engine.step();
        preempted.extend(progress.into_iter().filter_map(|p| match p {
            Progress::Preempted(stream, _) => Some(stream),
            _ => None,
        }));
    }

    assert!(preempted.iter().all(|stream| *stream == 1), "{preempted:?}");
}

fn scenario() -> Scenario {
    Scenario {
        profile: profile(),
        speeds: vec![1.0],
        slowdowns: None,
        losses: None,
        kinds: vec![StreamKind {
            priority_class: PriorityClass::LAST,
            first_event_max: Duration::from_secs(5),
            burst_factor: 1.0,
        }],
        node_count: 7,
        engine_count: 24,
        data_centre_count: 3,
        streams_per_s: 12.0,
        arrival_duration: Duration::from_secs(30),
        prompt_tokens: 8_200,
        answer_tokens: 980,
        outage: None,
        placement: Placement::OwnFirst,
        resume: ResumeMethod::Copy,
    }
}

fn longest_wait_for_first_event(result: &SimulationResult) -> Duration {
    let waits = result
        .streams
        .iter()
        .filter_map(|s| s.time_to_first_event());
    waits.max().expect("at least one stream had an event")
}

#[test]
fn every_stream_completes_despite_an_outage() {
    let result = Simulator::run(
        Scenario {
            outage: Some((Duration::from_secs(10), Duration::from_secs(2))),
            ..scenario()
        },
        3,
    );

    assert!(result.streams.len() > 200);
    assert!(result.streams.iter().all(|stream| stream.is_complete));
    assert!(
        result
            .streams
            .iter()
            .all(|stream| stream.event_count == 140)
    );
    assert!(result.recomputed_tokens > 0);
}

/// Seven nodes offer 12 prompts of 8,200 tokens per second, about half of what
/// the prefill of 24 engines can process.
#[test]
fn preferring_assigned_engines_gives_a_shorter_worst_wait_than_random_placement() {
    let worst = |placement| {
        let results = (0..8).map(|seed| {
            Simulator::run(
                Scenario {
                    placement,
                    ..scenario()
                },
                seed,
            )
        });
        results
            .map(|result| longest_wait_for_first_event(&result))
            .max()
    };

    assert!(worst(Placement::OwnFirst) < worst(Placement::Random));
}

#[test]
fn a_simulation_depends_on_its_seed_alone() {
    let (one, two) = (Simulator::run(scenario(), 9), Simulator::run(scenario(), 9));

    assert_eq!(one.streams, two.streams);
}

/// A fifth of workload (b): of four engines, one is much slower than the others.
fn uneven_scenario(placement: Placement) -> Scenario {
    Scenario {
        profile: EngineProfile {
            decode_step: Duration::from_micros(6_080),
            prefill_chunk_tokens: 200,
            slot_count: 48,
            tokens_per_event: 5,
            ..profile()
        },
        speeds: vec![0.55, 1.2, 1.2, 1.2],
        node_count: 12,
        engine_count: 36,
        data_centre_count: 4,
        streams_per_s: 9.6,
        answer_tokens: 600,
        placement,
        ..scenario()
    }
}

fn sum_of_durations(scenario: &Scenario) -> Duration {
    let results = (0..8).map(|seed| Simulator::run(scenario.clone(), seed));
    let streams = results.flat_map(|result| result.streams);
    streams.filter_map(|stream| stream.duration()).sum()
}

/// Nodes that counted tokens had prompts wait at slow engines while fast ones were idle.
#[test]
fn streams_take_less_time_at_uneven_engines_whose_speed_is_learned() {
    let by_tokens = sum_of_durations(&uneven_scenario(Placement::OwnFirst));
    let by_time = sum_of_durations(&uneven_scenario(Placement::ExpectedTime));

    assert!(
        by_time < by_tokens.mul_f64(0.95),
        "{by_time:?}, {by_tokens:?}"
    );
}

/// Engines of one speed are measured as if they differed, because other nodes' prompts are
/// read there. Placement by time must not be misled by that.
#[test]
fn streams_take_no_more_time_at_engines_of_one_speed_whose_speed_is_learned() {
    let with_placement = |placement| Scenario {
        speeds: vec![1.0],
        ..uneven_scenario(placement)
    };
    let by_tokens = sum_of_durations(&with_placement(Placement::OwnFirst));
    let by_time = sum_of_durations(&with_placement(Placement::ExpectedTime));

    assert!(
        by_time < by_tokens.mul_f64(1.02),
        "{by_time:?}, {by_tokens:?}"
    );
}

/// Engines read the prompts of more urgent streams first, of which there are twice as many.
#[test]
fn the_least_urgent_streams_are_served_under_bursts_of_more_urgent_ones() {
    let kind = |priority, burst_factor| StreamKind {
        priority_class: PriorityClass::of_priority(priority),
        first_event_max: Duration::from_secs(10),
        burst_factor,
    };
    let scenario = Scenario {
        losses: Some(RecurringLosses {
            interval: Duration::from_secs(7),
            duration: Duration::from_millis(1_200),
            share: (0.88, 0.99),
        }),
        kinds: vec![kind(0, 2.3), kind(1, 1.0), kind(2, 1.0)],
        ..uneven_scenario(Placement::ExpectedTime)
    };

    let result = Simulator::run(scenario, 5);

    assert!(result.streams.iter().all(|stream| stream.is_complete));
    let least_urgent = result.streams.iter().filter(|stream| stream.kind == 2);
    let longest = least_urgent.filter_map(|s| s.time_to_first_event()).max();
    assert!(longest < Some(Duration::from_secs(10)), "{longest:?}");
}
