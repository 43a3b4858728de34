//! Decides whether a node's configuration is known to be the newest.
//!
//! When a route was just added, its first callers may reach a node that does
//! not have it yet. An answer of 404 or 401 would be final for them. A node that
//! may have missed an update of the configuration therefore answers 503 and asks
//! them to retry.

use std::time::{Duration, Instant};

/// Age of the store's last answer above which the configuration may be stale.
const STORE_ANSWER_MAX_AGE: Duration = Duration::from_secs(6);

/// When the store, which holds the configuration, last answered this node or a
/// peer, and whether a request has failed since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConfigFreshness {
    answered_at: Option<Instant>,
    has_failed: bool,
}

impl ConfigFreshness {
    /// Records that the store answered this node or a peer, or that a request of
    /// this node to it failed.
    pub(crate) fn set_store_reachable(&mut self, is_reachable: bool, now: Instant) {
        if is_reachable {
            self.answered_at = Some(now);
        }
        self.has_failed = !is_reachable;
    }

    /// Whether the store answered recently and no request has failed since.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let age = self.answered_at.map(|at| now.saturating_duration_since(at));
        !self.has_failed && age.is_some_and(|age| age <= STORE_ANSWER_MAX_AGE)
    }
}
