//! A request that a node has read gets a complete answer, although upstreams fall
//! silent for a second and go on, configurations change, and the node is stopped.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use support::edge_environment::caller::{Caller, Response, read_response, send_request};
use support::edge_environment::running_stream::assert_stream_complete;
use support::edge_environment::service::LongAnswer;
use support::edge_environment::slow_link::{self, Pause};
use support::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, NodeSpec, SINGLE_RUN_STREAM_PATH, STREAM_PATH,
    TestEnvironment, config, eventually, start_node_with_grace,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use zinniawing::{EdgeNode, EdgeSettings};

const EVENT_COUNT: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// A sound upstream may send nothing for this long.
const SILENCE: Duration = Duration::from_millis(1_200);
const GRACE_PERIOD_S: u32 = 4;
/// Time after the stop signal at which the calls of a test are sent. A node that
/// has no calls stops three seconds after the signal.
const LATE: Duration = Duration::from_millis(3_200);

fn spawn_stream(caller: &Caller, path: &'static str, event_count: u64) -> JoinHandle<Response> {
    let caller = caller.clone();
    let headers = format!(
        "x-zinniawing-deadline-ms: 20000\r\nx-zinniawing-token-usage: 800,{event_count}\r\n"
    );
    tokio::spawn(async move { caller.call("POST", path, &headers).await })
}

/// Starts a node and a stream that has sent its first events.
async fn start_with_running_stream(
    engine_count: usize,
    path: &'static str,
) -> (TestEnvironment, EdgeNode, JoinHandle<Response>) {
    let environment = TestEnvironment::start(engine_count).await;
    let (node, caller) = environment.start_ready_node("n1").await;
    let stream = start_stream(&environment, &caller, path).await;
    (environment, node, stream)
}

/// Starts a stream with an event at each [`EVENT_INTERVAL`], and waits until it has
/// sent its first events.
async fn start_stream(
    environment: &TestEnvironment,
    caller: &Caller,
    path: &'static str,
) -> JoinHandle<Response> {
    environment.set_event_interval(EVENT_INTERVAL);
    let stream = spawn_stream(caller, path, EVENT_COUNT);
    environment.wait_for_running_stream().await;
    stream
}

/// All engines send and answer nothing for `silence`, and then go on.
async fn silence_all_engines(environment: &TestEnvironment, silence: Duration) {
    environment.set_all_engines_frozen(true);
    tokio::time::sleep(silence).await;
    environment.set_all_engines_frozen(false);
}

fn assert_complete(got: &Response) {
    assert_stream_complete(got, EVENT_COUNT);
}

#[tokio::test]
async fn a_stream_that_may_run_once_outlasts_a_silence_of_its_engine() {
    let (environment, _node, stream) = start_with_running_stream(4, SINGLE_RUN_STREAM_PATH).await;

    let engine = environment.running_engine();
    engine.silence(SILENCE).await;
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert_eq!(environment.run_count(), 1);
}

#[tokio::test]
async fn a_stream_that_may_run_once_outlasts_a_long_pause_of_an_engine_that_answers_probes() {
    let (environment, _node, stream) = start_with_running_stream(4, SINGLE_RUN_STREAM_PATH).await;

    let engine = environment.running_engine();
    engine.set_event_interval(Duration::from_millis(1_800));
    tokio::time::sleep(Duration::from_millis(100)).await;
    engine.set_event_interval(EVENT_INTERVAL);
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert_eq!(environment.run_count(), 1);
}

#[tokio::test]
async fn a_stream_that_may_run_once_outlasts_an_engine_without_free_connections() {
    let (environment, _node, stream) = start_with_running_stream(4, SINGLE_RUN_STREAM_PATH).await;

    let engine = environment.running_engine();
    engine.refuses_connections.store(true, Ordering::Relaxed);
    engine.set_event_interval(Duration::from_millis(700));
    tokio::time::sleep(Duration::from_millis(100)).await;
    engine.set_event_interval(EVENT_INTERVAL);
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert_eq!(environment.run_count(), 1);
}

#[tokio::test]
async fn a_resumable_stream_outlasts_a_silence_of_all_engines() {
    let (environment, _node, stream) = start_with_running_stream(4, STREAM_PATH).await;

    silence_all_engines(&environment, SILENCE).await;
    let got = stream.await.expect("no panic");

    assert_complete(&got);
}

#[tokio::test]
async fn a_resumable_stream_outlasts_a_silence_of_its_only_engine() {
    let (environment, _node, stream) = start_with_running_stream(1, STREAM_PATH).await;

    silence_all_engines(&environment, SILENCE).await;
    let got = stream.await.expect("no panic");

    assert_complete(&got);
}

#[tokio::test]
async fn a_resumable_stream_outlasts_a_silence_of_its_engine_without_a_retry_budget() {
    let environment = TestEnvironment::start(4).await;
    let spec = NodeSpec::new("n1", "dc-a");
    let settings = spec
        .settings(environment.store.address, GRACE_PERIOD_S)
        .replace("retry-budget-ratio: 0.8", "retry-budget-ratio: 0.0")
        .replace("budget-slack: 150", "budget-slack: 0");
    let settings = EdgeSettings::parse(&settings).expect("valid settings");
    let started = EdgeNode::start(settings, Arc::default(), None).await;
    let _node = started.expect("the node starts");
    let caller = Caller::new(&spec);
    caller.wait_until_ready().await;
    let stream = start_stream(&environment, &caller, STREAM_PATH).await;

    let engine = environment.running_engine();
    engine.silence(SILENCE).await;
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert_eq!(environment.run_count(), 1, "it was sent without a retry");
}

#[tokio::test]
async fn a_resumable_stream_outlasts_silences_of_all_engines_in_series() {
    let (environment, _node, stream) = start_with_running_stream(8, STREAM_PATH).await;

    for _ in 0..3 {
        silence_all_engines(&environment, SILENCE).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let got = stream.await.expect("no panic");

    assert_complete(&got);
}

#[tokio::test]
async fn a_call_outlasts_a_change_of_its_route_and_of_all_limits() {
    let environment = TestEnvironment::start(2).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = Duration::from_millis(1_500);
    }
    let call = tokio::spawn(async move { caller.call("POST", NON_IDEMPOTENT_PATH, "").await });
    eventually("the call runs", || environment.executed_count() > 0).await;

    let mut changed = config(2);
    let routes = changed["routes"].as_array_mut().expect("routes");
    routes.retain(|route| route["name"] != "disburse");
    changed["limits"] = json!({ "max-header-bytes": 4096, "max-body-bytes": 1,
        "header-timeout-ms": 100, "idle-timeout-ms": 100 });
    environment.store.put("config", "main", changed);
    let got = call.await.expect("no panic");

    assert_eq!(got.status, 200, "{}", got.head);
    assert!(got.is_complete);
}

/// Sends a call with a long body to an upstream that reads it over a small window,
/// with these pauses.
async fn call_over_slow_link(pauses: Vec<Pause>) -> Response {
    let environment = TestEnvironment::start(2).await;
    let service = &environment.services[0];
    let link = slow_link::start(service.address, pauses).await;
    *service.advertised_address.lock().expect("unpoisoned") = link;
    let entry = service.entry("ready");
    environment.store.put("servers", &service.id, entry);
    let unused = &environment.services[1].id;
    environment.store.delete("servers", unused);
    let (_node, caller) = environment.start_ready_node("n1").await;

    let head = caller.head("POST", NON_IDEMPOTENT_PATH, "long", "");
    let body = "b".repeat(60_000);
    let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    send_request(caller.address, request.as_bytes()).await
}

/// Pauses of a slow reader: a short one after each kilobyte, and a silence after
/// each of the given kilobytes.
fn slow_reading(silences_at: &[usize]) -> Vec<Pause> {
    let pause_at = |kilobyte: usize| Pause {
        after_bytes: kilobyte * 1_024,
        length: if silences_at.contains(&kilobyte) {
            SILENCE
        } else {
            Duration::from_millis(30)
        },
    };
    (1..60).map(pause_at).collect()
}

#[tokio::test]
async fn a_long_body_outlasts_a_slow_upstream() {
    let got = call_over_slow_link(slow_reading(&[])).await;

    assert_eq!(got.status, 200, "{}", got.head);
}

#[tokio::test]
async fn a_long_body_outlasts_a_silence_of_its_upstream() {
    let got = call_over_slow_link(slow_reading(&[8])).await;

    assert_eq!(got.status, 200, "{}", got.head);
}

#[tokio::test]
async fn a_long_body_outlasts_silences_of_its_upstream_in_series() {
    let got = call_over_slow_link(slow_reading(&[8, 24, 40])).await;

    assert_eq!(got.status, 200, "{}", got.head);
}

#[tokio::test]
async fn a_kept_connection_stays_open_for_a_raised_idle_limit() {
    let environment = TestEnvironment::start(2).await;
    let mut low = config(2);
    low["limits"]["idle-timeout-ms"] = json!(400);
    environment.store.put("config", "main", low);
    let (_node, caller) = environment.start_ready_node("n1").await;
    let mut connection = TcpStream::connect(caller.address).await.expect("connected");
    let head = caller.head("GET", IDEMPOTENT_PATH, "first", "");
    let request = format!("{head}\r\n");

    let written = connection.write_all(request.as_bytes()).await;
    written.expect("sent");
    let first = read_response(&mut connection).await;
    environment.store.put("config", "main", config(3));
    tokio::time::sleep(Duration::from_millis(900)).await;
    let written = connection.write_all(request.as_bytes()).await;
    written.expect("sent");
    let second = read_response(&mut connection).await;

    assert_eq!(first.status, 200);
    assert_eq!(second.status, 200, "the connection was closed");
}

/// Starts a node that gets the stop signal while a stream runs that would outlast
/// the grace period, and waits until [`LATE`].
async fn start_stopping_node() -> (TestEnvironment, Caller, JoinHandle<()>) {
    let environment = TestEnvironment::start(2).await;
    let spec = NodeSpec::new("n1", "dc-a");
    let node = start_node_with_grace(&spec, environment.store.address, GRACE_PERIOD_S).await;
    let caller = Caller::new(&spec);
    caller.wait_until_ready().await;
    environment.set_event_interval(Duration::from_millis(100));
    spawn_stream(&caller, STREAM_PATH, 100);
    eventually("a stream runs", || environment.run_count() > 0).await;
    let stopping = tokio::spawn(node.drain());
    (environment, caller, stopping)
}

#[tokio::test]
async fn a_call_sent_late_to_a_stopping_node_is_answered_or_refused() {
    let (environment, caller, stopping) = start_stopping_node().await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = Duration::from_millis(600);
    }

    tokio::time::sleep(LATE).await;
    let got = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;
    stopping.await.expect("no panic");

    assert_ne!(got.status, 0, "the call got neither answer nor refusal");
    assert!(got.is_complete, "{}", got.head);
}

#[tokio::test]
async fn a_long_answer_that_a_stopping_node_passes_on_is_not_cut() {
    let environment = TestEnvironment::start(2).await;
    let (node, caller) = environment.start_ready_node("n1").await;
    for service in &environment.services {
        *service.long_answer.lock().expect("unpoisoned") = Some(LongAnswer {
            bytes: 400_000,
            pause: Duration::from_millis(3_500),
        });
    }
    let call = tokio::spawn(async move { caller.call("POST", NON_IDEMPOTENT_PATH, "").await });
    eventually("the call runs", || environment.executed_count() > 0).await;

    node.drain().await;
    let got = call.await.expect("no panic");

    assert_eq!(got.status, 200, "{}", got.head);
    assert!(got.is_complete, "cut after {} bytes", got.body.len());
}

#[tokio::test]
async fn an_answer_that_a_slow_caller_reads_is_not_cut_when_its_node_stops() {
    let environment = TestEnvironment::start(2).await;
    let (node, caller) = environment.start_ready_node("n1").await;
    for service in &environment.services {
        *service.long_answer.lock().expect("unpoisoned") = Some(LongAnswer {
            bytes: 60_000,
            pause: Duration::ZERO,
        });
    }
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket is created");
    socket.set_recv_buffer_size(4_096).expect("the size is set");
    let connected = socket.connect(caller.address).await;
    let mut connection = connected.expect("connected");
    let head = caller.head("GET", IDEMPOTENT_PATH, "slow", "");
    let written = connection.write_all(format!("{head}\r\n").as_bytes()).await;
    written.expect("sent");
    eventually("the call runs", || environment.executed_count() > 0).await;

    let stopping = tokio::spawn(node.drain());
    tokio::time::sleep(Duration::from_millis(3_300)).await;
    let got = read_response(&mut connection).await;
    stopping.await.expect("no panic");

    assert_eq!(got.status, 200, "{}", got.head);
    assert!(got.is_complete, "cut after {} bytes", got.body.len());
}
