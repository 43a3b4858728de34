use std::time::{Duration, Instant};

use crate::policy::spend::{Allowance, Spending};

fn allowance() -> Allowance {
    Allowance {
        ratio: 0.8,
        slack: 150.0,
        window: Duration::from_secs(10),
    }
}

/// Replays an outage in which every call is wanted again without end, at a
/// fleet of `nodes`, and gives the most that was spent in any window.
fn most_in_a_window(nodes: usize, calls_per_s: u32) -> (u32, u32) {
    let allowance = allowance();
    let start = Instant::now();
    let mut fleet: Vec<Spending> = (0..nodes).map(|_| Spending::default()).collect();
    let mut spent = Vec::new();
    for tick in 0..300_u64 {
        let now = start + Duration::from_millis(tick * 100);
        for spending in &mut fleet {
            for _ in 0..calls_per_s / 10 {
                spending.call(&allowance, now);
            }
            let mut here = 0;
            while spending.spend(&allowance, nodes, now) {
                here += 1;
            }
            spent.push((tick, here));
        }
    }
    let window = |from: u64| {
        let inside = spent.iter().filter(|(t, _)| (from..from + 100).contains(t));
        inside.map(|(_, count)| count).sum::<u32>()
    };
    let most = (0..200).map(window).max().unwrap_or(0);
    let bound = (nodes as u32 * calls_per_s * 10) * 8 / 10 + 150;
    (most, bound)
}

#[test]
fn all_nodes_together_keep_the_bound_in_every_window() {
    for (nodes, calls_per_s) in [(1, 40), (7, 10), (89, 10), (89, 0)] {
        let (most, bound) = most_in_a_window(nodes, calls_per_s);

        assert!(most <= bound, "{nodes} nodes: {most} of {bound}");
    }
}

#[test]
fn a_lost_data_centre_s_streams_can_all_go_on() {
    let allowance = allowance();
    let now = Instant::now();
    let mut spending = Spending::default();
    for second in 0..10 {
        spending.call(&allowance, now - Duration::from_secs(second));
    }

    let resumed = (0..6)
        .filter(|_| spending.spend(&allowance, 7, now))
        .count();

    assert_eq!(resumed, 6);
}
