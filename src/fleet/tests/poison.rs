//! Tests of requests that crash runners and arrive in several copies at once.

use std::time::{Duration, Instant};

use crate::fleet::canary::{CANARY_DELAY, CANARY_DURATION};
use crate::fleet::poison::{
    QUARANTINE_DURATION, RequestCopy, RequestStatus, RunnerIncarnation, SuspectRequests,
};
use crate::id::Fingerprint;

const REQUEST: Fingerprint = 7;
const FIRST: RequestCopy = copy(1);
const SECOND: RequestCopy = copy(2);
const THIRD: RequestCopy = copy(3);

const fn copy(id: u64) -> RequestCopy {
    RequestCopy {
        fingerprint: REQUEST,
        id,
    }
}

fn runner(number: u64) -> RunnerIncarnation {
    (format!("r{number}"), number)
}

fn suspects_after(crash_count: u64, now: Instant) -> SuspectRequests {
    let mut suspects = SuspectRequests::default();
    for number in 0..crash_count {
        suspects.record_crash(REQUEST, runner(number), now);
    }
    suspects
}

#[test]
fn copies_of_a_request_without_crashes_may_start_together() {
    let now = Instant::now();
    let mut suspects = SuspectRequests::default();

    for copy in [FIRST, SECOND, THIRD] {
        assert_eq!(suspects.try_start(copy, now), Ok(()));
    }
}

/// Two runners have crashed while they ran the request. Of two more copies only
/// the first may start, as a canary run; the second waits. If both started, each
/// would crash another runner.
#[test]
fn after_a_crash_one_copy_starts_and_the_others_wait_for_its_outcome() {
    let now = Instant::now();
    let mut suspects = suspects_after(2, now);

    assert_eq!(suspects.try_start(FIRST, now), Ok(()));
    assert_eq!(suspects.try_start(SECOND, now), Err(CANARY_DURATION));
    suspects.record_crash(REQUEST, runner(9), now + CANARY_DURATION / 10);

    let later = now + CANARY_DURATION / 2;
    assert_eq!(suspects.try_start(SECOND, later), Err(CANARY_DURATION / 2));
    let status = suspects.status(REQUEST, now + CANARY_DURATION / 10 + QUARANTINE_DURATION);
    assert!(matches!(status, RequestStatus::Poison(_)), "{status:?}");
}

/// The announcement of an earlier crash arrives during the canary run that
/// follows it.
#[test]
fn a_crash_that_is_reported_late_does_not_end_the_canary_run() {
    let now = Instant::now();
    let mut suspects = suspects_after(1, now);
    assert_eq!(suspects.try_start(FIRST, now), Ok(()));

    suspects.record_crash(REQUEST, runner(8), now + CANARY_DURATION / 10);

    let later = now + CANARY_DURATION / 10;
    let remaining = CANARY_DURATION - CANARY_DURATION / 10;
    assert_eq!(suspects.try_start(SECOND, later), Err(remaining));
}

#[test]
fn after_a_canary_run_without_a_crash_all_copies_may_start() {
    let now = Instant::now();
    let mut suspects = suspects_after(1, now);
    assert_eq!(suspects.try_start(FIRST, now), Ok(()));

    let later = now + CANARY_DURATION + Duration::from_millis(1);

    assert_eq!(suspects.try_start(SECOND, later), Ok(()));
    assert_eq!(suspects.try_start(THIRD, later), Ok(()));
}

#[test]
fn a_copy_whose_canary_run_crashed_its_runner_may_restart_at_once() {
    let now = Instant::now();
    let mut suspects = suspects_after(1, now);
    assert_eq!(suspects.try_start(FIRST, now), Ok(()));

    suspects.record_crash(REQUEST, runner(8), now + CANARY_DURATION / 10);

    assert_eq!(
        suspects.try_start(FIRST, now + CANARY_DURATION / 10),
        Ok(())
    );
}

/// Three copies arrive at one node together, and the load bound alone would
/// send each to a different runner.
#[test]
fn copies_that_arrive_together_start_at_the_runner_of_the_first() {
    let now = Instant::now();
    let mut suspects = SuspectRequests::default();
    suspects.record_start(REQUEST, "r1", now);
    suspects.record_start(REQUEST, "r9", now + CANARY_DURATION / 3);

    assert_eq!(
        suspects
            .recent_start_runner(REQUEST, now + CANARY_DURATION / 2)
            .as_deref(),
        Some("r1")
    );
    assert_eq!(
        suspects.recent_start_runner(REQUEST, now + CANARY_DURATION),
        None
    );
}

/// Four copies at four nodes crash three runners at once, and only one of these
/// crashes is known so far.
#[test]
fn with_several_copies_the_first_canary_run_waits_for_crash_reports() {
    let now = Instant::now();
    let mut suspects = suspects_after(1, now);
    suspects.record_copy(FIRST);

    assert_eq!(suspects.try_start(SECOND, now), Err(CANARY_DELAY));
    assert_eq!(suspects.try_start(SECOND, now + CANARY_DELAY), Ok(()));
    assert_eq!(
        suspects.try_start(FIRST, now + CANARY_DELAY),
        Err(CANARY_DURATION)
    );
}
