//! Stand-ins for everything around an entry node: the platform's store, upstreams
//! and callers.
//!
//! They implement the published wire format on their own instead of using the
//! node's code, so that tests find mistakes in the node's platform adapter.

pub mod asked_rest;
pub mod caller;
pub mod client_process;
pub mod double_run;
pub mod early_answer;
pub mod engine;
pub mod error_answer;
pub mod first_tries;
pub mod framing;
pub mod leaving_callers;
pub mod load;
pub mod named_limit;
pub mod node_process;
pub mod process;
pub mod proxy;
pub mod raw;
pub mod run_log;
pub mod running_stream;
pub mod service;
pub mod silent_links;
pub mod slow_link;
pub mod store;
pub mod store_view;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::runtime::{self, Runtime};
use tokio::task::JoinHandle;
use zinniawing::{EdgeNode, EdgeSettings, Metrics};

use caller::Caller;
use engine::Engine;
use service::Service;
use store::Store;

pub const HOST: &str = "pay.example";
pub const API_KEY: &str = "federation-key";
pub const CUSTOMER: &str = "federation";
pub const STREAM_PATH: &str = "/chat/1";
/// A stream on this path may run only once.
pub const SINGLE_RUN_STREAM_PATH: &str = "/summary/1";
pub const IDEMPOTENT_PATH: &str = "/balance/1";
pub const NON_IDEMPOTENT_PATH: &str = "/disburse/1";
/// Path at which upstreams state whether they are healthy.
pub const HEALTH_PATH: &str = "/healthz";
pub const PUBLIC_PATH: &str = "/open/1";

/// Header lines that only nodes may send to each other, as a caller may forge them.
pub const FORGED_RELAY_HEADERS: &str =
    "x-relay-sends-left: 0\r\nx-relay-counted: 1\r\nx-relay-refused: 1\r\n";

/// Interval at which crashed engines are looked for, below the time after which a node connects to
/// an upstream that broke off.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The addresses that [`free_address`] returned. Their ports are free again until the
/// stand-ins listen at them.
static GIVEN_OUT: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// A loopback address with a port that is free, which no other call returns. Its host is
/// used by this process alone: the ports of 127.0.0.1 are also taken by outgoing
/// connections.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind((loopback_host(u8::MAX), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        if GIVEN_OUT.lock().expect("unpoisoned").insert(address) {
            return address;
        }
    }
}

pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "hostname": HOST, "path-prefix": prefix, "type": kind,
        "timeout-ms": 6000, "target-latency-ms": 100, "priority": 1, "service": service,
        "max-attempts": if kind == "non_idempotent" { 1 } else { 4 },
        "public": false, "resumable": kind == "streaming", "target-gap-ms": 700,
    })
}

pub fn config(version: u64) -> Value {
    let mut open = route("open", "/open/", "idempotent", "pay");
    open["public"] = json!(true);
    let mut summary = route("summary", "/summary/", "streaming", "llm");
    summary["resumable"] = json!(false);
    json!({
        "version": version,
        "routes": [
            route("chat", "/chat/", "streaming", "llm"),
            route("balance", "/balance/", "idempotent", "pay"),
            route("disburse", "/disburse/", "non_idempotent", "pay"),
            open,
            summary,
        ],
        "services": [
            { "name": "llm", "health-path": HEALTH_PATH, "max-connections": 100,
              "engine": { "slots": 8, "kv-capacity": 88000, "replicas": true } },
            { "name": "pay", "health-path": HEALTH_PATH, "max-connections": 100 },
        ],
        "limits": { "max-header-bytes": 16384, "max-body-bytes": 100000,
                    "header-timeout-ms": 3000, "idle-timeout-ms": 15000 },
        "tenants": [ { "name": CUSTOMER, "api-keys": [API_KEY] } ],
    })
}

/// Name, addresses and seeds of one entry node. Every node has a loopback address
/// of its own, and all nodes use the same ports, as on the platform.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    pub name: String,
    pub data_centre: String,
    pub callers: SocketAddr,
    pub status_address: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics_port: u16,
    pub seeds: Vec<SocketAddr>,
    /// Optional behaviour that the deployment asks for.
    pub contracts: Vec<String>,
}

/// A loopback host of this process.
fn loopback_host(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 254, low, number)
}

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

impl NodeSpec {
    pub fn new(name: &str, data_centre: &str) -> Self {
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let ip = loopback_host(host);
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            callers: (ip, 8227).into(),
            status_address: (ip, 8224).into(),
            readiness: (ip, 8220).into(),
            peers: (ip, 7340).into(),
            metrics_port: 9464,
            seeds: Vec::new(),
            contracts: Vec::new(),
        }
    }

    /// Adds another node as a seed. The port in `seed-nodes` is not its peer port:
    /// nodes must replace it by the first internal port.
    pub fn with_seed(mut self, other: &Self) -> Self {
        self.seeds.push((other.peers.ip(), 8229).into());
        self
    }

    /// Nodes that know each other, in two data centres in turn.
    pub fn cluster(count: usize) -> Vec<Self> {
        let first = Self::new("n0", "dc-a");
        let others = (1..count).map(|n| {
            let data_centre = ["dc-a", "dc-b"][n % 2];
            Self::new(&format!("n{n}"), data_centre).with_seed(&first)
        });
        std::iter::once(first.clone()).chain(others).collect()
    }

    /// The settings file as the platform writes it.
    pub fn settings(&self, store: SocketAddr, grace_period_s: u32) -> String {
        format!(
            "node-name: \"{}\"\nrole: \"entry\"\nzone: \"{}\"\nip: \"{}\"\nunknown-field: [1]\n\
             listen:\n  frontend: \"{}\"\n  readiness-addr: \"{}\"\n  directory-addr: \"{}\"\n\
             internal-port-range:\n  - {}\n  - {}\nseed-nodes: {:?}\nlimits:\n  memory-mb: 110\n\
             bounds:\n  grace-period-s: {grace_period_s}\n  retry-budget-ratio: 0.8\n  retry-window-s: 10\n  budget-slack: 150\n\
             \x20 config-apply-ms: 2000\n  ttl_max_s: 5\ncontracts: {:?}\nplatform:\n  address: \"{store}\"\n",
            self.name,
            self.data_centre,
            self.callers.ip(),
            self.callers,
            self.readiness,
            self.status_address,
            self.peers.port(),
            self.peers.port() + 15,
            self.seeds
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>(),
            self.contracts,
        )
    }
}

/// A store, engines in two data centres, and a service with two upstreams.
pub struct TestEnvironment {
    pub store: Arc<Store>,
    pub engines: Vec<Arc<Engine>>,
    pub services: Vec<Arc<Service>>,
}

impl TestEnvironment {
    pub async fn start(engine_count: usize) -> Self {
        Self::start_with_versions(&vec!["v1"; engine_count]).await
    }

    /// Starts an environment with one engine for each software version. The engines
    /// are in the two data centres in turn.
    pub async fn start_with_versions(engine_versions: &[&str]) -> Self {
        let store = Store::start().await;
        let held_replicas = engine::HeldReplicas::default();
        let mut engines = Vec::new();
        for (n, version) in engine_versions.iter().enumerate() {
            let data_centre = if n % 2 == 0 { "dc-a" } else { "dc-b" };
            let name = format!("e-{n}");
            let engine = Engine::start(&name, data_centre, version, &held_replicas).await;
            store.put("servers", &engine.id(), engine.entry("ready"));
            engines.push(engine);
        }
        store.put("config", "main", config(1));
        let mut environment = Self {
            store,
            engines,
            services: Vec::new(),
        };
        environment.add_services(2).await;
        environment
    }

    /// Starts more upstreams of the service with plain calls.
    pub async fn add_services(&mut self, count: usize) {
        for n in self.services.len()..self.services.len() + count {
            let service = Service::start(&format!("p-{n}")).await;
            self.store
                .put("servers", &service.id, service.entry("ready"));
            self.services.push(service);
        }
    }

    /// Starts a node in this process, and waits until it is ready.
    pub async fn start_ready_node(&self, name: &str) -> (EdgeNode, Caller) {
        Self::start_ready_node_at(name, self.store.address).await
    }

    /// Starts a node that reaches the store at `store`, such as a proxy, and waits until it
    /// is ready.
    pub async fn start_ready_node_at(name: &str, store: SocketAddr) -> (EdgeNode, Caller) {
        let spec = NodeSpec::new(name, "dc-a");
        let node = start_node(&spec, store).await;
        let caller = Caller::new(&spec);
        caller.wait_until_ready().await;
        (node, caller)
    }

    /// Starts `count` nodes that know each other, and waits until they are ready.
    pub async fn start_ready_nodes(&self, count: usize) -> (Vec<EdgeNode>, Vec<Caller>) {
        let specs = NodeSpec::cluster(count);
        let mut nodes = Vec::new();
        for spec in &specs {
            nodes.push(start_node(spec, self.store.address).await);
        }
        let callers: Vec<Caller> = specs.iter().map(Caller::new).collect();
        for caller in &callers {
            caller.wait_until_ready().await;
        }
        (nodes, callers)
    }

    /// Restarts crashed engines under their ids, each after it was down for `down_time`, until
    /// the returned task is aborted.
    pub fn restart_crashed_engines_under_same_ids(&self, down_time: Duration) -> JoinHandle<()> {
        self.restart_crashed(self.engines.clone(), down_time, true)
    }

    /// Restarts one engine under its id each time that it was down for `down_time`, until the
    /// returned task is aborted.
    pub fn restart_under_same_id(&self, engine: usize, down_time: Duration) -> JoinHandle<()> {
        self.restart_crashed(vec![self.engines[engine].clone()], down_time, true)
    }

    /// Restarts crashed engines, each after it was down for `down_time`, until the
    /// returned task is aborted.
    pub fn restart_crashed_engines(&self, down_time: Duration) -> JoinHandle<()> {
        self.restart_crashed(self.engines.clone(), down_time, false)
    }

    fn restart_crashed(
        &self,
        engines: Vec<Arc<Engine>>,
        down_time: Duration,
        keeps_ids: bool,
    ) -> JoinHandle<()> {
        let store = self.store.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(RESTART_CHECK_INTERVAL).await;
                for engine in &engines {
                    if engine.down_time().is_none_or(|time| time < down_time) {
                        continue;
                    }
                    if keeps_ids {
                        engine.restart_under_same_id().await;
                    } else {
                        store.delete("servers", &engine.id());
                        engine.restart().await;
                    }
                    store.put("servers", &engine.id(), engine.entry("ready"));
                }
            }
        })
    }

    /// Waits until the store says which versions of the engines serve. Before, a node that
    /// has just started can't know that a stream didn't begin at another one.
    pub async fn wait_for_served_versions(&self) {
        let is_written = || self.store.spec("service-versions", "llm").is_some();
        eventually("the versions are in the store", is_written).await;
    }

    pub fn running_engine(&self) -> &Arc<Engine> {
        let mut engines = self.engines.iter();
        let running = engines.find(|engine| engine.running_count() > 0);
        running.expect("an engine runs a stream")
    }

    pub fn run_count(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs().len()).sum()
    }

    pub fn executed_count(&self) -> usize {
        self.services.iter().map(|s| s.executed().len()).sum()
    }
}

pub async fn start_node(spec: &NodeSpec, store: SocketAddr) -> EdgeNode {
    start_node_with_grace(spec, store, 8).await
}

pub async fn start_node_with_grace(
    spec: &NodeSpec,
    store: SocketAddr,
    grace_period_s: u32,
) -> EdgeNode {
    let settings =
        EdgeSettings::parse(&spec.settings(store, grace_period_s)).expect("valid settings");
    let metrics = Arc::new(Metrics::default());
    EdgeNode::start(settings, metrics, None)
        .await
        .expect("the node starts")
}

/// Number of threads of a [`KillableNode`].
const NODE_THREADS: usize = 2;

/// An entry node on threads of its own, which can be paused, or killed without any notice to
/// its peers and callers.
pub struct KillableNode {
    runtime: Runtime,
    /// Set while its threads are paused; dropping the senders ends the pause.
    pauses: Mutex<Vec<mpsc::Sender<()>>>,
    _node: EdgeNode,
}

impl KillableNode {
    pub async fn start(spec: &NodeSpec, store: SocketAddr) -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(NODE_THREADS)
            .enable_all()
            .build()
            .expect("a runtime");
        let spec = spec.clone();
        let started = runtime.spawn(async move { start_node(&spec, store).await });
        Self {
            _node: started.await.expect("no panic"),
            runtime,
            pauses: Mutex::default(),
        }
    }

    /// Pauses all of its threads, as SIGSTOP pauses a process, or ends the pause. The
    /// kernel keeps its connections open and queues what is sent to them.
    pub fn set_paused(&self, is_paused: bool) {
        let mut pauses = self.pauses.lock().expect("unpoisoned");
        pauses.clear();
        for _ in 0..if is_paused { NODE_THREADS } else { 0 } {
            let (sender, receiver) = mpsc::channel::<()>();
            self.runtime.spawn(async move {
                let _ = receiver.recv();
            });
            pauses.push(sender);
        }
    }

    /// Stops all of its tasks at once, which closes its connections.
    pub fn kill(self) {
        self.runtime.shutdown_background();
    }
}

/// Waits until `condition` holds, and fails after ten seconds.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "timed out after 10 s: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
