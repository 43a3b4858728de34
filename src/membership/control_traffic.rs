//! Counters of the control traffic: the datagrams, requests and replies that
//! nodes exchange to coordinate, as opposed to callers' requests.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::membership::peer::PeerTraffic;

/// Control traffic of one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Datagrams sent.
    pub sent_count: u64,
    /// Bytes sent, including requests and replies over TCP.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received_count: u64,
    /// Bytes received, including requests and replies over TCP.
    pub received_bytes: u64,
    /// Number of times this node suspected a peer after failed probes.
    pub suspicion_count: u64,
}

/// Counters of one node's datagrams and suspicions.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounter {
    sent_count: AtomicU64,
    sent_bytes: AtomicU64,
    received_count: AtomicU64,
    received_bytes: AtomicU64,
    suspicion_count: AtomicU64,
}

impl TrafficCounter {
    /// Counts a datagram that was sent.
    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent_count.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a datagram that arrived.
    pub(crate) fn count_received(&self, bytes: usize) {
        self.received_count.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_suspicion(&self) {
        self.suspicion_count.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts so far. Bytes include those of `peer_traffic`, which counts
    /// the requests and replies over TCP.
    pub(crate) fn totals(&self, peer_traffic: &PeerTraffic) -> ControlTraffic {
        let sum =
            |a: &AtomicU64, b: &AtomicU64| a.load(Ordering::Relaxed) + b.load(Ordering::Relaxed);
        ControlTraffic {
            sent_count: self.sent_count.load(Ordering::Relaxed),
            sent_bytes: sum(&self.sent_bytes, &peer_traffic.sent_bytes),
            received_count: self.received_count.load(Ordering::Relaxed),
            received_bytes: sum(&self.received_bytes, &peer_traffic.received_bytes),
            suspicion_count: self.suspicion_count.load(Ordering::Relaxed),
        }
    }
}
