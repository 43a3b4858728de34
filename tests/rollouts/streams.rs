//! Rollouts of model engines, whose streams stay at the version that began them.

use std::time::{Duration, Instant};

use crate::scene::{
    DURATION, NodeProcess, RUNNING, assert_exposure_bound, request_rollout, start_nodes, state_of,
};
use crate::support::edge_environment::TestEnvironment;
use crate::support::edge_environment::caller::{Caller, Response};

const VERSIONS: [&str; 6] = ["v1", "v2", "v1", "v2", "v1", "v2"];
const EVENT_COUNT: u64 = 24;
const STREAM_INTERVAL: Duration = Duration::from_millis(30);

/// Three engines of each version and three nodes. The rollout is requested before the
/// engines of the new version register.
async fn start() -> (TestEnvironment, Vec<Option<NodeProcess>>, Vec<Caller>) {
    let environment = TestEnvironment::start_with_versions(&VERSIONS).await;
    let new = || {
        environment
            .engines
            .iter()
            .filter(|e| e.software_version() == "v2")
    };
    new().for_each(|engine| environment.store.delete("servers", &engine.id()));
    let (nodes, callers) = start_nodes(&environment, &["rollout"]).await;
    request_rollout(&environment, "llm");
    for engine in new() {
        let entry = engine.entry("ready");
        environment.store.put("servers", &engine.id(), entry);
    }
    (environment, nodes, callers)
}

async fn stream_for(callers: &[Caller], duration: Duration) -> Vec<Response> {
    let began_at = Instant::now();
    let mut streams = Vec::new();
    while began_at.elapsed() < duration {
        let caller = callers[streams.len() % callers.len()].clone();
        streams.push(tokio::spawn(
            async move { caller.stream(EVENT_COUNT).await },
        ));
        tokio::time::sleep(STREAM_INTERVAL).await;
    }
    let mut responses = Vec::new();
    for stream in streams {
        responses.push(stream.await.expect("no panic"));
    }
    responses
}

/// Runs that engines of the old version and of the new one began.
fn run_counts(environment: &TestEnvironment) -> (usize, usize) {
    let count = |version| -> usize {
        let engines = environment.engines.iter();
        let of_version = engines.filter(|engine| engine.software_version() == version);
        of_version.map(|engine| engine.runs().len()).sum()
    };
    (count("v1"), count("v2"))
}

fn assert_no_stream_mixes_versions(responses: &[Response]) {
    for response in responses {
        let versions = response.software_versions();
        assert!(versions.len() <= 1, "{versions:?} in {}", response.body);
    }
}

/// Guards against a rollout that streams suffer from.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_of_a_good_version_get_all_new_streams_in_the_end() {
    let _running = RUNNING.lock().await;
    let (environment, _nodes, callers) = start().await;

    let responses = stream_for(&callers, DURATION).await;

    assert_eq!(state_of(&environment, "llm"), "completed v2");
    assert_no_stream_mixes_versions(&responses);
    let (old, new) = run_counts(&environment);
    assert_exposure_bound(old, new);
    stream_for(&callers, Duration::from_secs(1)).await;
    assert_eq!(
        run_counts(&environment).0,
        old,
        "streams begin at the old version"
    );
}

/// Guards against a version whose answers begin in time and then take four times as long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_of_a_slow_version_get_no_streams_in_the_end() {
    let _running = RUNNING.lock().await;
    let (environment, _nodes, callers) = start().await;
    for engine in &environment.engines {
        if engine.software_version() == "v2" {
            *engine.event_interval.lock().expect("unpoisoned") = Duration::from_millis(40);
        }
    }

    let responses = stream_for(&callers, DURATION).await;

    assert_eq!(state_of(&environment, "llm"), "reverted v2");
    assert_no_stream_mixes_versions(&responses);
    let (old, new) = run_counts(&environment);
    assert_exposure_bound(old, new);
    stream_for(&callers, Duration::from_secs(1)).await;
    assert_eq!(
        run_counts(&environment).1,
        new,
        "streams begin at the reverted version"
    );
}
