//! Streams that are sent to one version and begin at another while the store is away, so that
//! nodes can't write where they began.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::support::edge_environment::TestEnvironment;
use crate::support::edge_environment::caller::{Caller, Response};
use tokio::task::JoinHandle;

use crate::fixtures::*;

const STREAM_COUNT: usize = 60;
/// Time between two streams.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a node has noticed that the store is away, and has tried to write.
const SILENCE_TIME: Duration = Duration::from_secs(1);
/// Time in which engines process a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(1_000);

async fn begin_short_streams(caller: &Caller) -> Vec<JoinHandle<Response>> {
    let mut streams = Vec::new();
    for _ in 0..STREAM_COUNT {
        let caller = caller.clone();
        streams.push(tokio::spawn(async move { caller.stream(20).await }));
        tokio::time::sleep(INTERVAL).await;
    }
    streams
}

async fn count_whole(streams: Vec<JoinHandle<Response>>) -> usize {
    let mut count = 0;
    for stream in streams {
        let got = stream.await.expect("no panic");
        count += usize::from(got.is_complete && got.event_ids().len() == 20);
    }
    count
}

/// Guards against a stream of a sound engine that is thrown away because the store can't be told
/// that an engine of another version, which was full, did not run it.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_a_full_version_refused_are_whole_while_the_store_is_away() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    tokio::time::sleep(WRITE_TIME).await;

    environment.store.is_silent.store(true, Ordering::Relaxed);
    for engine in engines_of_version(&environment, "v1") {
        engine.is_full.store(true, Ordering::Relaxed);
    }
    tokio::time::sleep(SILENCE_TIME).await;
    let streams = begin_short_streams(&caller).await;
    environment.store.is_silent.store(false, Ordering::Relaxed);
    let whole_count = count_whole(streams).await;

    assert_eq!(whole_count, STREAM_COUNT);
}

/// Guards against the same where the store has the record of the other version, which crashed
/// during the prompt: the first event waits for the store, and the stream is whole.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_left_a_recorded_version_wait_for_the_store_and_are_whole() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    for engine in &environment.engines {
        *engine.prefill_time.lock().expect("unpoisoned") = PREFILL_TIME;
    }
    let (_node, caller) = environment.start_ready_node("n1").await;
    tokio::time::sleep(WRITE_TIME).await;

    let streams: Vec<_> = (0..TAKEN_UP_COUNT)
        .map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.stream(20).await })
        })
        .collect();
    tokio::time::sleep(PREFILL_TIME / 2).await;
    environment.store.is_silent.store(true, Ordering::Relaxed);
    for engine in engines_of_version(&environment, "v1") {
        engine.crash();
    }
    tokio::time::sleep(4 * SILENCE_TIME).await;
    environment.store.is_silent.store(false, Ordering::Relaxed);
    let whole_count = count_whole(streams).await;

    assert_eq!(whole_count, TAKEN_UP_COUNT);
}

/// Has an engine come back under its id with other software after the store has been away for
/// `silence`, so that it can't register, and crashes it under the streams that it begins.
async fn crash_an_upgraded_engine_under_streams(silence: Duration) {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1"]).await;
    set_event_interval(&environment, Duration::from_millis(50));
    let (_node, caller) = environment.start_ready_node("n1").await;
    let upgraded = &environment.engines[0];

    environment.store.is_silent.store(true, Ordering::Relaxed);
    tokio::time::sleep(silence).await;
    upgraded.crash();
    upgraded.set_software_version("v2");
    upgraded.restart_under_same_id().await;
    tokio::time::sleep(SILENCE_TIME).await;
    let streams: Vec<_> = (0..TAKEN_UP_COUNT).map(|_| spawn_stream(&caller)).collect();
    tokio::time::sleep(SILENCE_TIME).await;
    upgraded.crash();
    let mut versions = BTreeSet::new();
    for stream in streams {
        let got = stream.await.expect("no panic");
        assert_one_version(&[&got]);
        versions.extend(got.software_versions());
    }

    assert_eq!(versions.len(), 2, "no stream began at the upgraded engine");
}

/// Guards against streams that go on at the version in the entry of an engine that is back under
/// its id with other software, and can't register while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_an_engine_that_is_back_at_another_version_are_not_joined_to_its_earlier_one() {
    crash_an_upgraded_engine_under_streams(5 * SILENCE_TIME).await;
}

/// Guards against the same before the node can have noticed that the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_an_engine_that_is_back_soon_after_the_store_left_are_not_joined() {
    crash_an_upgraded_engine_under_streams(2 * SILENCE_TIME).await;
}
