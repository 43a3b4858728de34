//! Tests of when an attempt wakes to check a silent stream.

use std::time::{Duration, Instant};

use crate::configuration::config::CallerPolicy;
use crate::generation::attempt::{Loss, StandbyState};
use crate::generation::runner_probe::ProbeResult;
use crate::generation::silence::SilenceDetector;

fn policy(give_up_after: Duration) -> CallerPolicy {
    CallerPolicy {
        priority: 0,
        max_wait: Duration::from_secs(60),
        prepare_after: None,
        give_up_after,
    }
}

/// The first token may take 60 s at a runner that answers probes.
#[test]
fn an_attempt_does_not_wake_without_pause_during_a_probe_after_55_s_of_silence() {
    let opened_at = Instant::now();
    let mut silence = SilenceDetector::new(policy(Duration::from_secs(2)), opened_at);
    let now = opened_at + Duration::from_secs(55);
    let probed_at = now - Duration::from_secs(1);
    silence.apply_probe_result(ProbeResult::Alive, StandbyState::Forbidden, probed_at);
    assert!(silence.is_probe_due(now));

    silence.probe_started();

    let wake_at = silence.wake_at(StandbyState::Forbidden);
    assert!(wake_at.is_none_or(|at| at > now), "{wake_at:?}");
}

#[test]
fn an_attempt_wakes_for_a_standby_that_is_due_during_a_probe() {
    let opened_at = Instant::now();
    let standby_policy = CallerPolicy {
        prepare_after: Some(Duration::from_millis(1500)),
        ..policy(Duration::from_secs(2))
    };
    let mut silence = SilenceDetector::new(standby_policy, opened_at);
    let token_at = opened_at + Duration::from_millis(10);
    silence.token_received(token_at);

    silence.probe_started();

    let standby_at = token_at + Duration::from_millis(1500);
    assert_eq!(silence.wake_at(StandbyState::Allowed), Some(standby_at));
    assert_eq!(silence.wake_at(StandbyState::Forbidden), None);
}

#[test]
fn a_standstill_of_two_seconds_is_a_loss_only_beside_a_standby() {
    let opened_at = Instant::now();
    let mut silence = SilenceDetector::new(policy(Duration::from_millis(600)), opened_at);
    let mut loss_after = |standby, after_ms| {
        let now = opened_at + Duration::from_millis(after_ms);
        silence.apply_probe_result(ProbeResult::Unresponsive, standby, now)
    };

    assert_eq!(loss_after(StandbyState::Open, 599), None);
    assert_eq!(loss_after(StandbyState::Open, 600), Some(Loss::Silence));
    assert_eq!(loss_after(StandbyState::Allowed, 2_000), None);
    assert_eq!(
        loss_after(StandbyState::Allowed, 3_000),
        Some(Loss::Silence)
    );
}
