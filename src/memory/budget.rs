//! The budget of bytes from which each process reserves whatever it holds for calls.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::policy::memory_shares::{
    Holding, MemoryShares, SMALL_RESERVATION_BYTES, choose_reclaimed,
};

/// Bytes of one permit of the semaphores, which count in 32 bits.
const UNIT_BYTES: usize = 1024;
/// Longest wait for a reservation. It exceeds the time after which a stalled body loses its
/// memory, so that a caller is served beside stalled ones.
const RESERVE_WAIT: Duration = Duration::from_secs(2);
/// Time between two searches for stalled bodies while a reservation waits.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(200);

type HoldingId = u64;

/// Bytes that are reserved until this is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    permit: OwnedSemaphorePermit,
}

impl Charge {
    /// Releases what exceeds `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.permit.num_permits().saturating_sub(units(bytes));
        drop(self.permit.split(surplus));
    }
}

/// The bytes that calls may hold. Each call reserves before it reads.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    shares: MemoryShares,
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    holders: Mutex<Holders>,
}

#[derive(Debug, Default)]
struct Holders {
    next_id: HoldingId,
    by_id: BTreeMap<HoldingId, Holder>,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    /// `None` while the holder waits for this node or an upstream, and not for its caller.
    progressed_at: Option<Instant>,
    reclaimed: CancellationToken,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is reserved.
    pub(crate) fn new(shares: MemoryShares) -> Arc<Self> {
        Arc::new(Self {
            shares,
            small: Arc::new(Semaphore::new(units(shares.small_bytes))),
            large: Arc::new(Semaphore::new(units(shares.large_bytes))),
            holders: Mutex::default(),
        })
    }

    /// Largest reservation that can succeed.
    pub(crate) fn reservation_max_bytes(&self) -> usize {
        self.shares.large_bytes
    }

    /// Bytes that can be reserved in all.
    pub(crate) fn budget_bytes(&self) -> usize {
        (units(self.shares.small_bytes) + units(self.shares.large_bytes)) * UNIT_BYTES
    }

    /// Bytes that are reserved at present.
    pub(crate) fn held_bytes(&self) -> usize {
        let free = self.small.available_permits() + self.large.available_permits();
        self.budget_bytes().saturating_sub(free * UNIT_BYTES)
    }

    /// Reserves `bytes` if they are free now.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Option<Charge> {
        let count = u32::try_from(units(bytes)).ok()?;
        let is_small = bytes <= SMALL_RESERVATION_BYTES;
        let small = is_small.then(|| self.small.clone().try_acquire_many_owned(count).ok());
        let permit = small
            .flatten()
            .or_else(|| self.large.clone().try_acquire_many_owned(count).ok())?;
        Some(Charge { permit })
    }

    /// Reserves `bytes`, and waits for them for a bounded time. Stalled bodies lose theirs
    /// meanwhile. Returns `None` if they are not free in time, or can never be.
    pub(crate) async fn reserve(&self, bytes: usize) -> Option<Charge> {
        if let Some(charge) = self.try_reserve(bytes) {
            return Some(charge);
        }
        if bytes > self.reservation_max_bytes() {
            return None;
        }
        let reserved = tokio::time::timeout(RESERVE_WAIT, self.reserve_in_turn(bytes)).await;
        reserved.unwrap_or(None)
    }

    async fn reserve_in_turn(&self, bytes: usize) -> Option<Charge> {
        let is_small = bytes <= SMALL_RESERVATION_BYTES;
        let share = if is_small { &self.small } else { &self.large };
        let count = u32::try_from(units(bytes)).ok()?;
        let acquired = share.clone().acquire_many_owned(count);
        tokio::pin!(acquired);
        loop {
            self.reclaim(bytes);
            tokio::select! {
                permit = &mut acquired => return Some(Charge { permit: permit.ok()? }),
                () = tokio::time::sleep(RECLAIM_INTERVAL) => {}
            }
        }
    }

    /// Takes memory from stalled holders until `bytes` become free.
    pub(crate) fn reclaim(&self, bytes: usize) {
        let mut holders = self.lock();
        let holdings = holders.by_id.iter().filter_map(|(id, holder)| {
            Some(Holding {
                id: *id,
                bytes: holder.bytes,
                progressed_at: holder.progressed_at?,
            })
        });
        for id in choose_reclaimed(holdings, bytes, Instant::now()) {
            if let Some(holder) = holders.by_id.remove(&id) {
                holder.reclaimed.cancel();
            }
        }
    }

    /// Registers a holder of memory, which may lose it while it makes no progress.
    pub(crate) fn register(self: &Arc<Self>, bytes: usize) -> Registration {
        let reclaimed = CancellationToken::new();
        let holder = Holder {
            bytes,
            progressed_at: Some(Instant::now()),
            reclaimed: reclaimed.clone(),
        };
        let mut holders = self.lock();
        let id = holders.next_id;
        holders.next_id += 1;
        holders.by_id.insert(id, holder);
        drop(holders);
        Registration {
            budget: self.clone(),
            id,
            reclaimed,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Holders> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The registration of one holder, until this is dropped.
#[derive(Debug)]
pub(crate) struct Registration {
    budget: Arc<MemoryBudget>,
    id: HoldingId,
    reclaimed: CancellationToken,
}

impl Registration {
    /// Records that bytes arrived or were taken, and how many the holder now holds.
    pub(crate) fn record_progress(&self, bytes: usize) {
        if let Some(holder) = self.budget.lock().by_id.get_mut(&self.id) {
            holder.bytes = bytes;
            holder.progressed_at = Some(Instant::now());
        }
    }

    /// Records that the holder waits for something other than its caller. It keeps its
    /// memory until it records progress and then stalls.
    pub(crate) fn record_own_wait(&self) {
        if let Some(holder) = self.budget.lock().by_id.get_mut(&self.id) {
            holder.progressed_at = None;
        }
    }

    /// Cancelled when the holder must release its memory.
    pub(crate) fn reclaimed(&self) -> &CancellationToken {
        &self.reclaimed
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.budget.lock().by_id.remove(&self.id);
    }
}

fn units(bytes: usize) -> usize {
    bytes.div_ceil(UNIT_BYTES).min(Semaphore::MAX_PERMITS)
}
