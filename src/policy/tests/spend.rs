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

/// Replays a second in which all losses fall on one node of eighty-nine: the
/// others spend for it, and the sum keeps the bound.
#[test]
fn a_node_whose_streams_are_all_lost_is_helped_by_the_others_within_the_bound() {
    let allowance = allowance();
    let now = Instant::now();
    let nodes = 89;
    let mut fleet: Vec<Spending> = (0..nodes).map(|_| Spending::default()).collect();
    for spending in &mut fleet {
        for _ in 0..5 {
            spending.call(&allowance, now);
        }
    }

    let mut own = 0;
    while fleet[0].spend(&allowance, nodes, now) {
        own += 1;
    }
    let mut lent = 0;
    for lender in &mut fleet[1..] {
        while lender.lend(&allowance, nodes, now) {
            lent += 1;
        }
        assert!(
            lender.spend(&allowance, nodes, now),
            "it keeps some for itself"
        );
    }

    assert!(lent > 20 * own, "{lent} lent, {own} own");
    let bound = f64::from(nodes as u32 * 5) * 0.8 + 150.0;
    assert!(f64::from(own + lent) + 88.0 <= bound);
}
