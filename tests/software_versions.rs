//! Streams go on only at the software version that began them, while engines of
//! several versions serve side by side.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::edge_environment::caller::{Caller, Response, new_call_id};
use support::edge_environment::engine::Engine;
use support::edge_environment::{
    KillableNode, NodeSpec, STREAM_PATH, TestEnvironment, eventually, start_node,
    start_node_with_grace,
};
use tokio::task::JoinHandle;
use zinniawing::EdgeNode;

const EVENT_COUNT: u64 = 120;
/// Events of a stream that is taken up.
const TAKEN_UP_EVENT_COUNT: u64 = 40;
/// Events that a caller receives before it disconnects.
const FIRST_PART: usize = 5;
/// Streams that are taken up in one test. Each would go on at another version with
/// a probability of a half if the version were not considered.
const TAKEN_UP_COUNT: usize = 12;
/// Time in which two nodes learn of each other.
const JOIN_TIME: Duration = Duration::from_millis(1_500);
/// Time in which a node has written the origins of new streams to the store.
const WRITE_TIME: Duration = Duration::from_millis(1_500);

fn spawn_stream(caller: &Caller) -> JoinHandle<Response> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.stream(EVENT_COUNT).await })
}

/// Starts a node that has forwarded some events of a stream, and returns the engine
/// that runs it.
async fn start_with_running_stream(
    versions: &[&str],
) -> (TestEnvironment, EdgeNode, Arc<Engine>, JoinHandle<Response>) {
    let environment = TestEnvironment::start_with_versions(versions).await;
    let (node, caller) = environment.start_ready_node("n1").await;
    let stream = spawn_stream(&caller);
    let runs = || environment.engines.iter().any(|e| e.running_count() > 0);
    eventually("a stream runs", runs).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    let source = environment.running_engine().clone();
    (environment, node, source, stream)
}

/// Specifications of two nodes, the second of which has the first as its seed.
fn two_nodes() -> (NodeSpec, NodeSpec) {
    let first = NodeSpec::new("n1", "dc-a");
    let second = NodeSpec::new("n2", "dc-b").with_seed(&first);
    (first, second)
}

/// Starts two nodes that know of each other, and returns their callers.
async fn start_two_nodes(environment: &TestEnvironment) -> ([EdgeNode; 2], [Caller; 2]) {
    let (first, second) = two_nodes();
    let nodes = [
        start_node_with_grace(&first, environment.store.address, 3).await,
        start_node(&second, environment.store.address).await,
    ];
    (nodes, wait_for_two_nodes(&first, &second).await)
}

async fn wait_for_two_nodes(first: &NodeSpec, second: &NodeSpec) -> [Caller; 2] {
    let callers = [Caller::new(first), Caller::new(second)];
    for caller in &callers {
        caller.wait_until_ready().await;
    }
    tokio::time::sleep(JOIN_TIME).await;
    callers
}

/// Starts streams through `caller`, each of which it leaves after some events.
async fn begin_streams(caller: &Caller, count: usize) -> Vec<Response> {
    let mut parts = Vec::new();
    for _ in 0..count {
        parts.push(caller.stream_until(TAKEN_UP_EVENT_COUNT, FIRST_PART).await);
    }
    parts
}

/// Takes all streams up through `caller`, and returns how many went on to their
/// end.
async fn take_up_all(caller: &Caller, parts: &[Response]) -> usize {
    let mut completed_count = 0;
    for part in parts {
        let rest = caller.take_up(part, TAKEN_UP_EVENT_COUNT).await;
        assert_one_version(&[part, &rest]);
        completed_count += usize::from(rest.status == 200 && rest.is_complete);
    }
    completed_count
}

fn set_event_interval(environment: &TestEnvironment, interval: Duration) {
    for engine in &environment.engines {
        *engine.event_interval.lock().expect("unpoisoned") = interval;
    }
}

fn assert_one_version(responses: &[&Response]) {
    let versions: BTreeSet<String> = responses
        .iter()
        .flat_map(|response| response.software_versions())
        .collect();
    assert_eq!(
        versions.len(),
        1,
        "the stream mixes versions: {responses:?}"
    );
}

fn assert_complete(got: &Response) {
    assert_eq!(got.status, 200, "{}", got.head);
    assert!(got.is_complete, "{}", got.body);
    assert_eq!(got.event_ids(), (1..=EVENT_COUNT).collect::<Vec<u64>>());
}

fn assert_refused(got: &Response) {
    assert_eq!(got.status, 503, "{} {}", got.head, got.body);
    assert!(got.header("retry-after").is_some(), "{}", got.head);
    assert!(
        got.elapsed < Duration::from_millis(600),
        "refused after {:?}",
        got.elapsed
    );
}

fn engines_of_version<'a>(environment: &'a TestEnvironment, version: &str) -> Vec<&'a Arc<Engine>> {
    let engines = environment.engines.iter();
    engines
        .filter(|engine| engine.software_version() == version)
        .collect()
}

/// Crashes all engines of a version and removes their entries.
fn remove_version(environment: &TestEnvironment, version: &str) {
    for engine in engines_of_version(environment, version) {
        engine.crash();
        environment.store.delete("servers", &engine.id());
    }
}

// Engines in `dc-a` run one version here and those in `dc-b` the other, so that an
// engine in another data centre, which a replica prefers, runs another version.

#[tokio::test]
async fn a_stream_of_a_crashed_engine_does_not_go_on_at_a_replica_of_another_version() {
    let versions = ["v1", "v2", "v1", "v2", "v1", "v2"];
    let (_environment, _node, source, stream) = start_with_running_stream(&versions).await;

    source.crash();
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert_complete(&got);
}

#[tokio::test]
async fn a_stream_of_a_silent_engine_does_not_go_on_at_another_version() {
    let versions = ["v1", "v2", "v1", "v2", "v1", "v2"];
    let (_environment, _node, source, stream) = start_with_running_stream(&versions).await;

    source.set_frozen(true);
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert_complete(&got);
}

#[tokio::test]
async fn a_stream_without_a_replica_does_not_go_on_at_another_version() {
    let versions = ["v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2"];
    let (environment, _node, source, stream) = start_with_running_stream(&versions).await;

    // All engines of the version restart, and their replicas are gone.
    for engine in engines_of_version(&environment, &source.software_version()) {
        engine.crash();
        environment.store.delete("servers", &engine.id());
        engine.restart().await;
        let entry = engine.entry("ready");
        environment.store.put("servers", &engine.id(), entry);
    }
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
}

#[tokio::test]
async fn a_replica_is_not_requested_at_an_engine_of_another_version() {
    let versions = ["v1", "v2", "v1", "v2"];
    let (environment, _node, source, stream) = start_with_running_stream(&versions).await;

    let version = source.software_version();
    for engine in engines_of_version(&environment, &version) {
        if engine.id() != source.id() {
            engine.crash();
            environment.store.delete("servers", &engine.id());
        }
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    source.crash();
    let got = stream.await.expect("no panic");

    assert_eq!(source.replica_request_count(), 0);
    assert_one_version(&[&got]);
    assert!(!got.is_complete, "{}", got.body);
}

#[tokio::test]
async fn a_stream_whose_version_has_no_engine_left_does_not_look_complete() {
    let versions = ["v1", "v2", "v1", "v2"];
    let (environment, _node, source, stream) = start_with_running_stream(&versions).await;

    remove_version(&environment, &source.software_version());
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert!(!got.is_complete, "{}", got.body);
    let events = got.event_ids();
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<u64>>());
}

#[tokio::test]
async fn a_caller_that_returns_to_its_node_does_not_get_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    let parts = begin_streams(&caller, TAKEN_UP_COUNT).await;
    let completed_count = take_up_all(&caller, &parts).await;

    assert_eq!(completed_count, TAKEN_UP_COUNT);
}

#[tokio::test]
async fn a_caller_that_takes_a_stream_up_twice_does_not_get_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let (_nodes, callers) = start_two_nodes(&environment).await;

    for part in begin_streams(&callers[0], TAKEN_UP_COUNT).await {
        let second = callers[1].take_up(&part, TAKEN_UP_EVENT_COUNT / 2).await;
        let first_two = Response {
            call_id: part.call_id.clone(),
            ..second.clone()
        };
        let third = callers[0].take_up(&first_two, TAKEN_UP_EVENT_COUNT).await;

        assert_one_version(&[&part, &second, &third]);
        assert!(third.is_complete, "{third:?}");
    }
}

#[tokio::test]
async fn a_caller_that_goes_to_another_node_does_not_get_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let (_nodes, callers) = start_two_nodes(&environment).await;

    let parts = begin_streams(&callers[0], TAKEN_UP_COUNT).await;
    let completed_count = take_up_all(&callers[1], &parts).await;

    assert_eq!(completed_count, TAKEN_UP_COUNT);
}

#[tokio::test]
async fn streams_of_a_killed_node_do_not_go_on_at_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let (first, second) = two_nodes();
    let killed = KillableNode::start(&first, environment.store.address).await;
    let _node = start_node(&second, environment.store.address).await;
    let callers = wait_for_two_nodes(&first, &second).await;

    let parts = begin_streams(&callers[0], TAKEN_UP_COUNT).await;
    killed.kill();
    let completed_count = take_up_all(&callers[1], &parts).await;

    assert_eq!(completed_count, TAKEN_UP_COUNT);
}

#[tokio::test]
async fn streams_of_a_restarted_node_do_not_go_on_there_at_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    let (first, second) = two_nodes();
    let killed = KillableNode::start(&first, environment.store.address).await;
    let _node = start_node(&second, environment.store.address).await;
    let callers = wait_for_two_nodes(&first, &second).await;

    let parts = begin_streams(&callers[0], TAKEN_UP_COUNT).await;
    killed.kill();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let restarted = first.clone().with_seed(&second);
    let _restarted = start_node(&restarted, environment.store.address).await;
    wait_for_two_nodes(&first, &second).await;
    let completed_count = take_up_all(&callers[0], &parts).await;

    assert_eq!(completed_count, TAKEN_UP_COUNT);
}

#[tokio::test]
async fn streams_go_on_at_their_version_after_a_data_centre_and_another_node_were_killed() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    let first = NodeSpec::new("n1", "dc-a");
    let killed_specs = [
        first.clone(),
        NodeSpec::new("n2", "dc-a").with_seed(&first),
        NodeSpec::new("n3", "dc-b").with_seed(&first),
    ];
    let surviving_specs = [
        NodeSpec::new("n4", "dc-b").with_seed(&first),
        NodeSpec::new("n5", "dc-c").with_seed(&first),
        NodeSpec::new("n6", "dc-c").with_seed(&first),
    ];
    let mut killed = Vec::new();
    for spec in &killed_specs {
        killed.push(KillableNode::start(spec, environment.store.address).await);
    }
    let mut surviving = Vec::new();
    for spec in &surviving_specs {
        surviving.push(start_node(spec, environment.store.address).await);
    }
    let callers = wait_for_two_nodes(&first, &surviving_specs[0]).await;

    let parts = begin_streams(&callers[0], TAKEN_UP_COUNT).await;
    killed.into_iter().for_each(KillableNode::kill);
    let completed_count = take_up_all(&callers[1], &parts).await;

    assert_eq!(completed_count, TAKEN_UP_COUNT);
}

/// Begins streams through the first of two nodes, kills both nodes at once and
/// returns the streams with the specifications of the nodes.
async fn kill_all_nodes_under_streams(
    environment: &TestEnvironment,
) -> (Vec<Response>, NodeSpec, NodeSpec) {
    let (first, second) = two_nodes();
    let killed = [
        KillableNode::start(&first, environment.store.address).await,
        KillableNode::start(&second, environment.store.address).await,
    ];
    let callers = wait_for_two_nodes(&first, &second).await;
    let parts = begin_streams(&callers[0], TAKEN_UP_COUNT).await;
    killed.into_iter().for_each(KillableNode::kill);
    tokio::time::sleep(Duration::from_millis(200)).await;
    (parts, first, second)
}

/// Begins streams through the first of two nodes, kills both nodes at once, starts
/// them again and returns the streams with the callers of the new nodes.
async fn restart_all_nodes_under_streams(
    environment: &TestEnvironment,
) -> (Vec<Response>, [Caller; 2], [EdgeNode; 2]) {
    let (parts, first, second) = kill_all_nodes_under_streams(environment).await;
    let nodes = [
        start_node(&first, environment.store.address).await,
        start_node(&second, environment.store.address).await,
    ];
    let callers = wait_for_two_nodes(&first, &second).await;
    (parts, callers, nodes)
}

/// Keys of the runs in a node's object in the store.
fn stored_runs(environment: &TestEnvironment, node: &str) -> BTreeSet<String> {
    let spec = environment.store.spec("run-origins", node);
    let groups = spec.and_then(|spec| spec["groups"].as_array().cloned());
    let groups = groups.unwrap_or_default();
    let runs = groups.iter().filter_map(|group| group["runs"].as_array());
    let keys = runs.flatten().filter_map(|run| run[0].as_str());
    keys.map(str::to_owned).collect()
}

/// The field `spec` of an object with one run.
fn object_of_one_run(recorded_unix_ms: u64) -> serde_json::Value {
    let runs = serde_json::json!([["1f", recorded_unix_ms]]);
    serde_json::json!({ "groups": [{ "service": "llm", "version": "v1", "runs": runs }] })
}

fn unknown_stream() -> Response {
    Response {
        call_id: new_call_id(),
        body: "id: 7\n".to_owned(),
        ..Response::default()
    }
}

fn run_origin_call_count(environment: &TestEnvironment) -> usize {
    let methods = ["GET", "PUT", "POST", "DELETE"].iter();
    methods
        .map(|method| environment.store.run_origin_call_count(method))
        .sum()
}

#[tokio::test]
async fn streams_do_not_go_on_at_another_version_after_all_nodes_were_killed_at_once() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    let (parts, callers, _nodes) = restart_all_nodes_under_streams(&environment).await;

    take_up_all(&callers[0], &parts).await;
}

#[tokio::test]
async fn streams_go_on_at_their_version_after_all_nodes_were_killed_at_once() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    let (parts, callers, _nodes) = restart_all_nodes_under_streams(&environment).await;

    let completed_count = take_up_all(&callers[0], &parts).await;

    // More than half of them, because all new streams begin here.
    assert!(
        2 * completed_count >= parts.len(),
        "{completed_count} went on"
    );
}

#[tokio::test]
async fn origins_are_not_written_to_the_store_while_only_one_version_serves() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v1", "v1"]).await;
    let (_nodes, callers) = start_two_nodes(&environment).await;

    let parts = begin_streams(&callers[0], TAKEN_UP_COUNT).await;
    let completed_count = take_up_all(&callers[1], &parts).await;
    tokio::time::sleep(2 * WRITE_TIME).await;

    assert_eq!(completed_count, TAKEN_UP_COUNT);
    assert_eq!(run_origin_call_count(&environment), 0);
}

#[tokio::test]
async fn runs_in_progress_are_written_to_the_store_when_a_second_version_appears() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    begin_streams(&caller, TAKEN_UP_COUNT).await;

    let restarted = &environment.engines[0];
    restarted.crash();
    environment.store.delete("servers", &restarted.id());
    restarted.set_software_version("v2");
    restarted.restart().await;
    let entry = restarted.entry("ready");
    environment.store.put("servers", &restarted.id(), entry);

    let is_written = || stored_runs(&environment, "n1").len() == TAKEN_UP_COUNT;
    eventually("the runs are in the store", is_written).await;
}

#[tokio::test]
async fn a_node_writes_its_origins_at_most_four_times_a_second() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let store = &environment.store;

    let started_at = std::time::Instant::now();
    begin_streams(&caller, 3 * TAKEN_UP_COUNT).await;
    let elapsed = started_at.elapsed();

    let write_count = ["PUT", "POST"].map(|method| store.run_origin_call_count(method));
    let write_count: usize = write_count.iter().sum();
    assert!(write_count >= 2, "{write_count} writes");
    assert!(
        write_count as f64 <= 4.0 * elapsed.as_secs_f64() + 1.0,
        "{write_count} writes in {elapsed:?}"
    );
    assert_eq!(store.run_origin_call_count("POST"), 1);
    assert_eq!(store.run_origin_call_count("GET"), 1);
}

#[tokio::test]
async fn streams_are_refused_if_the_store_fails_after_all_nodes_were_killed_at_once() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    let (parts, callers, _nodes) = restart_all_nodes_under_streams(&environment).await;
    let run_count = environment.run_count();

    let store = &environment.store;
    store.is_unavailable.store(true, Ordering::Relaxed);
    assert_refused(&callers[0].take_up(&parts[0], TAKEN_UP_EVENT_COUNT).await);
    store.is_silent.store(true, Ordering::Relaxed);
    assert_refused(&callers[1].take_up(&parts[1], TAKEN_UP_EVENT_COUNT).await);

    assert_eq!(environment.run_count(), run_count);
}

#[tokio::test]
async fn streams_whose_version_left_while_all_nodes_were_down_do_not_go_on_at_another_one() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    let (first, second) = two_nodes();
    let killed = KillableNode::start(&first, environment.store.address).await;
    let caller = Caller::new(&first);
    caller.wait_until_ready().await;
    let parts = begin_streams(&caller, TAKEN_UP_COUNT).await;
    tokio::time::sleep(WRITE_TIME).await;
    killed.kill();
    remove_version(&environment, "v1");
    let _node = start_node(&second, environment.store.address).await;
    let caller = Caller::new(&second);
    caller.wait_until_ready().await;

    let completed_count = take_up_all(&caller, &parts).await;

    let began_at_v2 = |part: &&Response| part.software_versions().contains("v2");
    assert_eq!(completed_count, parts.iter().filter(began_at_v2).count());
}

#[tokio::test]
async fn a_restarted_node_keeps_the_origins_that_it_wrote_before() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2"]).await;
    let spec = NodeSpec::new("n1", "dc-a");
    let killed = KillableNode::start(&spec, environment.store.address).await;
    let caller = Caller::new(&spec);
    caller.wait_until_ready().await;
    begin_streams(&caller, TAKEN_UP_COUNT).await;
    let is_written = || stored_runs(&environment, "n1").len() == TAKEN_UP_COUNT;
    eventually("the runs are in the store", is_written).await;
    let earlier = stored_runs(&environment, "n1");
    killed.kill();
    tokio::time::sleep(Duration::from_millis(200)).await;

    let _restarted = start_node(&spec, environment.store.address).await;
    caller.wait_until_ready().await;
    begin_streams(&caller, 1).await;

    let is_written = || stored_runs(&environment, "n1").len() > TAKEN_UP_COUNT;
    eventually("the runs of both processes are in the store", is_written).await;
    assert!(stored_runs(&environment, "n1").is_superset(&earlier));
}

#[tokio::test]
async fn a_write_of_origins_is_repeated_after_the_store_failed() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let store = &environment.store;

    store.is_unavailable.store(true, Ordering::Relaxed);
    begin_streams(&caller, TAKEN_UP_COUNT).await;
    assert!(stored_runs(&environment, "n1").is_empty());
    store.is_unavailable.store(false, Ordering::Relaxed);

    let is_written = || stored_runs(&environment, "n1").len() == TAKEN_UP_COUNT;
    eventually("the runs are in the store", is_written).await;
}

#[tokio::test]
async fn origins_that_the_store_lost_are_written_again() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    begin_streams(&caller, TAKEN_UP_COUNT).await;
    let is_written = || stored_runs(&environment, "n1").len() == TAKEN_UP_COUNT;
    eventually("the runs are in the store", is_written).await;

    environment.store.delete("run-origins", "n1");
    begin_streams(&caller, 1).await;

    let is_written = || stored_runs(&environment, "n1").len() == TAKEN_UP_COUNT + 1;
    eventually("all runs are in the store again", is_written).await;
}

#[tokio::test]
async fn a_read_deletes_some_of_the_objects_that_nodes_left_behind() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let store = &environment.store;
    let now_unix_ms = std::time::UNIX_EPOCH.elapsed().expect("a time").as_millis() as u64;
    for n in 0..12 {
        let name = format!("old-{n:02}");
        let recorded_unix_ms = now_unix_ms - 150_000;
        store.put("run-origins", &name, object_of_one_run(recorded_unix_ms));
    }
    store.put("run-origins", "new", object_of_one_run(now_unix_ms));

    for _ in 0..2 {
        assert_refused(&caller.take_up(&unknown_stream(), EVENT_COUNT).await);
        tokio::time::sleep(Duration::from_millis(600)).await;
    }

    assert_eq!(store.run_origin_call_count("DELETE"), 8);
    assert!(store.spec("run-origins", "old-07").is_none());
    assert!(store.spec("run-origins", "old-08").is_some());
    assert!(store.spec("run-origins", "new").is_some());
}

#[tokio::test]
async fn resumes_that_wait_share_one_read_of_the_store() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    let mut resumes = Vec::new();
    for _ in 0..TAKEN_UP_COUNT {
        let caller = caller.clone();
        let resume = async move { caller.take_up(&unknown_stream(), EVENT_COUNT).await };
        resumes.push(tokio::spawn(resume));
    }
    for resume in resumes {
        assert_refused(&resume.await.expect("no panic"));
    }

    assert_eq!(environment.store.run_origin_call_count("GET"), 1);
}

#[tokio::test]
async fn a_stream_cut_off_by_a_leaving_node_does_not_go_on_at_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let ([leaving, _node], callers) = start_two_nodes(&environment).await;
    set_event_interval(&environment, Duration::from_millis(60));
    let streams: Vec<_> = (0..TAKEN_UP_COUNT)
        .map(|_| spawn_stream(&callers[0]))
        .collect();
    tokio::time::sleep(Duration::from_millis(400)).await;

    leaving.drain().await;

    set_event_interval(&environment, Duration::from_millis(2));
    let mut completed_count = 0;
    for stream in streams {
        let cut = stream.await.expect("no panic");
        assert!(!cut.is_complete, "{}", cut.head);
        let rest = callers[1].take_up(&cut, EVENT_COUNT).await;
        assert_one_version(&[&cut, &rest]);
        completed_count += usize::from(rest.is_complete);
    }
    assert_eq!(completed_count, TAKEN_UP_COUNT);
}

#[tokio::test]
async fn a_caller_whose_engine_is_gone_does_not_get_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    let parts = begin_streams(&caller, TAKEN_UP_COUNT).await;
    for engine in &environment.engines[..2] {
        engine.crash();
        environment.store.delete("servers", &engine.id());
    }
    let completed_count = take_up_all(&caller, &parts).await;

    assert_eq!(completed_count, TAKEN_UP_COUNT);
}

#[tokio::test]
async fn a_resume_whose_version_has_no_engine_left_is_not_run_at_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let part = caller.stream_until(TAKEN_UP_EVENT_COUNT, FIRST_PART).await;
    let version = part.software_versions().pop_first().expect("a version");

    remove_version(&environment, &version);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let run_count = environment.run_count();
    let got = caller.take_up(&part, TAKEN_UP_EVENT_COUNT).await;

    assert_refused(&got);
    assert_eq!(environment.run_count(), run_count);
}

#[tokio::test]
async fn a_resume_of_an_unknown_stream_is_not_run_while_two_versions_serve() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let (_nodes, callers) = start_two_nodes(&environment).await;
    let unknown = Response {
        call_id: new_call_id(),
        body: "id: 7\n".to_owned(),
        ..Response::default()
    };

    let unknown_id = callers[0].take_up(&unknown, EVENT_COUNT).await;
    let headers = "last-event-id: 7\r\nx-zinniawing-token-usage: 800,10\r\n";
    let no_id = callers[0].call("POST", STREAM_PATH, headers).await;

    assert_refused(&unknown_id);
    assert_refused(&no_id);
    assert_eq!(environment.run_count(), 0);
}

#[tokio::test]
async fn a_resume_of_an_unknown_stream_is_not_run_after_its_version_may_have_left() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let unknown = Response {
        call_id: new_call_id(),
        body: "id: 7\n".to_owned(),
        ..Response::default()
    };

    remove_version(&environment, "v1");
    tokio::time::sleep(Duration::from_millis(600)).await;
    let got = caller.take_up(&unknown, EVENT_COUNT).await;

    assert_refused(&got);
    assert_eq!(environment.run_count(), 0);
}

#[tokio::test]
async fn a_resume_of_an_unknown_stream_runs_while_only_one_version_serves() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let unknown = Response {
        call_id: new_call_id(),
        body: "id: 7\n".to_owned(),
        ..Response::default()
    };

    let got = caller.take_up(&unknown, 10).await;

    assert_eq!(got.event_ids(), vec![8, 9, 10]);
}

#[tokio::test]
async fn streams_taken_up_go_on_while_two_engines_of_their_version_serve() {
    let versions = ["v1", "v2", "v1", "v2", "v3", "v4", "v5", "v6"];
    let environment = TestEnvironment::start_with_versions(&versions).await;
    let (_nodes, callers) = start_two_nodes(&environment).await;

    let has_two_engines = |part: &Response| {
        let version = part.software_versions().pop_first().expect("a version");
        versions.iter().filter(|v| **v == version).count() == 2
    };
    let mut parts = Vec::new();
    while parts.len() < TAKEN_UP_COUNT {
        let begun = begin_streams(&callers[0], 1).await;
        parts.extend(begun.into_iter().filter(has_two_engines));
    }
    let completed_count = take_up_all(&callers[1], &parts).await;

    assert_eq!(completed_count, TAKEN_UP_COUNT);
}

#[tokio::test]
async fn a_successor_found_without_the_store_does_not_continue_its_predecessors_streams() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    environment
        .store
        .is_unavailable
        .store(true, Ordering::Relaxed);
    environment.store.expire_history();
    tokio::time::sleep(Duration::from_millis(800)).await;
    let restarted = environment.engines[0].clone();
    restarted.crash();
    restarted.set_software_version("v2");
    restarted.restart().await;
    let deadline = std::time::Instant::now() + Duration::from_secs(10);
    while restarted.runs().is_empty() {
        assert!(std::time::Instant::now() < deadline, "no successor found");
        caller.stream(2).await;
    }

    let stream = spawn_stream(&caller);
    let runs = || environment.engines.iter().any(|e| e.running_count() > 0);
    eventually("a stream runs", runs).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    environment.running_engine().crash();
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert!(!got.is_complete, "{}", got.body);
}

#[tokio::test]
async fn a_stream_does_not_go_on_at_an_engine_that_restarted_under_its_id_at_another_version() {
    let (environment, _node, source, stream) =
        start_with_running_stream(&["v1", "v1", "v1", "v1"]).await;

    // Their entries in the store still state the earlier version and start time.
    for engine in &environment.engines {
        if engine.id() != source.id() {
            engine.crash();
            engine.set_software_version("v2");
            engine.restart_under_same_id().await;
        }
    }
    source.crash();
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert!(!got.is_complete, "{}", got.body);
}

#[tokio::test]
async fn an_entry_without_a_readable_version_names_no_engine_to_use() {
    let environment = TestEnvironment::start(3).await;
    let (unversioned, numbered) = (&environment.engines[0], &environment.engines[1]);
    let mut entry = unversioned.entry("ready");
    entry.as_object_mut().expect("an object").remove("version");
    environment.store.put("servers", &unversioned.id(), entry);
    let mut entry = numbered.entry("ready");
    entry["version"] = serde_json::json!(1);
    environment.store.put("servers", &numbered.id(), entry);
    let (_node, caller) = environment.start_ready_node("n1").await;

    for _ in 0..TAKEN_UP_COUNT {
        assert!(caller.stream(2).await.is_complete);
    }

    assert!(unversioned.runs().is_empty());
    assert!(numbered.runs().is_empty());
}
