//! When a data centre loses many of its engines at once, what a node does about each
//! loss does not grow with the number of losses times the number of its streams.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::edge_environment::caller::Caller;
use support::edge_environment::engine::Engine;
use support::edge_environment::{TestEnvironment, eventually};
use tokio::task::JoinSet;
use zinniawing::EdgeNode;

const ENGINE_COUNT: usize = 16;
const STREAM_COUNT: usize = 48;
/// Headers of a stream that runs until the losses are known.
const STREAM_HEADERS: &str =
    "x-zinniawing-deadline-ms: 20000\r\nx-zinniawing-token-usage: 800,200\r\n";
/// Engines of the other data centre that stay.
const SURVIVOR_COUNT: usize = 2;
/// Probes that one engine may get of a node whose streams are replicated there: one as the
/// outage is suspected, and one more if losses go on for longer than it is suspected.
const PROBES_MAX: usize = 2;

/// Starts a node that runs streams at engines of both data centres.
async fn start_with_streams() -> (TestEnvironment, EdgeNode, JoinSet<bool>) {
    let environment = TestEnvironment::start(ENGINE_COUNT).await;
    let (node, caller) = environment.start_ready_node("n1").await;
    let mut streams = JoinSet::new();
    for n in 0..STREAM_COUNT {
        let caller: Caller = caller.clone();
        // The same request at so many lost engines would count as poison.
        let path = format!("/chat/{n}");
        streams.spawn(async move {
            let got = caller.call("POST", &path, STREAM_HEADERS).await;
            got.is_complete
        });
    }
    let all_run = || {
        let running = environment.engines.iter().map(|e| e.running_count());
        running.sum::<usize>() == STREAM_COUNT
    };
    eventually("all streams run", all_run).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    (environment, node, streams)
}

fn engines_of<'a>(environment: &'a TestEnvironment, data_centre: &str) -> Vec<&'a Arc<Engine>> {
    let engines = environment.engines.iter();
    engines.filter(|e| e.data_centre == data_centre).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_holds_replicas_is_not_probed_at_each_loss_of_another_one() {
    let (environment, _node, mut streams) = start_with_streams().await;
    let others = engines_of(&environment, "dc-b");
    let (survivors, lost) = others.split_at(SURVIVOR_COUNT);
    let counts = || survivors.iter().map(|e| e.report_request_count());
    let before: Vec<usize> = counts().collect();

    for engine in lost {
        engine.crash();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(400)).await;

    let probes: Vec<usize> = counts().zip(before).map(|(now, then)| now - then).collect();
    assert!(
        probes.iter().all(|count| *count <= PROBES_MAX),
        "{probes:?}"
    );
    let mut complete_count = 0;
    while let Some(ended) = streams.join_next().await {
        complete_count += usize::from(ended.expect("no panic"));
    }
    assert_eq!(complete_count, STREAM_COUNT, "streams that went on");
}
