//! How an entry node gets configuration and upstreams from the store and from its
//! peers, also while the store is unavailable.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use support::edge_environment::caller::{Caller, get};
use support::edge_environment::{
    IDEMPOTENT_PATH, NodeSpec, PUBLIC_PATH, TestEnvironment, config, eventually, route, start_node,
};
use zinniawing::EdgeNode;

/// Time that a node waits for its first configuration.
const FIRST_CONFIG_PERIOD: Duration = Duration::from_millis(900);
/// Requests to the store in that time: two for the configuration, two for the upstreams, and
/// three for the versions that have served.
const FIRST_CONFIG_CALLS_MAX: usize = 7;

async fn wait_for_status(caller: &Caller, path: &str, status: u16) -> Duration {
    let since = std::time::Instant::now();
    loop {
        let got = caller.call("GET", path, "").await;
        if got.status == status {
            return since.elapsed();
        }
        assert!(since.elapsed() < Duration::from_secs(8), "{path}: {got:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start_with_caller(spec: &NodeSpec, environment: &TestEnvironment) -> (EdgeNode, Caller) {
    let node = start_node(spec, environment.store.address).await;
    (node, Caller::new(spec))
}

fn config_with_added_route(version: u64) -> serde_json::Value {
    let mut changed = config(version);
    let added = route("added", "/added/", "idempotent", "pay");
    changed["routes"]
        .as_array_mut()
        .expect("routes")
        .push(added);
    changed
}

#[tokio::test]
async fn a_new_configuration_is_in_force_within_its_bound_and_an_older_one_is_ignored() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    assert_eq!(caller.call("GET", "/added/1", "").await.status, 404);

    environment
        .store
        .put("config", "main", config_with_added_route(5));
    let took = wait_for_status(&caller, "/added/1", 200).await;
    environment.store.put("config", "main", config(4));
    tokio::time::sleep(Duration::from_millis(600)).await;

    assert!(took < Duration::from_millis(1_000), "{took:?}");
    assert_eq!(caller.call("GET", "/added/1", "").await.status, 200);
}

#[tokio::test]
async fn calls_with_a_removed_key_or_to_a_removed_route_are_refused() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let mut changed = config(2);
    changed["tenants"][0]["api-keys"] = json!(["another-key"]);
    changed["routes"].as_array_mut().expect("routes").remove(3);

    environment.store.put("config", "main", changed);

    wait_for_status(&caller, IDEMPOTENT_PATH, 401).await;
    wait_for_status(&caller, PUBLIC_PATH, 404).await;
}

#[tokio::test]
async fn a_node_lists_again_when_the_revision_of_its_watch_has_expired() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    environment
        .store
        .put("config", "main", config_with_added_route(2));
    environment.store.expire_history();

    wait_for_status(&caller, "/added/1", 200).await;
}

#[tokio::test]
async fn a_node_that_cannot_reach_the_store_does_not_answer_404() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    environment
        .store
        .is_unavailable
        .store(true, Ordering::Relaxed);
    // The store checks `is_unavailable` only when a request arrives. It therefore
    // still answers the watch of kind `config` that is already open: not on the
    // change of kind `other`, but with the change of `config/ignored`, which the
    // node ignores because only `config/main` counts. The next watch gets 503.
    environment.store.put("other", "thing", json!({}));
    environment.store.put("config", "ignored", json!({}));
    tokio::time::sleep(Duration::from_millis(300)).await;

    let unknown = caller.call("GET", "/added/1", "").await;
    let known = caller.call("GET", IDEMPOTENT_PATH, "").await;

    assert_eq!(unknown.status, 503, "{unknown:?}");
    assert_eq!(known.status, 200);
}

#[tokio::test]
async fn a_node_without_a_configuration_answers_503() {
    let environment = TestEnvironment::start(0).await;
    environment
        .store
        .is_unavailable
        .store(true, Ordering::Relaxed);
    let spec = NodeSpec::new("n1", "dc-a");
    let (_node, caller) = start_with_caller(&spec, &environment).await;

    let got = caller.call("GET", IDEMPOTENT_PATH, "").await;
    let ready = get(caller.readiness, "/readyz").await.expect("an answer");

    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert_eq!(ready.status, 503);
}

/// All nodes of a fleet start before the operator has written the first configuration, and
/// each asks the store for it.
#[tokio::test]
async fn a_node_asks_seldom_for_its_first_configuration_and_has_it_at_once() {
    let environment = TestEnvironment::start(2).await;
    environment.store.delete("config", "main");
    let spec = NodeSpec::new("n1", "dc-a");
    let _node = start_node(&spec, environment.store.address).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = environment.store.call_count.load(Ordering::Relaxed);

    tokio::time::sleep(FIRST_CONFIG_PERIOD).await;
    let after = environment.store.call_count.load(Ordering::Relaxed);
    environment.store.put("config", "main", config(1));
    let caller = Caller::new(&spec);
    let served_after = wait_for_status(&caller, IDEMPOTENT_PATH, 200).await;

    let calls = after - before;
    assert!(calls <= FIRST_CONFIG_CALLS_MAX, "{calls} calls");
    assert!(
        served_after < Duration::from_millis(300),
        "{served_after:?}"
    );
}

#[tokio::test]
async fn upstreams_stay_in_use_after_a_store_outage_until_they_could_register_again() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    environment
        .store
        .is_unavailable
        .store(true, Ordering::Relaxed);
    // This malformed entry ends the watch of upstreams in progress, so that the node
    // meets the outage at its next request.
    environment
        .store
        .put("servers", "stranger", json!({"service": 5}));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for service in &environment.services {
        environment.store.delete("servers", &service.id);
    }
    environment
        .store
        .is_unavailable
        .store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let meanwhile = caller.call("GET", IDEMPOTENT_PATH, "").await;
    let registered_again = &environment.services[0];
    environment.store.put(
        "servers",
        &registered_again.id,
        registered_again.entry("ready"),
    );
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let before = environment.services[1].received().len();
    for _ in 0..6 {
        assert_eq!(caller.call("GET", IDEMPOTENT_PATH, "").await.status, 200);
    }

    assert_eq!(meanwhile.status, 200, "{meanwhile:?}");
    let after = environment.services[1].received().len();
    assert_eq!(
        after, before,
        "an upstream that did not register again must be removed"
    );
}

#[tokio::test]
async fn an_upstream_whose_entry_is_removed_gets_no_new_calls() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    environment
        .store
        .delete("servers", &environment.services[0].id);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = environment.services[0].received().len();
    for _ in 0..6 {
        assert_eq!(caller.call("GET", IDEMPOTENT_PATH, "").await.status, 200);
    }

    assert_eq!(environment.services[0].received().len(), before);
}

#[tokio::test]
async fn malformed_entries_are_ignored() {
    let environment = TestEnvironment::start(0).await;
    for (name, spec) in [
        ("a-odd", json!(null)),
        (
            "b-odd",
            json!({"service": "pay", "address": "nowhere", "zone": "dc-a", "state": "ready"}),
        ),
        (
            "c-odd",
            json!({"service": "pay", "address": "127.0.0.1:9", "zone": "dc-a", "state": "asleep"}),
        ),
        ("d-odd", json!(["bytes"])),
        ("z-odd", json!({"address": "127.0.0.1:9"})),
    ] {
        environment.store.put("servers", name, spec);
    }
    let (_node, caller) = environment.start_ready_node("n1").await;

    for _ in 0..10 {
        assert_eq!(caller.call("GET", IDEMPOTENT_PATH, "").await.status, 200);
    }
}

#[tokio::test]
async fn a_node_whose_store_is_silent_gets_the_configuration_from_its_peers() {
    let environment = TestEnvironment::start(0).await;
    let first = NodeSpec::new("n1", "dc-a");
    let second = NodeSpec::new("n2", "dc-b").with_seed(&first);
    let silent_environment = TestEnvironment::start(0).await;
    for service in &environment.services {
        silent_environment
            .store
            .put("servers", &service.id, service.entry("ready"));
    }
    let _one = start_node(&first, environment.store.address).await;
    let (_two, caller) = start_with_caller(&second, &silent_environment).await;
    caller.wait_until_ready().await;
    silent_environment
        .store
        .is_silent
        .store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(1_000)).await;

    environment
        .store
        .put("config", "main", config_with_added_route(9));
    let took = wait_for_status(&caller, "/added/1", 200).await;

    assert!(took < Duration::from_millis(1_500), "{took:?}");
}

#[tokio::test]
async fn nodes_find_each_other_and_a_leaving_one_is_removed_from_the_address_list() {
    let environment = TestEnvironment::start(0).await;
    let first = NodeSpec::new("n1", "dc-a");
    let second = NodeSpec::new("n2", "dc-b").with_seed(&first);
    let _one = start_node(&first, environment.store.address).await;
    let two = start_node(&second, environment.store.address).await;
    let caller = Caller::new(&first);
    let address = second.callers.to_string();
    let wait_until_listed_is = |wanted: bool| {
        let (caller, address) = (caller.clone(), address.clone());
        async move {
            for _ in 0..200 {
                let got = get(caller.status_address, "/resolve?zone=dc-a").await;
                let listed = got.is_some_and(|got| got.body.contains(&address));
                if listed == wanted {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
            panic!("expected the second node to be listed: {wanted}");
        }
    };
    wait_until_listed_is(true).await;

    let leaving = tokio::spawn(two.drain());
    wait_until_listed_is(false).await;
    let ready = get(second.readiness, "/readyz")
        .await
        .expect("readiness is still served");

    assert_eq!(ready.status, 503);
    let caller = Caller::new(&second);
    let late = caller.call("GET", IDEMPOTENT_PATH, "").await;
    assert_eq!(late.status, 200, "a call that still arrives must be served");
    assert_eq!(late.header("connection"), Some("close"));
    leaving.await.expect("no panic");
    eventually("the node is gone", || {
        std::net::TcpStream::connect(second.callers).is_err()
    })
    .await;
}

#[tokio::test]
async fn engines_that_restart_in_a_store_outage_are_recognised_by_their_answers() {
    let environment = TestEnvironment::start(2).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    environment
        .store
        .is_unavailable
        .store(true, Ordering::Relaxed);
    // These changes end the watches in progress, so that the node meets the outage
    // at its next requests.
    environment.store.put("config", "ignored", json!({}));
    environment
        .store
        .put("servers", "stranger", json!({"service": 5}));
    tokio::time::sleep(Duration::from_millis(400)).await;
    for engine in &environment.engines {
        engine.crash();
        engine.restart().await;
    }

    let mut served_count = 0;
    for _ in 0..12 {
        served_count += usize::from(caller.stream(5).await.event_ids() == vec![1, 2, 3, 4, 5]);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    assert!(served_count >= 6, "{served_count} of 12");
    let runs_naming_no_engine = environment
        .engines
        .iter()
        .flat_map(|e| e.runs())
        .filter(|run| {
            let named = run.request.header("x-zinniawing-expect-instance");
            !environment
                .engines
                .iter()
                .any(|e| named == Some(e.id().as_str()))
        });
    assert_eq!(
        runs_naming_no_engine.count(),
        0,
        "each run must name a present engine instance"
    );
}

#[tokio::test]
async fn a_plain_service_at_the_address_of_an_engine_is_not_used_as_an_engine() {
    let environment = TestEnvironment::start(0).await;
    let service = &environment.services[0];
    let mut entry = service.entry("ready");
    entry["service"] = json!("llm");
    environment.store.put("servers", "e-9", entry);
    environment.store.delete("servers", &service.id);
    let (_node, caller) = environment.start_ready_node("n1").await;
    environment
        .store
        .is_unavailable
        .store(true, Ordering::Relaxed);
    // This change ends the configuration watch in progress, so that the node meets
    // the outage at its next request.
    environment.store.put("config", "ignored", json!({}));
    tokio::time::sleep(Duration::from_millis(400)).await;

    for _ in 0..4 {
        service.queue_fault(support::edge_environment::service::NextFault::Misdirected);
        let got = caller.stream(5).await;
        assert_eq!(got.status, 503, "{got:?}");
        tokio::time::sleep(Duration::from_millis(150)).await;
    }

    let executed = service.executed();
    assert!(
        executed.iter().all(|run| run.path() == "/report"),
        "{executed:?}"
    );
}

/// A request that reached the silent store is never answered, not even after the
/// store has recovered. A node that waited for it would put a new configuration
/// into force later than allowed.
#[tokio::test]
async fn a_node_sends_a_new_request_soon_after_a_silent_store_has_recovered() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    environment.store.is_silent.store(true, Ordering::Relaxed);
    environment.store.put("config", "main", config(2));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    environment.store.is_silent.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(100)).await;
    environment
        .store
        .put("config", "main", config_with_added_route(3));
    let took = wait_for_status(&caller, "/added/1", 200).await;

    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

#[tokio::test]
async fn a_starting_node_gets_a_long_upstream_list_from_its_peers() {
    let environment = TestEnvironment::start(12).await;
    let first_spec = NodeSpec::new("n1", "dc-a");
    let (_first, first) = start_with_caller(&first_spec, &environment).await;
    wait_for_status(&first, IDEMPOTENT_PATH, 200).await;
    let page_count = environment.store.page_count("servers");
    let before = environment.store.list_count();

    let second_spec = NodeSpec::new("n2", "dc-b").with_seed(&first_spec);
    let (_second, second) = start_with_caller(&second_spec, &environment).await;
    let took = wait_for_status(&second, IDEMPOTENT_PATH, 200).await;

    assert!(page_count > 3, "{page_count} pages");
    assert_eq!(
        environment.store.list_count() - before,
        1,
        "only the first page may come from the store"
    );
    assert!(took < Duration::from_millis(600), "{took:?}");
}

#[tokio::test]
async fn a_node_without_reachable_peers_reads_the_whole_list_from_the_store() {
    let environment = TestEnvironment::start(12).await;
    let unreachable = NodeSpec::new("n1", "dc-a");
    let spec = NodeSpec::new("n2", "dc-b").with_seed(&unreachable);
    let (_node, caller) = start_with_caller(&spec, &environment).await;

    let took = wait_for_status(&caller, IDEMPOTENT_PATH, 200).await;

    assert!(took < Duration::from_secs(2), "{took:?}");
}
