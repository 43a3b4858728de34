//! What an entry node knows, from the store and from its peers.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use support::outside::caller::{Caller, get};
use support::outside::{
    NodePorts, PUBLIC_PATH, SAFE_PATH, World, config, eventually, route, start_node,
};
use zinniawing::EdgeNode;

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

async fn start_with_caller(ports: &NodePorts, world: &World) -> (EdgeNode, Caller) {
    let node = start_node(ports, world.store.address).await;
    (node, Caller::new(ports))
}

fn with_route(version: u64) -> serde_json::Value {
    let mut changed = config(version);
    let added = route("added", "/added/", "idempotent", "pay");
    changed["routes"]
        .as_array_mut()
        .expect("routes")
        .push(added);
    changed
}

#[tokio::test]
async fn a_new_configuration_is_in_force_within_its_bound_and_an_older_one_never_returns() {
    let world = World::start(0).await;
    let (_node, caller) = world.node("n1").await;
    assert_eq!(caller.call("GET", "/added/1", "").await.status, 404);

    world.store.put("config", "main", with_route(5));
    let took = wait_for_status(&caller, "/added/1", 200).await;
    world.store.put("config", "main", config(4));
    tokio::time::sleep(Duration::from_millis(600)).await;

    assert!(took < Duration::from_millis(1_000), "{took:?}");
    assert_eq!(caller.call("GET", "/added/1", "").await.status, 200);
}

#[tokio::test]
async fn a_removed_key_stops_and_a_removed_route_too() {
    let world = World::start(0).await;
    let (_node, caller) = world.node("n1").await;
    let mut changed = config(2);
    changed["tenants"][0]["api-keys"] = json!(["another-key"]);
    changed["routes"].as_array_mut().expect("routes").remove(3);

    world.store.put("config", "main", changed);

    wait_for_status(&caller, SAFE_PATH, 401).await;
    wait_for_status(&caller, PUBLIC_PATH, 404).await;
}

#[tokio::test]
async fn forgotten_history_is_made_up_for_by_listing_again() {
    let world = World::start(0).await;
    let (_node, caller) = world.node("n1").await;

    world.store.put("config", "main", with_route(2));
    world.store.forget_history();

    wait_for_status(&caller, "/added/1", 200).await;
}

#[tokio::test]
async fn a_node_that_cannot_ask_the_store_denies_nobody() {
    let world = World::start(0).await;
    let (_node, caller) = world.node("n1").await;
    world.store.is_away.store(true, Ordering::Relaxed);
    // The watch that waits ends with an answer; the next one fails.
    world.store.put("other", "thing", json!({}));
    world.store.put("config", "ignored", json!({}));
    tokio::time::sleep(Duration::from_millis(300)).await;

    let unknown = caller.call("GET", "/added/1", "").await;
    let known = caller.call("GET", SAFE_PATH, "").await;

    assert_eq!(unknown.status, 503, "{unknown:?}");
    assert_eq!(known.status, 200);
}

#[tokio::test]
async fn a_node_without_a_configuration_answers_503() {
    let world = World::start(0).await;
    world.store.is_away.store(true, Ordering::Relaxed);
    let ports = NodePorts::new("n1", "dc-a");
    let (_node, caller) = start_with_caller(&ports, &world).await;

    let got = caller.call("GET", SAFE_PATH, "").await;
    let ready = get(caller.readiness, "/readyz").await.expect("an answer");

    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert_eq!(ready.status, 503);
}

#[tokio::test]
async fn entries_that_lapse_while_the_store_is_away_stay_in_use_until_it_has_been_back() {
    let world = World::start(0).await;
    let (_node, caller) = world.node("n1").await;

    world.store.is_away.store(true, Ordering::Relaxed);
    world
        .store
        .put("servers", "stranger", json!({"service": 5}));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for service in &world.services {
        world.store.delete("servers", &service.id);
    }
    world.store.is_away.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let meanwhile = caller.call("GET", SAFE_PATH, "").await;
    let returned = &world.services[0];
    world
        .store
        .put("servers", &returned.id, returned.entry("ready"));
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let before = world.services[1].seen().len();
    for _ in 0..6 {
        assert_eq!(caller.call("GET", SAFE_PATH, "").await.status, 200);
    }

    assert_eq!(meanwhile.status, 200, "{meanwhile:?}");
    let after = world.services[1].seen().len();
    assert_eq!(after, before, "one that did not return is gone");
}

#[tokio::test]
async fn an_entry_that_is_removed_gets_no_new_calls() {
    let world = World::start(0).await;
    let (_node, caller) = world.node("n1").await;

    world.store.delete("servers", &world.services[0].id);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = world.services[0].seen().len();
    for _ in 0..6 {
        assert_eq!(caller.call("GET", SAFE_PATH, "").await.status, 200);
    }

    assert_eq!(world.services[0].seen().len(), before);
}

#[tokio::test]
async fn odd_entries_name_no_upstream_and_break_nothing() {
    let world = World::start(0).await;
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
        world.store.put("servers", name, spec);
    }
    let (_node, caller) = world.node("n1").await;

    for _ in 0..10 {
        assert_eq!(caller.call("GET", SAFE_PATH, "").await.status, 200);
    }
}

#[tokio::test]
async fn a_node_that_the_store_turns_away_learns_the_configuration_from_its_peers() {
    let world = World::start(0).await;
    let first = NodePorts::new("n1", "dc-a");
    let second = NodePorts::new("n2", "dc-b").with_seed(&first);
    let lonely_store = World::start(0).await;
    for service in &world.services {
        lonely_store
            .store
            .put("servers", &service.id, service.entry("ready"));
    }
    let _one = start_node(&first, world.store.address).await;
    let (_two, caller) = start_with_caller(&second, &lonely_store).await;
    caller.wait_until_ready().await;
    lonely_store.store.is_silent.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(1_000)).await;

    world.store.put("config", "main", with_route(9));
    let took = wait_for_status(&caller, "/added/1", 200).await;

    assert!(took < Duration::from_millis(1_500), "{took:?}");
}

#[tokio::test]
async fn nodes_find_each_other_and_one_that_leaves_drops_out_of_the_addresses() {
    let world = World::start(0).await;
    let first = NodePorts::new("n1", "dc-a");
    let second = NodePorts::new("n2", "dc-b").with_seed(&first);
    let _one = start_node(&first, world.store.address).await;
    let two = start_node(&second, world.store.address).await;
    let caller = Caller::new(&first);
    let address = second.callers.to_string();
    let lists = |wanted: bool| {
        let (caller, address) = (caller.clone(), address.clone());
        async move {
            for _ in 0..200 {
                let got = get(caller.pages, "/resolve?zone=dc-a").await;
                let listed = got.is_some_and(|got| got.body.contains(&address));
                if listed == wanted {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
            panic!("listed is not {wanted}");
        }
    };
    lists(true).await;

    let leaving = tokio::spawn(two.drain());
    lists(false).await;
    let ready = get(second.readiness, "/readyz")
        .await
        .expect("still served");

    assert_eq!(ready.status, 503);
    let caller = Caller::new(&second);
    let late = caller.call("GET", SAFE_PATH, "").await;
    assert_eq!(late.status, 200, "what still arrives is served");
    assert_eq!(late.header("connection"), Some("close"));
    leaving.await.expect("no panic");
    eventually("the node is gone", || {
        std::net::TcpStream::connect(second.callers).is_err()
    })
    .await;
}

#[tokio::test]
async fn engines_that_restart_while_the_store_is_away_are_found_by_what_they_answer() {
    let world = World::start(2).await;
    let (_node, caller) = world.node("n1").await;
    world.store.is_away.store(true, Ordering::Relaxed);
    world.store.put("config", "ignored", json!({}));
    world
        .store
        .put("servers", "stranger", json!({"service": 5}));
    tokio::time::sleep(Duration::from_millis(400)).await;
    for engine in &world.engines {
        engine.crash();
        engine.restart().await;
    }

    let mut served = 0;
    for _ in 0..12 {
        served += usize::from(caller.stream(5).await.events() == vec![1, 2, 3, 4, 5]);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    assert!(served >= 6, "{served} of 12");
    let unnamed = world.engines.iter().flat_map(|e| e.runs()).filter(|run| {
        let named = run.request.header("x-zinniawing-expect-instance");
        !world.engines.iter().any(|e| named == Some(e.id().as_str()))
    });
    assert_eq!(unnamed.count(), 0, "each run names its engine");
}

#[tokio::test]
async fn a_plain_upstream_at_an_engine_s_address_is_not_taken_for_one() {
    let world = World::start(0).await;
    let service = &world.services[0];
    let mut entry = service.entry("ready");
    entry["service"] = json!("llm");
    world.store.put("servers", "e-9", entry);
    world.store.delete("servers", &service.id);
    let (_node, caller) = world.node("n1").await;
    world.store.is_away.store(true, Ordering::Relaxed);
    world.store.put("config", "ignored", json!({}));
    tokio::time::sleep(Duration::from_millis(400)).await;

    for _ in 0..4 {
        service.will(support::outside::service::Next::Misdirects);
        let got = caller.stream(5).await;
        assert_eq!(got.status, 503, "{got:?}");
        tokio::time::sleep(Duration::from_millis(150)).await;
    }

    let ran = service.executed();
    assert!(ran.iter().all(|run| run.path() == "/report"), "{ran:?}");
}

/// A call that reached the silent store is never answered, also not once the
/// store is back: waiting for it would cost the bound on new configurations.
#[tokio::test]
async fn a_node_asks_anew_soon_after_a_silent_store_is_back() {
    let world = World::start(0).await;
    let (_node, caller) = world.node("n1").await;

    world.store.is_silent.store(true, Ordering::Relaxed);
    world.store.put("config", "main", config(2));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    world.store.is_silent.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(100)).await;
    world.store.put("config", "main", with_route(3));
    let took = wait_for_status(&caller, "/added/1", 200).await;

    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

#[tokio::test]
async fn a_node_that_starts_is_told_a_long_list_by_its_peers() {
    let world = World::start(12).await;
    let first_ports = NodePorts::new("n1", "dc-a");
    let (_first, first) = start_with_caller(&first_ports, &world).await;
    wait_for_status(&first, SAFE_PATH, 200).await;
    let whole_list = world.store.page_count("servers");
    let before = world.store.list_count();

    let second_ports = NodePorts::new("n2", "dc-b").with_seed(&first_ports);
    let (_second, second) = start_with_caller(&second_ports, &world).await;
    let took = wait_for_status(&second, SAFE_PATH, 200).await;

    assert!(whole_list > 3, "{whole_list} answers");
    assert_eq!(world.store.list_count() - before, 1, "first answer only");
    assert!(took < Duration::from_millis(600), "{took:?}");
}

#[tokio::test]
async fn a_node_whose_peers_are_away_reads_the_list_itself() {
    let world = World::start(12).await;
    let gone = NodePorts::new("n1", "dc-a");
    let ports = NodePorts::new("n2", "dc-b").with_seed(&gone);
    let (_node, caller) = start_with_caller(&ports, &world).await;

    let took = wait_for_status(&caller, SAFE_PATH, 200).await;

    assert!(took < Duration::from_secs(2), "{took:?}");
}
