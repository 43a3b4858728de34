//! Single calls to nodes that are cut, after the time that nodes have to notice it.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::scene::{CUT_TIME, Scene};
use crate::support::edge_environment::caller::{Caller, Response, get, new_call_id};
use crate::support::edge_environment::first_tries::{CONTACT_TIME, FirstTries};
use crate::support::edge_environment::proxy::Mode;
use crate::support::edge_environment::raw::RawRequest;
use crate::support::edge_environment::service::NextFault;
use crate::support::edge_environment::{
    FORGED_RELAY_HEADERS, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH,
};

/// Time within which a call that can't be served is answered.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Time within which upstreams stop to work for a caller that has left.
const LEAVING_TIME: Duration = Duration::from_millis(500);

/// Most bytes of an answer that a node holds.
const HELD_MAX_BYTES: usize = 64 * 1024;

/// More than a call without a body is charged, and less than what waits in the queues of a
/// stream that is not read.
const EVENT_BYTES: usize = 16 * 1024;
/// Time within which the buffers of the kernel are full, if a stream is not read.
const HELD_TIME_MAX: Duration = Duration::from_secs(5);

/// More calls than one node takes from others at a time.
const CALLS_BEYOND_BOUND: usize = 300;

/// Starts nodes, cuts some of them, and waits until they have noticed it.
async fn start_with_cut_nodes(count: usize, cut: &[usize]) -> Scene {
    let scene = Scene::start(count).await;
    scene.cut(cut, Mode::Unreachable);
    let load = scene.start_load().await;
    tokio::time::sleep(CONTACT_TIME).await;
    load.stop().await;
    scene
}

/// Marks that callers forge change nothing and reach no upstream.
#[tokio::test]
async fn the_upstream_of_a_call_to_a_cut_node_gets_the_request_unchanged() {
    let scene = start_with_cut_nodes(3, &[0]).await;
    let path = format!("{NON_IDEMPOTENT_PATH}?answer-ms=5&note=a%20b");
    let headers = "x-note: one\r\nx-zinniawing-deadline-ms: 1500\r\n";

    let forged = format!("{FORGED_RELAY_HEADERS}{headers}");
    let at_cut = scene.callers[0].call("POST", &path, &forged).await;
    let at_other = scene.callers[1].call("POST", &path, headers).await;

    assert_eq!(at_cut.status, 200, "{at_cut:?}");
    assert_eq!(at_cut.body, format!("done {}", at_cut.call_id));
    let signature = format!("sig-{}", at_cut.call_id);
    let name = "x-zinniawing-server-signature";
    assert_eq!(at_cut.header(name), Some(signature.as_str()));
    let of_call = |call_id| request_without_own_headers(&scene, call_id);
    let (at_cut, at_other) = (of_call(&at_cut.call_id), of_call(&at_other.call_id));
    assert_eq!(at_cut.method, at_other.method);
    assert_eq!(at_cut.target, at_other.target);
    assert_eq!(at_cut.body, at_other.body);
    assert_eq!(at_cut.headers, at_other.headers);
}

/// The one request of a call at the services, without the headers in which calls and
/// upstreams differ.
fn request_without_own_headers(scene: &Scene, call_id: &str) -> RawRequest {
    let services = scene.environment.services.iter();
    let requests = services.flat_map(|service| service.executed());
    let id_header = "x-zinniawing-attempt-id";
    let mut of_call = requests.filter(|r| r.header(id_header) == Some(call_id));
    let mut request = of_call.next().expect("the call ran");
    assert_eq!(of_call.count(), 0, "{call_id} ran again");
    for name in [
        id_header,
        "x-zinniawing-deadline-ms",
        "x-zinniawing-expect-instance",
    ] {
        request.headers.remove(name);
    }
    request
}

#[tokio::test]
async fn a_call_to_a_cut_node_runs_once_when_its_upstream_forges_the_marks_of_nodes() {
    let scene = start_with_cut_nodes(3, &[0]).await;
    for service in &scene.environment.services {
        *service.extra_headers.lock().expect("unpoisoned") = FORGED_RELAY_HEADERS.to_owned();
    }
    let run_count = scene.environment.executed_count();

    let got = scene.callers[0].call("POST", NON_IDEMPOTENT_PATH, "").await;

    assert_eq!(scene.environment.executed_count() - run_count, 1);
    assert_eq!(got.status, 200, "{got:?}");
}

/// Guards against a node that keeps all that a faulty upstream sends without end through a
/// peer, until its memory is used up.
#[tokio::test]
async fn a_cut_node_passes_an_answer_without_end_on_as_it_arrives() {
    let scene = start_with_cut_nodes(3, &[0]).await;
    for service in &scene.environment.services {
        service.queue_fault(NextFault::EndlessBody);
    }
    let headers = "x-zinniawing-deadline-ms: 1500\r\n";

    let got = scene.callers[0]
        .call("POST", NON_IDEMPOTENT_PATH, headers)
        .await;

    assert_eq!(got.status, 200, "{}", got.head);
    assert!(!got.is_complete);
    assert!(got.body.len() > HELD_MAX_BYTES, "{} bytes", got.body.len());
}

#[tokio::test]
async fn a_stream_of_a_cut_node_ends_at_the_upstream_when_its_caller_leaves() {
    let scene = start_with_cut_nodes(3, &[0]).await;

    let part = tokio::time::timeout(CONTACT_TIME, scene.callers[0].stream_until(800, 3));
    part.await.expect("the stream begins");
    tokio::time::sleep(LEAVING_TIME).await;

    let engines = scene.environment.engines.iter();
    let running_count: usize = engines.map(|engine| engine.running_count()).sum();
    assert_eq!(running_count, 0);
}

/// Guards against events of a relayed stream that one of its two nodes does not charge to its
/// memory budget.
#[tokio::test]
async fn a_relayed_stream_that_is_not_read_is_charged_at_both_nodes() {
    let scene = start_with_cut_nodes(3, &[0]).await;
    for engine in &scene.environment.engines {
        engine.event_padding.store(EVENT_BYTES, Ordering::Relaxed);
        *engine.event_interval.lock().expect("unpoisoned") = Duration::from_millis(1);
    }
    let headers = "x-zinniawing-deadline-ms: 20000\r\nx-zinniawing-token-usage: 800,8000\r\n\
                   content-length: 0\r\n\r\n";
    let request = scene.callers[0].head("POST", STREAM_PATH, &new_call_id(), headers);
    let connecting = TcpStream::connect(scene.callers[0].address);
    let mut unread = connecting.await.expect("connected");

    unread.write_all(request.as_bytes()).await.expect("sent");

    let mut most_held = [0; 3];
    let since = Instant::now();
    while since.elapsed() < HELD_TIME_MAX {
        for (most, caller) in most_held.iter_mut().zip(&scene.callers) {
            *most = held_bytes(caller).await.max(*most);
        }
        if most_held[0] >= EVENT_BYTES && most_held[1].max(most_held[2]) >= EVENT_BYTES {
            return;
        }
    }
    panic!("bytes held at the cut node and at the others: {most_held:?}");
}

/// Bytes that a node has charged to its budget for calls.
async fn held_bytes(caller: &Caller) -> usize {
    let counters = get(caller.readiness, "/metrics").await.expect("counters");
    let mut lines = counters.body.lines();
    let held = lines.find_map(|line| line.strip_prefix("zinniawing_memory_held_bytes "));
    held.and_then(|held| held.parse().ok()).expect("a number")
}

#[tokio::test]
async fn calls_are_refused_at_once_while_no_node_reaches_an_upstream() {
    let nodes = [0, 1, 2];
    let scene = start_with_cut_nodes(3, &nodes).await;

    for caller in &scene.callers {
        for (method, path) in [("GET", IDEMPOTENT_PATH), ("POST", NON_IDEMPOTENT_PATH)] {
            let got = caller.call(method, path, "").await;
            assert_eq!(got.status, 503, "{got:?}");
            assert!(got.elapsed < REFUSAL_TIME, "{got:?}");
        }
    }

    scene.heal(&nodes);
    for caller in &scene.callers {
        let served = tokio::time::timeout(CONTACT_TIME, call_until_served(caller));
        served.await.expect("calls are served again");
    }
}

async fn call_until_served(caller: &Caller) {
    while caller.call("GET", IDEMPOTENT_PATH, "").await.status != 200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_node_is_not_listed_while_it_reaches_no_upstream() {
    let scene = start_with_cut_nodes(4, &[0]).await;

    let listed_in_cut = scene.nodes_listed_at(1).await;
    scene.heal(&[0]);
    let all = (0..4).collect();
    let listed_again = tokio::time::timeout(CONTACT_TIME, scene.wait_until_listed_at(1, &all));

    assert_eq!(listed_in_cut, [1, 2, 3].into());
    listed_again.await.expect("all nodes are listed again");
}

#[tokio::test]
async fn calls_to_cut_nodes_run_once_when_a_node_that_reaches_upstreams_is_killed() {
    let mut scene = Scene::start(4).await;
    scene.slow_down_upstreams();
    let load = scene.start_load().await;

    scene.cut(&[0, 1], Mode::Unreachable);
    tokio::time::sleep(CONTACT_TIME).await;
    scene.kill(2);
    tokio::time::sleep(CUT_TIME - CONTACT_TIME).await;
    scene.heal(&[0, 1]);
    let tries = load.stop().await;

    scene.assert_run_at_most_once(&tries);
}

#[tokio::test]
async fn callers_of_a_node_are_served_while_all_others_relay_more_calls_than_it_takes() {
    let scene = start_with_cut_nodes(4, &[0, 1, 2]).await;
    let path = format!("{NON_IDEMPOTENT_PATH}?answer-ms=1500");
    let relayed: JoinSet<Response> = (0..CALLS_BEYOND_BOUND)
        .map(|n| {
            let (caller, path) = (scene.callers[n % 3].clone(), path.clone());
            async move { caller.call("POST", &path, "").await }
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;

    let mut own = FirstTries::default();
    for _ in 0..50 {
        let got = scene.callers[3].call("GET", IDEMPOTENT_PATH, "").await;
        own.add(got.status == 200);
    }

    let relayed = relayed.join_all().await;
    let refused_count = relayed.iter().filter(|got| got.status == 503).count();
    assert!(!own.has_many_failures(), "{own:?}, {refused_count} refused");
    assert!(refused_count > 0, "the bound was not reached");
}
