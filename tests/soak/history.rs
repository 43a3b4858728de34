//! The times of planned work and of disturbances, by which unanswered calls are
//! judged.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// An upstream, by its place in the environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpstreamAt {
    Engine(usize),
    Service(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occurrence {
    /// The node got its first SIGTERM.
    Stop { node: usize },
    /// The node got SIGHUP.
    Reload { node: usize },
    /// A configuration was stored; `timeout` is the shortest one of its routes.
    Config { timeout: Duration },
    /// The node's process was started.
    Start { node: usize },
    /// The node was killed or paused.
    NodeDisturbed { node: usize },
    /// The node reached no upstream.
    NodeCut { node: usize },
    /// The upstream crashed, failed a call or froze until further notice, or the
    /// link to it was disturbed. A silence that ends soon is no disturbance.
    UpstreamDisturbed(UpstreamAt),
    /// The link to the upstream held back all traffic for a while.
    LinkMuted(UpstreamAt),
}

impl Occurrence {
    /// The node that was killed, paused, stopped or started.
    pub fn disturbed_node(self) -> Option<usize> {
        match self {
            Self::Stop { node } | Self::Start { node } | Self::NodeDisturbed { node } => Some(node),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub what: Occurrence,
    pub from: Instant,
    /// `None` while it lasts.
    pub to: Option<Instant>,
}

impl Entry {
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

#[derive(Clone, Default)]
pub struct History(Arc<Mutex<Vec<Entry>>>);

impl History {
    /// Records something that is over at once.
    pub fn record(&self, what: Occurrence) {
        let now = Instant::now();
        self.lock().push(Entry {
            what,
            from: now,
            to: Some(now),
        });
    }

    /// Records something that lasts for a while, whatever ends in the meantime.
    pub fn record_for(&self, what: Occurrence, duration: Duration) {
        let now = Instant::now();
        self.lock().push(Entry {
            what,
            from: now,
            to: Some(now + duration),
        });
    }

    /// Whether a node was killed, paused, stopped or started in this time.
    pub fn has_node_disturbance(&self, from: Instant, to: Instant) -> bool {
        let entries = self.lock();
        let mut of_nodes = entries.iter().filter(|e| e.what.disturbed_node().is_some());
        of_nodes.any(|entry| entry.overlaps(from, to))
    }

    /// Records something that lasts until `end_all`.
    pub fn begin(&self, what: Occurrence) {
        self.lock().push(Entry {
            what,
            from: Instant::now(),
            to: None,
        });
    }

    pub fn end_all(&self) {
        let now = Instant::now();
        for entry in self.lock().iter_mut() {
            entry.to.get_or_insert(now);
        }
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.0.lock().expect("unpoisoned")
    }
}
