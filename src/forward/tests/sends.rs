//! What is known of a call after its sends.

use crate::forward::send::SendOutcome;
use crate::forward::sends::Sends;
use crate::policy::failure_response::Progress;

fn sends_that_ended(outcomes: &[SendOutcome]) -> Sends {
    let mut sends = Sends::none();
    for outcome in outcomes {
        sends.begin();
        sends.end(outcome);
    }
    sends
}

fn broke() -> SendOutcome {
    SendOutcome::MayHaveRun("reset".to_owned())
}

#[test]
fn a_call_in_flight_may_run() {
    let mut sends = Sends::none();

    sends.begin();

    assert_eq!(sends.progress(), Progress::MayHaveRun);
}

#[test]
fn refused_sends_leave_a_call_not_run() {
    let sends = sends_that_ended(&[
        SendOutcome::NotSent("refused"),
        SendOutcome::Misdirected(None),
        SendOutcome::NotExecuted,
    ]);

    assert_eq!(sends.progress(), Progress::NotRun);
    assert_eq!((sends.sent_count(), sends.unsent_count()), (2, 2));
}

#[test]
fn a_refusal_after_a_broken_send_does_not_make_the_call_not_run() {
    let sends = sends_that_ended(&[broke(), SendOutcome::NotExecuted]);

    assert_eq!(sends.progress(), Progress::MayHaveRun);
}
