//! Detects the outage of a data centre from correlated losses of its upstreams.
//!
//! When a data centre fails, most of its engines die within milliseconds, and
//! with them the KV cache replicas that they hold for streams elsewhere. Each
//! node sees only a few of these losses itself, so nodes publish the losses that
//! they observe. Put together, the losses show which engines to probe and which
//! data centre should get no new calls for now.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::id::{DataCentreId, UpstreamId};

/// Minimum number of upstreams lost within [`CORRELATION_WINDOW`] that indicates an
/// outage.
const CORRELATED_LOSSES_MIN: usize = 2;
/// Longest time between two losses that count as correlated.
const CORRELATION_WINDOW: Duration = Duration::from_millis(600);
/// How long an outage is suspected after the last loss, and how long losses are
/// kept.
const SUSPICION_DURATION: Duration = Duration::from_millis(900);

/// The losses that this node or a peer observed: the time of each upstream's
/// last one, by data centre.
#[derive(Debug, Default)]
pub(crate) struct OutageDetector {
    losses: BTreeMap<DataCentreId, BTreeMap<UpstreamId, Instant>>,
}

impl OutageDetector {
    /// Records the loss of `upstream`. Returns true if no recent loss of this
    /// upstream was known.
    pub(crate) fn record_loss(
        &mut self,
        data_centre: &DataCentreId,
        upstream: &UpstreamId,
        now: Instant,
    ) -> bool {
        let losses = self.losses.entry(data_centre.clone()).or_default();
        losses.retain(|_, at| now.saturating_duration_since(*at) < SUSPICION_DURATION);
        losses.insert(upstream.clone(), now).is_none()
    }

    /// When the first of the data centre's recent losses was recorded.
    pub(crate) fn recent_losses_began_at(
        &self,
        data_centre: &str,
        now: Instant,
    ) -> Option<Instant> {
        let losses = self.losses.get(data_centre)?.values();
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < SUSPICION_DURATION;
        losses.filter(is_recent).min().copied()
    }

    /// The data centres of which recent losses indicate an outage.
    pub(crate) fn suspected(&self, now: Instant) -> BTreeSet<DataCentreId> {
        let all = self.losses.keys();
        all.filter(|data_centre| self.is_outage_suspected(data_centre, now))
            .cloned()
            .collect()
    }

    /// Whether recent losses indicate an outage of the data centre.
    pub(crate) fn is_outage_suspected(&self, data_centre: &str, now: Instant) -> bool {
        let Some(losses) = self.losses.get(data_centre) else {
            return false;
        };
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SUSPICION_DURATION;
        let Some(last) = losses.values().filter(|at| is_recent(at)).max() else {
            return false;
        };
        let is_correlated =
            |at: &&Instant| last.saturating_duration_since(**at) < CORRELATION_WINDOW;
        losses.values().filter(is_correlated).count() >= CORRELATED_LOSSES_MIN
    }
}
