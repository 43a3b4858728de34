//! All open connections between nodes fall silent for good, while new ones work.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::Value;
use support::edge_environment::caller::Caller;
use support::edge_environment::proxy::{Mode, Proxy};
use support::edge_environment::silent_links::silence_open_connections;
use support::edge_environment::{
    IDEMPOTENT_PATH, NodeSpec, TestEnvironment, config, route, start_node,
};

/// Number of nodes of the grown deployment, most of which learn from peers what the store
/// has.
const GROWN_NODE_COUNT: usize = 89;
/// Port at which nodes listen for each other.
const PEER_PORT: u16 = 7340;
/// Time after which a silenced connection excuses nothing any more.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which a confirmed configuration is in force.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Time after which an upstream that drains gets no calls.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Changes before the silence, after which each node has connections to several peers.
const CHANGES_BEFORE: u64 = 12;
const CHANGES_AFTER: u64 = 8;
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// Held while a scene runs, as the connections of the whole process are silenced.
static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

fn added_path(version: u64) -> String {
    format!("/added-{version}/1")
}

/// A configuration with a route of its own.
fn config_with_route(version: u64) -> Value {
    let mut changed = config(version);
    let prefix = format!("/added-{version}/");
    let added = route("added", &prefix, "idempotent", "pay");
    let routes = changed["routes"].as_array_mut().expect("routes");
    routes.push(added);
    changed
}

/// Changes the configuration and an upstream's entry, so that nodes fetch both from peers.
async fn change_both(environment: &TestEnvironment, version: u64) {
    let store = &environment.store;
    store.put("config", "main", config_with_route(version));
    let spare = &environment.services[0];
    let state = ["ready", "draining"][usize::from(version.is_multiple_of(2))];
    store.put("servers", &spare.id, spare.entry(state));
    tokio::time::sleep(CHANGE_INTERVAL).await;
}

/// The callers whose node does not serve the path when `deadline` has passed.
async fn not_serving_at(deadline: Instant, callers: &[Caller], path: &str) -> BTreeSet<usize> {
    let until_served = async |caller: &Caller| {
        while caller.call("GET", path, "").await.status != 200 {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        true
    };
    let served = join_all(callers.iter().map(until_served)).await;
    let missing = served.iter().enumerate().filter(|(_, served)| !**served);
    missing.map(|(node, _)| node).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn versions_are_in_force_at_89_nodes_after_connections_between_nodes_fell_silent() {
    let _running = RUNNING.lock().await;
    let environment = TestEnvironment::start(0).await;
    let (_nodes, callers) = environment.start_ready_nodes(GROWN_NODE_COUNT).await;
    for version in 2..2 + CHANGES_BEFORE {
        change_both(&environment, version).await;
    }

    let ends = silence_open_connections(PEER_PORT);
    let silent_at = Instant::now();
    let mut missing = Vec::new();
    let first = 2 + CHANGES_BEFORE;
    for version in first..first + CHANGES_AFTER {
        let written_at = Instant::now();
        change_both(&environment, version).await;
        let deadline = (written_at + CONFIG_BOUND).max(silent_at + CONTACT_TIME);
        let late = not_serving_at(deadline, &callers, &added_path(version)).await;
        missing.push((version, late.len()));
    }

    assert!(ends > 0, "nodes have connections to each other");
    let late = missing.iter().filter(|(_, late)| *late > 0);
    let late: Vec<_> = late.collect();
    assert!(
        late.is_empty(),
        "versions and nodes that lack them: {late:?}"
    );
}

/// Calls at all nodes until `deadline`, and returns when the last one reached the upstream.
async fn call_until(deadline: Instant, callers: &[Caller]) {
    let call = async |caller: &Caller| {
        while Instant::now() < deadline {
            caller.call("GET", IDEMPOTENT_PATH, "").await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    join_all(callers.iter().map(call)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_draining_upstream_gets_no_calls_of_89_nodes_whose_connections_fell_silent() {
    let _running = RUNNING.lock().await;
    let environment = TestEnvironment::start(0).await;
    let (_nodes, callers) = environment.start_ready_nodes(GROWN_NODE_COUNT).await;
    for version in 2..2 + CHANGES_BEFORE {
        change_both(&environment, version).await;
    }
    let draining = &environment.services[1];

    let ends = silence_open_connections(PEER_PORT);
    let silent_at = Instant::now();
    tokio::time::sleep(CONTACT_TIME - DRAIN_BOUND).await;
    let entry = draining.entry("draining");
    environment.store.put("servers", &draining.id, entry);
    call_until(silent_at + CONTACT_TIME, &callers).await;
    let received_count = draining.received().len();
    call_until(silent_at + CONTACT_TIME + DRAIN_BOUND, &callers).await;

    assert!(ends > 0, "nodes have connections to each other");
    assert_eq!(draining.received().len() - received_count, 0);
}

/// The node has no other way to the configuration than this one connection.
#[tokio::test]
async fn a_node_cut_from_the_store_asks_its_only_peer_again_over_a_new_connection() {
    let _running = RUNNING.lock().await;
    let environment = TestEnvironment::start(0).await;
    let specs = NodeSpec::cluster(2);
    let link = Proxy::start(environment.store.address).await;
    let _connected = start_node(&specs[0], environment.store.address).await;
    let _cut = start_node(&specs[1], link.address).await;
    let caller = [Caller::new(&specs[1])];
    caller[0].wait_until_ready().await;
    link.set_mode(Mode::Silent);
    let store = &environment.store;
    store.put("config", "main", config_with_route(2));
    let in_time = Instant::now() + CONFIG_BOUND;
    let before = not_serving_at(in_time, &caller, &added_path(2)).await;

    silence_open_connections(PEER_PORT);
    store.put("config", "main", config_with_route(3));
    let in_time = Instant::now() + CONFIG_BOUND;
    let after = not_serving_at(in_time, &caller, &added_path(3)).await;

    assert!(before.is_empty(), "it learns from its peer");
    assert!(after.is_empty(), "it learns nothing more");
}
