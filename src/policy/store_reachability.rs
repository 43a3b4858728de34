//! Decides whether the platform's store can be asked which upstreams there are.

use std::time::{Duration, Instant};

/// Age of the store's last answer above which it counts as unreachable.
const ANSWER_MAX_AGE: Duration = Duration::from_secs(6);

/// Age of the store's last answer up to which what it lists is current. A watch takes up to two
/// seconds.
const CURRENT_ANSWER_MAX_AGE: Duration = Duration::from_millis(2_500);

/// When the store last answered this node or a peer, and whether a request of this node
/// has failed since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreReachability {
    answered_at: Option<Instant>,
    has_failed: bool,
}

impl StoreReachability {
    /// Records that the store answered this node or a peer, or that a request of
    /// this node to it failed.
    pub(crate) fn set(&mut self, is_reachable: bool, now: Instant) {
        if is_reachable {
            self.answered_at = Some(now);
        }
        self.has_failed = !is_reachable;
    }

    /// Whether the store answered recently and no request has failed since.
    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        self.has_answered_within(ANSWER_MAX_AGE, now)
    }

    /// Whether the store answered so recently, and no request has failed since, that what it
    /// lists is current.
    pub(crate) fn has_answered_lately(&self, now: Instant) -> bool {
        self.has_answered_within(CURRENT_ANSWER_MAX_AGE, now)
    }

    fn has_answered_within(&self, age_max: Duration, now: Instant) -> bool {
        let age = self.answered_at.map(|at| now.saturating_duration_since(at));
        !self.has_failed && age.is_some_and(|age| age <= age_max)
    }
}
