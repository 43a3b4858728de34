//! Whether a call may have run, after sends that failed.

use crate::forward::attempt::AttemptFailure;
use crate::forward::send_history::SendHistory;
use crate::policy::failure_response::Progress;

fn history_of_failed_sends(failures: &[AttemptFailure]) -> SendHistory {
    let mut history = SendHistory::new();
    for failure in failures {
        history.begin().set();
        history.record_failure(failure);
    }
    history
}

fn broken_connection() -> AttemptFailure {
    AttemptFailure::MayHaveRun("reset".to_owned())
}

#[test]
fn a_call_in_flight_may_have_run() {
    let mut history = SendHistory::new();

    history.begin().set();

    assert_eq!(history.progress(), Progress::MayHaveRun);
}

#[test]
fn a_call_that_no_upstream_accepted_has_not_run() {
    let history = history_of_failed_sends(&[
        AttemptFailure::NotSent("refused"),
        AttemptFailure::Misdirected(None),
        AttemptFailure::NotExecuted,
    ]);

    assert_eq!(history.progress(), Progress::NotRun);
    assert_eq!((history.sent_count(), history.undelivered_count()), (2, 2));
}

/// A call that may be sent once is not refused because an entry led it to another upstream.
#[test]
fn a_misdirected_send_is_no_attempt() {
    let history = history_of_failed_sends(&[
        AttemptFailure::Misdirected(None),
        AttemptFailure::NotExecuted,
    ]);

    assert_eq!((history.sent_count(), history.attempt_count()), (2, 1));
}

#[test]
fn a_call_may_have_run_when_a_refusal_follows_a_broken_connection() {
    let history = history_of_failed_sends(&[broken_connection(), AttemptFailure::NotExecuted]);

    assert_eq!(history.progress(), Progress::MayHaveRun);
}

#[test]
fn a_call_whose_overlapping_sends_all_failed_to_leave_the_node_has_not_run() {
    let mut history = SendHistory::new();
    history.begin().set();
    history.begin().set();

    history.record_failure(&AttemptFailure::NotSent("timed out"));
    assert_eq!(history.progress(), Progress::MayHaveRun);
    history.record_failure(&AttemptFailure::NotSent("timed out"));

    assert_eq!(history.progress(), Progress::NotRun);
}

#[test]
fn a_call_may_have_run_while_an_earlier_send_goes_on() {
    let mut history = SendHistory::new();
    history.begin().set();
    history.begin().set();

    history.record_failure(&AttemptFailure::NotExecuted);

    assert_eq!(history.progress(), Progress::MayHaveRun);
}

#[test]
fn a_call_of_which_no_byte_has_left_has_not_run() {
    let mut history = SendHistory::new();
    let written = history.begin();

    assert_eq!(history.progress(), Progress::NotRun);
    written.set();

    assert_eq!(history.progress(), Progress::MayHaveRun);
}

#[test]
fn a_send_that_ended_unsent_does_not_hide_one_that_left() {
    let mut history = SendHistory::new();
    history.begin().set();
    let _waiting = history.begin();

    history.record_failure(&AttemptFailure::Silent);

    assert_eq!(history.progress(), Progress::MayHaveRun);
    assert_eq!((history.sent_count(), history.undelivered_count()), (1, 0));
}
