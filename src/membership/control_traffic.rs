//! Counts what the upkeep between nodes costs.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::membership::peer::PeerTraffic;

/// Messages and bytes of this node's control traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Datagrams sent.
    pub sent_count: u64,
    /// Bytes sent, calls between nodes included.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received_count: u64,
    /// Bytes received, calls between nodes included.
    pub received_bytes: u64,
    /// Times this node began to doubt another.
    pub suspicion_count: u64,
}

/// The running totals of one node's datagrams.
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
    pub(crate) fn sent(&self, bytes: usize) {
        self.sent_count.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a datagram that arrived.
    pub(crate) fn received(&self, bytes: usize) {
        self.received_count.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a node that this one began to doubt.
    pub(crate) fn suspected(&self) {
        self.suspicion_count.fetch_add(1, Ordering::Relaxed);
    }

    /// The totals, with those of the calls between nodes.
    pub(crate) fn totals(&self, calls: &PeerTraffic) -> ControlTraffic {
        let sum =
            |a: &AtomicU64, b: &AtomicU64| a.load(Ordering::Relaxed) + b.load(Ordering::Relaxed);
        ControlTraffic {
            sent_count: self.sent_count.load(Ordering::Relaxed),
            sent_bytes: sum(&self.sent_bytes, &calls.sent_bytes),
            received_count: self.received_count.load(Ordering::Relaxed),
            received_bytes: sum(&self.received_bytes, &calls.received_bytes),
            suspicion_count: self.suspicion_count.load(Ordering::Relaxed),
        }
    }
}
