//! Upstreams that leave while some nodes are cut from the store and others are not.

mod support;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::edge_environment::caller::Caller;
use support::edge_environment::proxy::{Mode, Proxy};
use support::edge_environment::service::Service;
use support::edge_environment::{IDEMPOTENT_PATH, NodeSpec, TestEnvironment, start_node};
use tokio::task::JoinHandle;
use tokio_util::task::AbortOnDropHandle;
use zinniawing::EdgeNode;

/// Time after which an upstream whose entry is gone may get no call.
const LEAVING_BOUND: Duration = Duration::from_millis(2_000);
/// How long calls go on after that.
const LOAD_AFTER_BOUND: Duration = Duration::from_millis(1_500);
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which each upstream renews its entry.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Ids of the upstreams that have left.
type LeftIds = Arc<Mutex<BTreeSet<String>>>;

/// Two nodes, the second of which reaches the store through a link of its own.
struct Scene {
    environment: TestEnvironment,
    link: Arc<Proxy>,
    _nodes: [EdgeNode; 2],
    cut_caller: Caller,
    left_ids: LeftIds,
    _renewal: AbortOnDropHandle<()>,
}

impl Scene {
    async fn start() -> Self {
        let environment = TestEnvironment::start(0).await;
        let left_ids = LeftIds::default();
        let renewal = renew_entries(&environment, &left_ids);
        let link = Proxy::start(environment.store.address).await;
        let specs = NodeSpec::cluster(2);
        let first = start_node(&specs[0], environment.store.address).await;
        let second = start_node(&specs[1], link.address).await;
        let cut_caller = Caller::new(&specs[1]);
        cut_caller.wait_until_ready().await;
        // Both nodes know each other, and the store's heartbeat passes between them.
        tokio::time::sleep(Duration::from_secs(1)).await;
        Self {
            environment,
            link,
            _nodes: [first, second],
            cut_caller,
            left_ids,
            _renewal: AbortOnDropHandle::new(renewal),
        }
    }

    /// Removes the entry of an upstream that leaves and goes on serving. Returns the
    /// upstream and the time of the removal.
    fn remove_first_service(&self) -> (Arc<Service>, Instant) {
        let leaving = self.environment.services[0].clone();
        self.left_ids
            .lock()
            .expect("unpoisoned")
            .insert(leaving.id.clone());
        self.environment.store.delete("servers", &leaving.id);
        (leaving, Instant::now())
    }

    async fn call_until(&self, end: Instant) {
        while Instant::now() < end {
            self.cut_caller.call("GET", IDEMPOTENT_PATH, "").await;
            tokio::time::sleep(CALL_INTERVAL).await;
        }
    }

    /// Has an upstream leave, calls the node until some time after the bound, and returns
    /// how many calls reached that upstream later than the bound allows.
    async fn count_late_calls_after_removal(&self) -> usize {
        let (leaving, removed_at) = self.remove_first_service();
        let bound = removed_at + LEAVING_BOUND;
        self.call_until(bound + LOAD_AFTER_BOUND).await;
        leaving.run_log.count_between(bound, Instant::now())
    }
}

/// Renews the entries of all upstreams that have not left, so that the store's watches
/// are answered.
fn renew_entries(environment: &TestEnvironment, left_ids: &LeftIds) -> JoinHandle<()> {
    let (store, services) = (environment.store.clone(), environment.services.clone());
    let left_ids = left_ids.clone();
    tokio::spawn(async move {
        loop {
            for service in &services {
                let left_ids = left_ids.lock().expect("unpoisoned");
                if !left_ids.contains(&service.id) {
                    store.put("servers", &service.id, service.entry("ready"));
                }
            }
            tokio::time::sleep(RENEWAL_INTERVAL).await;
        }
    })
}

#[tokio::test]
async fn a_node_cut_from_the_store_takes_no_leaving_upstream_for_one_whose_entry_expired() {
    let scene = Scene::start().await;

    scene.link.set_mode(Mode::Reset);
    scene
        .call_until(Instant::now() + Duration::from_millis(1_000))
        .await;
    let late_count = scene.count_late_calls_after_removal().await;

    assert_eq!(late_count, 0, "calls {LEAVING_BOUND:?} after the removal");
}

#[tokio::test]
async fn a_node_back_at_the_store_takes_no_leaving_upstream_for_one_whose_entry_expired() {
    let scene = Scene::start().await;

    scene.link.set_mode(Mode::Reset);
    scene
        .call_until(Instant::now() + Duration::from_millis(3_000))
        .await;
    scene.link.set_mode(Mode::Pass);
    scene
        .call_until(Instant::now() + Duration::from_millis(100))
        .await;
    let late_count = scene.count_late_calls_after_removal().await;

    assert_eq!(late_count, 0, "calls {LEAVING_BOUND:?} after the removal");
}
