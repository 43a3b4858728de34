use std::time::{Duration, Instant};

use crate::policy::upstream_limit::{Grantor, PermitBucket, PermitDemand, Rate, UpstreamLimit};
use crate::simulation::permits::{CALL_INTERVAL as TICK, simulate_permits};

const WINDOW: Duration = Duration::from_secs(4);

fn rate(per_s: f64) -> Rate {
    Rate::from_per_second(per_s).expect("a number")
}

#[test]
fn the_limit_holds_over_any_number_of_nodes_and_is_used() {
    let ticks = 2_000;
    for node_count in [1, 7, 89, 390] {
        for limit in [0.5, 2.1, 30.0, 500.0] {
            let sent = simulate_permits(node_count, rate(limit), ticks).sent;

            let window_ticks = (WINDOW.as_millis() / TICK.as_millis()) as usize;
            let most = sent
                .windows(window_ticks)
                .map(|w| w.iter().sum::<usize>())
                .max();
            let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
            let what = format!("{node_count} nodes, {limit} a second, {most:?} in a window");
            assert!(most.expect("a window") as f64 <= allowed, "{what}");
            let all = sent.iter().sum::<usize>() as f64;
            let demand = node_count as f64 / TICK.as_secs_f64();
            let possible = demand.min(limit) * f64::from(ticks) * TICK.as_secs_f64();
            assert!(all >= 0.7 * possible - 2.0, "{what}: {all} of {possible}");
        }
    }
}

#[test]
fn a_coordinator_and_a_standby_together_stay_within_the_limit() {
    let start = Instant::now();
    let demand = PermitDemand {
        rate: rate(10.0),
        wanted_count: 1,
        refused_count: 0,
    };
    let mut granted = 0;
    for grantor in [Grantor::Coordinator, Grantor::Standby] {
        let mut bucket = PermitBucket::new(start);
        for tick in 1..=400 {
            granted += bucket.grant(demand, grantor, start + TICK * tick).count;
        }
    }

    assert!((45..=60).contains(&granted), "{granted} in four seconds");
}

#[test]
fn an_answer_without_a_limit_ends_it_only_for_requests_sent_after_it_was_known() {
    let start = Instant::now();
    let later = start + TICK;
    let mut limit = UpstreamLimit::default();

    limit.record_named(rate(0.0), later);
    assert!(!limit.record_unlimited(start, later + TICK), "overtaken");
    assert!(limit.is_limited(later + TICK));
    assert!(limit.record_unlimited(later + TICK, later + 2 * TICK));
    limit.record_named_by_peer(rate(0.0), later + 3 * TICK);
    assert!(
        !limit.is_limited(later + 3 * TICK),
        "a peer was told before"
    );

    let ended = later + 2 * WINDOW;
    limit.record_named_by_peer(rate(0.0), ended);
    assert!(limit.is_limited(ended));
    assert_eq!(limit.news(ended), None, "peers' news are not passed on");
    assert!(!limit.is_limited(ended + 2 * WINDOW), "not repeated");
    limit.record_named(rate(2.0), ended);
    assert_eq!(limit.news(ended + TICK), Some(rate(2.0)));
    assert_eq!(limit.news(ended + WINDOW), None, "no answer since");
}

#[test]
fn a_limit_beyond_what_nodes_would_send_is_not_enforced() {
    let mut huge = UpstreamLimit::default();

    huge.record_named(rate(1e300), Instant::now());

    assert!(!huge.is_limited(Instant::now()));
}
