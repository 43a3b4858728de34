//! Connections of callers at the idle limit.

mod support;

use std::time::Duration;

use serde_json::json;
use support::edge_environment::caller::{Caller, read_response};
use support::edge_environment::{IDEMPOTENT_PATH, TestEnvironment, config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use zinniawing::EdgeNode;

async fn start_with_idle_limit() -> (TestEnvironment, EdgeNode, Caller) {
    let environment = TestEnvironment::start(1).await;
    let mut low = config(2);
    low["limits"]["idle-timeout-ms"] = json!(400);
    environment.store.put("config", "main", low);
    let (node, caller) = environment.start_ready_node("n1").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    (environment, node, caller)
}

/// Waits until the node closes the connection; false after two seconds.
async fn connect(caller: &Caller) -> TcpStream {
    let connected = TcpStream::connect(caller.address).await;
    connected.expect("connected")
}

async fn send(connection: &mut TcpStream, text: &str) {
    let written = connection.write_all(text.as_bytes()).await;
    written.expect("sent");
}

async fn assert_closed(connection: &mut TcpStream) {
    assert!(is_closed(connection).await, "the connection is still open");
}

async fn is_closed(connection: &mut TcpStream) -> bool {
    let mut byte = [0];
    let read = tokio::time::timeout(Duration::from_secs(2), connection.read(&mut byte)).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

#[tokio::test]
async fn a_connection_whose_first_request_stays_incomplete_is_closed_at_the_idle_limit() {
    let (_environment, _node, caller) = start_with_idle_limit().await;
    let mut connection = connect(&caller).await;

    let head = caller.head("GET", IDEMPOTENT_PATH, "half", "");
    send(&mut connection, &head[..20]).await;

    assert_closed(&mut connection).await;
}

#[tokio::test]
async fn a_connection_whose_second_request_stays_incomplete_is_closed_at_the_idle_limit() {
    let (_environment, _node, caller) = start_with_idle_limit().await;
    let mut connection = connect(&caller).await;
    let head = caller.head("GET", IDEMPOTENT_PATH, "whole", "");
    send(&mut connection, &format!("{head}\r\n")).await;
    assert_eq!(read_response(&mut connection).await.status, 200);

    send(&mut connection, &head[..20]).await;

    assert_closed(&mut connection).await;
}

#[tokio::test]
async fn a_connection_without_a_request_is_closed_at_the_idle_limit() {
    let (_environment, _node, caller) = start_with_idle_limit().await;
    let mut connection = connect(&caller).await;

    assert_closed(&mut connection).await;
}

#[tokio::test]
async fn pipelined_requests_are_answered_beyond_the_idle_limit() {
    let (environment, _node, caller) = start_with_idle_limit().await;
    for service in &environment.services {
        *service.answer_time.lock().expect("unpoisoned") = Duration::from_millis(150);
    }
    let mut connection = connect(&caller).await;
    let head = caller.head("GET", IDEMPOTENT_PATH, "piped", "");
    send(&mut connection, &format!("{head}\r\n").repeat(6)).await;

    let mut text = Vec::new();
    let _ = tokio::time::timeout(
        Duration::from_millis(1_300),
        connection.read_to_end(&mut text),
    )
    .await;
    let text = String::from_utf8_lossy(&text).into_owned();

    assert_eq!(text.matches("HTTP/1.1 200").count(), 6, "{text}");
}
