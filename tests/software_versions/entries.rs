//! Engines whose entries are missing, out of date or not readable.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::support::edge_environment::{TestEnvironment, eventually};

use crate::fixtures::*;

#[tokio::test]
async fn a_successor_found_without_the_store_does_not_continue_its_predecessors_streams() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    environment
        .store
        .is_unavailable
        .store(true, Ordering::Relaxed);
    environment.store.expire_history();
    tokio::time::sleep(Duration::from_millis(800)).await;
    let restarted = environment.engines[0].clone();
    restarted.crash();
    restarted.set_software_version("v2");
    restarted.restart().await;
    let deadline = std::time::Instant::now() + Duration::from_secs(10);
    while restarted.runs().is_empty() {
        assert!(std::time::Instant::now() < deadline, "no successor found");
        caller.stream(2).await;
    }

    let stream = spawn_stream(&caller);
    let runs = || environment.engines.iter().any(|e| e.running_count() > 0);
    eventually("a stream runs", runs).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    environment.running_engine().crash();
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert!(!got.is_complete, "{}", got.body);
}

#[tokio::test]
async fn a_stream_does_not_go_on_at_an_engine_that_restarted_under_its_id_at_another_version() {
    let (environment, _node, source, stream) =
        start_with_running_stream(&["v1", "v1", "v1", "v1"]).await;

    // Their entries in the store still state the earlier version and start time.
    for engine in &environment.engines {
        if engine.id() != source.id() {
            engine.crash();
            engine.set_software_version("v2");
            engine.restart_under_same_id().await;
        }
    }
    source.crash();
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert!(!got.is_complete, "{}", got.body);
}

#[tokio::test]
async fn an_entry_without_a_readable_version_names_no_engine_to_use() {
    let environment = TestEnvironment::start(3).await;
    let (unversioned, numbered) = (&environment.engines[0], &environment.engines[1]);
    let mut entry = unversioned.entry("ready");
    entry.as_object_mut().expect("an object").remove("version");
    environment.store.put("servers", &unversioned.id(), entry);
    let mut entry = numbered.entry("ready");
    entry["version"] = serde_json::json!(1);
    environment.store.put("servers", &numbered.id(), entry);
    let (_node, caller) = environment.start_ready_node("n1").await;

    for _ in 0..TAKEN_UP_COUNT {
        assert!(caller.stream(2).await.is_complete);
    }

    assert!(unversioned.runs().is_empty());
    assert!(numbered.runs().is_empty());
}
