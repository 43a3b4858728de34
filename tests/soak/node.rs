//! Entry nodes as processes, and all that stands around them.

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::outside::caller::Caller;
use crate::outside::engine::{self, Engine};
use crate::outside::service::Service;
use crate::outside::store::Store;
use crate::outside::{NodePorts, config};
use crate::proxy::{Mode, Proxy};

const BINARY: &str = env!("CARGO_BIN_EXE_zinniawing");
const ENGINES: usize = 8;
const GRACE_S: u32 = 4;

/// One node: its process, its link to the store, and where callers reach it.
pub struct NodeProcess {
    pub ports: NodePorts,
    pub caller: Caller,
    pub store_link: Arc<Proxy>,
    pub is_stopped: bool,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl NodeProcess {
    async fn new(ports: NodePorts, store: &Store, folder: &std::path::Path) -> Self {
        let store_link = Proxy::start(store.address).await;
        let settings = folder.join(format!("{}.yaml", ports.name));
        let text = ports.settings(store_link.address, GRACE_S);
        fs::write(&settings, text).expect("a settings file");
        let mut node = Self {
            caller: Caller::new(&ports),
            log: folder.join(format!("{}.log", ports.name)),
            ports,
            store_link,
            is_stopped: false,
            settings,
            child: None,
        };
        node.spawn();
        node
    }

    fn spawn(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let child = Command::new(BINARY)
            .args(["edge", "--settings"])
            .arg(&self.settings)
            .stdout(log.expect("a log file"))
            .stderr(Stdio::inherit())
            .spawn();
        self.child = Some(child.expect("the node starts"));
    }

    /// Sends a signal by name to this node's process.
    pub fn signal(&mut self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let sent = Command::new("kill").args(["-s", name, &id]).status();
            sent.expect("kill runs");
        }
        self.is_stopped = name == "STOP";
    }

    /// Starts the process again if it has ended; true if it runs.
    pub fn tend(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_none_or(|c| c.try_wait().is_ok_and(|s| s.is_some()));
        if ended {
            self.spawn();
        }
        !ended
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// All that one seed plays with.
pub struct Fleet {
    pub store: Arc<Store>,
    pub engines: Vec<(Arc<Engine>, Arc<Proxy>)>,
    pub services: Vec<(Arc<Service>, Arc<Proxy>)>,
    pub nodes: Vec<NodeProcess>,
    folder: PathBuf,
}

impl Fleet {
    pub async fn start(seed: u64, node_count: usize) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("zinniawing-soak-{process}-{seed}"));
        fs::create_dir_all(&folder).expect("a folder");
        let store = Store::start().await;
        let copies = engine::Fleet::default();
        let mut fleet = Self {
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            store,
            folder,
        };
        for n in 0..ENGINES {
            let data_centre = ["dc-a", "dc-b"][n % 2];
            let engine = Engine::start(&format!("e-{n}"), data_centre, &copies).await;
            let proxy = Proxy::start(engine.address).await;
            *engine.public.lock().expect("unpoisoned") = proxy.address;
            fleet
                .store
                .put("servers", &engine.id(), engine.entry("ready"));
            fleet.engines.push((engine, proxy));
        }
        for n in 0..2 {
            let service = Service::start(&format!("p-{n}")).await;
            let proxy = Proxy::start(service.address).await;
            *service.public.lock().expect("unpoisoned") = proxy.address;
            fleet
                .store
                .put("servers", &service.id, service.entry("ready"));
            fleet.services.push((service, proxy));
        }
        fleet.store.put("config", "main", config(1));
        let mut ports: Vec<NodePorts> = Vec::new();
        for n in 0..node_count {
            let mut next = NodePorts::new(&format!("n{n}"), ["dc-a", "dc-b"][n % 2]);
            if let Some(first) = ports.first() {
                next = next.with_seed(first);
            }
            ports.push(next);
        }
        let second = ports[1].clone();
        ports[0] = ports[0].clone().with_seed(&second);
        for ports in ports {
            let node = NodeProcess::new(ports, &fleet.store, &fleet.folder).await;
            fleet.nodes.push(node);
        }
        for node in &fleet.nodes {
            node.caller.wait_until_ready().await;
        }
        fleet
    }

    /// Ends every fault that can be ended.
    pub async fn heal(&mut self) {
        self.store.is_away.store(false, Ordering::Relaxed);
        self.store.is_silent.store(false, Ordering::Relaxed);
        for (engine, proxy) in &self.engines {
            engine.freeze(false);
            proxy.set(Mode::Pass);
        }
        for (_, proxy) in &self.services {
            proxy.set(Mode::Pass);
        }
        for node in &mut self.nodes {
            node.store_link.set(Mode::Pass);
            node.signal("CONT");
            node.tend();
        }
    }

    /// Starts what ends, for some time.
    pub async fn tend_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(50)).await;
            for node in &mut self.nodes {
                node.tend();
            }
        }
    }

    pub fn stop(mut self) {
        for node in &mut self.nodes {
            node.end();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.end();
        }
    }
}
