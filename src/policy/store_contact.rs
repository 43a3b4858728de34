//! Tells an outage of the platform's store from a node's own loss of it.
//!
//! A node whose requests fail may be cut from a store that serves all others. What
//! follows from an outage, such as that the entries of live upstreams expire, must not
//! be concluded from the failures of one node. The answers that peers get, which the
//! store heartbeat passes on, refute an outage.

use std::time::{Duration, Instant};

/// Time without an answer to any node after which the store is taken to be in an outage,
/// if peers pass on its heartbeat. It is longer than the pause between two heartbeats, and
/// shorter than the outage that lets the entry of a live upstream expire, which takes two
/// missed renewals at least.
const OUTAGE_MIN: Duration = Duration::from_millis(1_500);
/// Age of the last heartbeat from a peer up to which another one is expected.
const PEER_HEARTBEAT_MAX_AGE: Duration = Duration::from_secs(30);

/// When the store answered this node or a peer, and when requests of this node failed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreContact {
    answered_at: Option<Instant>,
    /// When the last heartbeat from a peer arrived.
    peer_heartbeat_at: Option<Instant>,
    /// First failure of a request of this node since the last answer to any node.
    failing_since: Option<Instant>,
    outage_ended_at: Option<Instant>,
}

impl StoreContact {
    /// Records that a peer passed on that the store answered a node.
    pub(crate) fn record_peer_heartbeat(&mut self, now: Instant) {
        self.record_answer(now);
        self.peer_heartbeat_at = Some(now);
    }

    /// Records that the store answered this node.
    pub(crate) fn record_answer(&mut self, now: Instant) {
        if self.is_in_outage(now) {
            self.outage_ended_at = Some(now);
        }
        self.answered_at = Some(now);
        self.failing_since = None;
    }

    /// Records that the store came back from a copy of its data, as after an outage.
    pub(crate) fn record_return_from_copy(&mut self, now: Instant) {
        self.outage_ended_at = Some(now);
    }

    /// Records that a request of this node to the store failed.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Whether requests of this node fail and the store has answered no node for
    /// [`OUTAGE_MIN`]. A node that gets no heartbeats from peers has only its own failures
    /// to go by.
    pub(crate) fn is_in_outage(&self, now: Instant) -> bool {
        let Some(failing_since) = self.failing_since else {
            return false;
        };
        let since = self.answered_at.unwrap_or(failing_since);
        !self.expects_peer_heartbeat(now) || now.saturating_duration_since(since) >= OUTAGE_MIN
    }

    fn expects_peer_heartbeat(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEER_HEARTBEAT_MAX_AGE;
        self.peer_heartbeat_at.is_some_and(is_recent)
    }

    /// When the store first answered after the last outage.
    pub(crate) fn outage_ended_at(&self) -> Option<Instant> {
        self.outage_ended_at
    }
}
