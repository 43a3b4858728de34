//! Copies of one request that reach several nodes at once.

use std::time::{Duration, Instant};

use crate::fleet::poison::{
    Fingerprint, QUARANTINE, RequestCopy, RequestHealth, RunnerLife, Suspects,
};
use crate::fleet::trial::{SETTLE, TRIAL};

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

fn life(number: u64) -> RunnerLife {
    (format!("r{number}"), number)
}

fn suspects_after(crashes: u64, now: Instant) -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..crashes {
        suspects.note_crash(REQUEST, life(number), now);
    }
    suspects
}

#[test]
fn copies_of_a_request_that_crashed_nothing_begin_together() {
    let now = Instant::now();
    let mut suspects = Suspects::default();

    for copy in [FIRST, SECOND, THIRD] {
        assert_eq!(suspects.begin(copy, now), Ok(()));
    }
}

/// Four copies reach two runners before the first crash is known; the next
/// two would each take down another.
#[test]
fn after_a_crash_one_copy_begins_and_the_others_learn_from_it() {
    let now = Instant::now();
    let mut suspects = suspects_after(2, now);

    assert_eq!(suspects.begin(FIRST, now), Ok(()));
    assert_eq!(suspects.begin(SECOND, now), Err(TRIAL));
    suspects.note_crash(REQUEST, life(9), now + TRIAL / 10);

    let later = now + TRIAL / 2;
    assert_eq!(suspects.begin(SECOND, later), Err(TRIAL / 2));
    let health = suspects.health(REQUEST, now + TRIAL / 10 + QUARANTINE);
    assert!(matches!(health, RequestHealth::Poison(_)), "{health:?}");
}

/// News of the crash before comes in while the second run is on trial.
#[test]
fn a_crash_that_is_told_late_ends_no_trial() {
    let now = Instant::now();
    let mut suspects = suspects_after(1, now);
    assert_eq!(suspects.begin(FIRST, now), Ok(()));

    suspects.note_crash(REQUEST, life(8), now + TRIAL / 10);

    let waited = now + TRIAL / 10;
    let rest = TRIAL - TRIAL / 10;
    assert_eq!(suspects.begin(SECOND, waited), Err(rest));
}

#[test]
fn a_trial_that_ends_well_lets_all_copies_begin() {
    let now = Instant::now();
    let mut suspects = suspects_after(1, now);
    assert_eq!(suspects.begin(FIRST, now), Ok(()));

    let later = now + TRIAL + Duration::from_millis(1);

    assert_eq!(suspects.begin(SECOND, later), Ok(()));
    assert_eq!(suspects.begin(THIRD, later), Ok(()));
}

#[test]
fn a_copy_that_loses_its_trial_runner_goes_on_at_once() {
    let now = Instant::now();
    let mut suspects = suspects_after(1, now);
    assert_eq!(suspects.begin(FIRST, now), Ok(()));

    suspects.note_crash(REQUEST, life(8), now + TRIAL / 10);

    assert_eq!(suspects.begin(FIRST, now + TRIAL / 10), Ok(()));
}

/// Three copies at one node, of which the load bound sends each elsewhere.
#[test]
fn copies_that_arrive_together_join_the_first_at_its_runner() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.note_begun(REQUEST, "r1", now);
    suspects.note_begun(REQUEST, "r9", now + TRIAL / 3);

    assert_eq!(
        suspects.begun_at(REQUEST, now + TRIAL / 2).as_deref(),
        Some("r1")
    );
    assert_eq!(suspects.begun_at(REQUEST, now + TRIAL), None);
}

/// Four copies at four nodes took three runners at once; the first crash that
/// is known is one of them.
#[test]
fn where_several_copies_are_about_the_first_trial_waits_for_their_news() {
    let now = Instant::now();
    let mut suspects = suspects_after(1, now);
    suspects.note_copy(FIRST);

    assert_eq!(suspects.begin(SECOND, now), Err(SETTLE));
    assert_eq!(suspects.begin(SECOND, now + SETTLE), Ok(()));
    assert_eq!(suspects.begin(FIRST, now + SETTLE), Err(TRIAL));
}
