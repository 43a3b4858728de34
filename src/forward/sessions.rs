//! Where the prompts of recent streams lie in memory.
//!
//! A caller whose stream broke off asks for the rest within moments, at any
//! node. Sent to the engine that ran it, the prompt need not be read again.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::sighting::{Sighting, Sightings};
use super::upstream::UpstreamId;

/// Names the part of a prompt that belongs to one caller's session.
pub(crate) type SessionId = String;

/// How long a prompt is expected to stay where it was read.
const MEMORY: Duration = Duration::from_secs(12);
/// Sessions that are remembered.
const SESSIONS_MAX: usize = 2_048;

/// The sessions of one node, and those that leaving nodes handed over.
#[derive(Debug)]
pub(crate) struct Sessions {
    places: Mutex<BTreeMap<SessionId, (UpstreamId, Instant)>>,
    sightings: Sightings,
}

impl Sessions {
    /// Makes a memory of no session that tells what it hands over.
    pub(crate) fn new(sightings: Sightings) -> Self {
        Self {
            places: Mutex::default(),
            sightings,
        }
    }

    /// Notes where a session's prompt has been read.
    pub(crate) fn read_at(&self, session: &SessionId, upstream: &UpstreamId, now: Instant) {
        let mut places = self.lock();
        if places.len() >= SESSIONS_MAX {
            places.retain(|_, (_, at)| now.saturating_duration_since(*at) < MEMORY);
        }
        if places.len() < SESSIONS_MAX {
            places.insert(session.clone(), (upstream.clone(), now));
        }
    }

    /// Where a session's prompt may still lie.
    pub(crate) fn place(&self, session: &SessionId, now: Instant) -> Option<UpstreamId> {
        let places = self.lock();
        let (upstream, at) = places.get(session)?;
        let is_recent = now.saturating_duration_since(*at) < MEMORY;
        is_recent.then(|| upstream.clone())
    }

    /// Has other nodes told where a session's prompt lies.
    pub(crate) fn hand_over(&self, session: &SessionId, upstream: &UpstreamId) {
        self.sightings.tell(Sighting::Handover {
            session: session.clone(),
            upstream: upstream.clone(),
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SessionId, (UpstreamId, Instant)>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
