use std::time::Duration;

use crate::error::{ErrorKind, Execution};
use crate::policy::refusal::{GivenUp, Missing, Progress, error_kind, retry_after};

const ALL: [GivenUp; 3] = [
    GivenUp::NoUpstream,
    GivenUp::TimeOver,
    GivenUp::UpstreamsFailed,
];

#[test]
fn a_call_that_may_have_run_is_never_said_not_to_have_run() {
    for given_up in ALL {
        let answer = error_kind(given_up, Progress::MayHaveRun).answer();

        assert_ne!(answer.execution, Execution::NotRun, "{given_up:?}");
        assert!(![408, 421, 429, 503].contains(&answer.status.as_u16()));
    }
}

#[test]
fn a_call_that_did_not_run_is_said_so() {
    for given_up in ALL {
        assert_eq!(
            error_kind(given_up, Progress::NotRun),
            ErrorKind::NoUpstream
        );
    }
}

/// Replays forty callers that are refused together.
#[test]
fn returns_are_spread_and_fit_into_the_caller_s_time() {
    let left = Duration::from_millis(1_500);
    let mut returns: Vec<Duration> = (0..40)
        .map(|n| retry_after(Missing::Upstreams, left, f64::from(n) / 40.0))
        .collect();
    returns.sort();

    assert!(returns.iter().all(|after| *after <= left / 3));
    assert!(returns[39] - returns[0] >= Duration::from_millis(250));
    let none_left = retry_after(Missing::Upstreams, Duration::ZERO, 0.5);
    assert_eq!(none_left, Duration::ZERO);
}

/// Replays the start of all nodes a second before the store is back: callers
/// of streams allow 4.5 s until the first event, of which the prompt takes one.
#[test]
fn callers_of_a_fleet_without_configuration_come_back_when_it_has_one_and_in_time() {
    let outage = Duration::from_millis(1_100);
    let patience = Duration::from_secs(25);
    let latest_in_time = Duration::from_millis(4_500 - 1_100);
    let returns: Vec<Duration> = (0..40)
        .map(|n| retry_after(Missing::Configuration, patience, f64::from(n) / 40.0))
        .collect();

    let too_soon = returns.iter().filter(|after| **after < outage).count();

    assert!(too_soon <= returns.len() / 10, "{too_soon} of 40");
    assert!(returns.iter().all(|after| *after < latest_in_time));
    let impatient = Duration::from_millis(600);
    let draws = (0..40).map(|n| f64::from(n) / 40.0);
    let mut soon = draws.map(|draw| retry_after(Missing::Configuration, impatient, draw));
    assert!(soon.all(|after| after <= impatient / 3));
}
