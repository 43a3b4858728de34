//! Answers that break off while the body of their request is still being sent, and statuses that
//! no final answer has. See docs/incidents/answers-under-uploads.md.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use support::cluster::{cluster_plan, start, steward_caller};
use support::edge_environment::caller::{Caller, Response, new_call_id, send_request};
use support::edge_environment::early_answer::{AnswerEnd, EarlyAnswer, EarlyUpstream};
use support::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, NodeSpec, SINGLE_RUN_STREAM_PATH, STREAM_PATH,
    TestEnvironment, config, eventually, free_address, start_node, store_view,
};
use zinniawing::{CallReport, EdgeNode};

const UPLOAD_BYTES: usize = 3_000_000;
/// An upload within the limit of the example deployment.
const SERVICE_UPLOAD_BYTES: usize = 900_000;
/// Sizes of the part of the body that arrives. The last is passed on before its end is known.
const BODY_BYTES: [usize; 3] = [10, 3_000, 300_000];
const END_DELAYS_MS: [u64; 4] = [0, 2, 20, 80];
/// Status codes that no final answer has.
const ODD_STATUSES: [&str; 8] = ["000", "099", "101", "199", "600", "999", "20", "0200"];
const PLAIN_PATHS: [&str; 2] = [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH];
const STREAM_PATHS: [&str; 2] = [STREAM_PATH, SINGLE_RUN_STREAM_PATH];
const EVENT_COUNT: u64 = 12;
/// Number of calls that must have reached the upstream by each road.
const ROAD_CALLS_MIN: usize = 12;

/// A node that reaches the upstream, and one that has it send calls through that node.
struct Scene {
    upstream: Arc<EarlyUpstream>,
    /// Callers of both nodes, by the road from there.
    roads: [(&'static str, Caller); 2],
    _environment: TestEnvironment,
    _nodes: [EdgeNode; 2],
}

async fn start_scene(service: &str) -> Scene {
    let environment = TestEnvironment::start(0).await;
    let store = &environment.store;
    let mut config = config(2);
    config["limits"]["max-body-bytes"] = json!(2 * UPLOAD_BYTES);
    store.put("config", "main", config);
    for plain in &environment.services {
        store.delete("servers", &plain.id);
    }
    let answer = EarlyAnswer::with_status("200");
    let upstream = EarlyUpstream::start_at("early", service, free_address(), answer).await;
    let near = NodeSpec::new("n1", "dc-a");
    let far = NodeSpec::new("n2", "dc-a").with_seed(&near);
    let unreachable: BTreeMap<SocketAddr, SocketAddr> =
        BTreeMap::from([(upstream.address, free_address())]);
    let view = store_view::start(store, unreachable).await;
    let nodes = [
        start_node(&near, store.address).await,
        start_node(&far, view).await,
    ];
    // The nodes see the entry at the same time, see store_view.rs.
    tokio::time::sleep(Duration::from_millis(500)).await;
    store.put("servers", &upstream.id, upstream.entry());
    let roads = [
        ("direct", Caller::new(&near)),
        ("through a peer", Caller::new(&far)),
    ];
    for (_, caller) in &roads {
        caller.wait_until_ready().await;
    }
    // The node without paths finds out that it has none.
    for _ in 0..3 {
        let _ = roads[1].1.call("POST", IDEMPOTENT_PATH, "").await;
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    Scene {
        upstream,
        roads,
        _environment: environment,
        _nodes: nodes,
    }
}

async fn upload(caller: &Caller, method: &str, path: &str, bytes: usize) -> Response {
    let call_id = new_call_id();
    let headers = format!(
        "x-zinniawing-deadline-ms: 1500\r\nx-zinniawing-token-usage: 800,{EVENT_COUNT}\r\n\
         content-length: {bytes}\r\n\r\n"
    );
    let head = caller.head(method, path, &call_id, &headers);
    let request = [head.as_bytes(), &vec![b'u'; bytes]].concat();
    Response {
        call_id,
        ..send_request(caller.address, &request).await
    }
}

fn unframed(body: Vec<u8>, end_delay_ms: u64, end: AnswerEnd) -> EarlyAnswer {
    EarlyAnswer {
        headers: String::new(),
        body,
        end_delay: Duration::from_millis(end_delay_ms),
        end,
        ..EarlyAnswer::with_status("200")
    }
}

fn events(count: u64) -> Vec<u8> {
    let events = (1..=count).map(|id| format!("id: {id}\ndata: x\n\n"));
    events.collect::<String>().into_bytes()
}

fn is_whole_success(got: &Response) -> bool {
    got.status == 200 && got.is_complete
}

/// Has the upstream answer each call of each road with each of these answers, under an upload and
/// without one. Returns the cases whose answers look complete to their callers.
async fn complete_ones(scene: &Scene, paths: [&str; 2], answers: &[EarlyAnswer]) -> Vec<String> {
    let mut complete = Vec::new();
    for (road, caller) in &scene.roads {
        let calls_before = scene.upstream.call_count();
        for path in paths {
            for answer in answers {
                for bytes in [0, UPLOAD_BYTES] {
                    scene.upstream.set_answer(answer.clone());
                    let got = upload(caller, "POST", path, bytes).await;
                    if is_whole_success(&got) {
                        let (length, delay) = (answer.body.len(), answer.end_delay);
                        complete.push(format!("{road} {path}: {length} bytes, {delay:?}, {bytes}"));
                    }
                }
            }
        }
        let call_count = scene.upstream.call_count() - calls_before;
        assert!(call_count >= ROAD_CALLS_MIN, "{road}: {call_count} calls");
    }
    complete
}

/// MIXED: the client takes a part of an answer for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_answer_that_is_reset_under_an_upload_does_not_look_complete() {
    let scene = start_scene("pay").await;
    let resets_after =
        |body_bytes| END_DELAYS_MS.map(|ms| unframed(vec![b'x'; body_bytes], ms, AnswerEnd::Reset));
    let answers: Vec<EarlyAnswer> = BODY_BYTES.into_iter().flat_map(resets_after).collect();

    let complete = complete_ones(&scene, PLAIN_PATHS, &answers).await;

    assert_eq!(complete, [""; 0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_answer_that_ends_in_order_under_an_upload_is_passed_on_whole() {
    let scene = start_scene("pay").await;
    for (road, caller) in &scene.roads {
        for body_bytes in BODY_BYTES {
            for bytes in [10, UPLOAD_BYTES] {
                let body = vec![b'x'; body_bytes];
                scene
                    .upstream
                    .set_answer(unframed(body, 20, AnswerEnd::Close));
                let got = upload(caller, "POST", IDEMPOTENT_PATH, bytes).await;

                assert!(is_whole_success(&got), "{road}, {bytes}: {}", got.head);
                assert_eq!(got.body.len(), body_bytes, "{road}, {bytes}");
            }
        }
    }
}

/// MIXED: a stream that is reset between two events, before its last one, has not ended.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_is_reset_under_an_upload_does_not_look_complete() {
    let scene = start_scene("llm").await;
    let resets_after = |event_count| {
        END_DELAYS_MS.map(|ms| EarlyAnswer {
            headers: "content-type: text/event-stream\r\n".to_owned(),
            ..unframed(events(event_count), ms, AnswerEnd::Reset)
        })
    };
    let answers: Vec<EarlyAnswer> = [1, 5].into_iter().flat_map(resets_after).collect();

    let complete = complete_ones(&scene, STREAM_PATHS, &answers).await;

    assert_eq!(complete, [""; 0]);
}

/// MIXED: bytes that are no answer in the protocol are passed on as one. The call may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_no_final_answer_has_is_no_answer() {
    for (service, paths) in [("pay", PLAIN_PATHS), ("llm", STREAM_PATHS)] {
        let scene = start_scene(service).await;
        for (road, caller) in &scene.roads {
            let calls_before = scene.upstream.call_count();
            for path in paths {
                for status in ODD_STATUSES {
                    scene.upstream.set_answer(EarlyAnswer::with_status(status));
                    let got = upload(caller, "POST", path, 10).await;

                    // Sent again until its deadline, or given up after the first send.
                    let may_be = [502, 504];
                    assert!(
                        may_be.contains(&got.status),
                        "{road} {path}: status {status} became {}",
                        got.head
                    );
                }
            }
            let call_count = scene.upstream.call_count() - calls_before;
            assert!(call_count >= ROAD_CALLS_MIN, "{road}: {call_count} calls");
        }
        assert_eq!(
            scene.upstream.later_call_count(),
            0,
            "calls on a connection with such an answer"
        );
    }
}

/// The statuses at the ends of the range are final answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_final_status_is_passed_on_as_it_is() {
    let scene = start_scene("pay").await;
    for (road, caller) in &scene.roads {
        for status in ["200", "299", "300", "418", "499", "599"] {
            scene.upstream.set_answer(EarlyAnswer::with_status(status));
            let got = upload(caller, "POST", NON_IDEMPOTENT_PATH, 10).await;

            assert_eq!(got.status.to_string(), status, "{road}");
        }
    }
}

/// The `serve` road: the outcome of such a call is unknown, and is not recorded as its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_breaks_off_or_answers_with_no_status_has_not_answered() {
    let plan = cluster_plan(1, 1).with_service("payments", 1);
    let mut cluster = start(plan).await;
    let vms = cluster.vms();
    let service = vms.iter().find(|vm| vm.vm.contains("payments"));
    let address = service.expect("the service has a VM").address;
    let (_, server) = cluster.services.remove(0);
    server.kill().await;
    let answer = EarlyAnswer::with_status("200");
    let upstream = EarlyUpstream::start_at("early", "payments", address, answer).await;
    let caller = steward_caller(&cluster);
    let node = cluster.caller_addresses()[0];
    let body = "u".repeat(SERVICE_UPLOAD_BYTES);

    let odd = ODD_STATUSES.map(EarlyAnswer::with_status);
    let resets = END_DELAYS_MS.map(|ms| unframed(b"{}".to_vec(), ms, AnswerEnd::Reset));
    for (number, answer) in odd.into_iter().chain(resets).enumerate() {
        upstream.set_answer(answer.clone());
        let key = format!("key-{number}");
        let report = caller
            .call_at(node, "payments", "disburse", &key, body.clone())
            .await;

        let is_answered = matches!(report, CallReport::Answered { .. });
        assert!(!is_answered, "{answer:?}: {report:?}");
    }
    assert_eq!(upstream.later_call_count(), 0);
}

/// The `serve` road polls its runners over kept connections. What follows such a status on one of
/// them is no HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn a_kept_connection_with_a_status_that_is_none_is_not_used_again() {
    let mut cluster = start(cluster_plan(1, 2)).await;
    cluster.kill_runner(0).await;
    let vms = cluster.vms();
    let runner = vms.iter().find(|vm| vm.vm == cluster.runners[0].name);
    let address = runner.expect("the runner has a VM").address;
    let answer = EarlyAnswer::with_status("600");
    let upstream = EarlyUpstream::start_at("early", "llm", address, answer).await;

    eventually("the runner is polled", || upstream.call_count() >= 3).await;

    assert_eq!(upstream.later_call_count(), 0);
}
