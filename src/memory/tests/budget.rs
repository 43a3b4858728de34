//! Reservations under pressure.

use std::sync::Arc;
use std::time::Duration;

use super::super::budget::{Charge, MemoryBudget};
use crate::policy::memory_shares::MemoryShares;

const LARGE_BYTES: usize = 1_024 * 1_024;
const SMALL_BYTES: usize = 8 * 1_024;

fn budget() -> Arc<MemoryBudget> {
    MemoryBudget::new(MemoryShares {
        small_bytes: LARGE_BYTES,
        large_bytes: 4 * LARGE_BYTES,
    })
}

fn fill_large(budget: &MemoryBudget) -> Vec<Charge> {
    std::iter::from_fn(|| budget.try_reserve(LARGE_BYTES)).collect()
}

// Guards against large bodies that leave nothing for ordinary calls.
#[tokio::test]
async fn large_reservations_leave_a_share_for_small_ones() {
    let budget = budget();
    let held = fill_large(&budget);

    assert_eq!(held.len(), 4);
    assert!(budget.try_reserve(SMALL_BYTES).is_some());
}

// Guards against a budget that shrinks with each call.
#[tokio::test]
async fn what_is_dropped_can_be_reserved_again() {
    let budget = budget();
    let mut held = fill_large(&budget);
    held[0].shrink_to(LARGE_BYTES / 2);
    assert_eq!(budget.held_bytes(), 7 * LARGE_BYTES / 2);

    drop(held);

    assert_eq!(budget.held_bytes(), 0);
    assert!(budget.try_reserve(4 * LARGE_BYTES).is_some());
}

// Guards against waits without end and against stalled bodies that keep others out.
#[tokio::test]
async fn a_reservation_waits_for_a_bounded_time() {
    let budget = budget();
    let _held = fill_large(&budget);
    let waiting = budget.reserve(LARGE_BYTES);

    let reserved = tokio::time::timeout(Duration::from_secs(60), waiting).await;

    assert!(matches!(reserved, Ok(None)));
}

#[tokio::test]
async fn a_stalled_holder_loses_its_memory_to_a_reservation() {
    let budget = budget();
    let mut held = fill_large(&budget);
    let stalled = held.pop();
    let registration = budget.register(LARGE_BYTES);
    let reclaimed = registration.reclaimed().clone();
    let holder = tokio::spawn(async move {
        reclaimed.cancelled().await;
        drop((stalled, registration));
    });

    let reserved = budget.reserve(LARGE_BYTES).await;

    assert!(reserved.is_some());
    holder.await.expect("no panic");
}
