//! Tests of the connections to upstreams: of the check whether one that broke off has crashed, and
//! of what counts as an answer.

use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::forward::connection::{ConnectionPool, SendFailure};

/// A pool for a listener that answers each request with this status.
async fn pool_to_status(status: &'static str) -> ConnectionPool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            let _ = stream.read(&mut [0; 1_024]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    ConnectionPool::new(address)
}

/// Guards the roads to upstreams, to their reports and to peers against statuses that are none.
#[tokio::test]
async fn a_status_that_no_final_answer_has_is_no_answer_to_any_request() {
    for (status, is_answer) in [
        ("101", false),
        ("200", true),
        ("599", true),
        ("600", false),
        ("999", false),
    ] {
        let pool = pool_to_status(status).await;

        let sent = pool.send(Request::new(Full::default())).await;

        let is_refused = matches!(sent, Err(SendFailure::NoFinalStatus(_)));
        assert_eq!(
            (sent.is_ok(), is_refused),
            (is_answer, !is_answer),
            "{status}"
        );
    }
}

/// A pool for a listener that keeps the connections that it accepts, or closes them.
async fn pool_to_listener(keeps: bool) -> ConnectionPool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            if keeps {
                kept.push(stream);
            }
        }
    });
    ConnectionPool::new(address)
}

/// A party in between accepts connections for an upstream that is down.
#[tokio::test]
async fn an_upstream_whose_connections_are_accepted_and_closed_is_down() {
    let closing = pool_to_listener(false).await;
    let keeping = pool_to_listener(true).await;
    let refusing = ConnectionPool::new(([127, 0, 0, 1], 1).into());

    assert!(!closing.keeps_connection().await);
    assert!(!refusing.keeps_connection().await);
    assert!(keeping.keeps_connection().await);
}
