//! Chooses the peers through which this node sends calls to services that it
//! can't reach itself, and keeps the connections to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::forward::connection::ConnectionPool;
use crate::forward::relay::RelayPeer;
use crate::id::{DataCentreId, NodeId, ServiceId};
use crate::membership::members::Member;

/// Number of calls of this node that a peer of its data centre takes before peers
/// elsewhere are considered.
const LOCAL_CALLS_PREFERRED: usize = 8;

/// The services that one node announced not to reach.
#[derive(Debug)]
struct CutNode {
    services: BTreeSet<ServiceId>,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Live nodes that stay, without this one.
    nodes: Vec<Member>,
    cut_nodes: BTreeMap<NodeId, CutNode>,
    peers: BTreeMap<SocketAddr, RelayPeer>,
}

/// The other nodes as ways to the upstreams.
#[derive(Debug)]
pub(crate) struct PeerRelay {
    data_centre: DataCentreId,
    state: Mutex<State>,
}

impl PeerRelay {
    /// Creates the view of a node in `data_centre` that knows no other node.
    pub(crate) fn new(data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            state: Mutex::default(),
        }
    }

    /// Sets the live nodes that stay, without this one.
    pub(crate) fn set_nodes(&self, nodes: Vec<Member>) {
        let mut state = self.lock();
        let addresses: BTreeSet<_> = nodes.iter().map(Member::relay_address).collect();
        state.peers.retain(|address, _| addresses.contains(address));
        state.nodes = nodes;
    }

    /// Records which services a node announced not to reach, for the time `ttl`.
    pub(crate) fn record_cut(&self, node: NodeId, services: BTreeSet<ServiceId>, ttl: Duration) {
        let mut state = self.lock();
        if services.is_empty() {
            state.cut_nodes.remove(&node);
            return;
        }
        let expires_at = Instant::now() + ttl;
        let cut = CutNode {
            services,
            expires_at,
        };
        state.cut_nodes.insert(node, cut);
    }

    /// Whether a node announced that it reaches none of the services.
    pub(crate) fn is_cut_from_all(&self, node: &NodeId, services: &BTreeSet<ServiceId>) -> bool {
        let state = self.lock();
        let cut = state.cut_nodes.get(node);
        cut.is_some_and(|cut| cut.expires_at > Instant::now() && services.is_subset(&cut.services))
    }

    /// Chooses the peer for a call to `service`: one that reaches it, was not tried,
    /// and has few calls of this node.
    pub(crate) fn choose(&self, service: &str, tried: &[NodeId]) -> Option<RelayPeer> {
        let mut state = self.lock();
        let now = Instant::now();
        let is_eligible = |member: &&Member| {
            let cut = state.cut_nodes.get(&member.node);
            let is_cut =
                cut.is_some_and(|cut| cut.expires_at > now && cut.services.contains(service));
            member.relay_port != 0 && !is_cut && !tried.contains(&member.node)
        };
        let rank = |member: &&Member| {
            let peer = state.peers.get(&member.relay_address());
            let call_count = peer.map_or(0, |peer| Arc::strong_count(&peer.calls) - 1);
            let is_busy = call_count >= LOCAL_CALLS_PREFERRED;
            // The data centre matters only among peers that are not busy.
            let is_remote = !is_busy && member.data_centre != self.data_centre;
            let draw: u32 = rand::rng().random();
            (is_busy, is_remote, call_count, draw)
        };
        let eligible = state.nodes.iter().filter(is_eligible);
        let chosen = eligible.min_by_key(rank)?;
        let (node, address) = (chosen.node.clone(), chosen.relay_address());
        let peer = state.peers.entry(address).or_insert_with(|| RelayPeer {
            node,
            pool: Arc::new(ConnectionPool::new(address)),
            calls: Arc::default(),
        });
        Some(peer.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
