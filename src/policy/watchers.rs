//! Which nodes ask the store, and when the others ask for themselves.
//!
//! Answers this load: sixty upstreams of a data centre die and come back, and
//! ninety nodes that each wait at the store would make ninety calls for every
//! change. A few nodes wait there and tell the others; a node that hears from
//! none of them asks for itself before the bound on leaving upstreams is over.

use std::time::{Duration, Instant};

/// Nodes up to which each waits at the store itself.
pub(crate) const SMALL_FLEET: usize = 12;
/// Nodes of each data centre that wait at the store in a large fleet.
const WATCHERS_PER_CENTRE: usize = 1;
/// How long one watch waits in a large fleet; its answer is the store's word
/// for all nodes.
const SHORT_WAIT: Duration = Duration::from_millis(600);
/// The same in a small fleet, where nobody else waits for it.
const LONG_WAIT: Duration = Duration::from_millis(2_000);
/// Age of the store's word above which a node asks for itself.
const WORD_MAX_AGE: Duration = Duration::from_millis(1_400);
/// Time over which nodes that ask for themselves are spread.
const SPREAD: Duration = Duration::from_millis(400);
/// Time after its start in which a node finds the others.
const JOIN_TIME: Duration = Duration::from_millis(1_200);
/// How long a node that just started waits to be told a long list by peers.
const LIST_PATIENCE: Duration = Duration::from_millis(600);
/// Time between two passings-on of the store's word.
const WORD_SPACING: Duration = Duration::from_millis(350);

/// Whether a node may judge by the nodes that it knows whether it is to wait at
/// the store. One that just started knows few others, and has asked once.
pub(crate) fn knows_fleet(is_seed: bool, age: Duration) -> bool {
    is_seed || age >= JOIN_TIME
}

/// Whether a node waits at the store: `rank` is its place in the order that
/// all nodes of its data centre agree on.
pub(crate) fn is_watcher(node_count: usize, rank: usize) -> bool {
    node_count <= SMALL_FLEET || rank < WATCHERS_PER_CENTRE
}

/// How long a watch waits.
pub(crate) fn watch_wait(node_count: usize) -> Duration {
    if node_count <= SMALL_FLEET {
        LONG_WAIT
    } else {
        SHORT_WAIT
    }
}

/// How long a node that knows no upstream waits for peers before it reads the
/// rest of a list that the store gives in several answers. Three hundred nodes
/// that start at once would ask for sixty answers each, where the first nodes
/// to be found by others can tell them.
pub(crate) fn list_patience(is_first_to_be_found: bool, draw: f64) -> Duration {
    if is_first_to_be_found {
        Duration::ZERO
    } else {
        LIST_PATIENCE + SPREAD.mul_f64(draw)
    }
}

/// The store's word as it spreads from node to node: a count that rises with
/// each answer of the store, whoever got it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreWord {
    count: u64,
    risen_at: Option<Instant>,
}

impl StoreWord {
    /// Notes an answer of the store, and gives the count to pass on, if it is
    /// time to.
    pub(crate) fn answered(&mut self, now: Instant) -> Option<u64> {
        let is_recent = self.age(now).is_some_and(|age| age < WORD_SPACING);
        if is_recent {
            return None;
        }
        self.count += 1;
        self.risen_at = Some(now);
        Some(self.count)
    }

    /// Takes in a count from a peer; false when it is not news.
    pub(crate) fn heard(&mut self, count: u64, now: Instant) -> bool {
        if count <= self.count {
            return false;
        }
        self.count = count;
        self.risen_at = Some(now);
        true
    }

    /// Whether this node must ask for itself; `draw` is below one and spreads
    /// the nodes that must.
    pub(crate) fn is_overdue(&self, draw: f64, now: Instant) -> bool {
        let limit = WORD_MAX_AGE + SPREAD.mul_f64(draw);
        self.age(now).is_none_or(|age| age >= limit)
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        let risen_at = self.risen_at?;
        Some(now.saturating_duration_since(risen_at))
    }
}
