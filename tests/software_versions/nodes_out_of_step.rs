//! A node that is cut off, or stands still, does not learn that engines of another version
//! joined meanwhile. Streams that began at these through another node go on at their own
//! version, or are refused.

use std::time::Duration;

use crate::support::edge_environment::caller::{Caller, Response};
use crate::support::edge_environment::engine::{Engine, HeldReplicas};
use crate::support::edge_environment::proxy::{Mode, Proxy};
use crate::support::edge_environment::{KillableNode, TestEnvironment};

use crate::fixtures::*;

/// Time for which a node has to run until it knows by itself which versions have served.
const KNOWLEDGE_TIME: Duration = Duration::from_secs(61);
/// Time in which a node that is in touch learns of new engines.
const LEARN_TIME: Duration = Duration::from_millis(800);

/// Starts engines of another version in both data centres.
async fn add_engines(environment: &mut TestEnvironment, version: &str) {
    let held_replicas = HeldReplicas::default();
    for (n, data_centre) in ["dc-a", "dc-b", "dc-a", "dc-b"].into_iter().enumerate() {
        let name = format!("new-{n}");
        let engine = Engine::start(&name, data_centre, version, &held_replicas).await;
        environment
            .store
            .put("servers", &engine.id(), engine.entry("ready"));
        environment.engines.push(engine);
    }
    tokio::time::sleep(LEARN_TIME).await;
}

/// Begins streams through `caller`, and returns those that began at `version`.
async fn begin_streams_at(caller: &Caller, version: &str) -> Vec<Response> {
    let mut parts = begin_streams(caller, TAKEN_UP_COUNT).await;
    parts.retain(|part| part.software_versions().contains(version));
    assert!(!parts.is_empty(), "no stream began at {version}");
    parts
}

/// Takes all streams up through `caller`.
async fn take_up_each(caller: &Caller, parts: &[Response]) -> Vec<Response> {
    let mut rests = Vec::new();
    for part in parts {
        rests.push(caller.take_up(part, TAKEN_UP_EVENT_COUNT).await);
    }
    rests
}

fn assert_not_mixed(parts: &[Response], rests: &[Response]) {
    for (part, rest) in parts.iter().zip(rests) {
        assert_one_version(&[part, rest]);
        assert_ne!(rest.status, 200, "the node knows no engine of the version");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_cut_off_does_not_take_its_only_version_for_that_of_a_stream() {
    let mut environment = TestEnvironment::start_with_versions(&["v1", "v1"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let link = Proxy::start(environment.store.address).await;
    // It knows no other node either.
    let (_cut, caller_of_cut) = TestEnvironment::start_ready_node_at("n2", link.address).await;
    tokio::time::sleep(KNOWLEDGE_TIME).await;

    link.set_mode(Mode::Silent);
    add_engines(&mut environment, "v2").await;
    let parts = begin_streams_at(&caller, "v2").await;
    let rests = take_up_each(&caller_of_cut, &parts).await;

    assert_not_mixed(&parts, &rests);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stood_still_does_not_take_its_only_version_for_that_of_a_stream() {
    let mut environment = TestEnvironment::start_with_versions(&["v1", "v1"]).await;
    let (first, second) = two_nodes();
    let other = KillableNode::start(&first, environment.store.address).await;
    let link = Proxy::start(environment.store.address).await;
    let paused = KillableNode::start(&second, link.address).await;
    let [caller, caller_of_paused] = wait_for_two_nodes(&first, &second).await;
    tokio::time::sleep(KNOWLEDGE_TIME).await;

    paused.set_paused(true);
    link.set_mode(Mode::Silent);
    add_engines(&mut environment, "v2").await;
    let parts = begin_streams_at(&caller, "v2").await;
    other.kill();
    paused.set_paused(false);
    let rests = take_up_each(&caller_of_paused, &parts).await;
    paused.kill();

    assert_not_mixed(&parts, &rests);
}
