use std::time::{Duration, Instant};

use crate::policy::upstream_rest::UpstreamRest;

const REST: Duration = Duration::from_secs(3);
const MOMENT: Duration = Duration::from_millis(10);

fn asked_at(start: Instant) -> UpstreamRest {
    let mut rest = UpstreamRest::default();
    rest.record_asked(REST, start);
    rest
}

#[test]
fn no_call_is_sent_within_a_rest_and_one_is_sent_as_a_trial_after_it() {
    let start = Instant::now();
    let mut rest = asked_at(start);
    let end = start + REST;

    assert!(!rest.begin_call(end - MOMENT));
    assert_eq!(rest.wait(end - MOMENT), Some(MOMENT));
    assert!(rest.begin_call(end), "the trial");
    assert!(!rest.begin_call(end + MOMENT), "a second call beside it");
    rest.record_answered(end);
    assert!(rest.begin_call(end + 2 * MOMENT) && rest.begin_call(end + 2 * MOMENT));
}

#[test]
fn a_trial_without_an_answer_makes_room_for_another_one() {
    let start = Instant::now();
    let mut rest = asked_at(start);
    let trial_at = start + REST;

    assert!(rest.begin_call(trial_at));
    assert!(!rest.begin_call(trial_at + Duration::from_millis(900)));
    assert!(rest.begin_call(trial_at + Duration::from_millis(1_100)));
}

#[test]
fn of_two_rests_the_later_end_counts_in_any_order() {
    let start = Instant::now();
    for rests in [[REST, MOMENT], [MOMENT, REST]] {
        let mut rest = UpstreamRest::default();
        for asked in rests {
            rest.record_asked(asked, start);
        }
        assert!(rest.is_resting(start + REST - MOMENT), "{rests:?}");
        assert!(!rest.is_resting(start + REST), "{rests:?}");
    }
}

#[test]
fn an_answer_to_an_earlier_request_neither_ends_a_rest_nor_its_trial() {
    let start = Instant::now();
    let mut rest = asked_at(start);
    let end = start + REST;

    rest.record_answered(start + MOMENT);
    assert!(rest.is_resting(end - MOMENT));
    assert!(rest.begin_call(end));
    rest.record_answered(end - MOMENT);
    assert!(!rest.begin_call(end + MOMENT), "the trial goes on");
}

#[test]
fn a_trial_that_is_turned_away_begins_a_new_rest() {
    let start = Instant::now();
    let mut rest = asked_at(start);
    let trial_at = start + REST;

    assert!(rest.begin_call(trial_at));
    rest.record_asked(REST, trial_at + MOMENT);
    assert!(!rest.begin_call(trial_at + REST));
    assert!(rest.begin_call(trial_at + MOMENT + REST));
}
