//! Crowds of connections that send nothing.

use super::super::connection_shares::ConnectionShares;

// Guards against a node whose callers leave no descriptors for its upstreams.
#[test]
fn accepted_connections_leave_descriptors_for_others() {
    let shares = ConnectionShares::of_process(Some(1_024), Some(512));

    assert_eq!(shares.callers_max, 341);
    assert_eq!(shares.relay_max, 85);
    assert_eq!(shares.status_max, 42);
    assert_eq!(shares.peers_max, 128);
    let to_upstreams = shares.callers_max;
    let accepted = shares.callers_max + shares.relay_max + shares.status_max + shares.peers_max;
    assert!(accepted + to_upstreams < 1_024);
}

// Guards against buffers that fill the memory where many descriptors are allowed.
#[test]
fn accepted_connections_are_bounded_by_the_memory_too() {
    let shares = ConnectionShares::of_process(None, Some(110));

    assert_eq!(shares.callers_max, 671);
    assert_eq!(shares.peers_max, 512);
}
