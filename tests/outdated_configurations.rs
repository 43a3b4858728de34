//! A node that may have missed a configuration refuses nobody for good by the one that it
//! has, and learns of the new one in time.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use support::edge_environment::caller::Caller;
use support::edge_environment::proxy::{Mode, Proxy};
use support::edge_environment::{
    NodeSpec, TestEnvironment, config, free_address, route, start_node,
};
use zinniawing::{LinkFaults, Member, Membership, MembershipSettings};

/// Time after which a disturbed connection excuses nothing any more.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which a confirmed configuration is in force.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
const ADDED_PATH: &str = "/added/1";

fn config_with_added_route(version: u64) -> Value {
    let mut changed = config(version);
    let added = route("added", "/added/", "idempotent", "pay");
    let routes = changed["routes"].as_array_mut().expect("routes");
    routes.push(added);
    changed
}

#[tokio::test]
async fn a_route_is_not_refused_for_good_while_the_watch_of_the_configuration_is_silent() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    environment.store.wait_for_config_watch().await;
    environment.store.silence("config");
    environment
        .store
        .put("config", "main", config_with_added_route(2));
    tokio::time::sleep(CONFIG_BOUND).await;

    let until = Instant::now() + CONTACT_TIME;
    let mut statuses = Vec::new();
    while Instant::now() < until {
        statuses.push(caller.call("GET", ADDED_PATH, "").await.status);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    let refused_count = statuses.iter().filter(|status| **status == 404).count();
    assert_eq!(refused_count, 0, "of {} calls", statuses.len());
}

#[tokio::test]
async fn a_version_is_in_force_in_time_after_open_connections_to_the_store_fell_silent() {
    let environment = TestEnvironment::start(0).await;
    let link = Proxy::start(environment.store.address).await;
    let (_node, caller) = TestEnvironment::start_ready_node_at("n1", link.address).await;

    environment.store.wait_for_config_watch().await;
    link.silence_open_connections();
    let silent_at = Instant::now();
    tokio::time::sleep(CONTACT_TIME - CONFIG_BOUND).await;
    environment
        .store
        .put("config", "main", config_with_added_route(2));

    while caller.call("GET", ADDED_PATH, "").await.status != 200 {
        assert!(silent_at.elapsed() < CONTACT_TIME, "not in force in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A peer that announces a configuration and then stands still: its kernel accepts
/// connections, and no request is answered.
async fn start_and_freeze_peer(seed: SocketAddr, version: u64) {
    let peer_address = free_address();
    let settings = MembershipSettings {
        me: Member {
            node: "frozen".to_owned(),
            incarnation: 1,
            peer_address,
            caller_address: free_address(),
            relay_port: 0,
            data_centre: "dc-b".to_owned(),
            leaving: false,
            demand_count: 0,
        },
        seeds: vec![seed],
        interval: Duration::from_millis(400),
        faults: LinkFaults::default(),
    };
    let run = async move {
        let membership = Membership::start(settings).await.expect("it starts");
        while membership.alive_count() < 3 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let sent_before = membership.traffic().sent_count;
        membership.hold_document("routing", version);
        // Both other nodes get the announcement at once.
        while membership.traffic().sent_count < sent_before + 2 {
            tokio::task::yield_now().await;
        }
        membership
    };
    let frozen = std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let membership = runtime.block_on(run);
        // Kept for the rest of the process, and not run.
        std::mem::forget((runtime, membership));
    });
    while !frozen.is_finished() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_is_fetched_from_another_peer_while_the_first_one_stands_still() {
    let environment = TestEnvironment::start(0).await;
    let specs = NodeSpec::cluster(2);
    let link = Proxy::start(environment.store.address).await;
    let _connected = start_node(&specs[0], environment.store.address).await;
    let _cut = start_node(&specs[1], link.address).await;
    let caller = Caller::new(&specs[1]);
    caller.wait_until_ready().await;
    link.set_mode(Mode::Silent);
    start_and_freeze_peer(specs[1].peers, 50).await;

    environment
        .store
        .put("config", "main", config_with_added_route(3));
    let written_at = Instant::now();

    while caller.call("GET", ADDED_PATH, "").await.status != 200 {
        assert!(written_at.elapsed() < CONFIG_BOUND / 2, "not in force yet");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
