//! Nodes, engines of several versions, and streams that callers leave and take up.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::support::edge_environment::caller::{Caller, Response};
use crate::support::edge_environment::engine::Engine;
use crate::support::edge_environment::{
    NodeSpec, TestEnvironment, eventually, start_node, start_node_with_grace,
};
use tokio::task::JoinHandle;
use zinniawing::EdgeNode;

pub const EVENT_COUNT: u64 = 120;
/// Events of a stream that is taken up.
pub const TAKEN_UP_EVENT_COUNT: u64 = 40;
/// Events that a caller receives before it disconnects.
pub const FIRST_PART: usize = 5;
/// Streams that are taken up in one test. Each would go on at another version with
/// a probability of a half if the version were not considered.
pub const TAKEN_UP_COUNT: usize = 12;
/// Time in which two nodes learn of each other.
pub const JOIN_TIME: Duration = Duration::from_millis(1_500);
/// Time in which a node has written the origins of new streams to the store.
pub const WRITE_TIME: Duration = Duration::from_millis(1_500);

pub fn spawn_stream(caller: &Caller) -> JoinHandle<Response> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.stream(EVENT_COUNT).await })
}

/// Starts a node that has forwarded some events of a stream, and returns the engine
/// that runs it.
pub async fn start_with_running_stream(
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
pub fn two_nodes() -> (NodeSpec, NodeSpec) {
    let first = NodeSpec::new("n1", "dc-a");
    let second = NodeSpec::new("n2", "dc-b").with_seed(&first);
    (first, second)
}

/// Starts two nodes that know of each other, and returns their callers.
pub async fn start_two_nodes(environment: &TestEnvironment) -> ([EdgeNode; 2], [Caller; 2]) {
    let (first, second) = two_nodes();
    let nodes = [
        start_node_with_grace(&first, environment.store.address, 3).await,
        start_node(&second, environment.store.address).await,
    ];
    (nodes, wait_for_two_nodes(&first, &second).await)
}

pub async fn wait_for_two_nodes(first: &NodeSpec, second: &NodeSpec) -> [Caller; 2] {
    let callers = [Caller::new(first), Caller::new(second)];
    for caller in &callers {
        caller.wait_until_ready().await;
    }
    tokio::time::sleep(JOIN_TIME).await;
    callers
}

/// Starts streams through `caller`, each of which it leaves after some events.
pub async fn begin_streams(caller: &Caller, count: usize) -> Vec<Response> {
    let mut parts = Vec::new();
    for _ in 0..count {
        parts.push(caller.stream_until(TAKEN_UP_EVENT_COUNT, FIRST_PART).await);
    }
    parts
}

/// Takes all streams up through `caller`, and returns how many went on to their
/// end.
pub async fn take_up_all(caller: &Caller, parts: &[Response]) -> usize {
    let mut completed_count = 0;
    for part in parts {
        let rest = caller.take_up(part, TAKEN_UP_EVENT_COUNT).await;
        assert_one_version(&[part, &rest]);
        completed_count += usize::from(rest.status == 200 && rest.is_complete);
    }
    completed_count
}

pub fn set_event_interval(environment: &TestEnvironment, interval: Duration) {
    for engine in &environment.engines {
        *engine.event_interval.lock().expect("unpoisoned") = interval;
    }
}

pub fn assert_one_version(responses: &[&Response]) {
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

pub fn assert_complete(got: &Response) {
    assert_eq!(got.status, 200, "{}", got.head);
    assert!(got.is_complete, "{}", got.body);
    assert_eq!(got.event_ids(), (1..=EVENT_COUNT).collect::<Vec<u64>>());
}

pub fn assert_refused(got: &Response) {
    assert_eq!(got.status, 503, "{} {}", got.head, got.body);
    assert!(got.header("retry-after").is_some(), "{}", got.head);
    assert!(
        got.elapsed < Duration::from_millis(600),
        "refused after {:?}",
        got.elapsed
    );
}

pub fn engines_of_version<'a>(
    environment: &'a TestEnvironment,
    version: &str,
) -> Vec<&'a Arc<Engine>> {
    let engines = environment.engines.iter();
    engines
        .filter(|engine| engine.software_version() == version)
        .collect()
}

/// Crashes all engines of a version and removes their entries.
pub fn remove_version(environment: &TestEnvironment, version: &str) {
    for engine in engines_of_version(environment, version) {
        engine.crash();
        environment.store.delete("servers", &engine.id());
    }
}

// Engines in `dc-a` run one version here and those in `dc-b` the other, so that an
// engine in another data centre, which a replica prefers, runs another version.
