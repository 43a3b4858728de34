//! Streams that callers take up after all nodes were killed at once, and the objects
//! in the store that tell where the streams began.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::support::edge_environment::caller::{Caller, Response, new_call_id};
use crate::support::edge_environment::{
    KillableNode, NodeSpec, TestEnvironment, eventually, start_node,
};
use zinniawing::EdgeNode;

use crate::fixtures::*;

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
async fn origins_and_versions_are_written_again_after_the_store_came_back_from_a_copy() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2"]).await;
    let copy = environment.store.copy();
    let (_node, caller) = environment.start_ready_node("n1").await;
    begin_streams(&caller, TAKEN_UP_COUNT).await;
    let store = &environment.store;
    let is_written = || {
        stored_runs(&environment, "n1").len() == TAKEN_UP_COUNT
            && store.spec("service-versions", "llm").is_some()
    };
    eventually("the runs are in the store", is_written).await;

    store.come_back_from(&copy);

    eventually("they are there again", is_written).await;
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
