//! Which software versions left a service a short time ago.
//!
//! A stream whose origin is unknown may have begun at any version that served
//! while the stream lasted, upstreams that have left since included.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::upstream::{SoftwareVersion, Upstream};
use crate::id::ServiceId;

/// How long a version that left is remembered: longer than a stream lasts.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(60);

/// The versions of the upstreams that left each service, with the last departure
/// of each. An unknown version is `None`.
#[derive(Debug, Default)]
pub(crate) struct VersionHistory {
    departures: BTreeMap<ServiceId, BTreeMap<Option<SoftwareVersion>, Instant>>,
}

impl VersionHistory {
    /// Records that an upstream left its service.
    pub(crate) fn record_departure(&mut self, upstream: &Upstream, now: Instant) {
        let service = upstream.entry.service.clone();
        let versions = self.departures.entry(service).or_default();
        versions.retain(|_, at| is_recent(*at, now));
        versions.insert(upstream.software_version().cloned(), now);
    }

    /// Whether no upstream of another version than `version` left the service
    /// recently.
    pub(crate) fn has_only(&self, service: &str, version: &SoftwareVersion, now: Instant) -> bool {
        let departures = self.departures.get(service).into_iter().flatten();
        departures
            .filter(|(_, at)| is_recent(**at, now))
            .all(|(departed, _)| departed.as_ref() == Some(version))
    }

    /// The known versions that left recently, each with its service.
    pub(crate) fn departed(&self, now: Instant) -> impl Iterator<Item = (&str, &str)> {
        self.departures.iter().flat_map(move |(service, versions)| {
            let recent = versions.iter().filter(move |(_, at)| is_recent(**at, now));
            recent.filter_map(|(version, _)| Some((service.as_str(), version.as_deref()?)))
        })
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < DEPARTURE_LIFETIME
}
