use std::time::Duration;

use crate::error::{ErrorKind, Execution};
use crate::policy::failure_response::{
    GiveUpReason, Progress, Unavailable, error_kind, retry_after,
};

const REASONS: [GiveUpReason; 3] = [
    GiveUpReason::NoUpstream,
    GiveUpReason::TimeOver,
    GiveUpReason::UpstreamsFailed,
];

#[test]
fn a_call_that_may_have_run_is_never_reported_as_not_run() {
    for reason in REASONS {
        let answer = error_kind(reason, Progress::MayHaveRun).answer();

        assert_ne!(answer.execution, Execution::NotRun, "{reason:?}");
        assert!(![408, 421, 429, 503].contains(&answer.status.as_u16()));
    }
}

#[test]
fn a_call_that_did_not_run_is_reported_as_not_run() {
    for reason in REASONS {
        assert_eq!(error_kind(reason, Progress::NotRun), ErrorKind::NoUpstream);
    }
}

/// Forty callers are refused at the same time.
#[test]
fn retries_are_spread_and_fit_into_the_caller_s_remaining_time() {
    let time_left = Duration::from_millis(1_500);
    let mut delays: Vec<Duration> = (0..40)
        .map(|n| retry_after(Unavailable::Upstreams, time_left, f64::from(n) / 40.0))
        .collect();
    delays.sort();

    assert!(delays.iter().all(|delay| *delay <= time_left / 3));
    assert!(delays[39] - delays[0] >= Duration::from_millis(250));
    let without_time = retry_after(Unavailable::Upstreams, Duration::ZERO, 0.5);
    assert_eq!(without_time, Duration::ZERO);
}

/// All nodes start about a second before the store is reachable again.
/// Callers of streams wait up to 4.5 s for the first event, and prefill takes a
/// second of that.
#[test]
fn callers_of_nodes_without_configuration_retry_after_it_arrived_and_in_time() {
    let store_outage = Duration::from_millis(1_100);
    let time_left = Duration::from_secs(25);
    let latest_retry = Duration::from_millis(4_500 - 1_100);
    let delays: Vec<Duration> = (0..40)
        .map(|n| retry_after(Unavailable::Configuration, time_left, f64::from(n) / 40.0))
        .collect();

    let too_early = delays.iter().filter(|delay| **delay < store_outage).count();

    assert!(
        too_early <= delays.len() / 10,
        "{too_early} of 40 retries come before the configuration"
    );
    assert!(delays.iter().all(|delay| *delay < latest_retry));
    let short_time = Duration::from_millis(600);
    let draws = (0..40).map(|n| f64::from(n) / 40.0);
    let mut short_delays =
        draws.map(|draw| retry_after(Unavailable::Configuration, short_time, draw));
    assert!(short_delays.all(|delay| delay <= short_time / 3));
}
