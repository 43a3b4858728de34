//! Tests of when an upstream is probed before a call is sent to it.

use std::time::Duration;

use crate::policy::send_probe::{SendConditions, answer_patience};

/// An upstream that was not heard for a while, at a node whose callers leave.
fn conditions() -> SendConditions {
    SendConditions {
        silence: Some(Duration::from_millis(800)),
        has_failed: false,
        counts_probes: false,
        time_since_departure: Some(Duration::from_secs(3)),
    }
}

#[test]
fn a_quiet_upstream_is_probed_where_callers_leave() {
    assert!(conditions().need_probe());
    let never_heard = SendConditions {
        silence: None,
        ..conditions()
    };
    assert!(never_heard.need_probe());
}

#[test]
fn an_upstream_is_not_probed_where_callers_stay() {
    for time_since_departure in [None, Some(Duration::from_secs(60))] {
        let conditions = SendConditions {
            time_since_departure,
            ..conditions()
        };
        assert!(!conditions.need_probe(), "{time_since_departure:?}");
    }
}

#[test]
fn an_upstream_that_failed_is_probed_wherever_callers_stay() {
    let conditions = SendConditions {
        has_failed: true,
        time_since_departure: None,
        ..conditions()
    };
    assert!(conditions.need_probe());
}

#[test]
fn an_upstream_that_was_heard_just_now_or_counts_probes_is_not_probed() {
    let heard = SendConditions {
        silence: Some(Duration::from_millis(5)),
        ..conditions()
    };
    let limited = SendConditions {
        counts_probes: true,
        has_failed: true,
        ..conditions()
    };
    assert!(!heard.need_probe());
    assert!(!limited.need_probe());
}

#[test]
fn the_patience_with_a_slow_upstream_grows_with_its_latency() {
    let slow = Duration::from_millis(300);

    assert!(answer_patience(slow) > slow);
    assert!(answer_patience(Duration::ZERO) > Duration::ZERO);
}
