//! Faults on the links between nodes, for tests and experiments.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::RngExt;

/// Faults between nodes that tests order; none by default.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    inner: Arc<Mutex<LinkFaultsInner>>,
}

#[derive(Debug, Default)]
struct LinkFaultsInner {
    lost_per_mille: u32,
    cut: BTreeSet<SocketAddr>,
}

impl LinkFaults {
    /// Loses this many of a thousand datagrams that arrive.
    pub fn lose(&self, per_mille: u32) {
        self.lock().lost_per_mille = per_mille.min(1000);
    }

    /// Cuts off all that comes from these peers.
    pub fn cut(&self, peers: impl IntoIterator<Item = SocketAddr>) {
        self.lock().cut = peers.into_iter().collect();
    }

    /// Whether calls to and from a peer are cut.
    pub(crate) fn is_cut(&self, peer: &SocketAddr) -> bool {
        self.lock().cut.contains(peer)
    }

    /// Whether a datagram that arrives is lost.
    pub(crate) fn loses(&self, from: &SocketAddr) -> bool {
        let inner = self.lock();
        let unlucky =
            inner.lost_per_mille > 0 && rand::rng().random_ratio(inner.lost_per_mille, 1000);
        unlucky || inner.cut.contains(from)
    }

    fn lock(&self) -> MutexGuard<'_, LinkFaultsInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
