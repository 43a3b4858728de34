//! What the nodes know of the origins of streams after all of them were killed at once:
//! who can't tell must not go on at another version, and who could have known must go on.

use std::time::Duration;

use crate::support::edge_environment::caller::{Caller, Response};
use crate::support::edge_environment::proxy::{Mode, Proxy};
use crate::support::edge_environment::{KillableNode, NodeSpec, TestEnvironment, start_node};

use crate::fixtures::*;

/// Time in which engines process a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(900);
/// Time in which the kernel has closed the connections of killed nodes.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// Starts a node, begins streams through it, and kills it right after their first events.
async fn kill_a_node_under_streams(environment: &TestEnvironment) -> Vec<Response> {
    let spec = NodeSpec::new("n1", "dc-a");
    let killed = KillableNode::start(&spec, environment.store.address).await;
    let caller = Caller::new(&spec);
    caller.wait_until_ready().await;
    tokio::time::sleep(WRITE_TIME).await;
    let parts = begin_streams_at_once(&caller, TAKEN_UP_COUNT).await;
    killed.kill();
    tokio::time::sleep(CLOSE_TIME).await;
    parts
}

async fn begin_streams_at_once(caller: &Caller, count: usize) -> Vec<Response> {
    let begin = |_| {
        let caller = caller.clone();
        tokio::spawn(async move { caller.stream_until(TAKEN_UP_EVENT_COUNT, 1).await })
    };
    let beginning: Vec<_> = (0..count).map(begin).collect();
    let mut parts = Vec::new();
    for part in beginning {
        parts.push(part.await.expect("no panic"));
    }
    parts
}

async fn start_another_node(environment: &TestEnvironment) -> (zinniawing::EdgeNode, Caller) {
    environment.start_ready_node("n2").await
}

/// Replaces all engines by ones of another version.
async fn replace_engines(environment: &TestEnvironment, version: &str) {
    for engine in &environment.engines {
        engine.crash();
        environment.store.delete("servers", &engine.id());
        engine.set_software_version(version);
        engine.restart().await;
        let entry = engine.entry("ready");
        environment.store.put("servers", &engine.id(), entry);
    }
}

#[tokio::test]
async fn streams_do_not_go_on_at_the_only_version_left_after_all_nodes_were_killed() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1"]).await;
    let parts = kill_a_node_under_streams(&environment).await;
    replace_engines(&environment, "v2").await;
    let (_node, caller) = start_another_node(&environment).await;

    let completed_count = take_up_all(&caller, &parts).await;

    assert_eq!(completed_count, 0);
}

#[tokio::test]
async fn streams_go_on_after_all_nodes_were_killed_if_only_one_version_has_served() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1"]).await;
    let parts = kill_a_node_under_streams(&environment).await;
    let (_node, caller) = start_another_node(&environment).await;

    let completed_count = take_up_all(&caller, &parts).await;

    assert_eq!(completed_count, parts.len());
}

#[tokio::test]
async fn streams_that_had_just_begun_go_on_after_all_nodes_were_killed() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    for engine in &environment.engines {
        *engine.prefill_time.lock().expect("unpoisoned") = PREFILL_TIME;
    }
    let parts = kill_a_node_under_streams(&environment).await;
    let (_node, caller) = start_another_node(&environment).await;

    let completed_count = take_up_all(&caller, &parts).await;

    assert_eq!(completed_count, parts.len());
}

#[tokio::test]
async fn streams_go_on_at_a_node_that_the_store_turns_away_if_a_peer_can_read_it() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    let (first, second) = two_nodes();
    let killed = KillableNode::start(&first, environment.store.address).await;
    let caller = Caller::new(&first);
    caller.wait_until_ready().await;
    let parts = begin_streams(&caller, TAKEN_UP_COUNT).await;
    tokio::time::sleep(WRITE_TIME).await;
    killed.kill();
    tokio::time::sleep(CLOSE_TIME).await;
    let link = Proxy::start(environment.store.address).await;
    let _cut = start_node(&first, link.address).await;
    let _connected = start_node(&second, environment.store.address).await;
    let [caller, _] = wait_for_two_nodes(&first, &second).await;

    link.set_mode(Mode::Silent);
    let completed_count = take_up_all(&caller, &parts).await;

    assert_eq!(completed_count, parts.len());
}
