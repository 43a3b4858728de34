//! Decides whether a node's configuration is known to be the newest.
//!
//! When a route was just added, its first callers may reach a node that does
//! not have it yet. An answer of 404 or 401 would be final for them. A node that
//! may have missed an update of the configuration therefore answers 503 and asks
//! them to retry.

use std::fmt;
use std::time::{Duration, Instant};

use crate::id::Version;

/// Age of the store's last answer above which the configuration may be stale.
const STORE_ANSWER_MAX_AGE: Duration = Duration::from_secs(6);

/// Part of the bound on configurations for which a watch of the store may wait: its
/// answer must arrive before the one before it is outdated.
const WATCH_PART_OF_BOUND: f64 = 0.7;

/// Longest time for which a watch of the configuration may wait, given the time
/// within which a confirmed configuration must be in force.
pub(crate) fn watch_timeout_max(config_bound: Duration) -> Duration {
    config_bound.mul_f64(WATCH_PART_OF_BOUND)
}

/// When the store, which holds the configuration, last answered this node or a
/// peer, and whether a request has failed since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConfigFreshness {
    answered_at: Option<Instant>,
    has_failed: bool,
    /// When the store last answered this node about the configuration.
    confirmed_at: Option<Instant>,
    /// Highest version that a peer has announced.
    announced_version: Version,
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

    /// Records that the store answered this node about the configuration.
    pub(crate) fn record_confirmation(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
    }

    /// Records that a peer announced a version of the configuration.
    pub(crate) fn record_announced(&mut self, version: Version) {
        self.announced_version = self.announced_version.max(version);
    }

    /// Whether the store answered recently and no request has failed since.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let age = self.answered_at.map(|at| now.saturating_duration_since(at));
        !self.has_failed && age.is_some_and(|age| age <= STORE_ANSWER_MAX_AGE)
    }

    /// What decided whether the configuration is fresh, for the log.
    pub(crate) fn evidence(&self, now: Instant) -> ConfigEvidence {
        let age = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        ConfigEvidence {
            is_fresh: self.is_fresh(now),
            has_failed: self.has_failed,
            answer_age: age(self.answered_at),
            confirmation_age: age(self.confirmed_at),
            announced_version: self.announced_version,
        }
    }
}

/// What a node knows about the age of its configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigEvidence {
    is_fresh: bool,
    has_failed: bool,
    answer_age: Option<Duration>,
    /// Age of the store's last answer to this node about the configuration.
    pub(crate) confirmation_age: Option<Duration>,
    announced_version: Version,
}

impl fmt::Display for ConfigEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "fresh={} store_failed={} answered_ms_ago={:?} confirmed_ms_ago={:?} announced={}",
            self.is_fresh,
            self.has_failed,
            self.answer_age.map(|age| age.as_millis()),
            self.confirmation_age.map(|age| age.as_millis()),
            self.announced_version
        )
    }
}
