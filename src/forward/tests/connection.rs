//! Tests of the check whether an upstream that broke off has crashed.

use tokio::net::TcpListener;

use crate::forward::connection::ConnectionPool;

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
