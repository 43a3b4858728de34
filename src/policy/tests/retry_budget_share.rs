use std::time::{Duration, Instant};

use crate::policy::retry_budget_share::{RetryBudgetShare, RetryLimits};

fn limits() -> RetryLimits {
    RetryLimits {
        ratio: 0.8,
        slack: 150.0,
        window: Duration::from_secs(10),
    }
}

/// The share of a node that has run for longer than a window.
fn settled_share(index: usize, nodes: usize, now: Instant) -> RetryBudgetShare {
    let node_started_at = now - limits().window * 2;
    RetryBudgetShare::new(node_started_at, index as f64 / nodes as f64)
}

fn cluster(nodes: usize, now: Instant) -> Vec<RetryBudgetShare> {
    (0..nodes).map(|n| settled_share(n, nodes, now)).collect()
}

/// Simulates an outage in which all `nodes` retry as often as their shares allow.
/// Returns the most retries in any window, and the bound for them.
fn most_retries_in_a_window(nodes: usize, calls_per_s: u32) -> (u32, u32) {
    let limits = limits();
    let start = Instant::now();
    let mut cluster = cluster(nodes, start);
    let mut retries = Vec::new();
    for tick in 0..300_u64 {
        let now = start + Duration::from_millis(tick * 100);
        for share in &mut cluster {
            for _ in 0..calls_per_s / 10 {
                share.record_call(&limits, now);
            }
            let mut node_retries = 0;
            while share.try_spend(&limits, nodes, now) {
                node_retries += 1;
            }
            retries.push((tick, node_retries));
        }
    }
    let in_window = |from: u64| {
        let inside = retries
            .iter()
            .filter(|(t, _)| (from..from + 100).contains(t));
        inside.map(|(_, count)| count).sum::<u32>()
    };
    let most = (0..200).map(in_window).max().unwrap_or(0);
    let bound = (nodes as u32 * calls_per_s * 10) * 8 / 10 + 150;
    (most, bound)
}

#[test]
fn all_nodes_together_stay_within_the_limits_in_every_window() {
    for (nodes, calls_per_s) in [(1, 40), (7, 10), (89, 10), (89, 0)] {
        let (most, bound) = most_retries_in_a_window(nodes, calls_per_s);

        assert!(
            most <= bound,
            "{nodes} nodes sent {most} retries in a window, limit {bound}"
        );
    }
}

#[test]
fn all_streams_of_a_lost_data_centre_can_resume() {
    let limits = limits();
    let now = Instant::now();
    let mut share = settled_share(0, 7, now);
    for second in 0..10 {
        share.record_call(&limits, now - Duration::from_secs(second));
    }

    let resumed = (0..6).filter(|_| share.try_spend(&limits, 7, now)).count();

    assert_eq!(resumed, 6);
}

/// Within a second, one node of eighty-nine loses streams and no other does, and
/// all others spend their shares for it. The limit holds, and no more than the
/// safety margin stays unused.
#[test]
fn a_node_that_has_all_losses_can_use_the_shares_of_the_others_up_to_the_limit() {
    let limits = limits();
    let now = Instant::now();
    let nodes = 89;
    let mut cluster = cluster(nodes, now);
    for share in &mut cluster {
        for _ in 0..5 {
            share.record_call(&limits, now);
        }
    }

    let mut spent = 0;
    for share in &mut cluster {
        while share.try_spend(&limits, nodes, now) {
            spent += 1;
        }
    }

    let bound = f64::from(nodes as u32 * 5) * 0.8 + 150.0;
    assert!(f64::from(spent) <= bound, "{spent} retries, limit {bound}");
    assert!(
        f64::from(spent) >= bound * 0.95,
        "only {spent} retries, limit {bound}"
    );
}

/// Retries are counted in buckets of a tenth of a window. A retry sent late in a
/// bucket must count for a whole window after it was sent, not after its bucket
/// began.
#[test]
fn a_retry_counts_for_the_whole_window() {
    let limits = limits();
    let start = Instant::now();
    let mut share = settled_share(0, 1, start);
    let late = start + Duration::from_millis(950);
    share.record_call(&limits, start);
    let at_first = (0..500)
        .filter(|_| share.try_spend(&limits, 1, late))
        .count();

    let before_its_end = late + limits.window - Duration::from_millis(20);
    let again = (0..500)
        .filter(|_| share.try_spend(&limits, 1, before_its_end))
        .count();

    assert!(at_first > 140, "{at_first} retries");
    assert_eq!(again, 0);
}

/// All nodes restart, after which their shares no longer count the retries that
/// they sent before. Then all their streams are lost at once.
#[test]
fn restarted_nodes_get_their_slack_gradually() {
    let limits = limits();
    let now = Instant::now();
    let nodes = 7;
    let spent_at = |uptime: Duration| -> usize {
        let restarted = (0..nodes).map(|n| RetryBudgetShare::new(now, n as f64 / nodes as f64));
        let retries = |mut share: RetryBudgetShare| {
            (0..500)
                .filter(|_| share.try_spend(&limits, nodes, now + uptime))
                .count()
        };
        restarted.map(retries).sum()
    };

    assert!(spent_at(Duration::ZERO) <= 15);
    assert!(spent_at(limits.window / 2) <= 75);
    assert!(spent_at(limits.window) >= 140);
}

/// Guards against streams that end for want of a retry while upstreams received fewer than the
/// budget allows, because nodes spent theirs on upstreams that they could not connect to.
#[test]
fn retries_that_were_not_sent_are_left_for_others() {
    let now = Instant::now();
    let mut share = settled_share(0, 1, now);
    let spend_all = |share: &mut RetryBudgetShare| {
        let mut spent = 0;
        while share.try_spend(&limits(), 1, now) {
            spent += 1;
        }
        spent
    };
    let allowed = spend_all(&mut share);

    (0..allowed).for_each(|_| share.take_back());
    share.take_back();

    assert_eq!(spend_all(&mut share), allowed);
}
