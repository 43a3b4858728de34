//! Which engines have the prompts of recent streams in their prefix cache.
//!
//! Calls whose prompts have the same last part belong to one session. The caller
//! states the hash of that part in a header.
//!
//! A caller whose stream broke off requests the rest within moments, through any
//! node. The engine that ran the stream can resume it without another prefill.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::observation::{Observation, Observations};
use crate::id::UpstreamId;

/// Hash of the last part of a prompt, which is specific to one caller's session.
pub(crate) type SessionId = String;

/// How long a prompt is expected to stay cached at its engine.
const CACHE_LIFETIME: Duration = Duration::from_secs(12);
/// Maximum number of sessions that are kept.
const SESSIONS_MAX: usize = 2_048;

/// The engines that prefilled the prompts of recent sessions, from streams that
/// this node relayed and from peers that handed sessions over as they stopped.
#[derive(Debug)]
pub(crate) struct Sessions {
    locations: Mutex<BTreeMap<SessionId, (UpstreamId, Instant)>>,
    observations: Observations,
}

impl Sessions {
    /// Creates an empty table that publishes handovers to `observations`.
    pub(crate) fn new(observations: Observations) -> Self {
        Self {
            locations: Mutex::default(),
            observations,
        }
    }

    /// Records that the upstream has prefilled the session's prompt.
    pub(crate) fn record_prefill(&self, session: &SessionId, upstream: &UpstreamId, now: Instant) {
        let mut locations = self.lock();
        if locations.len() >= SESSIONS_MAX {
            locations.retain(|_, (_, at)| now.saturating_duration_since(*at) < CACHE_LIFETIME);
        }
        if locations.len() < SESSIONS_MAX {
            locations.insert(session.clone(), (upstream.clone(), now));
        }
    }

    /// The upstream that may still have a session's prompt cached.
    pub(crate) fn cached_at(&self, session: &SessionId, now: Instant) -> Option<UpstreamId> {
        let locations = self.lock();
        let (upstream, at) = locations.get(session)?;
        let is_recent = now.saturating_duration_since(*at) < CACHE_LIFETIME;
        is_recent.then(|| upstream.clone())
    }

    /// Publishes to the other nodes which upstream has a session's prompt cached.
    pub(crate) fn publish_handover(&self, session: &SessionId, upstream: &UpstreamId) {
        self.observations.publish(Observation::Handover {
            session: session.clone(),
            upstream: upstream.clone(),
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SessionId, (UpstreamId, Instant)>> {
        self.locations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
