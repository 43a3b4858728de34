//! Whether the configuration in force may be taken as the newest.
//!
//! Answers this load: a route was just added, and its first callers reach a
//! node that has not heard of it. Denying them would be wrong for good, so a
//! node that is not sure asks them to come back instead.

use std::time::{Duration, Instant};

/// How old the store's last word may be.
const WORD_MAX_AGE: Duration = Duration::from_secs(6);

/// What is known of the store's word on the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    heard_at: Option<Instant>,
    has_failed: bool,
}

impl Freshness {
    /// Notes whether the store answered.
    pub(crate) fn store_answers(&mut self, answers: bool, now: Instant) {
        if answers {
            self.heard_at = Some(now);
        }
        self.has_failed = !answers;
    }

    /// Whether no newer configuration is to be expected.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let age = self.heard_at.map(|at| now.saturating_duration_since(at));
        !self.has_failed && age.is_some_and(|age| age <= WORD_MAX_AGE)
    }
}
