//! Streams that lose their engine in the middle of an answer.

use std::time::Duration;

use crate::fixtures::*;

#[tokio::test]
async fn a_stream_of_a_crashed_engine_does_not_go_on_at_a_replica_of_another_version() {
    let versions = ["v1", "v2", "v1", "v2", "v1", "v2"];
    let (_environment, _node, source, stream) = start_with_running_stream(&versions).await;

    source.crash();
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert_complete(&got);
}

#[tokio::test]
async fn a_stream_of_a_silent_engine_does_not_go_on_at_another_version() {
    let versions = ["v1", "v2", "v1", "v2", "v1", "v2"];
    let (_environment, _node, source, stream) = start_with_running_stream(&versions).await;

    source.set_frozen(true);
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert_complete(&got);
}

#[tokio::test]
async fn a_stream_without_a_replica_does_not_go_on_at_another_version() {
    let versions = ["v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2"];
    let (environment, _node, source, stream) = start_with_running_stream(&versions).await;

    // All engines of the version restart, and their replicas are gone.
    for engine in engines_of_version(&environment, &source.software_version()) {
        engine.crash();
        environment.store.delete("servers", &engine.id());
        engine.restart().await;
        let entry = engine.entry("ready");
        environment.store.put("servers", &engine.id(), entry);
    }
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
}

#[tokio::test]
async fn a_replica_is_not_requested_at_an_engine_of_another_version() {
    let versions = ["v1", "v2", "v1", "v2"];
    let (environment, _node, source, stream) = start_with_running_stream(&versions).await;

    let version = source.software_version();
    for engine in engines_of_version(&environment, &version) {
        if engine.id() != source.id() {
            engine.crash();
            environment.store.delete("servers", &engine.id());
        }
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    source.crash();
    let got = stream.await.expect("no panic");

    assert_eq!(source.replica_request_count(), 0);
    assert_one_version(&[&got]);
    assert!(!got.is_complete, "{}", got.body);
}

#[tokio::test]
async fn a_stream_whose_version_has_no_engine_left_does_not_look_complete() {
    let versions = ["v1", "v2", "v1", "v2"];
    let (environment, _node, source, stream) = start_with_running_stream(&versions).await;

    remove_version(&environment, &source.software_version());
    let got = stream.await.expect("no panic");

    assert_one_version(&[&got]);
    assert!(!got.is_complete, "{}", got.body);
    let events = got.event_ids();
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<u64>>());
}
