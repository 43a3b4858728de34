//! When callers of this node last left before they were answered.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The departures of callers whose calls had no answer.
#[derive(Debug, Default)]
pub(crate) struct CallerDepartures {
    last_at: Mutex<Option<Instant>>,
}

impl CallerDepartures {
    /// Records that a caller left.
    pub(crate) fn record(&self, now: Instant) {
        *self.last_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Time since the last caller left, if one did.
    pub(crate) fn time_since_last(&self, now: Instant) -> Option<Duration> {
        let last_at = *self.last_at.lock().unwrap_or_else(PoisonError::into_inner);
        last_at.map(|at| now.saturating_duration_since(at))
    }
}
