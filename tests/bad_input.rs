//! Malformed, oversized, incomplete and unauthorised input gets an error that
//! names the problem, and disturbs no other call.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use support::cluster::{
    CUSTOMER_KEY, assert_complete, cluster_plan, params, spawn_completion, start, steward_caller,
    wait_for_tokens,
};
use zinniawing::{ErrorBody, ErrorKind, Settings};

fn exchange(address: SocketAddr, head: &str, body: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("the node accepts");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("the time-out is set");
    // The node may answer and close before it has read everything.
    let _ = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let body = answer
        .split_once("\r\n\r\n")
        .map(|(_, body)| body.to_owned());
    (status, body.unwrap_or_default())
}

fn post(address: SocketAddr, key: &str, headers: &str, body: &[u8]) -> (u16, Option<ErrorKind>) {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    let (status, body) = exchange(address, &head, body);
    let error = serde_json::from_str::<ErrorBody>(&body).ok();
    (status, error.map(|e| e.error.kind))
}

const STEWARD: &str = "x-caller-kind: steward\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_request_gets_its_own_error_and_disturbs_no_other_call() {
    let cluster = start(cluster_plan(1, 2)).await;
    let node = cluster.caller_addresses()[0];
    let running_call = spawn_completion(&steward_caller(&cluster), params("accepted before", 200));
    wait_for_tokens(&cluster, 5).await;
    let body_for_model =
        |model: &str| format!(r#"{{"model":"{model}","prompt":"x","max_tokens":3}}"#);
    let cases: Vec<(&str, &str, Vec<u8>, u16, ErrorKind)> = vec![
        (
            "not JSON",
            STEWARD,
            b"{nonsense".to_vec(),
            400,
            ErrorKind::BadRequest,
        ),
        (
            "a prompt of the wrong type",
            STEWARD,
            br#"{"model":"steward-chat","prompt":7}"#.to_vec(),
            400,
            ErrorKind::BadRequest,
        ),
        (
            "a max_tokens that is too large",
            STEWARD,
            br#"{"model":"steward-chat","prompt":"x","max_tokens":99999999999}"#.to_vec(),
            400,
            ErrorKind::BadRequest,
        ),
        (
            "a max_tokens of 0",
            STEWARD,
            br#"{"model":"steward-chat","prompt":"x","max_tokens":0}"#.to_vec(),
            400,
            ErrorKind::BadRequest,
        ),
        (
            "an unknown model",
            STEWARD,
            body_for_model("nothing").into_bytes(),
            404,
            ErrorKind::UnknownModel,
        ),
        (
            "an unknown caller kind",
            "x-caller-kind: nobody\r\n",
            body_for_model("steward-chat").into_bytes(),
            400,
            ErrorKind::BadRequest,
        ),
        (
            "an event id of another service",
            "x-caller-kind: steward\r\nlast-event-id: 17\r\n",
            body_for_model("steward-chat").into_bytes(),
            400,
            ErrorKind::BadRequest,
        ),
        (
            "an event id past the end of its answer",
            "x-caller-kind: steward\r\nlast-event-id: g.0.0.r1.3\r\n",
            body_for_model("steward-chat").into_bytes(),
            400,
            ErrorKind::BadRequest,
        ),
        (
            "a body above the limit",
            STEWARD,
            vec![b' '; 3 * 1024 * 1024],
            413,
            ErrorKind::TooLarge,
        ),
    ];

    for (name, headers, body, status, kind) in cases {
        let headers = headers.to_owned();
        let answered =
            tokio::task::spawn_blocking(move || post(node, CUSTOMER_KEY, &headers, &body)).await;
        assert_eq!(answered.expect("an answer"), (status, Some(kind)), "{name}");
    }
    let unknown_key =
        tokio::task::spawn_blocking(move || post(node, "nobody", STEWARD, b"{}")).await;
    assert_eq!(
        unknown_key.expect("an answer"),
        (401, Some(ErrorKind::Unauthorized))
    );

    assert_complete(&running_call.await.expect("the call ends"), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn large_headers_are_refused_and_half_closed_connections_are_closed() {
    let cluster = start(cluster_plan(1, 1)).await;
    let node = cluster.caller_addresses()[0];

    let large_headers = tokio::task::spawn_blocking(move || {
        let head = format!(
            "GET / HTTP/1.1\r\nhost: x\r\nx-large: {}\r\n\r\n",
            "a".repeat(200_000)
        );
        exchange(node, &head, b"").0
    });
    let half_closed = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(node).expect("the node accepts");
        stream
            .write_all(b"POST /v1/completions HTTP/1.1\r\n")
            .expect("the request line is sent");
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("the sending side is closed");
        let mut rest = Vec::new();
        stream
            .read_to_end(&mut rest)
            .expect("the node closes")
            .to_string()
    });

    assert_eq!(large_headers.await.expect("an answer"), 431);
    half_closed.await.expect("the connection ends");
    let report = steward_caller(&cluster)
        .complete(&params("still served", 10))
        .await;
    assert_complete(&report, 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_the_peer_port_is_ignored() {
    let cluster = start(cluster_plan(2, 1)).await;
    let peer = cluster.peer_address(0);

    let answered_byte_count = tokio::task::spawn_blocking(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
        for length in [0, 1, 17, 800, 1400] {
            let garbage: Vec<u8> = (0..length).map(|n| (n * 37 % 251) as u8).collect();
            socket
                .send_to(&garbage, peer)
                .expect("the datagram is sent");
            let mut stream = TcpStream::connect(peer).expect("the node accepts");
            let _ = stream.write_all(&garbage);
        }
        let mut stream = TcpStream::connect(peer).expect("the node accepts");
        let _ = stream.write_all(&[0xff; 64]);
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        rest.len()
    });

    assert_eq!(answered_byte_count.await.expect("the garbage is sent"), 0);
    assert_eq!(
        cluster.nodes[0]
            .as_ref()
            .expect("the node runs")
            .alive_count(),
        2
    );
    let report = steward_caller(&cluster)
        .complete(&params("still served", 10))
        .await;
    assert_complete(&report, 10);
}

#[test]
fn every_problem_of_a_settings_file_is_listed_with_its_line_and_range() {
    let text = "\
node: 'n 1'
data_centre: tt-south-1
listen: {callers: 127.0.0.1:7100, operators: 127.0.0.1:7101, peers: 127.0.0.1:7102}
platform: 127.0.0.1:7000
operators: {ops: abc}
timing:
  probe_interval_ms: 5
  address_keep_ms: 900000
claims: {shard_count: 0}
";

    let error = Settings::parse(text).expect_err("the settings are invalid");

    insta::assert_snapshot!(error, @r"
    line 1: node: 'n 1' must be letters, digits, '-' and '_'
    line 5: operators.ops: must be the 64 hexadecimal digits of a SHA-256
    line 8: timing.address_keep_ms: 900000 is outside 100..=600000
    line 7: timing.probe_interval_ms: 5 is outside 20..=10000
    line 9: claims.shard_count: 0 is outside 1..=1024
    ");
}

#[test]
fn an_unknown_key_is_refused_with_its_line() {
    let text = "node: n1\nnoed: n2\n";

    let error = Settings::parse(text).expect_err("the settings are invalid");

    let text = error.to_string();
    assert!(text.contains("noed") && text.contains("line 2"), "{text}");
}

#[test]
fn the_example_files_are_valid() {
    for name in ["kestrel", "faro"] {
        let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
        let settings = std::path::PathBuf::from(format!("{folder}/{name}-node.yaml"));
        Settings::load(&settings).expect("the settings are valid");
        let intent = std::fs::read_to_string(format!("{folder}/{name}-intent.yaml"));
        let intent: zinniawing::Intent =
            serde_saphyr::from_str(&intent.expect("the file exists")).expect("the intent parses");
        assert_eq!(intent.problems(), Vec::<String>::new());
    }
}

#[test]
fn port_0_is_refused_for_addresses_that_others_are_told() {
    let text = "\
node: n1
data_centre: tt-south-1
listen: {callers: 127.0.0.1:0, operators: 127.0.0.1:0, peers: 127.0.0.1:0}
platform: 127.0.0.1:7000
";

    let error = Settings::parse(text).expect_err("the settings are invalid");

    insta::assert_snapshot!(error, @r"
    line 3: listen.callers: port 0 is no address that others can be told
    line 3: listen.peers: port 0 is no address that others can be told
    ");
}
