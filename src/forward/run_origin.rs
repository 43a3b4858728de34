//! Where runs began, which decides at which upstreams they may go on.
//!
//! Upstreams of several software versions may serve one service side by side.
//! What they write does not fit together, and they don't check it: a run that has
//! brought its caller an event may go on only at the version that began it. A
//! caller may request the rest through any node, so nodes keep the origins of
//! recent runs and exchange them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::upstream::{SoftwareVersion, Upstream};
use crate::hash::Fnv;
use crate::id::{ServiceId, UpstreamId};

/// Hash of the id of the call that brought the first event of a run. Callers that
/// request the rest of a stream name that call.
pub(crate) type RunKey = u64;

/// How long an origin is kept. Callers return within the time-out of their
/// stream's route, which is below half of this.
pub(crate) const ORIGIN_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of origins that a node keeps.
pub(crate) const ORIGINS_MAX: usize = 16_384;

/// Returns the key of the run whose first event the call with this id brought.
pub(crate) fn run_key(call_id: &[u8]) -> RunKey {
    Fnv::new().bytes(call_id).finish()
}

/// The upstream that sent the first event of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RunOrigin {
    pub(crate) service: ServiceId,
    /// Version of the upstream's software; `None` if unknown.
    pub(crate) software_version: Option<SoftwareVersion>,
    pub(crate) upstream: UpstreamId,
    /// Start of the upstream's incarnation, in Unix milliseconds; zero if unknown.
    pub(crate) born_unix_ms: u64,
}

impl RunOrigin {
    /// The origin of a run that begins at `upstream`.
    pub(crate) fn at(upstream: &Upstream) -> Self {
        Self {
            service: upstream.entry.service.clone(),
            software_version: upstream.software_version().cloned(),
            upstream: upstream.entry.id.clone(),
            born_unix_ms: upstream.entry.born_unix_ms,
        }
    }

    /// Whether the run may go on at `upstream`. An unknown version equals no
    /// other, so it admits only the incarnation at which the run began.
    pub(crate) fn admits(&self, upstream: &Upstream) -> bool {
        match (&self.software_version, upstream.software_version()) {
            (Some(began), Some(version)) => began == version,
            _ => {
                self.upstream == upstream.entry.id
                    && self.born_unix_ms == upstream.entry.born_unix_ms
            }
        }
    }
}

/// Result of a search for the origin of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OriginSearch {
    Found(RunOrigin),
    /// All records were read, and none is of this run. The versions that have served
    /// its service lately are empty if they are not known.
    Absent(BTreeSet<SoftwareVersion>),
    /// The records could not be read, or only some of them.
    Unknown,
}

/// The origins of recent runs: of those that this node relayed, and of those that
/// other nodes stored here.
#[derive(Debug, Default)]
pub(crate) struct RunOrigins {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    origins: BTreeMap<RunKey, (RunOrigin, Instant)>,
    /// The keys in the order in which they were recorded.
    keys: VecDeque<RunKey>,
}

impl Table {
    fn remove_oldest(&mut self) {
        if let Some(key) = self.keys.pop_front() {
            self.origins.remove(&key);
        }
    }

    fn is_oldest_expired(&self, now: Instant) -> bool {
        let oldest = self.keys.front().and_then(|key| self.origins.get(key));
        oldest.is_some_and(|(_, at)| !is_kept(*at, now))
    }
}

impl RunOrigins {
    /// Records where a run began. A run has one origin, so the first record of a
    /// key stays. The oldest records make room for new ones.
    pub(crate) fn record(&self, key: RunKey, origin: RunOrigin, now: Instant) {
        let mut table = self.lock();
        while table.is_oldest_expired(now) {
            table.remove_oldest();
        }
        if table.origins.contains_key(&key) {
            return;
        }
        if table.origins.len() >= ORIGINS_MAX {
            table.remove_oldest();
        }
        table.keys.push_back(key);
        table.origins.insert(key, (origin, now));
    }

    /// The origin of a run, if it was recorded recently.
    pub(crate) fn get(&self, key: RunKey, now: Instant) -> Option<RunOrigin> {
        let table = self.lock();
        let (origin, at) = table.origins.get(&key)?;
        is_kept(*at, now).then(|| origin.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_kept(recorded_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(recorded_at) < ORIGIN_LIFETIME
}
