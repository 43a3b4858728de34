//! Many upstreams are lost again and again, and all nodes tell each other, while callers
//! wait and leave. The nodes share one thread, since the nodes of a deployment have a small
//! part of a core each.

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::{Value, json};
use support::edge_environment::caller::Caller;
use support::edge_environment::leaving_callers::{CallKind, LeftCall, call_and_leave};
use support::edge_environment::{
    IDEMPOTENT_PATH, NodeSpec, PUBLIC_PATH, TestEnvironment, config, eventually, start_node,
};
use tokio::runtime::{self, Runtime};
use zinniawing::{Announcement, EdgeNode, LinkFaults, Member, Membership, MembershipSettings};

const NODE_COUNT: usize = 32;
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after a route's time-out, or after its caller left, at which a call must have ended.
const END_SLACK: Duration = Duration::from_millis(500);
/// Answer time of an upstream that answers no call before its time-out.
const NO_ANSWER: Duration = Duration::from_secs(30);
/// Time after which callers leave that do not wait for the end of their calls.
const PATIENCE: Duration = Duration::from_millis(2_500);
const LEAVING_CALL: CallKind = ("GET", PUBLIC_PATH, "");
const STORM_COUNT: usize = 9;
const STORM_INTERVAL: Duration = Duration::from_secs(2);
/// Calls of each kind at each node in one storm.
const CALLS_IN_STORM: u32 = 2;
/// Losses that the nodes tell each other of in one storm.
const LOSSES: usize = 120;
/// Topic and TTL of announced losses.
const LOSS_TOPIC: u32 = 5;
const LOSS_TTL: Duration = Duration::from_secs(2);

/// Nodes that run on one thread of their own.
struct NodesOfOneThread {
    runtime: Option<Runtime>,
    callers: Vec<Caller>,
    specs: Vec<NodeSpec>,
    _nodes: Vec<EdgeNode>,
}

impl NodesOfOneThread {
    async fn start(environment: &TestEnvironment) -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let specs = NodeSpec::cluster(NODE_COUNT);
        let (to_start, store) = (specs.clone(), environment.store.address);
        let started = runtime.spawn(async move {
            let mut nodes = Vec::new();
            for spec in &to_start {
                nodes.push(start_node(spec, store).await);
            }
            nodes
        });
        let nodes = started.await.expect("no panic");
        let callers: Vec<Caller> = specs.iter().map(Caller::new).collect();
        for caller in &callers {
            caller.wait_until_ready().await;
        }
        Self {
            runtime: Some(runtime),
            callers,
            specs,
            _nodes: nodes,
        }
    }
}

impl Drop for NodesOfOneThread {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A configuration in which calls of callers that wait time out soon.
fn config_with_short_timeout() -> Value {
    let mut changed = config(2);
    let routes = changed["routes"].as_array_mut().expect("routes");
    for route in routes.iter_mut().filter(|r| r["public"] == json!(false)) {
        route["timeout-ms"] = json!(ROUTE_TIMEOUT.as_millis() as u64);
    }
    changed
}

/// A member of the cluster that tells the nodes of losses.
async fn join_as_observer(specs: &[NodeSpec]) -> Membership {
    let own = NodeSpec::new("observer", "dc-a");
    let settings = MembershipSettings {
        me: Member {
            node: own.name.clone(),
            incarnation: 1,
            peer_address: own.peers,
            caller_address: own.callers,
            relay_port: 0,
            data_centre: own.data_centre.clone(),
            leaving: true,
            demand_count: 0,
        },
        seeds: vec![specs[0].peers],
        interval: Duration::from_millis(400),
        faults: LinkFaults::default(),
    };
    let observer = Membership::start(settings).await.expect("it starts");
    eventually("the observer sees all nodes", || {
        observer.alive_count() == NODE_COUNT + 1
    })
    .await;
    observer
}

fn announce_losses(observer: &Membership, storm: usize) {
    for n in 0..LOSSES {
        observer.announce(Announcement {
            topic: LOSS_TOPIC,
            key: format!("i-{storm:02}{n:08}"),
            version: 1,
            ttl: LOSS_TTL,
            body: "dc-z".into(),
        });
    }
}

/// Time until the node ends a call whose upstream does not answer.
async fn time_until_ended(caller: Caller) -> Duration {
    let since = Instant::now();
    caller.call("GET", IDEMPOTENT_PATH, "").await;
    since.elapsed()
}

/// Sends calls whose upstreams don't answer to all nodes, during the storms; returns the
/// times after which those of callers that wait ended, and those of callers that leave.
async fn call_during_storms(
    callers: &[Caller],
    observer: &Membership,
) -> (Vec<Duration>, Vec<LeftCall>) {
    let (mut waiting, mut leaving) = (Vec::new(), Vec::new());
    for storm in 0..STORM_COUNT {
        announce_losses(observer, storm);
        for _ in 0..CALLS_IN_STORM {
            tokio::time::sleep(STORM_INTERVAL / CALLS_IN_STORM).await;
            for caller in callers {
                waiting.push(tokio::spawn(time_until_ended(caller.clone())));
                let left = call_and_leave(caller.clone(), LEAVING_CALL, PATIENCE);
                leaving.push(tokio::spawn(left));
            }
        }
    }
    let waited = join_all(waiting).await.into_iter();
    let left = join_all(leaving).await.into_iter();
    (
        waited.map(|time| time.expect("no panic")).collect(),
        left.filter_map(|call| call.expect("no panic")).collect(),
    )
}

/// How the calls of one scene ended.
struct Ends {
    /// Times after which the calls of callers that wait ended.
    waited: Vec<Duration>,
    /// Times after its caller had left at which the upstream ended its work on each call
    /// that had reached it; `None` if it still worked.
    after_leaving: Vec<Option<Duration>>,
}

/// Held while a scene runs, as the scenes would take each other's processor time.
static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

async fn run_scene() -> Ends {
    let environment = TestEnvironment::start(0).await;
    let store = &environment.store;
    store.put("config", "main", config_with_short_timeout());
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = NO_ANSWER;
    }
    let nodes = NodesOfOneThread::start(&environment).await;
    let observer = join_as_observer(&nodes.specs).await;
    let (waited, left) = call_during_storms(&nodes.callers, &observer).await;
    tokio::time::sleep(END_SLACK).await;
    let time_after_leaving = |call: &LeftCall| {
        let arrivals = environment.arrivals_of(&call.call_id).into_iter();
        let left_at = call.left_at;
        let times =
            arrivals.map(move |a| a.ended_at.map(|end| end.saturating_duration_since(left_at)));
        times.collect::<Vec<_>>()
    };
    Ends {
        waited,
        after_leaving: left.iter().flat_map(time_after_leaving).collect(),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_end_at_their_time_out_while_nodes_tell_each_other_of_many_losses() {
    let _running = RUNNING.lock().await;

    let waited = run_scene().await.waited;

    let held = waited
        .iter()
        .filter(|time| **time > ROUTE_TIMEOUT + END_SLACK);
    let held_count = held.count();
    assert!(
        held_count * 4 <= waited.len(),
        "held on: {held_count} of {}, the longest for {:?}",
        waited.len(),
        waited.iter().max()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_end_with_their_callers_while_nodes_tell_each_other_of_many_losses() {
    let _running = RUNNING.lock().await;

    let ends = run_scene().await.after_leaving;

    let late = ends
        .iter()
        .filter(|end| end.is_none_or(|time| time > END_SLACK));
    let late_count = late.count();
    assert!(!ends.is_empty(), "calls reach the upstreams");
    assert!(
        late_count * 4 <= ends.len(),
        "worked on: {late_count} of {}",
        ends.len()
    );
}
