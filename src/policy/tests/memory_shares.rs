//! Crowds of bodies that stop short of their ends.

use std::time::{Duration, Instant};

use super::super::memory_shares::{Holding, MemoryShares, choose_reclaimed, next_capacity};

const MEGABYTE: usize = 1_000_000;

fn holding(id: u64, bytes: usize, stall: Duration, now: Instant) -> Holding {
    Holding {
        id,
        bytes,
        progressed_at: now - stall,
    }
}

// Guards against a budget that leaves no room for what else the process needs.
#[test]
fn the_shares_are_a_third_of_the_memory() {
    let shares = MemoryShares::of_process(Some(108));

    assert_eq!(shares.small_bytes, 9 * MEGABYTE);
    assert_eq!(shares.large_bytes, 27 * MEGABYTE);
}

// Guards against slow but moving uploads that lose their memory to others.
#[test]
fn a_body_that_moves_keeps_its_memory() {
    let now = Instant::now() + Duration::from_secs(60);
    let holdings = [
        holding(1, 4 * MEGABYTE, Duration::from_millis(900), now),
        holding(2, MEGABYTE, Duration::from_secs(5), now),
    ];

    let chosen = choose_reclaimed(holdings.into_iter(), 20 * MEGABYTE, now);

    assert_eq!(chosen, [2]);
}

// Guards against reclaiming from more bodies than needed.
#[test]
fn the_largest_and_longest_stalled_bodies_lose_their_memory_first() {
    let now = Instant::now() + Duration::from_secs(60);
    let holdings = [
        holding(1, MEGABYTE, Duration::from_secs(2), now),
        holding(2, 4 * MEGABYTE, Duration::from_secs(2), now),
        holding(3, 4 * MEGABYTE, Duration::from_secs(9), now),
        holding(4, MEGABYTE, Duration::from_secs(10), now),
    ];

    let chosen = choose_reclaimed(holdings.into_iter(), 5 * MEGABYTE, now);

    assert_eq!(chosen, [3, 4]);
}

// Guards against a capacity beyond the limit of a body, and against one byte at a time.
#[test]
fn capacities_grow_by_a_quarter_up_to_the_limit() {
    assert_eq!(next_capacity(16_384, 16_385, 4 * MEGABYTE), 32_768);
    assert_eq!(
        next_capacity(MEGABYTE, MEGABYTE + 1, 4 * MEGABYTE),
        1_250_000
    );
    assert_eq!(
        next_capacity(3_900_000, 3_900_001, 4 * MEGABYTE),
        4 * MEGABYTE
    );
}
