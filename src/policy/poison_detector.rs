//! Detects poison requests: those that crash the upstreams which begin to run
//! them.
//!
//! A poison request is sent again and again, through any node, and crashes every
//! engine that begins it. Engines of whole data centres may also crash while
//! they run harmless requests. A crash therefore counts against a request only
//! if it happened before the engine sent the request's first event, and a single
//! event of its stream clears the request. A request is known by its
//! fingerprint, a hash that stays the same when the request is sent again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::id::{Fingerprint, UpstreamId};

/// Minimum number of crashed upstreams that makes a request poison.
const POISON_CRASHES_MIN: usize = 3;
/// How long a request's crashes are kept after the last one.
const CRASH_RETENTION: Duration = Duration::from_secs(120);

/// The upstreams that crashed as they began one request.
#[derive(Clone, Debug)]
struct CrashedUpstreams {
    ids: BTreeSet<UpstreamId>,
    last_at: Instant,
}

/// The crashes that count against requests, as one node knows them.
#[derive(Debug, Default)]
pub(crate) struct PoisonDetector {
    crashes: BTreeMap<Fingerprint, CrashedUpstreams>,
}

impl PoisonDetector {
    /// Records that `upstream` crashed as it began the request. Returns true if
    /// no crash of this upstream under this request was known.
    pub(crate) fn record_crash(
        &mut self,
        request: Fingerprint,
        upstream: &UpstreamId,
        now: Instant,
    ) -> bool {
        self.crashes
            .retain(|_, crashed| now.saturating_duration_since(crashed.last_at) < CRASH_RETENTION);
        let crashed = self
            .crashes
            .entry(request)
            .or_insert_with(|| CrashedUpstreams {
                ids: BTreeSet::new(),
                last_at: now,
            });
        crashed.last_at = now;
        crashed.ids.insert(upstream.clone())
    }

    /// Records that an upstream sent an event of the request's stream, which
    /// clears the request unless it is poison.
    pub(crate) fn record_progress(&mut self, request: Fingerprint) {
        if !self.is_poison(request) {
            self.crashes.remove(&request);
        }
    }

    /// Whether the request is poison and must not be sent to upstreams any more.
    pub(crate) fn is_poison(&self, request: Fingerprint) -> bool {
        let crashed = self.crashes.get(&request);
        crashed.is_some_and(|crashed| crashed.ids.len() >= POISON_CRASHES_MIN)
    }

    /// Whether no crash counts against any request.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}
