//! When a data centre counts as being lost.
//!
//! Answers this load: most engines of a data centre die within milliseconds,
//! and with them the copies that they keep for runs elsewhere. Each node sees
//! but a few of the losses; together they show which engines to ask, and where
//! to send nothing for the moment.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::forward::upstream::UpstreamId;
use crate::id::DataCentreId;

/// Upstreams that are lost together when a data centre is.
const TOGETHER_MIN: usize = 2;
/// Time in which losses count as happening together.
const TOGETHER: Duration = Duration::from_millis(600);
/// How long a data centre is taken for lost after the last such loss.
const LASTS: Duration = Duration::from_millis(900);

/// Recent losses, by data centre.
#[derive(Debug, Default)]
pub(crate) struct Alarms {
    losses: BTreeMap<DataCentreId, BTreeMap<UpstreamId, Instant>>,
}

impl Alarms {
    /// Notes a loss; true when it was not known.
    pub(crate) fn lost(
        &mut self,
        data_centre: &DataCentreId,
        upstream: &UpstreamId,
        now: Instant,
    ) -> bool {
        let losses = self.losses.entry(data_centre.clone()).or_default();
        losses.retain(|_, at| now.saturating_duration_since(*at) < LASTS);
        losses.insert(upstream.clone(), now).is_none()
    }

    /// Whether a data centre is taken for lost.
    pub(crate) fn is_alarmed(&self, data_centre: &str, now: Instant) -> bool {
        let Some(losses) = self.losses.get(data_centre) else {
            return false;
        };
        let recent = |at: &Instant| now.saturating_duration_since(*at) < LASTS;
        let Some(last) = losses.values().filter(|at| recent(at)).max() else {
            return false;
        };
        let together = |at: &&Instant| last.saturating_duration_since(**at) < TOGETHER;
        losses.values().filter(together).count() >= TOGETHER_MIN
    }
}
