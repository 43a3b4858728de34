//! Upstreams whose processes are paused for about a second and go on, as by SIGSTOP
//! and SIGCONT. The kernel keeps their connections open and queues what is sent to
//! them; a paused upstream still counts as at work on the calls that it began.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::double_run::DOUBLE_RUN_MAX;
use support::edge_environment::leaving_callers::{
    CALL_KINDS, CallKind, LATE_ARRIVAL_AGE, LATE_ARRIVALS_MAX, LeftCall, call_and_leave,
};
use support::edge_environment::run_log::Arrival;
use support::edge_environment::{STREAM_PATH, TestEnvironment, eventually};
use tokio::task::JoinHandle;

const EVENT_COUNT: u64 = 100;
const STREAM_COUNT: usize = 8;
/// Time in which an upstream that goes on reads the calls that wait.
const READ_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// The process of the engine is paused.
    Paused,
    /// The engine sends no events, but answers probes.
    WithoutEvents,
}

fn spawn_stream(caller: &Caller) -> JoinHandle<Response> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.stream(EVENT_COUNT).await })
}

/// Starts streams at a node, silences an engine that runs some of them, and checks
/// that each is complete and that no two engines work on it for long.
async fn check_no_double_run(silence: Silence, length: Duration) {
    let environment = TestEnvironment::start(4).await;
    for engine in &environment.engines {
        *engine.event_interval.lock().expect("unpoisoned") = Duration::from_millis(30);
        let reports = silence == Silence::WithoutEvents;
        engine
            .reports_while_frozen
            .store(reports, Ordering::Relaxed);
    }
    let (_node, caller) = environment.start_ready_node("n1").await;
    let streams: Vec<_> = (0..STREAM_COUNT).map(|_| spawn_stream(&caller)).collect();
    let engines = environment.engines.iter();
    let running_count = || engines.clone().map(|e| e.running_count()).sum::<usize>();
    eventually("all streams run", || running_count() == STREAM_COUNT).await;
    tokio::time::sleep(Duration::from_millis(250)).await;

    let silent = environment.running_engine();
    let set_silent = |is_silent| match silence {
        Silence::Paused => silent.process.set_paused(is_silent),
        Silence::WithoutEvents => silent.set_frozen(is_silent),
    };
    set_silent(true);
    tokio::time::sleep(length).await;
    set_silent(false);

    let mut double_runs = Vec::new();
    for stream in streams {
        let got = stream.await.expect("no panic");
        assert!(got.is_complete, "cut: {} events", got.event_ids().len());
        assert_eq!(got.event_ids(), (1..=EVENT_COUNT).collect::<Vec<u64>>());
        double_runs.push(environment.double_run_time(&got.call_id));
    }
    let longest = double_runs.iter().max().expect("a stream");
    assert!(*longest < DOUBLE_RUN_MAX, "double runs: {double_runs:?}");
}

#[tokio::test]
async fn a_stream_does_not_go_on_elsewhere_while_its_silent_engine_still_works_on_it() {
    check_no_double_run(Silence::Paused, Duration::from_millis(1_000)).await;
}

#[tokio::test]
async fn a_stream_has_no_second_run_beside_an_engine_that_is_paused_for_600_ms() {
    check_no_double_run(Silence::Paused, Duration::from_millis(600)).await;
}

#[tokio::test]
async fn a_stream_has_no_second_run_beside_an_engine_that_is_paused_for_2_s() {
    check_no_double_run(Silence::Paused, Duration::from_millis(2_000)).await;
}

#[tokio::test]
async fn a_stream_has_no_second_run_beside_an_engine_that_answers_only_probes() {
    check_no_double_run(Silence::WithoutEvents, Duration::from_millis(2_000)).await;
}

/// Sends calls of all kinds at an interval, whose callers leave soon, until
/// `duration` has passed.
async fn send_impatient_calls(caller: Caller, duration: Duration) -> Vec<LeftCall> {
    const INTERVAL: Duration = Duration::from_millis(20);
    const PATIENCES_MS: [u64; 3] = [50, 300, 600];
    let count = duration.as_millis() / INTERVAL.as_millis();
    let mut calls = Vec::new();
    for n in 0..count as usize {
        let patience = Duration::from_millis(PATIENCES_MS[n / CALL_KINDS.len() % 3]);
        let kind = CALL_KINDS[n % CALL_KINDS.len()];
        calls.push(tokio::spawn(call_and_leave(caller.clone(), kind, patience)));
        tokio::time::sleep(INTERVAL).await;
    }
    let ended = join_all(calls).await;
    ended
        .into_iter()
        .filter_map(|call| call.expect("no panic"))
        .collect()
}

#[tokio::test]
async fn calls_of_callers_that_left_do_not_reach_a_silent_upstream() {
    const SILENCE: Duration = Duration::from_millis(1_500);
    let mut environment = TestEnvironment::start(4).await;
    environment.add_services(2).await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = Duration::from_millis(100);
    }
    let (_nodes, callers) = environment.start_ready_nodes(3).await;
    let (engine, service) = (&environment.engines[0], &environment.services[0]);

    let calling = callers
        .into_iter()
        .map(|caller| tokio::spawn(send_impatient_calls(caller, SILENCE * 2)));
    let calling: Vec<_> = calling.collect();
    tokio::time::sleep(SILENCE / 2).await;
    engine.process.set_paused(true);
    service.process.set_paused(true);
    tokio::time::sleep(SILENCE).await;
    let resumed_at = Instant::now();
    engine.process.set_paused(false);
    service.process.set_paused(false);
    let left_calls = join_all(calling).await;
    tokio::time::sleep(LATE_ARRIVAL_AGE).await;

    let left_calls = left_calls.into_iter().flat_map(|c| c.expect("no panic"));
    let late_counts = environment.late_counts(&left_calls.collect::<Vec<_>>());
    let late_count: usize = late_counts.values().sum();
    let queued_counts = [&engine.run_log, &service.run_log]
        .map(|log| log.count_between(resumed_at, resumed_at + READ_TIME));
    assert!(
        late_count <= LATE_ARRIVALS_MAX,
        "late: {late_counts:?}, queued at the engine and the service: {queued_counts:?}"
    );
}

/// What a node waits for when the caller leaves.
#[derive(Clone, Copy, Debug)]
enum NodeWait {
    /// The time after which an idempotent call is sent to a second upstream.
    SecondSend,
    /// The end of the prefill, before the head of the answer.
    Head,
    /// The probe of a paused engine.
    Probe,
    /// The answer of a second engine, to which a stream moves from one that is silent
    /// and refuses connections.
    Move,
}

impl NodeWait {
    const ALL: [Self; 4] = [Self::SecondSend, Self::Head, Self::Probe, Self::Move];

    fn call(self) -> CallKind {
        match self {
            Self::SecondSend => CALL_KINDS[0],
            _ => ("POST", STREAM_PATH, "x-zinniawing-token-usage: 800,100\r\n"),
        }
    }

    /// Time from the beginning of the wait until the caller leaves.
    fn time_until_left(self) -> Duration {
        Duration::from_millis(match self {
            Self::SecondSend | Self::Head => 60,
            Self::Probe => 300,
            Self::Move => 600,
        })
    }

    /// Makes the upstreams slow, so that the caller leaves before the answer.
    fn arrange(self, environment: &TestEnvironment) {
        for service in &environment.services {
            *service.answer_time.lock().expect("unpoisoned") = Duration::from_secs(3);
        }
        for engine in &environment.engines {
            *engine.event_interval.lock().expect("unpoisoned") = Duration::from_millis(30);
            if matches!(self, Self::Head) {
                *engine.prefill_time.lock().expect("unpoisoned") = Duration::from_secs(3);
            }
        }
    }

    /// Silences the upstream that works on the call, where the wait follows from that.
    fn begin(self, environment: &TestEnvironment) {
        match self {
            Self::SecondSend | Self::Head => {}
            Self::Probe => environment.running_engine().process.set_paused(true),
            Self::Move => {
                let engine = environment.running_engine();
                engine.refuses_connections.store(true, Ordering::Relaxed);
                engine.set_frozen(true);
                for engine in &environment.engines {
                    *engine.prefill_time.lock().expect("unpoisoned") = Duration::from_secs(3);
                }
            }
        }
    }
}

#[tokio::test]
async fn a_call_is_not_sent_on_after_its_caller_left_whatever_the_node_waits_for() {
    const TIME_BEFORE_WAIT: Duration = Duration::from_millis(100);
    for wait in NodeWait::ALL {
        let environment = TestEnvironment::start(4).await;
        wait.arrange(&environment);
        let (_node, caller) = environment.start_ready_node("n1").await;

        let patience = TIME_BEFORE_WAIT + wait.time_until_left();
        let calling = tokio::spawn(call_and_leave(caller, wait.call(), patience));
        tokio::time::sleep(TIME_BEFORE_WAIT).await;
        wait.begin(&environment);
        let left = calling.await.expect("no panic").expect("not answered");
        tokio::time::sleep(LATE_ARRIVAL_AGE).await;
        let is_at_work = |arrival: &&Arrival| arrival.ended_at.is_none();
        let arrivals = environment.arrivals_of(&left.call_id);
        let at_work_count = arrivals.iter().filter(is_at_work).count();
        tokio::time::sleep(Duration::from_secs(2)).await;

        let arrivals = environment.arrivals_of(&left.call_id);
        assert!(
            arrivals.iter().all(|a| a.arrived_at < left.left_at),
            "{wait:?}: {arrivals:?}"
        );
        // Only a paused engine can't see that its connection was closed.
        let paused_count = usize::from(matches!(wait, NodeWait::Probe));
        assert_eq!(at_work_count, paused_count, "{wait:?}: {arrivals:?}");
        let expected_count = if matches!(wait, NodeWait::Move) { 2 } else { 1 };
        assert_eq!(arrivals.len(), expected_count, "{wait:?}: {arrivals:?}");
    }
}
