//! Streams that a node cut off from the engines sends through a peer. It had sent them to
//! engines itself, perhaps of another version than the one at which they then begin.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::support::edge_environment::caller::{Caller, Response};
use crate::support::edge_environment::proxy::{Mode, Proxy};
use crate::support::edge_environment::{KillableNode, TestEnvironment, start_node, store_view};

use crate::fixtures::*;

/// Time in which engines process a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(1_000);
/// Time after which streams are in prefill, and the node has written to which engines it
/// sent them.
const SENT_TIME: Duration = Duration::from_millis(600);
/// Time in which the streams of the cut node begin through its peer.
const RELAY_TIME: Duration = Duration::from_secs(3);
/// Time in which the kernel has closed the connections of killed nodes.
const CLOSE_TIME: Duration = Duration::from_millis(200);
/// Time between two events of a stream that still runs when the nodes are killed.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a node has to run until it may spend its whole share of the retry budget.
const BUDGET_TIME: Duration = Duration::from_secs(10);
const STREAM_COUNT: usize = 16;
/// Events of a stream that still runs when the nodes are killed.
const LONG_EVENT_COUNT: u64 = 400;

/// Starts links to all engines, and a view of the store that gives their addresses.
async fn start_links(environment: &TestEnvironment) -> (Vec<Arc<Proxy>>, SocketAddr) {
    let mut links = Vec::new();
    let mut addresses = BTreeMap::new();
    for engine in &environment.engines {
        let link = Proxy::start(engine.address).await;
        addresses.insert(engine.address, link.address);
        links.push(link);
    }
    let view = store_view::start(&environment.store, addresses).await;
    (links, view)
}

fn set_engine_times(environment: &TestEnvironment, prefill: Duration, event_interval: Duration) {
    for engine in &environment.engines {
        *engine.prefill_time.lock().expect("unpoisoned") = prefill;
    }
    set_event_interval(environment, event_interval);
}

/// Begins long streams through `caller`, which end as their node is killed.
fn begin_long_streams(caller: &Caller) -> Vec<tokio::task::JoinHandle<Response>> {
    let begin = |_| {
        let caller = caller.clone();
        tokio::spawn(async move { caller.stream(LONG_EVENT_COUNT).await })
    };
    (0..STREAM_COUNT).map(begin).collect()
}

/// Guards against a stream that goes on at the version to which a node had sent it before it
/// sent it through a peer, where it began at another one.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_streams_go_on_at_the_version_that_began_them_after_all_nodes_were_killed() {
    let environment = TestEnvironment::start_with_versions(&["v1", "v1", "v2", "v2"]).await;
    set_engine_times(&environment, PREFILL_TIME, EVENT_INTERVAL);
    let (links, view) = start_links(&environment).await;
    let (first, second) = two_nodes();
    // Nodes pass on the addresses that they know, so each must have read its own first.
    let cut = KillableNode::start(&second, view).await;
    Caller::new(&second).wait_until_ready().await;
    let peer = KillableNode::start(&first, environment.store.address).await;
    let [_, caller_of_cut] = wait_for_two_nodes(&first, &second).await;

    tokio::time::sleep(BUDGET_TIME).await;
    let streams = begin_long_streams(&caller_of_cut);
    tokio::time::sleep(SENT_TIME).await;
    links.iter().for_each(|link| link.set_mode(Mode::Reset));
    tokio::time::sleep(RELAY_TIME).await;
    cut.kill();
    peer.kill();
    let mut parts = Vec::new();
    for stream in streams {
        parts.push(stream.await.expect("no panic"));
    }
    parts.retain(|part| !part.software_versions().is_empty());
    tokio::time::sleep(CLOSE_TIME).await;
    let _nodes = [
        start_node(&first, environment.store.address).await,
        start_node(&second, environment.store.address).await,
    ];
    let [caller, _] = wait_for_two_nodes(&first, &second).await;
    set_engine_times(&environment, Duration::ZERO, Duration::from_millis(2));
    let completed_count = take_up_all(&caller, &parts).await;

    assert!(parts.len() > STREAM_COUNT / 2, "{} began", parts.len());
    assert_eq!(completed_count, parts.len());
}
