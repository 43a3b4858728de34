//! Streams that callers take up again.

use std::time::Duration;

use zinniawing::EdgeNode;

use crate::support::edge_environment::caller::{Caller, Response, new_call_id};
use crate::support::edge_environment::{
    KillableNode, NodeSpec, STREAM_PATH, TestEnvironment, start_node,
};

use crate::fixtures::*;

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

/// Begins streams at the first node, and kills it. Returns the second node, callers of
/// both, and what came of the streams.
async fn begin_streams_at_killed_node(
    environment: &TestEnvironment,
    first: &NodeSpec,
    second: &NodeSpec,
) -> (EdgeNode, [Caller; 2], Vec<Response>) {
    let killed = KillableNode::start(first, environment.store.address).await;
    let node = start_node(second, environment.store.address).await;
    let callers = wait_for_two_nodes(first, second).await;
    let parts = begin_streams(&callers[0], TAKEN_UP_COUNT).await;
    killed.kill();
    (node, callers, parts)
}

#[tokio::test]
async fn streams_of_a_killed_node_do_not_go_on_at_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v2", "v1", "v2"]).await;
    let (first, second) = two_nodes();
    let (_node, callers, parts) = begin_streams_at_killed_node(&environment, &first, &second).await;
    let completed_count = take_up_all(&callers[1], &parts).await;

    assert_eq!(completed_count, TAKEN_UP_COUNT);
}

#[tokio::test]
async fn streams_of_a_restarted_node_do_not_go_on_there_at_another_version() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    let (first, second) = two_nodes();
    let (_node, callers, parts) = begin_streams_at_killed_node(&environment, &first, &second).await;
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
    environment.wait_for_served_versions().await;

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
