//! When a node counts as cut from the upstreams of a service.

use crate::policy::upstream_reach::{ProbeRound, ReachChange, UpstreamReach};

const NONE_REACHED: ProbeRound = ProbeRound {
    tried_count: 4,
    reached_count: 0,
};
const ONE_REACHED: ProbeRound = ProbeRound {
    tried_count: 1,
    reached_count: 1,
};

#[test]
fn one_upstream_that_is_down_raises_no_suspicion() {
    let mut reach = UpstreamReach::default();

    reach.record_failure(&"a".to_owned());
    reach.record_failure(&"a".to_owned());

    assert!(!reach.is_suspected(3));
    assert!(reach.is_suspected(1));
}

#[test]
fn failures_alone_do_not_count_as_a_cut() {
    let mut reach = UpstreamReach::default();
    reach.record_failure(&"a".to_owned());
    reach.record_failure(&"b".to_owned());
    assert!(reach.is_suspected(3));

    let change = reach.record_round(ONE_REACHED);

    assert_eq!(change, None);
    assert!(!reach.is_cut() && !reach.is_suspected(3));
}

#[test]
fn a_node_whose_links_flap_stays_cut() {
    let mut reach = UpstreamReach::default();
    assert_eq!(reach.record_round(NONE_REACHED), Some(ReachChange::Cut));

    let changes = [ONE_REACHED, NONE_REACHED, ONE_REACHED].map(|round| reach.record_round(round));

    assert_eq!(changes, [None; 3]);
    assert_eq!(reach.record_round(ONE_REACHED), Some(ReachChange::Returned));
}
