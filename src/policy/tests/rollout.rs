//! Rollouts of good and bad versions, replayed without a network.

use std::time::{Duration, Instant};

use super::rollout_scene::{BOUNDS, Behaviour, Counts, DURATION_MS, Fault, SLOW, Scene, Sent};
use crate::forward::rollouts::Rollouts;
use crate::policy::rollout::{Grant, NodeRollout, Rollout, RolloutState, SendContext, Stage};
use crate::policy::rollout_evidence::{Evidence, Outcome, Side};

/// The time of a usual answer: 20 to 60 ms, and sometimes longer.
fn usual(sent: &Sent) -> Outcome {
    let tail = if sent.draw > 0.95 { 3.0 } else { 1.0 };
    Outcome::Answered(Duration::from_secs_f64((0.02 + 0.04 * sent.draw) * tail))
}

fn fails(sent: &Sent, share: f64) -> Outcome {
    let fraction = (sent.draw * 7_919.0).fract();
    if sent.side == Side::Target && fraction < share {
        return Outcome::Failed;
    }
    usual(sent)
}

fn good(sent: &Sent) -> Outcome {
    // Both versions fail now and then.
    if (sent.draw * 6_007.0).fract() < 0.005 {
        return Outcome::Failed;
    }
    usual(sent)
}

fn bad_at_once(sent: &Sent) -> Outcome {
    fails(sent, 0.3)
}

fn bad_later(sent: &Sent) -> Outcome {
    fails(sent, if sent.at_ms > 7_000 { 0.4 } else { 0.0 })
}

fn bad_under_load(sent: &Sent) -> Outcome {
    fails(sent, if sent.is_concentrated { 0.5 } else { 0.0 })
}

fn bad_on_one_route(sent: &Sent) -> Outcome {
    let is_bad = sent.route == "disburse";
    fails(sent, if is_bad { 0.6 } else { 0.0 })
}

fn slow(sent: &Sent) -> Outcome {
    match (sent.side, usual(sent)) {
        (Side::Target, Outcome::Answered(time)) => Outcome::Answered((time * 4).max(SLOW)),
        (_, outcome) => outcome,
    }
}

/// Time from one decision of an owner to the report that brings it to a node.
const DECISION_MS: u64 = 400;

fn scene(behaviour: Behaviour, faults: &[Fault]) -> Scene {
    Scene {
        node_count: 6,
        calls_per_s: 200,
        duration_ms: DURATION_MS,
        registered_at_ms: 0,
        behaviour,
        faults: faults.to_vec(),
    }
}

fn run(behaviour: Behaviour, faults: &[Fault]) -> Counts {
    scene(behaviour, faults).run()
}

fn assert_completed(counts: &Counts) {
    assert_eq!(counts.state, Some(RolloutState::Completed), "{counts:?}");
    let settled_at_ms = counts.settled_at_ms;
    assert!(
        settled_at_ms.is_some_and(|at| at <= DURATION_MS),
        "{counts:?}"
    );
    counts.assert_exposure_bound();
}

fn assert_reverted(counts: &Counts) {
    assert_eq!(counts.state, Some(RolloutState::Reverted), "{counts:?}");
    counts.assert_exposure_bound();
    counts.assert_rollback_bound();
}

/// Guards against the opposite error: a good version is rolled back.
#[test]
fn a_good_version_is_completed_by_its_deadline() {
    assert_completed(&run(good, &[]));
}

#[test]
fn bad_versions_are_reverted_within_both_bounds() {
    let versions: [(&str, Behaviour); 5] = [
        ("at once", bad_at_once),
        ("later", bad_later),
        ("under load", bad_under_load),
        ("on one route", bad_on_one_route),
        ("slow", slow),
    ];
    for (name, behaviour) in versions {
        for calls_per_s in [200, 1_000] {
            let scene = Scene {
                calls_per_s,
                ..scene(behaviour, &[])
            };

            let counts = scene.run();

            let (sends, bad) = (counts.target_sends, counts.bad);
            println!("{name} at {calls_per_s}/s: {sends} sends, {bad} bad");
            assert_reverted(&counts);
        }
    }
}

/// Guards against a version that is accepted because nothing is known against it.
#[test]
fn a_version_with_few_answers_is_reverted() {
    let mut scene = scene(good, &[]);
    scene.calls_per_s = 1;

    assert_reverted(&scene.run());
}

/// Guards against a share that adds up to more than the bound over many nodes.
#[test]
fn the_exposure_bound_holds_over_many_nodes_and_in_the_hand_over() {
    for (node_count, calls_per_s) in [(1, 50), (59, 400), (390, 4_000)] {
        let scene = Scene {
            node_count,
            calls_per_s,
            ..scene(good, &[])
        };

        let counts = scene.run();

        assert_completed(&counts);
    }
}

/// Guards against a credit that is below one call at each of many nodes, so that the target
/// gets no call and a good version is reverted.
#[test]
fn a_good_version_with_few_calls_at_each_node_is_completed() {
    for (node_count, calls_per_s) in [(6, 8), (59, 15), (59, 40), (390, 60), (390, 500)] {
        let scene = Scene {
            node_count,
            calls_per_s,
            ..scene(good, &[])
        };

        let counts = scene.run();

        let (sends, state) = (counts.target_sends, counts.state);
        println!("{node_count} nodes, {calls_per_s}/s: {sends} sends, {state:?}");
        assert_completed(&counts);
    }
}

/// Guards against a share that is too small for the time that is left once the target has
/// upstreams, and against one that takes a bad version for good.
#[test]
fn a_target_that_registers_late_is_judged_by_enough_answers() {
    for (calls_per_s, registered_at_ms) in [(10, 6_000), (50, 9_000), (200, 10_500), (500, 10_900)]
    {
        let late = |behaviour| Scene {
            calls_per_s,
            registered_at_ms,
            ..scene(behaviour, &[])
        };

        let (good, bad) = (late(good).run(), late(bad_at_once).run());

        let (sends, state) = (good.target_sends, good.state);
        println!("{calls_per_s}/s from {registered_at_ms} ms: {sends} sends, {state:?}");
        assert_completed(&good);
        assert_reverted(&bad);
    }
}

/// Guards against a version that is accepted without a ramp, since the store was away or
/// both owners were gone during it.
#[test]
fn a_version_is_tried_under_load_after_an_outage_in_the_ramp() {
    let killed = [Fault::Killed(0, 6_000), Fault::Killed(1, 6_700)];
    let away = |from_ms| [Fault::StoreAway(from_ms, from_ms + 4_500)];
    for faults in [killed.as_slice(), &away(4_500), &away(6_000)] {
        for calls_per_s in [100, 500] {
            let of = |behaviour| Scene {
                calls_per_s,
                ..scene(behaviour, faults)
            };

            assert_completed(&of(good).run());
            assert_reverted(&of(bad_under_load).run());
        }
    }
}

/// Guards against a ramp that ends before the answers in it reach the owners.
#[test]
fn a_version_is_not_accepted_by_a_ramp_of_an_instant() {
    let away = [Fault::StoreAway(3_000, 7_500)];
    for calls_per_s in [100, 200, 300, 500] {
        let scene = Scene {
            calls_per_s,
            duration_ms: 8_000,
            ..scene(bad_under_load, &away)
        };

        assert_reverted(&scene.run());
    }
}

/// Guards against a canary that spends the credit of the ramp in a service with few calls.
#[test]
fn a_version_with_few_calls_is_tried_under_load() {
    for calls_per_s in [10, 15, 20, 30] {
        let of = |behaviour| Scene {
            calls_per_s,
            ..scene(behaviour, &[])
        };

        let (good, bad) = (of(good).run(), of(bad_under_load).run());

        println!(
            "{calls_per_s}/s: {} and {}",
            good.target_sends, bad.target_sends
        );
        assert_completed(&good);
        assert_reverted(&bad);
    }
}

/// Guards against a target that gets calls without an owner, and against an outcome that
/// nobody writes.
#[test]
fn the_owner_may_be_killed_at_each_step() {
    for killed_at_ms in [0, 50, 400, 3_000, 7_500, 9_500, 11_200, 11_600, 11_700] {
        let faults = [Fault::Killed(0, killed_at_ms)];

        let good = run(good, &faults);
        let bad = run(bad_later, &faults);

        println!("killed at {killed_at_ms} ms");
        assert_completed(&good);
        assert_reverted(&bad);
    }
}

#[test]
fn owner_and_standby_may_be_killed_together() {
    let faults = [Fault::Killed(0, 7_100), Fault::Killed(1, 7_100)];

    assert_reverted(&run(bad_later, &faults));
}

/// Guards against a second owner that writes over the outcome of the first, or decides by
/// what it alone has seen.
#[test]
fn two_owners_write_one_outcome() {
    for index in 0..2 {
        let faults = [Fault::Apart(index, 2_000, 20_000)];

        assert_completed(&run(good, &faults));
        assert_reverted(&run(bad_later, &faults));
    }
}

/// Guards against an owner that decides by the few answers which it alone has seen.
#[test]
fn an_owner_apart_from_the_others_does_not_decide_by_its_own_answers() {
    let scene = Scene {
        calls_per_s: 30,
        ..scene(good, &[Fault::Apart(0, 0, 20_000)])
    };

    assert_completed(&scene.run());
}

/// Guards against grants that go on although the store can't tell of a rollback.
#[test]
fn a_store_that_is_away_stops_the_calls_to_the_target() {
    let (away_ms, back_ms) = (3_000, 9_000);

    let good = run(good, &[Fault::StoreAway(away_ms, back_ms)]);
    let bad = run(bad_later, &[Fault::StoreAway(6_000, 16_000)]);

    let stop_ms = BOUNDS.knowledge_max_age() + BOUNDS.grant_lifetime();
    let stopped_by_ms = away_ms + stop_ms.as_millis() as u64 + DECISION_MS;
    assert!(!good.has_sent(None, stopped_by_ms, back_ms), "{good:?}");
    assert!(good.has_sent(None, back_ms, DURATION_MS), "{good:?}");
    assert_completed(&good);
    assert_reverted(&bad);
}

/// Guards against a version that is accepted after an outage of the store, although it turned
/// bad when it got no calls any more.
#[test]
fn a_version_is_not_accepted_by_evidence_from_before_a_long_outage() {
    for away_ms in [4_000, 5_000, 6_000] {
        assert_reverted(&run(bad_later, &[Fault::StoreAway(away_ms, 16_000)]));
    }
}

/// Guards against a grant that outlives the connection to its owner.
#[test]
fn a_grant_expires() {
    let now = Instant::now();
    let rollout = Rollout {
        service: "pay".to_owned(),
        target: "v2".to_owned(),
        duration: Duration::from_millis(DURATION_MS),
        state: RolloutState::InProgress,
    };
    let mut node = NodeRollout::new(rollout, Duration::ZERO, &BOUNDS, 1, 0.0, now);
    let grant = Grant {
        stage: Stage::Canary,
        share: 1.0,
    };
    node.set_grant(Some(grant), now, &BOUNDS);
    for is_pinned in [false, true] {
        let send = SendContext {
            draw: 0.0,
            is_pinned,
            is_retry: false,
            target_count: 2,
        };
        let target = "v2".to_owned();
        let admits = |at| node.admission(&send, at).admits(Some(&target), true);
        let expires_at = now + BOUNDS.grant_lifetime();

        assert!(admits(expires_at - Duration::from_millis(1)));
        assert!(!admits(expires_at));
    }
}

/// Guards against a node that holds on to an old share.
#[test]
fn a_node_apart_from_the_others_sends_nothing_to_the_target() {
    for behaviour in [good, bad_at_once, bad_later] {
        let counts = run(behaviour, &[Fault::Apart(5, 1_000, 20_000)]);

        counts.assert_exposure_bound();
        let stopped_by_ms = 1_000 + BOUNDS.grant_lifetime().as_millis() as u64;
        assert!(!counts.has_sent(Some(5), stopped_by_ms, DURATION_MS));
    }
}

/// Guards against a verdict about the target for what the whole service suffers.
#[test]
fn failures_of_both_versions_are_no_alarm() {
    let mut evidence = Evidence::default();
    for number in 0..1_000 {
        let side = if number % 20 == 0 {
            Side::Target
        } else {
            Side::Old
        };
        let is_bad = number % 3 == 0;
        let time = Duration::from_millis(if number % 7 == 0 { 900 } else { 30 });
        let outcome = if is_bad {
            Outcome::Failed
        } else {
            Outcome::Answered(time)
        };
        evidence.record("balance", side, outcome);
    }

    assert_eq!(evidence.alarm(), None);
}

/// Guards against a version that is taken for good because only its streams are slow.
#[test]
fn long_gaps_between_events_are_an_alarm() {
    let mut evidence = Evidence::default();
    for number in 0..200 {
        let side = if number % 10 == 0 {
            Side::Target
        } else {
            Side::Old
        };
        let gap = Duration::from_millis(if side == Side::Target { 160 } else { 40 });
        evidence.record("chat", side, Outcome::Answered(Duration::from_millis(200)));
        evidence.record_gap("chat", side, gap);
    }

    assert!(
        evidence
            .alarm()
            .is_some_and(|cause| cause.contains("streams"))
    );
}

/// Guards against failures on a small route that vanish in the sum over all routes.
#[test]
fn a_route_that_fails_is_an_alarm_whatever_the_sum_is() {
    let mut evidence = Evidence::default();
    let mut record = |route, side, count: u32, failure_count: u32| {
        for number in 0..count {
            let time = Duration::from_millis(30);
            let is_bad = number < failure_count;
            let outcome = if is_bad {
                Outcome::Failed
            } else {
                Outcome::Answered(time)
            };
            evidence.record(route, side, outcome);
        }
    };
    record("balance", Side::Old, 10_000, 1_000);
    record("disburse", Side::Old, 400, 0);
    record("balance", Side::Target, 200, 20);
    record("disburse", Side::Target, 8, 8);

    assert!(
        evidence
            .alarm()
            .is_some_and(|cause| cause.contains("disburse"))
    );
}

fn request_of(target: &str, state: RolloutState) -> Rollout {
    Rollout {
        service: "pay".to_owned(),
        target: target.to_owned(),
        duration: Duration::from_millis(DURATION_MS),
        state,
    }
}

/// Guards against calls to a reverted version, whose upstreams still drain, as soon as the
/// operator requests another one.
#[test]
fn a_reverted_version_stays_denied_when_another_one_is_requested() {
    let now = Instant::now();
    let rollouts = Rollouts::new(Some(BOUNDS));
    let requests = [
        request_of("v2", RolloutState::Reverted),
        request_of("v3", RolloutState::Requested),
        request_of("v3", RolloutState::Reverted),
        request_of("v4", RolloutState::InProgress),
        request_of("v4", RolloutState::Completed),
    ];
    for request in &requests {
        rollouts.apply(request, Duration::ZERO, 1, now);
        for (draw, is_pinned, target_count) in [(0.9, false, 0), (0.0, false, 2), (0.0, true, 2)] {
            let send = SendContext {
                draw,
                is_pinned,
                is_retry: false,
                target_count,
            };
            let admission = rollouts.with("pay", |rollout| {
                let grant = Grant {
                    stage: Stage::Canary,
                    share: 0.5,
                };
                rollout.set_grant(Some(grant), now, &BOUNDS);
                rollout.admission(&send, now)
            });
            let admission = admission.expect("the service has a rollout");

            let version = "v2".to_owned();
            let otherwise = admission.otherwise();
            for admission in [Some(admission), otherwise].into_iter().flatten() {
                let admits = admission.admits(Some(&version), true);
                assert!(!admits, "{request:?} {send:?} {admission:?}");
            }
        }
    }
}
