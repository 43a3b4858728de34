//! The start that an engine last reported, and for how long that tells which incarnation
//! runs at its address.
//!
//! All connections of a process end with it. While the one that brought the report is open,
//! the incarnation that sent it runs.

use std::time::{Duration, Instant};

use super::connection::ConnectionLife;

/// Time for which a report shows the incarnation. If a host is lost, the end of its
/// connections is seen by keep-alive probes only.
const PROOF_TTL: Duration = Duration::from_secs(3);

/// The start of an engine's incarnation, by its report.
#[derive(Clone, Debug)]
pub(crate) struct ReportedStart {
    born_unix_ms: u64,
    life: ConnectionLife,
    reported_at: Instant,
}

impl ReportedStart {
    /// Creates a record of a report that a connection brought at `reported_at`.
    pub(crate) fn new(born_unix_ms: u64, life: ConnectionLife, reported_at: Instant) -> Self {
        Self {
            born_unix_ms,
            life,
            reported_at,
        }
    }

    /// Start of the incarnation in Unix milliseconds, if it still runs; zero if the report
    /// does not state it.
    pub(crate) fn get(&self, now: Instant) -> Option<u64> {
        let age = now.saturating_duration_since(self.reported_at);
        (age < PROOF_TTL && self.life.is_open()).then_some(self.born_unix_ms)
    }
}
