//! The store comes back from a copy some seconds old, so that its revisions go back and are
//! given out again.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::Value;
use support::edge_environment::caller::Caller;
use support::edge_environment::proxy::{Mode, Proxy};
use support::edge_environment::service::Service;
use support::edge_environment::store::StoreCopy;
use support::edge_environment::{
    IDEMPOTENT_PATH, NodeSpec, TestEnvironment, config, route, start_node,
};

/// Number of nodes of the grown deployment.
const GROWN_NODE_COUNT: usize = 89;
/// Time after the return of the store from which its bounds hold again.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which a confirmed configuration is in force.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Revisions given out between the copy and the outage.
const LOST_REVISIONS: usize = 40;

fn config_with_route(version: u64, name: &str) -> Value {
    let mut changed = config(version);
    let added = route(name, &format!("/{name}/"), "idempotent", "pay");
    let routes = changed["routes"].as_array_mut().expect("routes");
    routes.push(added);
    changed
}

/// Has nodes see revisions that the copy does not have.
async fn copy_and_go_on(environment: &TestEnvironment) -> StoreCopy {
    let copy = environment.store.copy();
    environment.store.raise_revision(LOST_REVISIONS);
    environment.store.put("config", "main", config(2));
    let service = &environment.services[0];
    let entry = service.entry("ready");
    environment.store.put("servers", &service.id, entry);
    tokio::time::sleep(Duration::from_millis(800)).await;
    copy
}

/// The store is away, comes back from the copy, and the operator and the upstreams write
/// again what they wrote since. Then its counter passes that of the copy's end.
async fn come_back(environment: &TestEnvironment, copy: &StoreCopy, written_again: Value) {
    let store = &environment.store;
    store.is_unavailable.store(true, Ordering::Relaxed);
    store.come_back_from(copy);
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.put("config", "main", written_again);
    store.raise_revision(2 * LOST_REVISIONS);
    store.is_unavailable.store(false, Ordering::Relaxed);
}

/// The callers whose node does not serve `path` within the bound.
async fn not_serving(callers: &[Caller], path: &str) -> Vec<usize> {
    let deadline = Instant::now() + CONFIG_BOUND;
    let until_served = |caller: &Caller| {
        let caller = caller.clone();
        let path = path.to_owned();
        async move {
            while Instant::now() < deadline {
                if caller.call("GET", &path, "").await.status == 200 {
                    return true;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            false
        }
    };
    let served = join_all(callers.iter().map(until_served)).await;
    let missing = served.iter().enumerate().filter(|(_, served)| !**served);
    missing.map(|(node, _)| node).collect()
}

async fn executes(service: &Service, caller: &Caller) -> bool {
    let before = service.executed().len();
    for _ in 0..12 {
        caller.call("GET", IDEMPOTENT_PATH, "").await;
    }
    service.executed().len() > before
}

#[tokio::test]
async fn a_version_written_while_the_store_came_back_from_a_copy_is_not_missed() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let copy = copy_and_go_on(&environment).await;

    come_back(&environment, &copy, config_with_route(3, "added")).await;
    tokio::time::sleep(CONTACT_TIME - CONFIG_BOUND).await;

    let missing = not_serving(&[caller], "/added/1").await;
    assert!(missing.is_empty(), "the version is not in force");
}

#[tokio::test]
async fn an_upstream_that_joins_after_the_store_came_back_from_a_copy_gets_calls() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let copy = copy_and_go_on(&environment).await;

    environment.store.come_back_from(&copy);
    let joined = Service::start("p-new").await;
    environment
        .store
        .put("servers", &joined.id, joined.entry("ready"));
    tokio::time::sleep(CONTACT_TIME).await;

    assert!(executes(&joined, &caller).await, "it is not used");
}

#[tokio::test]
async fn a_node_cut_from_the_store_learns_from_a_peer_what_changed_since_it_came_back() {
    let environment = TestEnvironment::start(0).await;
    let specs = NodeSpec::cluster(2);
    let link = Proxy::start(environment.store.address).await;
    let _connected = start_node(&specs[0], environment.store.address).await;
    let _cut = start_node(&specs[1], link.address).await;
    let caller = Caller::new(&specs[1]);
    caller.wait_until_ready().await;
    let copy = copy_and_go_on(&environment).await;

    link.set_mode(Mode::Silent);
    environment.store.come_back_from(&copy);
    let joined = Service::start("p-new").await;
    let entry = joined.entry("ready");
    environment.store.put("servers", &joined.id, entry);
    tokio::time::sleep(CONTACT_TIME).await;

    assert!(executes(&joined, &caller).await, "it is not used");
}

#[tokio::test]
async fn a_list_of_an_earlier_era_from_a_peer_does_not_replace_the_stores() {
    let environment = TestEnvironment::start(0).await;
    let specs = NodeSpec::cluster(2);
    let link = Proxy::start(environment.store.address).await;
    let _cut = start_node(&specs[0], link.address).await;
    Caller::new(&specs[0]).wait_until_ready().await;
    let copy = copy_and_go_on(&environment).await;
    let gone = &environment.services[0];

    link.set_mode(Mode::Silent);
    environment.store.come_back_from(&copy);
    environment.store.delete("servers", &gone.id);
    let _starting = start_node(&specs[1], environment.store.address).await;
    let caller = Caller::new(&specs[1]);
    caller.wait_until_ready().await;
    tokio::time::sleep(CONTACT_TIME).await;

    assert!(!executes(gone, &caller).await, "the peer's list is used");
}

/// Number of calls that reach the service within a second of the store's return.
async fn calls_after_return(service: &Service, caller: &Caller) -> usize {
    let before = service.received().len();
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        assert_eq!(caller.call("GET", IDEMPOTENT_PATH, "").await.status, 200);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    service.received().len() - before
}

#[tokio::test]
async fn upstreams_that_a_copy_lacks_stay_in_use_until_they_could_register_again() {
    let environment = TestEnvironment::start(0).await;
    let entries: Vec<_> = environment.services.iter().map(|s| &s.id).collect();
    entries
        .iter()
        .for_each(|id| environment.store.delete("servers", id));
    let copy = environment.store.copy();
    for service in &environment.services {
        let entry = service.entry("ready");
        environment.store.put("servers", &service.id, entry);
    }
    let (_node, caller) = environment.start_ready_node("n1").await;

    environment.store.come_back_from(&copy);
    let reached = calls_after_return(&environment.services[0], &caller).await;
    tokio::time::sleep(CONTACT_TIME).await;

    assert!(reached > 0);
    let got = caller.call("GET", IDEMPOTENT_PATH, "").await;
    assert_eq!(got.status, 503, "they did not register again");
}

#[tokio::test]
async fn an_upstream_that_drains_gets_no_calls_after_the_store_forgot_it() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let copy = environment.store.copy();
    let drains = &environment.services[0];
    let entry = drains.entry("draining");
    environment.store.put("servers", &drains.id, entry);
    tokio::time::sleep(Duration::from_millis(500)).await;

    environment.store.come_back_from(&copy);

    assert_eq!(calls_after_return(drains, &caller).await, 0);
}

#[tokio::test]
async fn an_upstream_that_left_gets_no_calls_after_the_store_forgot_it() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let copy = environment.store.copy();
    let left = &environment.services[0];
    environment.store.delete("servers", &left.id);
    tokio::time::sleep(Duration::from_millis(500)).await;

    environment.store.come_back_from(&copy);
    let reached = calls_after_return(left, &caller).await;
    let entry = left.entry("ready");
    environment.store.put("servers", &left.id, entry);
    tokio::time::sleep(Duration::from_millis(500)).await;

    assert_eq!(reached, 0);
    assert!(executes(left, &caller).await, "it registered again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn every_node_of_a_grown_deployment_follows_a_store_that_came_back_from_a_copy() {
    let environment = TestEnvironment::start(0).await;
    let (_nodes, callers) = environment.start_ready_nodes(GROWN_NODE_COUNT).await;
    tokio::time::sleep(CONTACT_TIME).await;
    let copy = copy_and_go_on(&environment).await;

    come_back(&environment, &copy, config_with_route(3, "added")).await;
    let joined = Service::start("p-new").await;
    let entry = joined.entry("ready");
    environment.store.put("servers", &joined.id, entry);
    tokio::time::sleep(CONTACT_TIME - CONFIG_BOUND).await;

    let missing = not_serving(&callers, "/added/1").await;
    assert!(missing.is_empty(), "not in force at the nodes {missing:?}");
    let used = join_all(callers.iter().map(|caller| executes(&joined, caller))).await;
    let used_count = used.iter().filter(|is_used| **is_used).count();
    assert_eq!(used_count, callers.len(), "nodes that use the new upstream");
}
