//! A randomized soak of the real program: entry nodes as separate processes,
//! faults from outside, promises checked by what callers and upstreams see.
//!
//! A seed fixes the plan of faults. `SOAK_SEEDS=FIRST..LAST` plays a range by
//! hand, `SOAK_SECONDS` sets the length of each, and `SOAK_NODES` the number of
//! entry nodes, two at least.
//! `docs/SOAK.md` lists seeds that failed, with their causes.

#[path = "../support/outside/mod.rs"]
#[expect(dead_code, reason = "the soak uses its own part")]
mod outside;

mod callers;
mod faults;
mod node;
mod proxy;

use std::time::Duration;

use callers::Callers;
use faults::Faults;
use node::Fleet;

/// Seeds that CI plays; each one that ever failed joins them.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Length of a seed's faults in CI.
const CI_TIME: Duration = Duration::from_secs(8);
/// Entry nodes in CI.
const CI_NODES: usize = 3;
/// Time after the last fault in which all must be sound again: a node that was
/// told to stop ends its grace period first, and starts anew.
const CALM: Duration = Duration::from_secs(7);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_random_faults() {
    let time = number("SOAK_SECONDS").map_or(CI_TIME, Duration::from_secs);
    let node_count = number("SOAK_NODES").map_or(CI_NODES, |n| n as usize);
    for seed in seeds() {
        let broken = play(seed, node_count, time).await;
        assert!(broken.is_empty(), "seed {seed}:\n{}", broken.join("\n"));
    }
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (first, last) = range.split_once("..").expect("FIRST..LAST");
    (first.parse().expect("a number")..last.parse().expect("a number")).collect()
}

/// Plays one seed, and tells which promises were broken.
async fn play(seed: u64, node_count: usize, time: Duration) -> Vec<String> {
    let mut fleet = Fleet::start(seed, node_count).await;
    let callers = Callers::start(&fleet, seed);
    let mut faults = Faults::new(seed);
    let until = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < until {
        faults.step(&mut fleet).await;
    }
    faults.heal(&mut fleet).await;
    fleet.tend_for(CALM).await;
    faults.check_leaving_in_calm(&mut fleet).await;
    let mut broken = callers.check_recovery(&fleet).await;
    let summary = callers.stop(&fleet, &mut broken).await;
    broken.extend(faults.take_broken());
    println!(
        "seed {seed}: {summary}, faults {:?}, broken {}",
        faults.counts(),
        broken.len()
    );
    fleet.stop();
    broken
}
