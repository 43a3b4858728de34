//! Rollouts of a new software version of a service by a few nodes, which run on threads of
//! their own, against a stand-in for the store.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::json;
use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::load::{CallShape, call_in_turn, served_share};
use support::edge_environment::service::Service;
use support::edge_environment::{
    IDEMPOTENT_PATH, KillableNode, NON_IDEMPOTENT_PATH, NodeSpec, TestEnvironment,
};
use tokio::sync::Mutex;

const DURATION: Duration = Duration::from_secs(8);
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_TOLERANCE: f64 = 50.0;
const CALL_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which nodes learn of each other, and of what the store holds.
const NEWS_TIME: Duration = Duration::from_millis(1_500);
/// Only one of these tests runs at a time, since each loads several nodes.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Three nodes, two upstreams of the version `v1`, and two of `v2`.
struct Scene {
    environment: TestEnvironment,
    nodes: Vec<Option<KillableNode>>,
    callers: Vec<Caller>,
    new: Vec<Arc<Service>>,
}

impl Scene {
    async fn start(contracts: &[&str]) -> Self {
        let mut environment = TestEnvironment::start(0).await;
        let mut specs = NodeSpec::cluster(3);
        let mut nodes = Vec::new();
        for spec in &mut specs {
            spec.contracts = contracts.iter().map(ToString::to_string).collect();
            nodes.push(Some(
                KillableNode::start(spec, environment.store.address).await,
            ));
        }
        let callers: Vec<Caller> = specs.iter().map(Caller::new).collect();
        for caller in &callers {
            caller.wait_until_ready().await;
        }
        let mut new = Vec::new();
        for name in ["q-0", "q-1"] {
            let service = Service::start(name).await;
            *service.software_version.lock().expect("unpoisoned") = "v2".to_owned();
            new.push(service);
        }
        for service in environment.services.iter().chain(&new) {
            *service.answer_time.lock().expect("unpoisoned") = Duration::from_millis(10);
        }
        tokio::time::sleep(NEWS_TIME).await;
        environment.services.truncate(2);
        Self {
            environment,
            nodes,
            callers,
            new,
        }
    }

    fn register_new(&self) {
        for service in &self.new {
            let store = &self.environment.store;
            store.put("servers", &service.id, service.entry("ready"));
        }
    }

    /// Requests the rollout, and then starts the upstreams of the new version.
    fn request_rollout(&self) {
        let spec = json!({ "service": "pay", "target": "v2", "duration-s": DURATION.as_secs() });
        self.environment.store.put("rollouts", "pay", spec);
        self.register_new();
    }

    /// Stops the upstreams of the old version at once when the rollout is completed.
    fn stop_old_when_completed(&self) {
        let store = self.environment.store.clone();
        let old = self.environment.services.clone();
        tokio::spawn(async move {
            let is_completed = || {
                let status = store.status("rollouts", "pay").unwrap_or_default();
                status["state"] == "completed"
            };
            while !is_completed() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            for service in old {
                store.delete("servers", &service.id);
                service.set_frozen(true);
            }
        });
    }

    async fn call_for(&self, callers: &[Caller], duration: Duration) -> Vec<(Instant, Response)> {
        call_in_turn(callers, duration, CALL_INTERVAL, shape_of).await
    }

    fn state(&self) -> String {
        let status = self.environment.store.status("rollouts", "pay");
        let status = status.unwrap_or_default();
        format!("{} {}", status["state"], status["target"]).replace('"', "")
    }

    /// Requests that reached the old version and the new one.
    fn received(&self) -> (usize, usize) {
        let count = |services: &[Arc<Service>]| services.iter().map(|s| s.received().len()).sum();
        (count(&self.environment.services), count(&self.new))
    }

    fn assert_exposure_bound(&self) {
        let (old, new) = self.received();
        let allowed = EXPOSURE_SHARE * (old + new) as f64 + EXPOSURE_TOLERANCE;
        println!("old {old} new {new} allowed {allowed}");
        assert!(new as f64 <= allowed, "{new} of {} reached it", old + new);
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        // Dropping a runtime within another one panics.
        let nodes = self.nodes.iter_mut().filter_map(Option::take);
        nodes.for_each(KillableNode::kill);
    }
}

fn shape_of(number: usize) -> CallShape {
    if number.is_multiple_of(4) {
        ("POST", NON_IDEMPOTENT_PATH, "")
    } else {
        ("GET", IDEMPOTENT_PATH, "")
    }
}

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
    for killed in 0..3 {
        let mut scene = Scene::start(&["rollout"]).await;
        for service in &scene.new {
            let percent = &service.failure_percent;
            percent.store(failure_percent, Ordering::Relaxed);
        }

        scene.request_rollout();
        scene
            .call_for(&scene.callers, Duration::from_millis(600))
            .await;
        if let Some(node) = scene.nodes[killed].take() {
            node.kill();
        }
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

/// Guards against a rule for versions where nobody asked for one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn versions_share_the_calls_if_no_rollout_is_requested() {
    let _running = RUNNING.lock().await;
    for (contracts, is_requested) in [(&["rollout"][..], false), (&[][..], true)] {
        let scene = Scene::start(contracts).await;

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
