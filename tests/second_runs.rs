//! Calls whose upstream is silent or stalls: streams that go on at another engine, whose
//! prefill takes longer than two may work on one call, and calls that may run once.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::double_run::DOUBLE_RUN_MAX;
use support::edge_environment::proxy::{Mode, Proxy};
use support::edge_environment::running_stream::assert_stream_complete;
use support::edge_environment::{
    NON_IDEMPOTENT_PATH, SINGLE_RUN_STREAM_PATH, TestEnvironment, config, eventually,
};
use tokio::task::JoinHandle;
use zinniawing::EdgeNode;

const ENGINE_COUNT: usize = 4;
const EVENT_COUNT: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Prefill of a stream that goes on at another engine.
const PREFILL_TIME: Duration = Duration::from_secs(1);

/// What an engine does that makes its streams leave.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// It sends no events, but answers probes and sees which connections are closed.
    Stalled,
    /// It sends no events, and takes no new connections.
    StalledWithoutFreeConnections,
    /// Its process is paused.
    Paused,
    /// Its process is paused, and then it sends no events for a while.
    PausedThenStalled,
}

/// Streams that run at engines without replicas, so that each engine to which one moves
/// begins with the prefill.
struct Scene {
    environment: TestEnvironment,
    _nodes: Vec<EdgeNode>,
    streams: Vec<JoinHandle<Response>>,
}

impl Scene {
    /// Starts nodes with as many streams each, and lets these send their first events.
    async fn start(node_count: usize, streams_per_node: usize) -> Self {
        let environment = TestEnvironment::start(ENGINE_COUNT).await;
        let scene = Self::start_in(environment, node_count, streams_per_node).await;
        scene.environment.wait_for_running_stream().await;
        scene.slow_down_prefill();
        scene
    }

    async fn start_in(
        environment: TestEnvironment,
        node_count: usize,
        streams_per_node: usize,
    ) -> Self {
        let mut config = config(2);
        config["services"][0]["engine"]["replicas"] = json!(false);
        environment.store.put("config", "main", config);
        environment.set_event_interval(EVENT_INTERVAL);
        let (nodes, callers) = environment.start_ready_nodes(node_count).await;
        let callers = callers.iter();
        let streams: Vec<_> = callers
            .flat_map(|caller| (0..streams_per_node).map(|_| spawn_stream(caller)))
            .collect();
        let engines = environment.engines.iter();
        let running_count = || engines.clone().map(|e| e.running_count()).sum::<usize>();
        eventually("all streams run", || running_count() == streams.len()).await;
        Self {
            environment,
            _nodes: nodes,
            streams,
        }
    }

    fn slow_down_prefill(&self) {
        for engine in &self.environment.engines {
            *engine.prefill_time.lock().expect("unpoisoned") = PREFILL_TIME;
        }
    }

    /// One engine has the trouble for this time.
    async fn trouble_one_engine(&self, trouble: Trouble, length: Duration) {
        let engine = self.environment.running_engine();
        match trouble {
            Trouble::Stalled => {
                engine.reports_while_frozen.store(true, Ordering::Relaxed);
                engine.silence(length).await;
            }
            Trouble::StalledWithoutFreeConnections => {
                engine.refuses_connections.store(true, Ordering::Relaxed);
                engine.silence(length).await;
                engine.refuses_connections.store(false, Ordering::Relaxed);
            }
            Trouble::Paused => {
                engine.process.set_paused(true);
                tokio::time::sleep(length).await;
                engine.process.set_paused(false);
            }
            Trouble::PausedThenStalled => {
                engine.reports_while_frozen.store(true, Ordering::Relaxed);
                engine.process.set_paused(true);
                tokio::time::sleep(length).await;
                engine.set_frozen(true);
                engine.process.set_paused(false);
                tokio::time::sleep(PREFILL_TIME).await;
                engine.set_frozen(false);
            }
        }
    }

    /// Checks that each stream was whole, and returns the longest pause of one.
    async fn whole_streams(self) -> Duration {
        let ended = join_all(self.streams).await.into_iter();
        let pauses = ended.map(|stream| {
            let got = stream.expect("no panic");
            assert_stream_complete(&got, EVENT_COUNT);
            got.longest_pause
        });
        pauses.max().expect("a stream")
    }

    /// Checks that each stream was whole and that no two engines worked on it for long.
    async fn check(self) {
        let mut double_runs = Vec::new();
        for stream in join_all(self.streams).await {
            let got = stream.expect("no panic");
            assert_stream_complete(&got, EVENT_COUNT);
            double_runs.push(self.environment.double_run_time(&got.call_id));
        }
        let longest = double_runs.iter().max().expect("a stream");
        assert!(*longest < DOUBLE_RUN_MAX, "double runs: {double_runs:?}");
    }
}

fn spawn_stream(caller: &Caller) -> JoinHandle<Response> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.stream(EVENT_COUNT).await })
}

#[tokio::test]
async fn a_stalled_stream_does_not_run_at_two_engines_through_the_prefill_of_the_second() {
    let scene = Scene::start(1, 8).await;

    scene
        .trouble_one_engine(Trouble::Stalled, Duration::from_millis(3_500))
        .await;

    scene.check().await;
}

#[tokio::test]
async fn streams_of_an_engine_without_free_connections_do_not_run_at_two_engines() {
    let scene = Scene::start(1, 8).await;

    let trouble = Trouble::StalledWithoutFreeConnections;
    scene
        .trouble_one_engine(trouble, Duration::from_millis(1_500))
        .await;

    scene.check().await;
}

#[tokio::test]
async fn an_engine_that_goes_on_after_2_2_s_ends_the_second_run_or_its_own() {
    let scene = Scene::start(1, 8).await;

    scene
        .trouble_one_engine(Trouble::Paused, Duration::from_millis(2_200))
        .await;

    scene.check().await;
}

#[tokio::test]
async fn an_engine_that_was_paused_and_then_stalls_does_not_work_beside_the_second_one() {
    let scene = Scene::start(1, 8).await;

    let trouble = Trouble::PausedThenStalled;
    scene
        .trouble_one_engine(trouble, Duration::from_millis(2_200))
        .await;

    scene.check().await;
}

#[tokio::test]
async fn streams_of_many_nodes_do_not_run_at_two_engines_while_theirs_stands_still() {
    let scene = Scene::start(12, 3).await;

    scene
        .trouble_one_engine(Trouble::Paused, Duration::from_millis(1_000))
        .await;

    scene.check().await;
}

#[tokio::test]
async fn stalled_streams_of_many_nodes_do_not_run_at_two_engines() {
    let scene = Scene::start(12, 3).await;

    scene
        .trouble_one_engine(Trouble::Stalled, Duration::from_millis(3_500))
        .await;

    scene.check().await;
}

/// The engines are queried by many nodes, each of which opens connections that wait in
/// their listen queues while they stand still.
#[tokio::test]
async fn a_full_listen_queue_of_an_engine_that_stands_still_is_no_loss() {
    /// The queue of a fleet of 89 nodes at an engine that has 128 places, for 12 nodes.
    const LISTEN_QUEUE: u32 = 128 * 12 / 89;
    let environment = TestEnvironment::start(ENGINE_COUNT).await;
    for engine in &environment.engines {
        engine.listen_queue.store(LISTEN_QUEUE, Ordering::Relaxed);
        engine.crash();
        engine.restart_under_same_id().await;
        let entry = engine.entry("ready");
        environment.store.put("servers", &engine.id(), entry);
    }
    let scene = Scene::start_in(environment, 12, 4).await;
    scene.environment.wait_for_running_stream().await;
    scene.slow_down_prefill();

    scene
        .trouble_one_engine(Trouble::Paused, Duration::from_millis(1_500))
        .await;

    scene.check().await;
}

#[tokio::test]
async fn a_stream_in_prefill_does_not_run_at_two_engines_while_its_own_is_paused() {
    let environment = TestEnvironment::start(ENGINE_COUNT).await;
    for engine in &environment.engines {
        *engine.prefill_time.lock().expect("unpoisoned") = PREFILL_TIME * 3;
    }
    let scene = Scene::start_in(environment, 1, 8).await;

    scene
        .trouble_one_engine(Trouble::Paused, Duration::from_millis(1_500))
        .await;

    scene.check().await;
}

/// Cancelling the first run would not reach it, and the stream would wait for the prefill
/// of the second.
#[tokio::test]
async fn a_stream_of_an_engine_that_was_cut_off_goes_on_there_before_the_second_answers() {
    const CUT_TIME: Duration = Duration::from_millis(800);
    let environment = TestEnvironment::start(ENGINE_COUNT).await;
    let mut links = Vec::new();
    for engine in &environment.engines {
        let link = Proxy::start(engine.address).await;
        *engine.advertised_address.lock().expect("unpoisoned") = link.address;
        let entry = engine.entry("ready");
        environment.store.put("servers", &engine.id(), entry);
        links.push(link);
    }
    let scene = Scene::start_in(environment, 1, 8).await;
    scene.environment.wait_for_running_stream().await;
    scene.slow_down_prefill();

    links[0].set_mode(Mode::Unreachable);
    tokio::time::sleep(CUT_TIME).await;
    links[0].set_mode(Mode::Pass);
    let longest_pause = scene.whole_streams().await;

    let allowed = CUT_TIME + PREFILL_TIME / 2;
    assert!(longest_pause >= CUT_TIME, "no stream was cut off");
    assert!(longest_pause < allowed, "{longest_pause:?}");
}

#[tokio::test]
async fn calls_that_may_run_once_run_once_while_their_upstream_is_paused() {
    const CALL_COUNT: usize = 60;
    const INTERVAL: Duration = Duration::from_millis(20);
    const HEADERS: &str = "x-zinniawing-deadline-ms: 1000\r\nx-zinniawing-token-usage: 800,5\r\n";
    const PATHS: [&str; 2] = [NON_IDEMPOTENT_PATH, SINGLE_RUN_STREAM_PATH];
    let environment = TestEnvironment::start(ENGINE_COUNT).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let mut calls = Vec::new();
    let mut paused = Vec::new();

    for n in 0..CALL_COUNT {
        if n == CALL_COUNT / 3 {
            // The node sends its next calls to the upstreams that it has preferred so far.
            let engine = environment
                .engines
                .iter()
                .max_by_key(|e| e.run_log.all().len());
            let service = environment
                .services
                .iter()
                .max_by_key(|s| s.run_log.all().len());
            paused.push(&engine.expect("an engine").process);
            paused.push(&service.expect("a service").process);
            paused.iter().for_each(|process| process.set_paused(true));
        }
        let (caller, path) = (caller.clone(), PATHS[n % PATHS.len()]);
        let call = async move { caller.call("POST", path, HEADERS).await };
        calls.push(tokio::spawn(call));
        tokio::time::sleep(INTERVAL).await;
    }
    let answers = join_all(calls).await;
    paused.iter().for_each(|process| process.set_paused(false));
    tokio::time::sleep(DOUBLE_RUN_MAX).await;

    let answers = answers.into_iter().map(|got| got.expect("no panic"));
    let (mut unserved_count, mut wrong) = (0, Vec::new());
    for got in answers {
        unserved_count += usize::from(got.status != 200);
        let is_refused = [408, 421, 429, 503].contains(&got.status);
        let arrival_count = environment.arrivals_of(&got.call_id).len();
        if arrival_count > usize::from(!is_refused) {
            wrong.push((got.call_id, got.status, arrival_count));
        }
    }
    assert!(unserved_count > 0, "no call was sent to a paused upstream");
    assert!(wrong.is_empty(), "{wrong:?}");
}
