use std::time::Duration;

use crate::error::{ErrorKind, Execution};
use crate::policy::refusal::{GivenUp, Progress, error_kind, retry_after};

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
        .map(|n| retry_after(left, f64::from(n) / 40.0))
        .collect();
    returns.sort();

    assert!(returns.iter().all(|after| *after <= left / 3));
    assert!(returns[39] - returns[0] >= Duration::from_millis(250));
    assert_eq!(retry_after(Duration::ZERO, 0.5), Duration::ZERO);
}
