//! Decides whether a node's configuration is known to be the newest.
//!
//! When a route was just added, its first callers may reach a node that does
//! not have it yet. An answer of 404 or 401 would be final for them. A node that
//! may have missed an update of the configuration therefore answers 503 and asks
//! them to retry.

use std::fmt;
use std::time::{Duration, Instant};

use crate::id::Version;

/// Time that an answer of the store, or its news from a peer, may have taken.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(250);

/// Time in which an announced configuration is usually fetched from a peer.
const FETCH_TIME: Duration = Duration::from_millis(500);

/// What this node knows of the age of the configuration in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigFreshness {
    /// Time within which a confirmed configuration must be in force.
    config_bound: Duration,
    /// When the store last answered this node about the configuration.
    read_at: Option<Instant>,
    /// When this node last knew, by the store or by a peer, that there was no newer
    /// configuration.
    confirmed_at: Option<Instant>,
    /// Whether this node's last request for the configuration failed, and no peer has
    /// confirmed it since.
    has_failed: bool,
    /// Highest version that a peer has announced since the store was last read.
    announced_version: Version,
    /// When that version was first announced.
    announced_at: Option<Instant>,
    /// Whether the store's configuration cannot be parsed.
    is_newest_unreadable: bool,
}

impl ConfigFreshness {
    pub(crate) fn new(config_bound: Duration) -> Self {
        Self {
            config_bound,
            read_at: None,
            confirmed_at: None,
            has_failed: false,
            announced_version: 0,
            announced_at: None,
            is_newest_unreadable: false,
        }
    }

    /// Records that the store answered this node about the configuration. What the
    /// store does not have, no peer can have from it.
    pub(crate) fn record_read(&mut self, now: Instant) {
        self.read_at = Some(now);
        self.confirmed_at = Some(now);
        self.has_failed = false;
        self.announced_version = 0;
    }

    /// Records whether the configuration that the store returned could be parsed.
    pub(crate) fn set_newest_readable(&mut self, is_readable: bool) {
        self.is_newest_unreadable = !is_readable;
    }

    /// Records that a request of this node for the configuration failed.
    pub(crate) fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records that a peer, which has announced all that it knows, passed on that the
    /// store answers about the configuration.
    pub(crate) fn record_peer_confirmation(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
        self.has_failed = false;
    }

    /// Records that a peer announced a version of the configuration.
    pub(crate) fn record_announced(&mut self, version: Version, now: Instant) {
        if version > self.announced_version {
            self.announced_version = version;
            self.announced_at = Some(now);
        }
    }

    /// Whether a peer has announced a newer version than the one in force.
    pub(crate) fn is_newer_announced(&self, in_force: Version) -> bool {
        self.announced_version > in_force
    }

    /// Whether a peer announced a newer version so long ago that this node should have
    /// fetched it, and reads the store instead.
    pub(crate) fn is_fetch_overdue(&self, in_force: Version, now: Instant) -> bool {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= FETCH_TIME;
        self.is_newer_announced(in_force) && self.announced_at.is_some_and(is_over)
    }

    /// Whether a version that was confirmed so long ago that it must be in force would
    /// be known to this node. Otherwise it may not refuse a call for good.
    pub(crate) fn is_fresh(&self, in_force: Version, now: Instant) -> bool {
        let max_age = self.config_bound.saturating_sub(ANSWER_TIME_MAX);
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= max_age;
        !self.has_failed
            && !self.is_newest_unreadable
            && !self.is_newer_announced(in_force)
            && self.confirmed_at.is_some_and(is_recent)
    }

    /// What decides whether the configuration is fresh, for the log.
    pub(crate) fn evidence(&self, in_force: Version, now: Instant) -> ConfigEvidence {
        let age = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        ConfigEvidence {
            is_fresh: self.is_fresh(in_force, now),
            has_failed: self.has_failed,
            is_newest_unreadable: self.is_newest_unreadable,
            confirmation_age: age(self.confirmed_at),
            read_age: age(self.read_at),
            announced_version: self.announced_version,
        }
    }
}

/// What a node knows about the age of its configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigEvidence {
    is_fresh: bool,
    has_failed: bool,
    is_newest_unreadable: bool,
    confirmation_age: Option<Duration>,
    /// Age of the store's last answer to this node about the configuration.
    pub(crate) read_age: Option<Duration>,
    announced_version: Version,
}

impl fmt::Display for ConfigEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "fresh={} store_failed={} unreadable={} confirmed_ms_ago={:?} read_ms_ago={:?} announced={}",
            self.is_fresh,
            self.has_failed,
            self.is_newest_unreadable,
            self.confirmation_age.map(|age| age.as_millis()),
            self.read_age.map(|age| age.as_millis()),
            self.announced_version
        )
    }
}
