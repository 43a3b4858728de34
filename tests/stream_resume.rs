//! Streams through an entry node go on without a missing, repeated or partial event
//! when their engines are lost.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::edge_environment::caller::{Caller, Response, new_call_id};
use support::edge_environment::engine::{Engine, EngineRun, StreamBreak};
use support::edge_environment::{
    NodeSpec, STREAM_PATH, TestEnvironment, config, eventually, start_node, start_node_with_grace,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use zinniawing::EdgeNode;

const EVENT_COUNT: u64 = 120;

fn spawn_stream(caller: &Caller) -> JoinHandle<Response> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.stream(EVENT_COUNT).await })
}

/// Waits until an engine runs a stream, and lets it run for 250 ms.
async fn wait_until_running(environment: &TestEnvironment) {
    let runs = || environment.engines.iter().any(|e| e.running_count() > 0);
    eventually("a stream runs", runs).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
}

/// Starts a test environment with one node that has just begun to forward a
/// stream.
async fn start_with_running_stream(
    engine_count: usize,
) -> (TestEnvironment, EdgeNode, JoinHandle<Response>) {
    let environment = TestEnvironment::start(engine_count).await;
    let (node, caller) = environment.start_ready_node("n1").await;
    let stream = spawn_stream(&caller);
    wait_until_running(&environment).await;
    (environment, node, stream)
}

fn assert_complete(got: &Response) {
    assert_eq!(got.status, 200, "{}", got.head);
    assert!(got.is_complete, "{}", got.body);
    assert_eq!(got.event_ids(), (1..=EVENT_COUNT).collect::<Vec<u64>>());
    let signature = got.header("x-zinniawing-server-signature");
    assert_eq!(signature, Some(format!("sig-{}", got.call_id).as_str()));
}

fn running_engine(environment: &TestEnvironment) -> Arc<Engine> {
    environment.running_engine().clone()
}

#[tokio::test]
async fn the_stream_of_a_crashed_engine_is_resumed_from_its_replica_in_another_data_centre() {
    let (environment, _node, stream) = start_with_running_stream(4).await;

    let lost = running_engine(&environment);
    lost.crash();
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert!(
        got.longest_pause < Duration::from_millis(300),
        "{:?}",
        got.longest_pause
    );
    let runs: Vec<_> = environment.engines.iter().flat_map(|e| e.runs()).collect();
    assert_eq!(runs.iter().filter(|run| run.had_replica).count(), 1);
    let resumed = environment
        .engines
        .iter()
        .find(|e| e.runs().iter().any(|r| r.had_replica));
    assert_ne!(resumed.expect("one resumed").data_centre, lost.data_centre);
}

#[tokio::test]
async fn the_stream_of_a_silent_engine_that_refuses_connections_is_resumed_within_the_target_gap() {
    let (environment, _node, stream) = start_with_running_stream(4).await;

    let lost = running_engine(&environment);
    lost.refuses_connections.store(true, Ordering::Relaxed);
    lost.set_frozen(true);
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert!(
        got.longest_pause < Duration::from_millis(700),
        "{:?}",
        got.longest_pause
    );
}

#[tokio::test]
async fn the_stream_of_an_engine_that_stays_silent_is_resumed_after_the_silence_of_a_sound_one() {
    let (environment, _node, stream) = start_with_running_stream(4).await;

    running_engine(&environment).set_frozen(true);
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    let allowed = Duration::from_millis(2_000)..Duration::from_millis(2_700);
    assert!(
        allowed.contains(&got.longest_pause),
        "{:?}",
        got.longest_pause
    );
}

#[tokio::test]
async fn a_slow_engine_that_answers_probes_is_not_treated_as_lost() {
    let environment = TestEnvironment::start(4).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    for engine in &environment.engines {
        *engine.prefill_time.lock().expect("unpoisoned") = Duration::from_millis(2_200);
    }

    let got = caller.stream(5).await;

    assert_eq!(got.event_ids(), vec![1, 2, 3, 4, 5]);
    assert_eq!(environment.run_count(), 1);
}

#[tokio::test]
async fn a_partial_event_of_a_lost_engine_is_not_forwarded() {
    let (environment, _node, stream) = start_with_running_stream(4).await;

    running_engine(&environment).break_next_stream(StreamBreak {
        after_events: 0,
        is_inside_event: true,
        resets: false,
    });
    let got = stream.await.expect("no panic");

    assert_complete(&got);
}

#[tokio::test]
async fn a_replica_whose_holder_was_lost_is_made_again_before_it_is_needed() {
    let environment = TestEnvironment::start(6).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    for engine in &environment.engines {
        *engine.event_interval.lock().expect("unpoisoned") = Duration::from_millis(30);
    }
    let stream = spawn_stream(&caller);
    wait_until_running(&environment).await;
    let source = running_engine(&environment);

    // All engines of the other data centre crash, the replica with them, and
    // restart without it.
    let other: Vec<_> = environment
        .engines
        .iter()
        .filter(|e| e.data_centre != source.data_centre)
        .collect();
    for engine in &other {
        engine.crash();
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    for engine in &other {
        engine.restart().await;
    }
    for engine in &other {
        environment
            .store
            .put("servers", &engine.id(), engine.entry("ready"));
    }
    eventually("a new replica is requested", || {
        source.replica_request_count() > 0
    })
    .await;
    source.crash();
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert!(
        got.longest_pause < Duration::from_millis(400),
        "{:?}",
        got.longest_pause
    );
    let runs: Vec<_> = environment.engines.iter().flat_map(|e| e.runs()).collect();
    let prefill_count = runs.iter().filter(|r| !r.had_replica).count();
    assert_eq!(prefill_count, 1, "prefill must run only once");
}

#[tokio::test]
async fn a_stream_survives_a_second_loss_during_the_resume() {
    let (environment, _node, stream) = start_with_running_stream(6).await;

    running_engine(&environment).crash();
    tokio::time::sleep(Duration::from_millis(120)).await;
    let resumed =
        |e: &&Arc<Engine>| e.running_count() > 0 && e.runs().iter().any(|r| r.had_replica);
    if let Some(second) = environment.engines.iter().find(resumed) {
        second.crash();
    }
    let got = stream.await.expect("no panic");

    assert_complete(&got);
}

#[tokio::test]
async fn a_stream_without_an_engine_left_does_not_look_complete() {
    let (environment, _node, stream) = start_with_running_stream(2).await;

    for engine in &environment.engines {
        engine.crash();
    }
    let got = stream.await.expect("no panic");

    assert!(!got.is_complete, "{}", got.body);
    let events = got.event_ids();
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<u64>>());
}

#[tokio::test]
async fn a_stream_ends_at_its_engine_when_its_caller_disconnects() {
    let environment = TestEnvironment::start(4).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let usage = format!("x-zinniawing-token-usage: 800,{EVENT_COUNT}\r\n");
    let head = caller.head("POST", STREAM_PATH, &new_call_id(), &usage);
    let mut stream = TcpStream::connect(caller.address).await.expect("connected");
    let request = format!("{head}content-length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    wait_until_running(&environment).await;

    drop(stream);
    tokio::time::sleep(Duration::from_millis(450)).await;

    assert!(environment.engines.iter().all(|e| e.running_count() == 0));
    assert_eq!(environment.run_count(), 1);
}

#[tokio::test]
async fn a_caller_resumes_where_its_connection_broke() {
    let environment = TestEnvironment::start(4).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    environment.wait_for_served_versions().await;

    let extra_headers = "last-event-id: 7\r\nx-zinniawing-token-usage: 800,10\r\n";
    let got = caller.call("POST", STREAM_PATH, extra_headers).await;

    assert_eq!(got.event_ids(), vec![8, 9, 10]);
}

#[tokio::test]
async fn a_draining_engine_keeps_its_streams_and_gets_no_new_ones() {
    let environment = TestEnvironment::start(2).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let stream = spawn_stream(&caller);
    wait_until_running(&environment).await;

    let draining = running_engine(&environment);
    environment
        .store
        .put("servers", &draining.id(), draining.entry("draining"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let later = caller.stream(3).await;
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    assert_eq!(later.event_ids(), vec![1, 2, 3]);
    assert_eq!(draining.runs().len(), 1);
}

#[tokio::test]
async fn a_poison_request_is_refused_by_all_nodes_after_the_third_crash() {
    let environment = TestEnvironment::start(8).await;
    let first = NodeSpec::new("n1", "dc-a");
    let second = NodeSpec::new("n2", "dc-b").with_seed(&first);
    let _one = start_node(&first, environment.store.address).await;
    let _two = start_node(&second, environment.store.address).await;
    let callers = [Caller::new(&first), Caller::new(&second)];
    for caller in &callers {
        caller.wait_until_ready().await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let usage = "x-zinniawing-token-usage: 800,20\r\n";

    let first_answer = callers[0].call("POST", "/chat/poison", usage).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = environment.run_count();
    let mut statuses = Vec::new();
    for _ in 0..4 {
        for caller in &callers {
            statuses.push(caller.call("POST", "/chat/poison", usage).await.status);
        }
    }
    let other_answer = callers[1].stream(3).await;

    assert_ne!(first_answer.status, 200);
    assert!((3..=4).contains(&before), "{before} engines lost");
    assert_eq!(
        environment.run_count() - 1,
        before,
        "only the other request may run after that"
    );
    assert_eq!(statuses, vec![422; 8]);
    assert_eq!(other_answer.event_ids(), vec![1, 2, 3]);
}

#[tokio::test]
async fn a_stream_cut_off_by_a_leaving_node_is_resumed_where_its_prompt_is_cached() {
    let environment = TestEnvironment::start(8).await;
    let first = NodeSpec::new("n1", "dc-a");
    let second = NodeSpec::new("n2", "dc-b").with_seed(&first);
    let one = start_node_with_grace(&first, environment.store.address, 3).await;
    let _two = start_node(&second, environment.store.address).await;
    let callers = [Caller::new(&first), Caller::new(&second)];
    for caller in &callers {
        caller.wait_until_ready().await;
    }
    for engine in &environment.engines {
        *engine.event_interval.lock().expect("unpoisoned") = Duration::from_millis(60);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let session = "x-zinniawing-prefix-hash: aa:200,5e55:600\r\n";
    let usage = format!("{session}x-zinniawing-token-usage: 800,{EVENT_COUNT}\r\n");
    let (caller, extra_headers) = (callers[0].clone(), usage.clone());
    let stream =
        tokio::spawn(async move { caller.call("POST", STREAM_PATH, &extra_headers).await });
    wait_until_running(&environment).await;
    let engine = running_engine(&environment);

    one.drain().await;
    let cut = stream.await.expect("no panic");
    let last = cut.event_ids().len();
    let extra_headers = format!("{usage}last-event-id: {last}\r\n");
    let rest = callers[1].call("POST", STREAM_PATH, &extra_headers).await;

    assert!(!cut.is_complete, "{}", cut.head);
    assert_eq!(rest.event_ids().first(), Some(&(last as u64 + 1)));
    assert_eq!(
        engine.runs().len(),
        2,
        "both parts of the stream must run on the same engine"
    );
}

/// A caller can't choose its own class, and an engine gets the route's class with each
/// send, also where the stream resumes.
#[tokio::test]
async fn engines_get_the_priority_class_of_the_route_with_the_first_send_and_with_resumes() {
    let environment = TestEnvironment::start(4).await;
    let mut changed = config(2);
    changed["routes"][0]["priority"] = serde_json::json!(2);
    environment.store.put("config", "main", changed);
    let (_node, caller) = environment.start_ready_node("n1").await;
    let usage =
        format!("x-zinniawing-token-usage: 20,{EVENT_COUNT}\r\nx-zinniawing-priority-class: 0\r\n");
    let stream = tokio::spawn(async move { caller.call("POST", STREAM_PATH, &usage).await });
    wait_until_running(&environment).await;

    running_engine(&environment).crash();
    let got = stream.await.expect("no panic");

    assert_complete(&got);
    let runs: Vec<_> = environment.engines.iter().flat_map(|e| e.runs()).collect();
    let class = |run: &EngineRun| {
        let value = run.request.header("x-zinniawing-priority-class");
        value.map(str::to_owned)
    };
    let classes: Vec<_> = runs.iter().map(class).collect();
    assert_eq!(classes, vec![Some("2".to_owned()); 2]);
}
