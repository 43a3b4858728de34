//! Upstreams that say in their answers to relayed calls that they leave.

use std::time::{Duration, Instant};

use crate::scene::Scene;
use crate::support::edge_environment::caller::Caller;
use crate::support::edge_environment::first_tries::CONTACT_TIME;
use crate::support::edge_environment::proxy::Mode;
use crate::support::edge_environment::{IDEMPOTENT_PATH, STREAM_PATH};

const LEAVING: &str = "server-leaving: 1\r\n";
/// Time for which calls are made after the cut, once the node uses its own paths again.
const DIRECT_TIME: Duration = Duration::from_secs(2);
const STREAM_HEADERS: &str =
    "x-zinniawing-deadline-ms: 1500\r\nx-zinniawing-token-usage: 800,5\r\n";

/// A node that is cut, and the only other one.
async fn start_with_cut_node() -> Scene {
    let scene = Scene::start(2).await;
    scene.cut(&[0], Mode::Unreachable);
    let load = scene.start_load().await;
    tokio::time::sleep(CONTACT_TIME).await;
    load.stop().await;
    scene
}

async fn call_for(duration: Duration, caller: &Caller, method: &str, path: &str) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        caller.call(method, path, STREAM_HEADERS).await;
    }
}

#[tokio::test]
async fn no_call_follows_a_relayed_answer_that_says_its_upstream_leaves() {
    let scene = start_with_cut_node().await;
    let (leaving, others) = scene.environment.services.split_first().expect("services");
    // The leaving one answers faster, and would be preferred.
    for other in others {
        *other.answer_time.lock().expect("unpoisoned") = Duration::from_millis(20);
    }
    *leaving.extra_headers.lock().expect("unpoisoned") = LEAVING.to_owned();
    let before = leaving.received().len();
    while leaving.received().len() == before {
        scene.callers[0].call("GET", IDEMPOTENT_PATH, "").await;
    }

    let received_count = leaving.received().len();
    scene.heal(&[0]);
    call_for(
        CONTACT_TIME + DIRECT_TIME,
        &scene.callers[0],
        "GET",
        IDEMPOTENT_PATH,
    )
    .await;

    assert_eq!(leaving.received().len(), received_count);
}

#[tokio::test]
async fn no_stream_follows_a_relayed_one_whose_engine_says_it_leaves() {
    let scene = start_with_cut_node().await;
    let engines = &scene.environment.engines;
    // All but one, which can take the streams.
    let leaving = &engines[1..];
    leaving.iter().for_each(|engine| engine.set_leaving(true));
    let run_count = || -> usize { leaving.iter().map(|engine| engine.runs().len()).sum() };
    call_for(DIRECT_TIME, &scene.callers[0], "POST", STREAM_PATH).await;
    leaving.iter().for_each(|engine| engine.set_leaving(false));

    let begun_count = run_count();
    scene.heal(&[0]);
    call_for(
        CONTACT_TIME + DIRECT_TIME,
        &scene.callers[0],
        "POST",
        STREAM_PATH,
    )
    .await;

    assert_eq!(run_count() - begun_count, 0, "runs at engines that leave");
}
