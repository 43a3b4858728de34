//! Rollouts of a new software version of a service by a few nodes, against a stand-in for
//! the store.

#[path = "../support/mod.rs"]
mod support;

mod scene;
mod streams;

use std::sync::atomic::Ordering;
use std::time::Duration;

use scene::{DURATION, NEWS_TIME, NODE_COUNT, RUNNING, Scene, request_rollout_of};
use support::edge_environment::load::served_share;

/// Time after which nothing is granted without the store: 0.7 of 5 s, and one round of
/// reports.
const STOP_TIME: Duration = Duration::from_millis(4_000);
/// Answer time at which each node has at least three calls in flight.
const OVERLAPPING_ANSWER_TIME: Duration = Duration::from_millis(60);

/// Guards against a rollout that does not end, or that callers notice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_good_version_is_completed_within_the_exposure_bound() {
    let _running = RUNNING.lock().await;
    let scene = Scene::start(&["rollout"]).await;
    scene.stop_old_when_completed();

    scene.request_rollout();
    let answers = scene.call_for(&scene.callers, DURATION).await;

    assert_eq!(scene.state(), "completed v2");
    scene.assert_exposure_bound();
    let share = served_share(&answers);
    assert!(share > 0.97, "{share} of the calls were served");
    let (old, _) = scene.received();
    let answers = scene.call_for(&scene.callers, Duration::from_secs(1)).await;
    assert_eq!(scene.received().0, old, "calls reach the old version");
    assert!(served_share(&answers) > 0.99);
}

/// Guards against a bad version that keeps its calls, or is accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bad_version_is_reverted_within_both_bounds() {
    let _running = RUNNING.lock().await;
    let scene = Scene::start(&["rollout"]).await;
    for service in &scene.new {
        service.failure_percent.store(30, Ordering::Relaxed);
    }

    scene.request_rollout();
    scene.call_for(&scene.callers, DURATION).await;

    assert_eq!(scene.state(), "reverted v2");
    scene.assert_exposure_bound();
    let (_, new) = scene.received();
    scene.call_for(&scene.callers, Duration::from_secs(1)).await;
    assert_eq!(scene.received().1, new, "calls reach the reverted version");
}

/// Guards against a version that turns bad late, after half of the time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_turns_bad_is_reverted() {
    let _running = RUNNING.lock().await;
    let scene = Scene::start(&["rollout"]).await;

    scene.request_rollout();
    scene.call_for(&scene.callers, DURATION / 2).await;
    for service in &scene.new {
        service.failure_percent.store(50, Ordering::Relaxed);
    }
    scene.call_for(&scene.callers, DURATION / 2).await;

    assert_eq!(scene.state(), "reverted v2");
    scene.assert_exposure_bound();
}

/// Guards against an owner whose loss stops the rollout or loses its evidence. Each node is
/// killed in turn, so that one of them is the owner and one the standby.
async fn replay_with_killed_node(failure_percent: u32) -> Vec<String> {
    let mut states = Vec::new();
    for killed in 0..NODE_COUNT {
        let mut scene = Scene::start(&["rollout"]).await;
        for service in &scene.new {
            let percent = &service.failure_percent;
            percent.store(failure_percent, Ordering::Relaxed);
        }

        scene.request_rollout();
        scene
            .call_for(&scene.callers, Duration::from_millis(600))
            .await;
        drop(scene.nodes[killed].take());
        let mut callers = scene.callers.clone();
        callers.remove(killed);
        scene
            .call_for(&callers, DURATION - Duration::from_millis(600))
            .await;

        scene.assert_exposure_bound();
        states.push(scene.state());
    }
    states
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_good_version_is_completed_after_a_node_was_killed() {
    let _running = RUNNING.lock().await;

    let states = replay_with_killed_node(0).await;

    assert_eq!(states, ["completed v2"; 3]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bad_version_is_reverted_after_a_node_was_killed() {
    let _running = RUNNING.lock().await;

    let states = replay_with_killed_node(20).await;

    assert_eq!(states, ["reverted v2"; 3]);
}

/// Guards against a rule for versions where nobody asked for one. Answers take long enough
/// that each node has several calls in flight: with one at a time, a node keeps to the
/// upstream that was quickest, and chance decides whether all three nodes keep to one version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn versions_share_the_calls_if_no_rollout_is_requested() {
    let _running = RUNNING.lock().await;
    for (contracts, is_requested) in [(&["rollout"][..], false), (&[][..], true)] {
        let scene = Scene::start(contracts).await;
        scene.set_answer_time(OVERLAPPING_ANSWER_TIME);

        if is_requested {
            scene.request_rollout();
        } else {
            scene.register_new();
        }
        tokio::time::sleep(NEWS_TIME).await;
        scene.call_for(&scene.callers, Duration::from_secs(2)).await;

        let (old, new) = scene.received();
        assert!(new * 4 > old && old * 4 > new, "old {old} new {new}");
        assert_ne!(scene.state(), "in_progress v2");
    }
}

/// Guards against calls to the target while nobody can write that it is reverted, and against
/// a rollout that does not go on afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_target_gets_no_calls_while_the_store_is_away() {
    let _running = RUNNING.lock().await;
    let scene = Scene::start(&["rollout"]).await;
    let store = &scene.environment.store;

    scene.request_rollout();
    scene.call_for(&scene.callers, DURATION / 8).await;
    let before = scene.received().1;
    store.is_unavailable.store(true, Ordering::Relaxed);
    scene.call_for(&scene.callers, STOP_TIME).await;
    let stopped = scene.received().1;
    scene.call_for(&scene.callers, DURATION / 8).await;
    let meanwhile = scene.received().1 - stopped;
    store.is_unavailable.store(false, Ordering::Relaxed);
    scene
        .call_for(&scene.callers, DURATION / 8 * 6 - STOP_TIME)
        .await;

    assert!(before > 0, "nothing reached the target before");
    assert_eq!(meanwhile, 0, "calls reach the target without the store");
    assert_eq!(scene.state(), "completed v2");
    scene.assert_exposure_bound();
}

/// Guards against an outcome that holds for a later request of another version too, and
/// against calls to the reverted version, of which one upstream is still there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_further_request_under_the_same_name_is_followed() {
    let _running = RUNNING.lock().await;
    let scene = Scene::start(&["rollout"]).await;
    for service in &scene.new {
        service.failure_percent.store(60, Ordering::Relaxed);
    }

    scene.request_rollout();
    scene.call_for(&scene.callers, DURATION / 2).await;
    let first_state = scene.state();
    let (reverted, replaced) = (&scene.new[0], &scene.new[1]);
    let received_before = reverted.received().len();
    replaced.failure_percent.store(0, Ordering::Relaxed);
    *replaced.software_version.lock().expect("unpoisoned") = "v3".to_owned();
    scene.register_new();
    request_rollout_of(&scene.environment, "pay", "v3");
    scene.call_for(&scene.callers, DURATION).await;

    assert_eq!(first_state, "reverted v2");
    assert_eq!(scene.state(), "completed v3");
    let received = reverted.received().len() - received_before;
    assert_eq!(received, 0, "calls reach the reverted version");
}
