//! Simulated faults of the network between nodes, for tests and experiments.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::RngExt;

/// Faults that are injected into what one node sends to and receives from its
/// peers; none by default. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    inner: Arc<Mutex<LinkFaultsInner>>,
}

#[derive(Debug, Default)]
struct LinkFaultsInner {
    lost_per_mille: u32,
    blocked_peers: BTreeSet<SocketAddr>,
}

impl LinkFaults {
    /// Drops `per_mille` out of every thousand incoming datagrams, at random.
    pub fn lose(&self, per_mille: u32) {
        self.lock().lost_per_mille = per_mille.min(1000);
    }

    /// Blocks datagrams to and from these peers, and three kinds of requests to
    /// these peers: to synchronise, to fetch a document and to apply a claim
    /// operation. Peers that only an earlier call blocked are reachable again.
    pub fn cut(&self, peers: impl IntoIterator<Item = SocketAddr>) {
        self.lock().blocked_peers = peers.into_iter().collect();
    }

    /// Whether datagrams and requests to a peer are blocked.
    pub(crate) fn is_cut(&self, peer: &SocketAddr) -> bool {
        self.lock().blocked_peers.contains(peer)
    }

    /// Whether to drop a datagram that arrived from a peer.
    pub(crate) fn should_drop(&self, from: &SocketAddr) -> bool {
        let inner = self.lock();
        let is_lost =
            inner.lost_per_mille > 0 && rand::rng().random_ratio(inner.lost_per_mille, 1000);
        is_lost || inner.blocked_peers.contains(from)
    }

    fn lock(&self) -> MutexGuard<'_, LinkFaultsInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
