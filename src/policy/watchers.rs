//! Which nodes watch the platform's store by long polls, and when the other nodes
//! poll it themselves.
//!
//! When sixty upstreams of a data centre die and return, ninety nodes that each
//! watch the store would make ninety requests for every change. In a large
//! cluster only a few nodes, the watchers, do so and pass the changes on. They
//! also pass on the store heartbeat, a counter that rises while the store
//! answers. A node that receives no heartbeat polls the store itself, early
//! enough to know of a leaving upstream within the required time.

use std::time::{Duration, Instant};

/// Part of the bound on a kind of change for which a watch of it may wait. What is left is for
/// the time-out of a watch whose connection is dead, and for the request after it.
const WATCH_PART_OF_BOUND: f64 = 0.7;
/// Largest cluster in which every node watches the store itself.
pub(crate) const SMALL_CLUSTER_MAX_NODES: usize = 12;
/// Nodes of each data centre that watch the store in a large cluster.
const WATCHERS_PER_DATA_CENTRE: usize = 1;
/// Data centres with watchers. Three watchers in as many data centres outlive the loss of
/// any two; each more makes as many requests, and brings nothing sooner.
const WATCHING_DATA_CENTRES_MAX: usize = 3;
/// Time-out of one watch (a long poll) in a large cluster, where its answer
/// also tells all other nodes that the store is reachable.
const LARGE_CLUSTER_WATCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time-out of one watch of a node that is not a watcher. It polls because its peers are
/// silent, and its own open connection to the store may be silent too.
const OWN_POLL_TIMEOUT: Duration = Duration::from_millis(50);
/// Time-out of one watch for the first configuration. No peer has one to send while a whole
/// fleet starts, and the connection is new, so asking again sooner would bring nothing.
pub(crate) const FIRST_CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time-out of one watch in a small cluster, where no other node depends on it.
const SMALL_CLUSTER_WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Age of the last store heartbeat above which a node polls the store itself.
pub(crate) const HEARTBEAT_MAX_AGE: Duration = Duration::from_millis(1_400);
/// Largest random delay that keeps nodes from polling the store all at once.
pub(crate) const JITTER_MAX: Duration = Duration::from_millis(400);
/// Time after its start within which a node discovers the other nodes.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_200);
/// How long a node that just started waits for peers to send the list of
/// upstreams, if the list has more than one page.
const PEER_LIST_WAIT: Duration = Duration::from_millis(600);
/// Shortest time between two heartbeats that a node publishes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(350);

/// Whether a node knows enough of the other nodes to decide whether it is a
/// watcher; `age` is the time since its start. A node that just started knows
/// few others. For `DISCOVERY_TIME` after its start it is not a watcher; it reads
/// the configuration and at least the first page of upstreams from the store at
/// its start. Seed nodes, which the others contact first, decide at once.
pub(crate) fn is_membership_settled(is_seed: bool, age: Duration) -> bool {
    is_seed || age >= DISCOVERY_TIME
}

/// A node's place in the order in which nodes become watchers, on which all nodes agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WatchRank {
    /// Place of the node among those of its data centre.
    pub(crate) in_data_centre: usize,
    /// Place of its data centre among those that have nodes.
    pub(crate) of_data_centre: usize,
}

impl WatchRank {
    /// The place of a node that leaves, behind all others.
    pub(crate) const LEAVING: Self = Self {
        in_data_centre: usize::MAX,
        of_data_centre: usize::MAX,
    };
}

/// Whether a node watches the store.
pub(crate) fn is_watcher(node_count: usize, rank: WatchRank) -> bool {
    let is_first = rank.in_data_centre < WATCHERS_PER_DATA_CENTRE
        && rank.of_data_centre < WATCHING_DATA_CENTRES_MAX;
    node_count <= SMALL_CLUSTER_MAX_NODES || is_first
}

/// Time-out of one watch of the store, by a watcher or another node.
pub(crate) fn watch_timeout(node_count: usize, is_watcher: bool) -> Duration {
    if !is_watcher {
        OWN_POLL_TIMEOUT
    } else if node_count <= SMALL_CLUSTER_MAX_NODES {
        SMALL_CLUSTER_WATCH_TIMEOUT
    } else {
        LARGE_CLUSTER_WATCH_TIMEOUT
    }
}

/// Longest time for which a watch may wait, given the time within which a change must be
/// known.
pub(crate) fn watch_timeout_max(bound: Duration) -> Duration {
    bound.mul_f64(WATCH_PART_OF_BOUND)
}

/// How long a node that knows no upstream waits for its peers to send the list
/// of upstreams before it reads the remaining pages from the store. Without this
/// wait, three hundred nodes that start at once would request sixty pages each.
/// Seed nodes don't wait: the other nodes discover them first and get the list
/// from them. `draw`, a random number from 0 to below 1, spreads the requests of
/// the other nodes.
pub(crate) fn peer_list_wait(is_seed: bool, draw: f64) -> Duration {
    if is_seed {
        Duration::ZERO
    } else {
        PEER_LIST_WAIT + JITTER_MAX.mul_f64(draw)
    }
}

/// The store heartbeat: a counter that nodes raise when the store answers them,
/// and gossip. A rising counter shows every node that the store is reachable.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreHeartbeat {
    counter: u64,
    raised_at: Option<Instant>,
}

impl StoreHeartbeat {
    /// Records that the store answered this node. Returns the raised counter to
    /// publish, or none if the counter was raised recently.
    pub(crate) fn store_answered(&mut self, now: Instant) -> Option<u64> {
        let is_recent = self.age(now).is_some_and(|age| age < HEARTBEAT_INTERVAL);
        if is_recent {
            return None;
        }
        self.counter += 1;
        self.raised_at = Some(now);
        Some(self.counter)
    }

    /// Applies a peer's counter. Returns false if it is not higher than this
    /// node's.
    pub(crate) fn receive(&mut self, counter: u64, now: Instant) -> bool {
        if counter <= self.counter {
            return false;
        }
        self.counter = counter;
        self.raised_at = Some(now);
        true
    }

    /// Whether the counter was not raised for so long that this node must poll
    /// the store itself. `draw`, a random number from 0 to below 1, spreads the
    /// nodes that must.
    pub(crate) fn is_overdue(&self, draw: f64, now: Instant) -> bool {
        let limit = HEARTBEAT_MAX_AGE + JITTER_MAX.mul_f64(draw);
        self.age(now).is_none_or(|age| age >= limit)
    }

    /// Time since the counter was raised; `None` if it never was.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let raised_at = self.raised_at?;
        Some(now.saturating_duration_since(raised_at))
    }
}
