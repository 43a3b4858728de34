//! All open connections to the store fall silent for good, while new ones work.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use support::edge_environment::proxy::Proxy;
use support::edge_environment::{IDEMPOTENT_PATH, TestEnvironment, eventually};

/// Time after which a silenced connection excuses nothing any more.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after which an upstream that drains gets no calls.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Waits until the node has just begun to wait for changes of upstreams.
async fn wait_for_new_watch(environment: &TestEnvironment) {
    let store = &environment.store;
    let waiting_count = || store.waiting_watch_count.load(Ordering::Relaxed);
    eventually("the node watches", || waiting_count() == 1).await;
    let service = &environment.services[0];
    store.put("servers", &service.id, service.entry("ready"));
    eventually("the watch ends", || waiting_count() == 0).await;
    eventually("the node watches again", || waiting_count() == 1).await;
}

#[tokio::test]
async fn a_draining_upstream_gets_no_calls_after_connections_to_the_store_fell_silent() {
    let environment = TestEnvironment::start(0).await;
    let link = Proxy::start(environment.store.address).await;
    let (_node, caller) = TestEnvironment::start_ready_node_at("n1", link.address).await;
    let draining = &environment.services[0];

    wait_for_new_watch(&environment).await;
    link.silence_open_connections();
    let silent_at = Instant::now();
    tokio::time::sleep(CONTACT_TIME - DRAIN_BOUND).await;
    let entry = draining.entry("draining");
    environment.store.put("servers", &draining.id, entry);
    tokio::time::sleep_until((silent_at + CONTACT_TIME).into()).await;
    let received_count = draining.received().len();
    while silent_at.elapsed() < CONTACT_TIME + DRAIN_BOUND {
        caller.call("GET", IDEMPOTENT_PATH, "").await;
    }

    assert_eq!(draining.received().len() - received_count, 0);
}
