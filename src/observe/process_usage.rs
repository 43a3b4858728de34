//! Processor time and memory of this process, read from `/proc`.

use std::time::Duration;

/// Unit of processor time in `/proc` on Linux, as ticks per second.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page.
const PAGE_BYTES: u64 = 4096;

/// Processor time and memory that this process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ProcessUsage {
    /// User and system time since the process started.
    pub(crate) cpu: Duration,
    /// Resident memory.
    pub(crate) memory_bytes: u64,
}

impl ProcessUsage {
    /// Reads the present usage. A value that cannot be read is zero.
    pub(crate) fn now() -> Self {
        let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
        // The second field, the program's name in brackets, may contain spaces
        // and brackets, so fields are counted from the last closing bracket.
        // Counted from zero after it, fields 11 and 12 (14 and 15 in proc(5)) are
        // the user and the system time in ticks.
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
