//! Where the prompts of recent streams lie in memory.
//!
//! A caller whose stream broke off asks for the rest within moments, at any
//! node. Sent to the engine that ran it, the prompt need not be read again.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::broadcast;

use super::upstream::UpstreamId;

/// Names the part of a prompt that belongs to one caller's session.
pub(crate) type SessionId = String;

/// How long a prompt is expected to stay where it was read.
const MEMORY: Duration = Duration::from_secs(12);
/// Sessions that are remembered.
const SESSIONS_MAX: usize = 2_048;
/// Handovers that may wait to be told.
const UNTOLD_MAX: usize = 512;

/// The sessions of one node, and those that leaving nodes handed over.
#[derive(Debug)]
pub(crate) struct Sessions {
    places: Mutex<BTreeMap<SessionId, (UpstreamId, Instant)>>,
    handovers: broadcast::Sender<(SessionId, UpstreamId)>,
}

impl Default for Sessions {
    fn default() -> Self {
        Self {
            places: Mutex::default(),
            handovers: broadcast::Sender::new(UNTOLD_MAX),
        }
    }
}

impl Sessions {
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
        // Nobody listens in a node without peers.
        let _ = self.handovers.send((session.clone(), upstream.clone()));
    }

    /// Hears what this node hands over.
    pub(crate) fn handovers(&self) -> broadcast::Receiver<(SessionId, UpstreamId)> {
        self.handovers.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SessionId, (UpstreamId, Instant)>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
