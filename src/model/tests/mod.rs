//! The model of engines, against figures worked out by hand.

use std::time::Duration;

use crate::model::engine::{Engine, EngineProfile, Progress, Work};
use crate::model::fleet::{Fleet, Outcome, Placement, Plan, Resume};

fn profile() -> EngineProfile {
    EngineProfile {
        step: Duration::from_millis(4),
        read_tokens_per_ms: 8,
        chunk_tokens: 512,
        slot_count: 64,
        memory_tokens: 88_000,
        event_tokens: 7,
    }
}

fn work(stream: usize) -> Work {
    Work {
        stream,
        unread_tokens: 8_192,
        kept_tokens: 0,
        left_tokens: 70,
    }
}

/// Steps until the engine has nothing left, and gives the time of each event
/// of one stream.
fn event_times(engine: &mut Engine, stream: usize) -> Vec<Duration> {
    let mut now = Duration::ZERO;
    let mut times = Vec::new();
    while !engine.is_idle() {
        let (took, progress) = engine.step();
        now += took;
        let is_event = |p: &&Progress| **p == Progress::Event(stream);
        times.extend(progress.iter().filter(is_event).map(|_| now));
    }
    times
}

#[test]
fn a_prompt_alone_is_read_at_the_engines_rate_and_its_events_follow_evenly() {
    let mut engine = Engine::new(profile());
    engine.accept(work(0));

    let times = event_times(&mut engine, 0);

    // 16 chunks of 64 ms and 22 steps of 4 ms until the seventh token.
    assert_eq!(times[0], Duration::from_millis(16 * 64 + 22 * 4));
    assert_eq!(times.len(), 10);
    assert!(
        times
            .windows(2)
            .all(|w| w[1] - w[0] == Duration::from_millis(28))
    );
}

#[test]
fn a_prompt_beside_it_slows_a_running_stream() {
    let mut engine = Engine::new(profile());
    engine.accept(work(0));
    engine.accept(work(1));

    let times = event_times(&mut engine, 0);

    // Each token takes a chunk of the other prompt: 7 x (64 + 4) ms an event.
    let widest = times.windows(2).map(|w| w[1] - w[0]).max();
    assert_eq!(widest, Some(Duration::from_millis(476)));
}

#[test]
fn the_newest_run_yields_when_memory_is_over() {
    let mut engine = Engine::new(EngineProfile {
        memory_tokens: 2 * 8_192 + 80,
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

fn plan() -> Plan {
    Plan {
        profile: profile(),
        node_count: 7,
        engine_count: 24,
        centre_count: 3,
        streams_per_s: 12.0,
        length: Duration::from_secs(30),
        prompt_tokens: 8_200,
        answer_tokens: 980,
        outage: None,
        placement: Placement::OwnFirst,
        resume: Resume::Copy,
    }
}

fn longest_first_wait(outcome: &Outcome) -> Duration {
    let waits = outcome.streams.iter().filter_map(|s| s.first_event_after());
    waits.max().expect("streams began")
}

#[test]
fn every_stream_is_complete_whatever_is_lost() {
    let outcome = Fleet::play(
        Plan {
            outage: Some((Duration::from_secs(10), Duration::from_secs(2))),
            ..plan()
        },
        3,
    );

    assert!(outcome.streams.len() > 200);
    assert!(outcome.streams.iter().all(|stream| stream.is_complete));
    assert!(
        outcome
            .streams
            .iter()
            .all(|stream| stream.event_count == 140)
    );
    assert!(outcome.reread_tokens > 0);
}

/// Seven nodes at two thirds of what the engines can read.
#[test]
fn nodes_that_keep_to_their_own_engines_make_nobody_wait_as_long_as_chance_does() {
    let worst = |placement| {
        let plays = (0..3).map(|seed| {
            Fleet::play(
                Plan {
                    placement,
                    ..plan()
                },
                seed,
            )
        });
        plays.map(|outcome| longest_first_wait(&outcome)).max()
    };

    assert!(worst(Placement::OwnFirst) < worst(Placement::Random));
}

#[test]
fn a_play_depends_on_its_seed_alone() {
    let (one, two) = (Fleet::play(plan(), 9), Fleet::play(plan(), 9));

    assert_eq!(one.streams, two.streams);
}
