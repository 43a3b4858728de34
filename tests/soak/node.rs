//! Entry nodes as processes, with the store, engines and services around them.

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::config_changes::{OTHER_SERVICE, OperatorConfig};
use crate::edge_environment::NodeSpec;
use crate::edge_environment::asked_rest::AskedRest;
use crate::edge_environment::caller::Caller;
use crate::edge_environment::engine::{self, Engine};
use crate::edge_environment::named_limit::NamedLimit;
use crate::edge_environment::proxy::{Mode, Proxy};
use crate::edge_environment::service::Service;
use crate::edge_environment::store::Store;
use crate::history::{History, Occurrence, UpstreamAt};
use crate::silences::SilenceMode;

const BINARY: &str = env!("CARGO_BIN_EXE_zinniawing");
const ENGINE_COUNT: usize = 8;
/// Half of them belong to each of two services.
const SERVICE_COUNT: usize = 4;
/// How long an engine is down after a crashing part took it down.
const ENGINE_DOWN_TIME: Duration = Duration::from_millis(600);
pub const GRACE_PERIOD: Duration = Duration::from_secs(4);

/// One node: its process, the proxy between it and the store, and a caller for it.
pub struct NodeProcess {
    pub spec: NodeSpec,
    pub caller: Caller,
    pub store_link: Arc<Proxy>,
    pub is_paused: bool,
    /// Its place among the nodes.
    at: usize,
    is_stopping: bool,
    history: History,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

impl NodeProcess {
    async fn new(at: usize, spec: NodeSpec, environment: &SoakEnvironment) -> Self {
        let store_link = Proxy::start(environment.store.address).await;
        let folder = &environment.folder;
        let settings_path = folder.join(format!("{}.yaml", spec.name));
        let text = spec.settings(store_link.address, GRACE_PERIOD.as_secs() as u32);
        fs::write(&settings_path, text).expect("the settings file is written");
        let mut node = Self {
            caller: Caller::new(&spec).naming_node(),
            log_path: folder.join(format!("{}.log", spec.name)),
            spec,
            store_link,
            is_paused: false,
            at,
            is_stopping: false,
            history: environment.history.clone(),
            settings_path,
            child: None,
        };
        node.spawn();
        node
    }

    fn spawn(&mut self) {
        self.is_stopping = false;
        self.history.record(Occurrence::Start { node: self.at });
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path);
        let child = Command::new(BINARY)
            .args(["edge", "--settings"])
            .arg(&self.settings_path)
            .stdout(log.expect("the log file opens"))
            .stderr(Stdio::inherit())
            .spawn();
        self.child = Some(child.expect("the node starts"));
    }

    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal, given by its name without `SIG`, to this node's process.
    pub fn signal(&mut self, name: &str) {
        self.record_signal(name);
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let sent = Command::new("kill").args(["-s", name, &id]).status();
            sent.expect("kill runs");
        }
        self.is_paused = name == "STOP";
    }

    fn record_signal(&mut self, name: &str) {
        let node = self.at;
        match name {
            "HUP" => self.history.record(Occurrence::Reload { node }),
            "TERM" if !self.is_stopping => {
                self.is_stopping = true;
                self.history.record(Occurrence::Stop { node });
            }
            "KILL" => self.history.record(Occurrence::NodeDisturbed { node }),
            "STOP" => self.history.begin(Occurrence::NodeDisturbed { node }),
            _ => {}
        }
    }

    /// Restarts the process if it has exited; returns whether it was still running.
    pub fn restart_if_exited(&mut self) -> bool {
        let has_exited = self
            .child
            .as_mut()
            .is_none_or(|c| c.try_wait().is_ok_and(|s| s.is_some()));
        if has_exited {
            self.spawn();
        }
        !has_exited
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has already exited, which is fine.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// All processes and stand-ins of one seed. Dropping it kills the nodes.
pub struct SoakEnvironment {
    pub store: Arc<Store>,
    pub engines: Vec<(Arc<Engine>, Arc<Proxy>)>,
    pub services: Vec<(Arc<Service>, Arc<Proxy>)>,
    pub nodes: Vec<NodeProcess>,
    pub config: OperatorConfig,
    pub history: History,
    folder: PathBuf,
}

impl SoakEnvironment {
    /// Silences the open connections of all nodes to the store and to upstreams for good.
    pub fn sever_links(&self) {
        let to_store = self.nodes.iter().map(|node| &node.store_link);
        let to_engines = self.engines.iter().map(|(_, link)| link);
        let to_services = self.services.iter().map(|(_, link)| link);
        let links = to_store.chain(to_engines).chain(to_services);
        links.for_each(|link| link.silence_open_connections());
    }

    pub async fn start(seed: u64, node_count: usize) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("zinniawing-soak-{process}-{seed}"));
        fs::create_dir_all(&folder).expect("the folder is created");
        let store = Store::start().await;
        let held_replicas = engine::HeldReplicas::default();
        let mut environment = Self {
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            config: OperatorConfig::new(),
            history: History::default(),
            store,
            folder,
        };
        for n in 0..ENGINE_COUNT {
            let data_centre = ["dc-a", "dc-b"][n % 2];
            let engine = Engine::start(&format!("e-{n}"), data_centre, "v1", &held_replicas).await;
            let proxy = Proxy::start(engine.address).await;
            *engine.advertised_address.lock().expect("unpoisoned") = proxy.address;
            environment
                .store
                .put("servers", &engine.id(), engine.entry("ready"));
            environment.engines.push((engine, proxy));
        }
        for n in 0..SERVICE_COUNT {
            let name = ["pay", OTHER_SERVICE][n % 2];
            let service = Service::start_in(&format!("p-{n}"), name).await;
            let proxy = Proxy::start(service.address).await;
            *service.advertised_address.lock().expect("unpoisoned") = proxy.address;
            environment
                .store
                .put("servers", &service.id, service.entry("ready"));
            environment.services.push((service, proxy));
        }
        environment.put_config();
        let mut specs: Vec<NodeSpec> = Vec::new();
        for n in 0..node_count {
            let mut next = NodeSpec::new(&format!("n{n}"), ["dc-a", "dc-b"][n % 2]);
            if let Some(first) = specs.first() {
                next = next.with_seed(first);
            }
            specs.push(next);
        }
        let second = specs[1].clone();
        specs[0] = specs[0].clone().with_seed(&second);
        for (at, spec) in specs.into_iter().enumerate() {
            let node = NodeProcess::new(at, spec, &environment).await;
            environment.nodes.push(node);
        }
        for node in &environment.nodes {
            node.caller.wait_until_ready().await;
        }
        environment
    }

    /// Stores the newest configuration.
    pub fn put_config(&self) {
        let timeout = self.config.least_timeout();
        self.history.record(Occurrence::Config { timeout });
        self.store.put("config", "main", self.config.body());
    }

    pub fn upstreams(&self) -> Vec<UpstreamAt> {
        let engines = (0..self.engines.len()).map(UpstreamAt::Engine);
        let services = (0..self.services.len()).map(UpstreamAt::Service);
        engines.chain(services).collect()
    }

    pub fn upstream_link(&self, upstream: UpstreamAt) -> Arc<Proxy> {
        match upstream {
            UpstreamAt::Engine(at) => self.engines[at].1.clone(),
            UpstreamAt::Service(at) => self.services[at].1.clone(),
        }
    }

    pub fn named_limit(&self, upstream: UpstreamAt) -> &NamedLimit {
        match upstream {
            UpstreamAt::Engine(at) => &self.engines[at].0.named_limit,
            UpstreamAt::Service(at) => &self.services[at].0.named_limit,
        }
    }

    pub fn asked_rest(&self, upstream: UpstreamAt) -> &AskedRest {
        match upstream {
            UpstreamAt::Engine(at) => &self.engines[at].0.asked_rest,
            UpstreamAt::Service(at) => &self.services[at].0.asked_rest,
        }
    }

    /// Restarts engines that have been down for a while.
    pub async fn restart_crashed_engines(&self) {
        for (engine, _) in &self.engines {
            if engine
                .down_time()
                .is_some_and(|time| time >= ENGINE_DOWN_TIME)
            {
                self.store.delete("servers", &engine.id());
                engine.restart().await;
                self.store
                    .put("servers", &engine.id(), engine.entry("ready"));
            }
        }
    }

    /// A function that makes the upstream silent, or ends this.
    pub fn silencer(&self, upstream: UpstreamAt, mode: SilenceMode) -> Box<dyn Fn(bool) + Send> {
        match (upstream, mode) {
            (UpstreamAt::Engine(at), SilenceMode::Frozen) => {
                let engine = self.engines[at].0.clone();
                Box::new(move |is_frozen| engine.set_frozen(is_frozen))
            }
            (UpstreamAt::Service(at), SilenceMode::Frozen) => {
                let service = self.services[at].0.clone();
                Box::new(move |is_frozen| service.set_frozen(is_frozen))
            }
            (UpstreamAt::Engine(at), SilenceMode::Suspended) => {
                let engine = self.engines[at].0.clone();
                Box::new(move |is_paused| engine.process.set_paused(is_paused))
            }
            (UpstreamAt::Service(at), SilenceMode::Suspended) => {
                let service = self.services[at].0.clone();
                Box::new(move |is_paused| service.process.set_paused(is_paused))
            }
        }
    }

    /// Ends all lasting faults: frozen engines, disturbed links, paused nodes and an
    /// unavailable store. Restarts nodes that have exited.
    pub async fn heal(&mut self) {
        self.history.end_all();
        self.store.is_unavailable.store(false, Ordering::Relaxed);
        self.store.is_silent.store(false, Ordering::Relaxed);
        for (engine, proxy) in &self.engines {
            engine.set_frozen(false);
            proxy.set_mode(Mode::Pass);
        }
        for (service, proxy) in &self.services {
            service.clear_faults();
            proxy.set_mode(Mode::Pass);
        }
        for node in &mut self.nodes {
            node.store_link.set_mode(Mode::Pass);
            node.signal("CONT");
            node.restart_if_exited();
        }
    }

    /// Restarts nodes that exit, for some time.
    pub async fn keep_nodes_running_for(&mut self, time: Duration) {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(50)).await;
            for node in &mut self.nodes {
                node.restart_if_exited();
            }
            self.restart_crashed_engines().await;
        }
    }

    pub fn stop(mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
    }
}

impl Drop for SoakEnvironment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
    }
}
