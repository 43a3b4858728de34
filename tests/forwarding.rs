//! Plain calls, which are not streams, through an entry node to a service with
//! injected faults.

mod support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::edge_environment::caller::{Caller, get, new_call_id, read_response, send_request};
use support::edge_environment::raw::{RawRequest, RequestHandler, reply, serve};
use support::edge_environment::service::NextFault;
use support::edge_environment::{
    CUSTOMER, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, PUBLIC_PATH, TestEnvironment, config,
    eventually, free_address, route,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time within which an upstream must learn that a caller has disconnected.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

fn queue_fault_at_all_services(environment: &TestEnvironment, next: NextFault) {
    for service in &environment.services {
        service.queue_fault(next);
    }
}

#[tokio::test]
async fn a_call_and_its_answer_are_forwarded_unchanged_except_for_reserved_headers() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    let extra_headers = "x-own: kept\r\nx-zinniawing-deadline-ms: 3000\r\nx-zinniawing-tenant: thief\r\n\
                 x-zinniawing-reservation: r\r\nkv-from: 10.0.0.1:1/x\r\nkeep-alive: timeout=1\r\n";
    let got = caller
        .call("POST", NON_IDEMPOTENT_PATH, extra_headers)
        .await;

    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.body, format!("done {}", got.call_id));
    let signature = got.header("x-zinniawing-server-signature");
    assert_eq!(signature, Some(format!("sig-{}", got.call_id).as_str()));
    let executed: Vec<_> = environment
        .services
        .iter()
        .flat_map(|s| s.executed())
        .collect();
    assert_eq!(executed.len(), 1);
    let seen = &executed[0];
    assert_eq!(
        (seen.method.as_str(), seen.path()),
        ("POST", NON_IDEMPOTENT_PATH)
    );
    assert_eq!(seen.body, b"pay 5");
    assert_eq!(seen.header("x-own"), Some("kept"));
    assert_eq!(seen.header("x-zinniawing-tenant"), Some(CUSTOMER));
    for reserved in [
        "api-key",
        "x-zinniawing-reservation",
        "kv-from",
        "keep-alive",
    ] {
        assert_eq!(seen.header(reserved), None, "{reserved}");
    }
    let left_ms = seen.number("x-zinniawing-deadline-ms").expect("a deadline");
    assert!((2_000..3_000).contains(&left_ms), "{left_ms}");
    let names: Vec<&str> = environment.services.iter().map(|s| s.id.as_str()).collect();
    let expected = seen.header("x-zinniawing-expect-instance").expect("a name");
    assert!(names.contains(&expected), "{expected}");
}

#[tokio::test]
async fn api_keys_and_routes_decide_which_calls_are_forwarded() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let unknown_caller = Caller {
        key: "nobody".to_owned(),
        ..caller.clone()
    };

    assert_eq!(
        unknown_caller.call("GET", IDEMPOTENT_PATH, "").await.status,
        401
    );
    assert_eq!(
        unknown_caller.call("GET", PUBLIC_PATH, "").await.status,
        200
    );
    assert_eq!(caller.call("GET", "/nowhere/1", "").await.status, 404);
    assert_eq!(caller.call("GET", IDEMPOTENT_PATH, "").await.status, 200);
}

#[tokio::test]
async fn an_idempotent_call_is_retried_elsewhere_when_its_first_upstream_fails() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    // The start of an answer without end is relayed before anything is wrong with it.
    let needs_retry = |fault: &NextFault| {
        !matches!(
            fault,
            NextFault::DuplicateAnswer | NextFault::CloseDelimited | NextFault::EndlessBody
        )
    };
    let faults = NextFault::ALL.into_iter().filter(needs_retry);

    for fault in faults {
        let before = environment
            .services
            .iter()
            .map(|s| s.received().len())
            .sum::<usize>();
        // Each service has the fault once, so the first attempt meets it whichever
        // service is chosen.
        queue_fault_at_all_services(&environment, fault);
        let got = caller.call("GET", IDEMPOTENT_PATH, "").await;
        let send_count = environment
            .services
            .iter()
            .map(|s| s.received().len())
            .sum::<usize>()
            - before;
        assert!(send_count >= 2, "{fault:?}: {send_count} sends");
        assert_ne!(got.status, 0, "{fault:?}");
        // An upstream that answered 421 (misdirected) is removed until it
        // registers again. After other faults it is used again after a pause.
        for service in &environment.services {
            let entry = service.entry("ready");
            environment.store.put("servers", &service.id, entry);
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
        let next = caller.call("GET", IDEMPOTENT_PATH, "").await;
        assert_eq!(next.status, 200, "{fault:?}: {next:?}");
    }
}

#[tokio::test]
async fn a_non_idempotent_call_runs_once_at_most_and_its_status_says_whether_it_ran() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let extra_headers = "x-zinniawing-deadline-ms: 700\r\n";
    let cases = [
        (NextFault::ServerError, 500, 1),
        (NextFault::NotExecuted, 503, 0),
        (NextFault::Reset, 502, 1),
        (NextFault::TruncatedAnswer, 502, 1),
        (NextFault::NoAnswer, 504, 1),
        (NextFault::WrongCallId, 502, 1),
    ];

    for (fault, status, runs) in cases {
        let before = environment.executed_count();
        // Only the chosen service uses up its fault; the loop below uses up that
        // of the other.
        queue_fault_at_all_services(&environment, fault);
        let got = caller
            .call("POST", NON_IDEMPOTENT_PATH, extra_headers)
            .await;
        assert_eq!(got.status, status, "{fault:?}: {got:?}");
        assert_eq!(environment.executed_count() - before, runs, "{fault:?}");
        if status == 503 {
            let retry_after_s: f64 = got
                .header("retry-after")
                .expect("a retry-after header")
                .parse()
                .expect("seconds");
            assert!(retry_after_s <= 0.7 / 3.0 + 0.01, "{retry_after_s}");
        }
        for _ in 0..4 {
            let _ = caller
                .call("POST", NON_IDEMPOTENT_PATH, extra_headers)
                .await;
            let all_faults_used = environment.services.iter().all(|s| s.all_faults_used());
            if all_faults_used {
                break;
            }
            tokio::time::sleep(Duration::from_millis(450)).await;
        }
    }
}

#[tokio::test]
async fn surplus_bytes_of_one_answer_never_reach_another_call() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    for _ in 0..30 {
        queue_fault_at_all_services(&environment, NextFault::DuplicateAnswer);
        let got = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;
        let is_own = got.body == format!("done {}", got.call_id);
        assert!(is_own || got.status == 502, "{got:?}");
    }
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_complete() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    queue_fault_at_all_services(&environment, NextFault::CloseDelimited);

    let got = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;

    assert_eq!(
        (got.status, got.body),
        (200, format!("done {}", got.call_id))
    );
}

#[tokio::test]
async fn the_node_answers_504_when_the_timeout_of_a_route_has_passed() {
    let environment = TestEnvironment::start(0).await;
    let mut changed = config(2);
    changed["routes"][2]["timeout-ms"] = 300.into();
    environment.store.put("config", "main", changed);
    let (_node, caller) = environment.start_ready_node("n1").await;
    queue_fault_at_all_services(&environment, NextFault::NoAnswer);

    let got = caller
        .call(
            "POST",
            NON_IDEMPOTENT_PATH,
            "x-zinniawing-deadline-ms: 5000\r\n",
        )
        .await;

    assert_eq!(got.status, 504);
    assert!(
        got.elapsed < Duration::from_millis(700),
        "{:?}",
        got.elapsed
    );
}

#[tokio::test]
async fn requests_with_ambiguous_framing_smuggle_no_second_request() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let call = new_call_id();
    let head = caller.head("POST", NON_IDEMPOTENT_PATH, &call, "");
    let hidden = caller.head("POST", "/disburse/hidden", "hidden-call", "");
    let inner = format!("0\r\n\r\n{hidden}content-length: 0\r\n\r\n");
    let both = format!(
        "{head}content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n{inner}",
        inner.len()
    );
    let two_lengths = format!("{head}content-length: 0\r\ncontent-length: 5\r\n\r\npay 5");
    let folded = format!("{head}x-a: b\r\n  content-length: 9\r\ncontent-length: 0\r\n\r\n");
    let bad_chunk = format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\npay\r\n0\r\n\r\n");

    for request in [both, two_lengths, folded, bad_chunk] {
        let mut stream = TcpStream::connect(caller.address).await.expect("connected");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let _ = read_response(&mut stream).await;
        // The node must have closed the connection and must not have read the
        // rest of the bytes as a second request.
        let rest = read_response(&mut stream).await;
        assert_eq!(rest.status, 0, "{request}\n{rest:?}");
    }

    let seen: Vec<_> = environment
        .services
        .iter()
        .flat_map(|s| s.received())
        .collect();
    let hidden = seen.iter().filter(|r| r.path() == "/disburse/hidden");
    assert_eq!(hidden.count(), 0);
}

#[tokio::test]
async fn a_call_with_a_body_above_the_limit_is_refused_and_does_not_run() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let head = caller.head("POST", NON_IDEMPOTENT_PATH, &new_call_id(), "");
    let request = format!(
        "{head}content-length: 200000\r\n\r\n{}",
        "x".repeat(200_000)
    );

    let got = send_request(caller.address, request.as_bytes()).await;

    assert_eq!(got.status, 413);
    assert_eq!(environment.executed_count(), 0);
}

#[tokio::test]
async fn a_call_is_not_retried_after_its_caller_has_disconnected() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    queue_fault_at_all_services(&environment, NextFault::NoAnswer);
    let head = caller.head(
        "GET",
        IDEMPOTENT_PATH,
        &new_call_id(),
        "x-zinniawing-deadline-ms: 5000\r\n",
    );
    let mut stream = TcpStream::connect(caller.address).await.expect("connected");
    let request = format!("{head}\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    eventually("the call arrives", || environment.executed_count() == 1).await;

    drop(stream);
    tokio::time::sleep(Duration::from_millis(800)).await;

    // By now a retry would have reached the second upstream.
    assert_eq!(environment.executed_count(), 1);
}

/// An upstream that never answers, and records when calls arrive and when their
/// connections end.
#[derive(Default)]
struct SilentUpstream {
    arrived: Mutex<Vec<Instant>>,
    closed: Mutex<Vec<Instant>>,
}

impl SilentUpstream {
    fn arrived_count(&self) -> usize {
        self.arrived.lock().expect("unpoisoned").len()
    }

    fn closed(&self) -> Vec<Instant> {
        self.closed.lock().expect("unpoisoned").clone()
    }
}

impl RequestHandler for SilentUpstream {
    async fn handle(self: Arc<Self>, request: RawRequest, stream: &mut TcpStream) -> bool {
        if request.path() != SILENT_PATH {
            return reply(stream, 200, "", b"").await;
        }
        self.arrived
            .lock()
            .expect("unpoisoned")
            .push(Instant::now());
        // The node sends nothing more on this connection, so the read ends with it.
        let _ = stream.read(&mut [0]).await;
        self.closed.lock().expect("unpoisoned").push(Instant::now());
        false
    }
}

const SILENT_PATH: &str = "/silent/1";

/// Adds two upstreams that never answer, with a route of their own.
async fn add_silent_upstreams(environment: &TestEnvironment) -> Vec<Arc<SilentUpstream>> {
    let mut changed = config(2);
    let silent = route("silent", "/silent/", "idempotent", "silent");
    changed["routes"]
        .as_array_mut()
        .expect("routes")
        .push(silent);
    environment.store.put("config", "main", changed);
    let mut upstreams = Vec::new();
    for id in ["s-0", "s-1"] {
        let upstream = Arc::new(SilentUpstream::default());
        let address = free_address();
        serve(address, upstream.clone()).await;
        let entry = serde_json::json!({
            "service": "silent", "address": address.to_string(), "zone": "dc-a", "version": "v1",
            "slots": 6, "state": "ready", "sequence": 1, "born": 1000,
        });
        environment.store.put("servers", id, entry);
        upstreams.push(upstream);
    }
    upstreams
}

#[tokio::test]
async fn a_callers_disconnect_ends_its_call_at_the_upstream() {
    let environment = TestEnvironment::start(0).await;
    let upstreams = add_silent_upstreams(&environment).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let headers = "x-zinniawing-deadline-ms: 5000\r\n";
    let head = caller.head("GET", SILENT_PATH, &new_call_id(), headers);
    let mut stream = TcpStream::connect(caller.address).await.expect("connected");
    let request = format!("{head}\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let arrived_count = || upstreams.iter().map(|u| u.arrived_count()).sum::<usize>();
    eventually("the call arrives", || arrived_count() == 1).await;

    drop(stream);
    let left_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(800)).await;

    let closed: Vec<Instant> = upstreams.iter().flat_map(|u| u.closed()).collect();
    assert_eq!(closed.len(), 1);
    assert!(
        closed[0] - left_at < CLOSE_TIMEOUT,
        "{:?}",
        closed[0] - left_at
    );
    assert_eq!(arrived_count(), 1);
}

#[tokio::test]
async fn a_call_without_an_upstream_is_answered_503_at_once_with_retry_after() {
    let environment = TestEnvironment::start(0).await;
    let mut changed = config(2);
    let orphan = route("orphan", "/orphan/", "idempotent", "nobody");
    changed["routes"]
        .as_array_mut()
        .expect("routes")
        .push(orphan);
    environment.store.put("config", "main", changed);
    let (_node, caller) = environment.start_ready_node("n1").await;

    let got = caller
        .call("GET", "/orphan/1", "x-zinniawing-deadline-ms: 3000\r\n")
        .await;

    assert_eq!(got.status, 503);
    assert!(
        got.elapsed < Duration::from_millis(200),
        "{:?}",
        got.elapsed
    );
    let retry_after_s: f64 = got
        .header("retry-after")
        .expect("a retry-after header")
        .parse()
        .expect("seconds");
    assert!((0.1..=1.0).contains(&retry_after_s), "{retry_after_s}");
}

#[tokio::test]
async fn addresses_and_counters_are_served() {
    let environment = TestEnvironment::start(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    wait_until_listed(&caller).await;

    let counters = get(caller.status_address, "/metrics")
        .await
        .expect("an answer");

    assert!(
        counters.body.contains("zinniawing_calls_count "),
        "{counters:?}"
    );
}

async fn wait_until_listed(caller: &Caller) {
    let mut body = String::new();
    for _ in 0..100 {
        let got = get(caller.status_address, "/resolve?name=pay.example&zone=dc-a").await;
        body = got.map(|got| got.body).unwrap_or_default();
        if body.contains(&caller.address.to_string()) {
            assert!(body.contains("\"ttl-s\":2"), "{body}");
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the node's address is not listed: {body}");
}
