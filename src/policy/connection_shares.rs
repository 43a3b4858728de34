//! Bounds the connections that a process accepts, so that descriptors are left for those to
//! upstreams, peers and the store, and memory for bodies and answers.

use super::memory_shares::memory_bytes;

/// The buffers of all accepted connections may take this part of the memory.
const MEMORY_DIVISOR: u64 = 4;
/// Memory of one connection: its task, and the buffers in which a head or an answer waits.
const CONNECTION_BYTES: u64 = 40 * 1024;
/// Each call needs a connection to an upstream beside that of its caller, and peers, the
/// store and the other listeners need some as well.
const CALLER_DIVISOR: u64 = 3;
/// Part of the callers' connections that other nodes may open in addition.
const RELAY_DIVISOR: u64 = 4;
/// Part of the callers' connections that readers of addresses, readiness and counters may
/// open in addition.
const STATUS_DIVISOR: u64 = 8;
/// Part of the descriptors that connections of peers for membership may take in addition. With
/// those of callers, their upstreams, other nodes and readers, a twelfth is left for the store and
/// for connections to peers.
const PEER_DESCRIPTORS_DIVISOR: u64 = 8;
/// Part of the callers' connections, as far as memory allows those, that peers may open.
const PEER_MEMORY_DIVISOR: u64 = 8;
/// Connections of peers that memory always allows: one for each of 390 nodes, with a margin.
const PEER_CONNECTIONS_MIN: u64 = 512;

/// Numbers of connections that the listeners of a process keep open at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionShares {
    pub(crate) callers_max: usize,
    pub(crate) relay_max: usize,
    pub(crate) status_max: usize,
    pub(crate) peers_max: usize,
}

impl ConnectionShares {
    /// Shares of a process with these limits, as far as its settings name them.
    pub(crate) fn of_process(descriptors_max: Option<u64>, memory_mb: Option<u64>) -> Self {
        let by_memory = memory_bytes(memory_mb) / MEMORY_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = descriptors_max.map_or(u64::MAX, |max| max / CALLER_DIVISOR);
        let peers_by_descriptors =
            descriptors_max.map_or(u64::MAX, |max| max / PEER_DESCRIPTORS_DIVISOR);
        let peers =
            peers_by_descriptors.min(PEER_CONNECTIONS_MIN.max(by_memory / PEER_MEMORY_DIVISOR));
        let callers = by_memory.min(by_descriptors);
        let count = |part: u64| usize::try_from(part.max(1)).unwrap_or(usize::MAX);
        Self {
            callers_max: count(callers),
            relay_max: count(callers / RELAY_DIVISOR),
            status_max: count(callers / STATUS_DIVISOR),
            peers_max: count(peers),
        }
    }
}
