//! Three nodes, which are processes, and the upstreams of two versions.

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::sync::Mutex;

use crate::support::edge_environment::caller::{Caller, Response};
use crate::support::edge_environment::load::{CallShape, call_in_turn};
use crate::support::edge_environment::service::Service;
use crate::support::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, NodeSpec, TestEnvironment,
};

pub const DURATION: Duration = Duration::from_secs(8);
pub const NODE_COUNT: usize = 3;
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_TOLERANCE: f64 = 50.0;
const CALL_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which nodes learn of each other, and of what the store holds.
pub const NEWS_TIME: Duration = Duration::from_millis(1_500);
/// Only one of these tests runs at a time, since each loads several nodes.
pub static RUNNING: Mutex<()> = Mutex::const_new(());

/// A node that runs as a process, which is killed when this is dropped.
pub struct NodeProcess(Child);

impl NodeProcess {
    fn start(spec: &NodeSpec, environment: &TestEnvironment) -> Self {
        let name = format!("rollout-{}-{}.yaml", spec.peers.ip(), std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let settings = spec.settings(environment.store.address, 8);
        fs::write(&path, settings).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_zinniawing"))
            .args(["edge", "--settings"])
            .arg(&path)
            .stdout(Stdio::null())
            .spawn();
        Self(child.expect("the node starts"))
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts nodes that know each other, and waits until they are ready.
pub async fn start_nodes(
    environment: &TestEnvironment,
    contracts: &[&str],
) -> (Vec<Option<NodeProcess>>, Vec<Caller>) {
    let mut specs = NodeSpec::cluster(NODE_COUNT);
    let mut nodes = Vec::new();
    for spec in &mut specs {
        spec.contracts = contracts.iter().map(ToString::to_string).collect();
        nodes.push(Some(NodeProcess::start(spec, environment)));
    }
    let callers: Vec<Caller> = specs.iter().map(Caller::new).collect();
    for caller in &callers {
        caller.wait_until_ready().await;
    }
    tokio::time::sleep(NEWS_TIME).await;
    (nodes, callers)
}

/// Requests the rollout of `v2` of a service.
pub fn request_rollout(environment: &TestEnvironment, service: &str) {
    request_rollout_of(environment, service, "v2");
}

pub fn request_rollout_of(environment: &TestEnvironment, service: &str, target: &str) {
    let spec = json!({ "service": service, "target": target, "duration-s": DURATION.as_secs() });
    environment.store.put("rollouts", service, spec);
}

/// State and target in the status of a rollout.
pub fn state_of(environment: &TestEnvironment, service: &str) -> String {
    let status = environment.store.status("rollouts", service);
    let status = status.unwrap_or_default();
    format!("{} {}", status["state"], status["target"]).replace('"', "")
}

pub fn assert_exposure_bound(old: usize, new: usize) {
    let allowed = EXPOSURE_SHARE * (old + new) as f64 + EXPOSURE_TOLERANCE;
    println!("old {old} new {new} allowed {allowed}");
    assert!(new as f64 <= allowed, "{new} of {} reached it", old + new);
}

/// Two upstreams of a service with plain calls that run `v1`, and two that run `v2`.
pub struct Scene {
    pub environment: TestEnvironment,
    pub nodes: Vec<Option<NodeProcess>>,
    pub callers: Vec<Caller>,
    pub new: Vec<Arc<Service>>,
}

impl Scene {
    pub async fn start(contracts: &[&str]) -> Self {
        let environment = TestEnvironment::start(0).await;
        let (nodes, callers) = start_nodes(&environment, contracts).await;
        let mut new = Vec::new();
        for name in ["q-0", "q-1"] {
            let service = Service::start(name).await;
            *service.software_version.lock().expect("unpoisoned") = "v2".to_owned();
            new.push(service);
        }
        let scene = Self {
            environment,
            nodes,
            callers,
            new,
        };
        scene.set_answer_time(Duration::from_millis(10));
        scene
    }

    /// Sets how long all upstreams of both versions take for an answer.
    pub fn set_answer_time(&self, answer_time: Duration) {
        for service in self.environment.services.iter().chain(&self.new) {
            *service.answer_time.lock().expect("unpoisoned") = answer_time;
        }
    }

    pub fn register_new(&self) {
        for service in &self.new {
            let store = &self.environment.store;
            store.put("servers", &service.id, service.entry("ready"));
        }
    }

    /// Requests the rollout, and then starts the upstreams of the new version.
    pub fn request_rollout(&self) {
        request_rollout(&self.environment, "pay");
        self.register_new();
    }

    /// Stops the upstreams of the old version at once when the rollout is completed.
    pub fn stop_old_when_completed(&self) {
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

    pub async fn call_for(
        &self,
        callers: &[Caller],
        duration: Duration,
    ) -> Vec<(Instant, Response)> {
        call_in_turn(callers, duration, CALL_INTERVAL, shape_of).await
    }

    pub fn state(&self) -> String {
        state_of(&self.environment, "pay")
    }

    /// Requests that reached the old version and the new one.
    pub fn received(&self) -> (usize, usize) {
        let count = |services: &[Arc<Service>]| services.iter().map(|s| s.received().len()).sum();
        (count(&self.environment.services), count(&self.new))
    }

    pub fn assert_exposure_bound(&self) {
        let (old, new) = self.received();
        assert_exposure_bound(old, new);
    }
}

fn shape_of(number: usize) -> CallShape {
    if number.is_multiple_of(4) {
        ("POST", NON_IDEMPOTENT_PATH, "")
    } else {
        ("GET", IDEMPOTENT_PATH, "")
    }
}
