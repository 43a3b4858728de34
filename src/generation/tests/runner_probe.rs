//! Tests of what a probe shows about a runner that does not answer.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::fleet::runner::RunnerClient;
use crate::generation::runner_probe::{ProbeResult, probe_runner};
use crate::http::HttpClient;

const WINDOW: Duration = Duration::from_millis(200);

async fn probe(address: SocketAddr) -> ProbeResult {
    let client = RunnerClient::new(HttpClient::new());
    probe_runner(client, address, 0, WINDOW).await
}

async fn listener() -> TcpListener {
    let bound = TcpListener::bind("127.0.0.1:0").await;
    bound.expect("a free port")
}

#[tokio::test]
async fn a_runner_that_stands_still_is_not_gone() {
    let runner = listener().await;
    let address = runner.local_addr().expect("an address");

    assert_eq!(probe(address).await, ProbeResult::Unresponsive);
}

#[tokio::test]
async fn a_runner_that_refuses_connections_is_gone() {
    let address = listener().await.local_addr().expect("an address");

    assert_eq!(probe(address).await, ProbeResult::Gone);
}

#[tokio::test]
async fn a_runner_whose_host_completes_no_handshake_is_gone() {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a free port");
    let full = socket.listen(0).expect("it listens");
    let address = full.local_addr().expect("an address");
    // A full queue of connections drops the handshake of the next one.
    let _queued = TcpStream::connect(address).await;

    assert_eq!(probe(address).await, ProbeResult::Gone);
}
