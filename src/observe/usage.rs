//! Processor time and memory of this process, as the kernel counts them.

use std::time::Duration;

/// Clock ticks in a second of `/proc` accounting on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page.
const PAGE_BYTES: u64 = 4096;

/// What this process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// Processor time, user and system.
    pub(crate) cpu: Duration,
    /// Memory in use.
    pub(crate) memory_bytes: u64,
}

impl Usage {
    /// Reads the accounting of this process.
    pub(crate) fn now() -> Self {
        let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
        // The second field may hold spaces, and ends in the last bracket.
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let field = |position: usize| -> f64 {
            let value = fields.split_whitespace().nth(position);
            value.and_then(|v| v.parse().ok()).unwrap_or(0.0)
        };
        let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages: u64 = statm
            .split_whitespace()
            .nth(1)
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        Self {
            cpu: Duration::from_secs_f64((field(11) + field(12)) / TICKS_PER_S),
            memory_bytes: pages * PAGE_BYTES,
        }
    }
}
