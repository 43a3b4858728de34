use std::time::Duration;

use crate::policy::silence::{Phase, pause_before_loss, pause_before_probe};

/// Pause that callers of the users' streams allow.
const ALLOWED_PAUSE: Duration = Duration::from_millis(700);
/// Pause of a sound engine that reads a prompt beside a stream.
const READING_BESIDE: Duration = Duration::from_millis(205);
/// Time that a question and a resume take beside the judgement.
const QUESTION_AND_RESUME: Duration = Duration::from_millis(300);

#[test]
fn a_running_stream_is_judged_in_time_for_its_caller_and_not_for_a_prompt_beside_it() {
    let pause = pause_before_probe(Phase::Running, false);

    assert!(pause > READING_BESIDE);
    assert!(pause + QUESTION_AND_RESUME < ALLOWED_PAUSE);
}

#[test]
fn a_prompt_that_is_read_is_not_asked_after_sooner_than_a_running_stream() {
    let reading = pause_before_probe(Phase::Reading, false);

    assert!(reading > pause_before_probe(Phase::Running, false));
    assert!(pause_before_loss(Phase::Reading) > Duration::from_millis(4_500));
}

#[test]
fn a_loss_elsewhere_makes_every_stream_look_sooner() {
    for phase in [Phase::Reading, Phase::Running] {
        assert!(pause_before_probe(phase, true) < pause_before_probe(phase, false));
    }
}
