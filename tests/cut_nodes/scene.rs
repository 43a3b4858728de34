//! Nodes with a link of their own to each upstream, which can be cut for some of them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::task::JoinHandle;

use crate::support::edge_environment::caller::{Caller, Response, get};
use crate::support::edge_environment::first_tries::{CONTACT_TIME, FirstTries};
use crate::support::edge_environment::proxy::{Mode, Proxy};
use crate::support::edge_environment::{
    IDEMPOTENT_PATH, KillableNode, NON_IDEMPOTENT_PATH, NodeSpec, SINGLE_RUN_STREAM_PATH,
    STREAM_PATH, TestEnvironment, config, eventually, store_view,
};

const ENGINE_COUNT: usize = 4;
const SERVICE_COUNT: usize = 4;
/// Time between two first tries at one node.
const TRY_INTERVAL: Duration = Duration::from_millis(30);
/// How long calls run before the first cut, so that nodes have open connections.
const WARM_UP_TIME: Duration = Duration::from_millis(600);
/// Times of upstreams from the beginning of a cut: calls take longer than before it, so
/// that the open connections are too few.
const ANSWER_TIME: Duration = Duration::from_millis(300);
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// How long a cut lasts.
pub const CUT_TIME: Duration = Duration::from_secs(6);
/// Answers that promise that the call has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
const TRY_HEADERS: &str = "x-zinniawing-deadline-ms: 1500\r\nx-zinniawing-token-usage: 800,5\r\n";

/// The first try of a call.
#[derive(Debug)]
pub struct FirstTry {
    pub node: usize,
    pub began_at: Instant,
    path: &'static str,
    response: Response,
}

impl FirstTry {
    pub fn is_served(&self) -> bool {
        self.response.status == 200 && self.response.is_complete
    }

    fn may_run_once(&self) -> bool {
        [NON_IDEMPOTENT_PATH, SINGLE_RUN_STREAM_PATH].contains(&self.path)
    }
}

/// Callers that make first tries at all nodes, at a fixed rate.
pub struct Load {
    is_stopping: Arc<AtomicBool>,
    task: JoinHandle<Vec<FirstTry>>,
}

impl Load {
    pub async fn stop(self) -> Vec<FirstTry> {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.task.await.expect("callers do not panic")
    }
}

pub struct Scene {
    pub environment: TestEnvironment,
    pub callers: Vec<Caller>,
    nodes: Vec<Option<KillableNode>>,
    /// The links of each node.
    links: Vec<Vec<Arc<Proxy>>>,
}

impl Scene {
    /// Starts `count` nodes, in two data centres in turn, and waits until they are ready.
    pub async fn start(count: usize) -> Self {
        let mut environment = TestEnvironment::start(ENGINE_COUNT).await;
        environment
            .add_services(SERVICE_COUNT - environment.services.len())
            .await;
        // Engines know replicas by addresses, which differ between nodes.
        let mut config = config(2);
        config["services"][0]["engine"]["replicas"] = json!(false);
        environment.store.put("config", "main", config);
        let entries = entries(&environment);
        for (id, _) in &entries {
            environment.store.delete("servers", id);
        }
        let specs = NodeSpec::cluster(count);
        let mut scene = Self {
            environment,
            callers: specs.iter().map(Caller::new).collect(),
            nodes: Vec::new(),
            links: Vec::new(),
        };
        for spec in &specs {
            scene.start_node(spec).await;
        }
        for node in 0..count {
            scene
                .wait_until_listed_at(node, &(0..count).collect())
                .await;
        }
        let store = scene.environment.store.clone();
        eventually("all nodes wait for upstreams", || {
            store.waiting_watch_count.load(Ordering::Relaxed) == count
        })
        .await;
        store.put_all("servers", entries);
        for caller in &scene.callers {
            caller.wait_until_ready().await;
        }
        scene
    }

    async fn start_node(&mut self, spec: &NodeSpec) {
        let engines = self.environment.engines.iter().map(|e| e.address);
        let services = self.environment.services.iter().map(|s| s.address);
        let mut addresses = BTreeMap::new();
        let mut links = Vec::new();
        for upstream in engines.chain(services) {
            let link = Proxy::start(upstream).await;
            addresses.insert(upstream, link.address);
            links.push(link);
        }
        let store = store_view::start(&self.environment.store, addresses).await;
        self.nodes
            .push(Some(KillableNode::start(spec, store).await));
        self.links.push(links);
    }

    /// Sets the mode of all links of some nodes.
    pub fn cut(&self, nodes: &[usize], mode: Mode) {
        for link in nodes.iter().flat_map(|node| &self.links[*node]) {
            link.set_mode(mode);
        }
    }

    pub fn heal(&self, nodes: &[usize]) {
        self.cut(nodes, Mode::Pass);
    }

    pub fn kill(&mut self, node: usize) {
        if let Some(node) = self.nodes[node].take() {
            node.kill();
        }
    }

    /// Pauses the process of a node or ends its pause.
    pub fn set_paused(&self, node: usize, is_paused: bool) {
        let node = self.nodes[node].as_ref();
        node.expect("the node runs").set_paused(is_paused);
    }

    /// Starts the load, and waits until it has opened connections.
    pub async fn start_load(&self) -> Load {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(make_tries(self.callers.clone(), is_stopping.clone()));
        tokio::time::sleep(WARM_UP_TIME).await;
        Load { is_stopping, task }
    }

    pub fn slow_down_upstreams(&self) {
        for service in &self.environment.services {
            *service.answer_time.lock().expect("unpoisoned") = ANSWER_TIME;
        }
        for engine in &self.environment.engines {
            *engine.event_interval.lock().expect("unpoisoned") = EVENT_INTERVAL;
        }
    }

    /// Makes first tries while some nodes are cut, and returns those that count.
    pub async fn tries_in_cut(&self, cut: &[usize], mode: Mode) -> Vec<FirstTry> {
        let load = self.start_load().await;
        self.slow_down_upstreams();
        let cut_at = Instant::now();
        self.cut(cut, mode);
        tokio::time::sleep(CUT_TIME).await;
        self.heal(cut);
        let healed_at = Instant::now();
        let tries = load.stop().await;
        self.assert_run_at_most_once(&tries);
        let counted = cut_at + CONTACT_TIME..healed_at;
        let tries = tries.into_iter();
        tries.filter(|t| counted.contains(&t.began_at)).collect()
    }

    /// Checks the runs of calls that may run once against their answers.
    pub fn assert_run_at_most_once(&self, tries: &[FirstTry]) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in self.environment.services.iter().flat_map(|s| s.executed()) {
            let call_id = run.header("x-zinniawing-attempt-id").unwrap_or("-");
            *runs.entry(call_id.to_owned()).or_default() += 1;
        }
        for run in self.environment.engines.iter().flat_map(|e| e.runs()) {
            *runs.entry(run.call_id).or_default() += 1;
        }
        for t in tries.iter().filter(|t| t.may_run_once()) {
            let count = runs.get(&t.response.call_id).copied().unwrap_or(0);
            let is_denied = NOT_RUN_STATUSES.contains(&t.response.status);
            assert!(count <= usize::from(!is_denied), "{count} runs of {t:?}");
            assert!(!t.is_served() || count == 1, "{count} runs of {t:?}");
        }
    }

    /// Nodes in the address list that a node gives.
    pub async fn nodes_listed_at(&self, node: usize) -> BTreeSet<usize> {
        let list = get(self.callers[node].status_address, "/resolve").await;
        let list = list.map(|list| list.body).unwrap_or_default();
        let is_listed = |at: &usize| list.contains(&self.callers[*at].address.to_string());
        (0..self.callers.len()).filter(is_listed).collect()
    }

    pub async fn wait_until_listed_at(&self, node: usize, wanted: &BTreeSet<usize>) {
        let since = Instant::now();
        loop {
            let listed = self.nodes_listed_at(node).await;
            if listed == *wanted {
                return;
            }
            let is_late = since.elapsed() > Duration::from_secs(10);
            assert!(!is_late, "n{node} lists {listed:?} and not {wanted:?}");
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
        }
    }
}

fn entries(environment: &TestEnvironment) -> Vec<(String, serde_json::Value)> {
    let engines = environment.engines.iter();
    let engines = engines.map(|e| (e.id(), e.entry("ready")));
    let services = environment.services.iter();
    let services = services.map(|s| (s.id.clone(), s.entry("ready")));
    engines.chain(services).collect()
}

async fn make_tries(callers: Vec<Caller>, is_stopping: Arc<AtomicBool>) -> Vec<FirstTry> {
    let calls = [
        ("GET", IDEMPOTENT_PATH),
        ("POST", NON_IDEMPOTENT_PATH),
        ("POST", STREAM_PATH),
        ("POST", SINGLE_RUN_STREAM_PATH),
    ];
    let mut tries = Vec::new();
    for (method, path) in calls.into_iter().cycle() {
        if is_stopping.load(Ordering::Relaxed) {
            break;
        }
        for (node, caller) in callers.iter().cloned().enumerate() {
            tries.push(tokio::spawn(async move {
                let began_at = Instant::now();
                let response = caller.call(method, path, TRY_HEADERS);
                let response = tokio::time::timeout(CONTACT_TIME, response).await;
                FirstTry {
                    node,
                    began_at,
                    path,
                    response: response.unwrap_or_default(),
                }
            }));
        }
        tokio::time::sleep(TRY_INTERVAL).await;
    }
    let mut made = Vec::new();
    for t in tries {
        made.push(t.await.expect("callers do not panic"));
    }
    made
}

/// Checks that callers of the nodes that are cut are served like those of the others.
pub fn assert_served_alike(tries: &[FirstTry], cut: &[usize]) {
    let at_cut = tally(tries, |node| cut.contains(&node));
    let at_others = tally(tries, |node| !cut.contains(&node));
    assert!(
        !at_cut.are_worse_than(&at_others),
        "cut nodes served {at_cut:?}, the others {at_others:?}; {:?}",
        first_failure_at_others(tries, cut)
    );
}

/// Checks that few of the tries at nodes that are not cut fail.
pub fn assert_others_served(tries: &[FirstTry], cut: &[usize]) {
    let at_others = tally(tries, |node| !cut.contains(&node));
    assert!(
        !at_others.has_many_failures(),
        "{at_others:?}; {:?}",
        first_failure_at_others(tries, cut)
    );
}

fn first_failure_at_others<'a>(tries: &'a [FirstTry], cut: &[usize]) -> Option<&'a FirstTry> {
    let mut at_others = tries.iter().filter(|t| !cut.contains(&t.node));
    at_others.find(|t| !t.is_served())
}

fn tally(tries: &[FirstTry], is_counted: impl Fn(usize) -> bool) -> FirstTries {
    let mut counted = FirstTries::default();
    for t in tries.iter().filter(|t| is_counted(t.node)) {
        counted.add(t.is_served());
    }
    counted
}
