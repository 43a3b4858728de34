//! Divides the memory that a process may hold for its calls, and decides which bodies
//! lose theirs when it is needed for others.
//!
//! Callers that are not controlled may send many large bodies at once and stop just short
//! of their ends. Without a budget the process ends when its memory is exhausted, and with
//! one that a few stalled bodies fill, it serves nobody.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Memory of a process whose settings name none.
const MEMORY_DEFAULT_MB: u64 = 256;
const BYTES_PER_MB: u64 = 1_000_000;
/// The budget is this part of the process's memory. The rest is for connection buffers,
/// what the node knows of its cluster, and memory that the allocator does not return.
const BUDGET_DIVISOR: u64 = 3;
/// The part of the budget that large bodies can't take.
const SMALL_SHARE_DIVISOR: u64 = 4;
/// The messages of peers may take this part of the process's memory beside the budget.
const PEER_MESSAGES_DIVISOR: u64 = 16;
/// Two of the largest messages of peers always fit.
const PEER_MESSAGES_LARGE_MIN_BYTES: usize = 2 * PEER_MESSAGE_MAX_BYTES;
/// Largest message of a peer: 1 MiB, the size of the largest object that the platform
/// stores, and the fields of the message around the object.
pub(crate) const PEER_MESSAGE_MAX_BYTES: usize = 1024 * 1024 + 4096;
/// Largest reservation that may take the share for small ones.
pub(crate) const SMALL_RESERVATION_BYTES: usize = 64 * 1024;
/// First capacity of a body whose length is not announced.
pub(crate) const FIRST_CAPACITY_BYTES: usize = 16 * 1024;
/// Time without a byte after which a body may lose its memory. Bodies over slow links have
/// shorter pauses.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Memory of a process in bytes, as its settings name it in megabytes.
pub(crate) fn memory_bytes(memory_mb: Option<u64>) -> u64 {
    memory_mb
        .unwrap_or(MEMORY_DEFAULT_MB)
        .saturating_mul(BYTES_PER_MB)
}

/// Sizes of the two shares of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryShares {
    /// For reservations of up to [`SMALL_RESERVATION_BYTES`] alone.
    pub(crate) small_bytes: usize,
    /// For all reservations.
    pub(crate) large_bytes: usize,
}

impl MemoryShares {
    /// Shares of a process with this much memory.
    pub(crate) fn of_process(memory_mb: Option<u64>) -> Self {
        Self::of_part(memory_mb, BUDGET_DIVISOR)
    }

    /// Shares of the messages that a process with this much memory holds for its peers.
    pub(crate) fn of_peer_messages(memory_mb: Option<u64>) -> Self {
        let shares = Self::of_part(memory_mb, PEER_MESSAGES_DIVISOR);
        Self {
            large_bytes: shares.large_bytes.max(PEER_MESSAGES_LARGE_MIN_BYTES),
            ..shares
        }
    }

    fn of_part(memory_mb: Option<u64>, divisor: u64) -> Self {
        let budget = memory_bytes(memory_mb) / divisor;
        let budget = usize::try_from(budget).unwrap_or(usize::MAX);
        let small_bytes = budget / SMALL_SHARE_DIVISOR as usize;
        Self {
            small_bytes,
            large_bytes: budget - small_bytes,
        }
    }
}

/// Next capacity of a body that has outgrown its own: a quarter more, so that a body of
/// small chunks is copied a few times only and wastes little.
pub(crate) fn next_capacity(capacity: usize, needed: usize, max: usize) -> usize {
    let step = (capacity / 4).max(FIRST_CAPACITY_BYTES);
    (capacity + step).max(needed).min(max.max(needed))
}

/// What one body or answer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holding {
    pub(crate) id: u64,
    pub(crate) bytes: usize,
    /// Time at which bytes last arrived or were taken.
    pub(crate) progressed_at: Instant,
}

impl Holding {
    /// Time since the last progress, if the holding has stalled.
    fn stall(&self, now: Instant) -> Option<Duration> {
        let stall = now.saturating_duration_since(self.progressed_at);
        (stall >= STALL_TIME).then_some(stall)
    }
}

/// Chooses the holdings that lose their memory so that `needed` bytes become free. Only
/// those without progress are chosen, first those with the highest product of size and
/// time without progress.
pub(crate) fn choose_reclaimed(
    holdings: impl Iterator<Item = Holding>,
    needed: usize,
    now: Instant,
) -> Vec<u64> {
    let mut stalled: Vec<(u128, Holding)> = holdings
        .filter_map(|held| Some((held.stall(now)?.as_millis() * held.bytes as u128, held)))
        .collect();
    stalled.sort_by_key(|(weight, held)| (Reverse(*weight), held.id));
    let mut freed = 0;
    let mut chosen = Vec::new();
    for (_, held) in stalled {
        if freed >= needed {
            break;
        }
        freed += held.bytes;
        chosen.push(held.id);
    }
    chosen
}
