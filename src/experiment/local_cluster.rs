//! A whole deployment on loopback inside one process.
//!
//! The demonstration, the experiments and the tests use it: real nodes with
//! real sockets, and stand-ins for all that the platform gives.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use crate::caller::client::Caller;
use crate::claims::group_commit::ClaimSettings;
use crate::configuration::config::key_hash;
use crate::configuration::intent::Intent;
use crate::fleet::runner::ModelVersion;
use crate::membership::link_faults::LinkFaults;
use crate::node::Node;
use crate::operator::client::Operator;
use crate::settings::{Limits, Listen, Settings, Timing};
use crate::stand_in::platform::StandInPlatform;
use crate::stand_in::runner::StandInRunner;
use crate::stand_in::runner_profile::RunnerProfile;
use crate::stand_in::server::StandIn;
use crate::stand_in::service::StandInService;
use crate::store::object_api::{Vm, VmRole, VmState};

/// Key of the operator of a local cluster.
pub const OPERATOR_KEY: &str = "operator-key";

const PLATFORM_PORT: u16 = 7000;
const RUNNER_PORT: u16 = 7200;
const SERVICE_PORT: u16 = 9200;
const NODE_PORT: u16 = 9400;
const PORTS_PER_NODE: u16 = 3;
/// How long a cluster may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);

/// The shape of a local cluster.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Data centres over which everything is spread in turn.
    pub data_centres: Vec<String>,
    /// Nodes.
    pub node_count: usize,
    /// Runners.
    pub runner_count: usize,
    /// How runners behave.
    pub runner_profile: RunnerProfile,
    /// Services and how many instances each has.
    pub services: BTreeMap<String, usize>,
    /// Intent that is confirmed at the start.
    pub intent: Intent,
    /// Times that nodes keep.
    pub timing: Timing,
    /// How claims are kept.
    pub claims: ClaimSettings,
    /// Least time between loads from the weight store.
    pub load_spacing: Duration,
}

impl ClusterPlan {
    /// A plan of the given size for an intent, with times fit for tests.
    pub fn new(node_count: usize, runner_count: usize, intent: Intent) -> Self {
        let data_centre = |number| format!("dc-{number}");
        Self {
            data_centres: (1..=3).map(data_centre).collect(),
            node_count,
            runner_count,
            runner_profile: RunnerProfile::default(),
            services: BTreeMap::new(),
            intent,
            timing: Timing {
                address_keep: Duration::from_millis(500),
                probe_interval: Duration::from_millis(200),
                leaving_bound: Duration::from_millis(2000),
                watch_interval: Duration::from_millis(500),
                order_lease: Duration::from_millis(1500),
            },
            claims: ClaimSettings {
                shard_count: 8,
                write_spacing: Duration::from_millis(5),
                retention: Duration::from_secs(3600),
            },
            load_spacing: Duration::from_millis(50),
        }
    }

    /// The same plan with instances of a service.
    pub fn with_service(mut self, service: &str, instance_count: usize) -> Self {
        self.services.insert(service.to_owned(), instance_count);
        self
    }
}

/// One runner of a local cluster.
#[derive(Debug)]
pub struct ClusterRunner {
    /// Name.
    pub name: String,
    /// The engine.
    pub engine: Arc<StandInRunner>,
    /// Its server; nothing once it was killed.
    pub server: Option<StandIn>,
}

/// A running deployment.
#[derive(Debug)]
pub struct LocalCluster {
    plan: ClusterPlan,
    ip: IpAddr,
    /// The platform.
    pub platform: Arc<StandInPlatform>,
    /// The platform's server.
    pub platform_server: StandIn,
    /// Runners.
    pub runners: Vec<ClusterRunner>,
    /// Service instances.
    pub services: Vec<(Arc<StandInService>, StandIn)>,
    /// Nodes; nothing where one was stopped.
    pub nodes: Vec<Option<Node>>,
    /// Faults on each node's links to its peers.
    pub links: Vec<LinkFaults>,
}

impl LocalCluster {
    /// Starts everything, confirms the intent, and waits until all nodes have
    /// it in force and every runner is known.
    pub async fn start(plan: ClusterPlan) -> io::Result<Self> {
        let ip = fresh_ip();
        let vms = list_vms(&plan, ip);
        let (platform, platform_server) =
            StandInPlatform::start(SocketAddr::new(ip, PLATFORM_PORT), &vms)?;
        let mut cluster = Self {
            ip,
            platform,
            platform_server,
            runners: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            links: Vec::new(),
            plan,
        };
        cluster.start_upstreams(&vms)?;
        for number in 0..cluster.plan.node_count {
            cluster.links.push(LinkFaults::default());
            cluster.nodes.push(None);
            cluster.start_node(number).await?;
        }
        cluster.confirm_first_intent().await?;
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Starts a node that was stopped, or one at the start.
    pub async fn start_node(&mut self, number: usize) -> io::Result<()> {
        let give_up_at = Instant::now() + READY_TIMEOUT;
        loop {
            let settings = self.settings(number);
            match Node::start_with(settings, self.links[number].clone()).await {
                Ok(node) => {
                    self.nodes[number] = Some(node);
                    return Ok(());
                }
                // Tasks of the node's last life may not have ended yet.
                Err(error) if Instant::now() > give_up_at => return Err(error),
                Err(_) => tokio::time::sleep(READY_POLL).await,
            }
        }
    }

    /// Starts a runner again that was killed, in a new life.
    pub fn restart_runner(&mut self, number: usize) -> io::Result<()> {
        let address = SocketAddr::new(self.ip, RUNNER_PORT + number as u16);
        let (engine, server) = StandInRunner::start(address, self.runner_profile())?;
        let runner = &mut self.runners[number];
        runner.engine = engine;
        runner.server = Some(server);
        Ok(())
    }

    /// Kills a runner, cutting its connections.
    pub async fn kill_runner(&mut self, number: usize) {
        if let Some(server) = self.runners[number].server.take() {
            server.kill().await;
        }
    }

    /// Stops everything, cutting what is open.
    pub async fn stop(self) {
        for node in self.nodes.into_iter().flatten() {
            node.kill().await;
        }
        for server in self.runners.into_iter().filter_map(|runner| runner.server) {
            server.kill().await;
        }
        for (_, server) in self.services {
            server.kill().await;
        }
        self.platform_server.kill().await;
    }

    /// Version of a model in the intent that was confirmed at the start.
    pub(crate) fn model_version(&self, model: &str) -> String {
        let model = self.plan.intent.models.get(model);
        model.map(|m| m.version.clone()).unwrap_or_default()
    }

    /// A caller that knows all nodes.
    pub fn caller(&self, key: &str, kind: &str) -> Caller {
        Caller::new(self.caller_addresses(), key, kind)
    }

    /// Where callers reach the nodes.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let numbers = 0..self.plan.node_count;
        numbers.map(|n| self.listen(n).callers).collect()
    }

    /// Where peers reach a node.
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        self.listen(number).peers
    }

    /// An operator at one node.
    pub fn operator(&self, number: usize) -> Operator {
        Operator::new(self.listen(number).operators, OPERATOR_KEY)
    }

    /// The runner with the most streams running now.
    pub fn busiest_runner(&self) -> usize {
        let opened = |r: &ClusterRunner| r.engine.running_count();
        let numbered = self.runners.iter().enumerate();
        let alive = numbered.filter(|(_, runner)| runner.server.is_some());
        alive.max_by_key(|(_, r)| opened(r)).map_or(0, |(n, _)| n)
    }

    /// The runner that has opened the most streams.
    pub fn busiest_opened(&self) -> usize {
        let opened = |r: &ClusterRunner| r.engine.ledger().opened_count;
        let numbered = self.runners.iter().enumerate();
        numbered
            .max_by_key(|(_, r)| opened(r))
            .map_or(0, |(n, _)| n)
    }

    /// The platform's list of VMs, to be changed and set again.
    pub fn vms(&self) -> Vec<Vm> {
        list_vms(&self.plan, self.ip)
    }

    /// Settings of one node.
    pub fn settings(&self, number: usize) -> Settings {
        let centres = &self.plan.data_centres;
        Settings {
            node: format!("n{}", number + 1),
            data_centre: centres[number % centres.len()].clone(),
            listen: self.listen(number),
            platform: SocketAddr::new(self.ip, PLATFORM_PORT),
            seeds: (0..self.plan.node_count.min(3))
                .map(|n| self.listen(n).peers)
                .collect(),
            operators: BTreeMap::from([("ops".to_owned(), key_hash(OPERATOR_KEY))]),
            metrics: None,
            timing: self.plan.timing,
            limits: Limits {
                body_max_bytes: 1024 * 1024,
                tokens_max: 100_000,
                stored_answer_max_bytes: 4096,
            },
            claims: self.plan.claims,
            load_spacing: self.plan.load_spacing,
        }
    }

    /// Waits until a condition holds, or gives up.
    pub async fn wait_for(&self, what: &str, holds: impl Fn(&Self) -> bool) -> io::Result<()> {
        let give_up_at = Instant::now() + READY_TIMEOUT;
        while !holds(self) {
            if Instant::now() > give_up_at {
                return Err(io::Error::other(format!("{what} did not come about")));
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    fn start_upstreams(&mut self, vms: &[Vm]) -> io::Result<()> {
        for vm in vms {
            match &vm.role {
                VmRole::Runner { .. } => {
                    let (engine, server) = StandInRunner::start(vm.address, self.runner_profile())?;
                    self.runners.push(ClusterRunner {
                        name: vm.vm.clone(),
                        engine,
                        server: Some(server),
                    });
                }
                VmRole::Service { .. } => {
                    self.services.push(StandInService::start(vm.address)?);
                }
            }
        }
        Ok(())
    }

    /// Engines hold every model of the intent from the start.
    fn runner_profile(&self) -> RunnerProfile {
        let mut profile = self.plan.runner_profile.clone();
        if profile.models.is_empty() {
            let models = self.plan.intent.models.iter();
            profile.models = models
                .map(|(name, model)| ModelVersion {
                    model: name.clone(),
                    version: model.version.clone(),
                    adapters: model.adapters.clone(),
                })
                .collect();
        }
        profile
    }

    async fn confirm_first_intent(&self) -> io::Result<()> {
        let operator = self.operator(0);
        let plan = operator.state_intent(&self.plan.intent).await;
        let plan = plan.map_err(io::Error::other)?;
        let confirmed = operator.confirm(&plan.intent_id, plan.base).await;
        confirmed.map(|_| ()).map_err(io::Error::other)
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        self.wait_for("readiness", |cluster| {
            let nodes = cluster.nodes.iter().flatten();
            let mut states = nodes.map(|node| {
                node.is_ready()
                    && node.alive_count() == cluster.plan.node_count
                    && node.reporting_runner_count() == cluster.plan.runner_count
            });
            states.all(|ready| ready)
        })
        .await
    }

    fn listen(&self, number: usize) -> Listen {
        let first = NODE_PORT + PORTS_PER_NODE * number as u16;
        Listen {
            callers: SocketAddr::new(self.ip, first),
            operators: SocketAddr::new(self.ip, first + 1),
            peers: SocketAddr::new(self.ip, first + 2),
        }
    }
}

fn list_vms(plan: &ClusterPlan, ip: IpAddr) -> Vec<Vm> {
    let centre = |number: usize| plan.data_centres[number % plan.data_centres.len()].clone();
    let runners = (0..plan.runner_count).map(|number| Vm {
        vm: format!("r{}", number + 1),
        address: SocketAddr::new(ip, RUNNER_PORT + number as u16),
        data_centre: centre(number),
        role: VmRole::Runner {
            checks_fence: plan.runner_profile.checks_fence,
        },
        state: VmState::Live,
    });
    let instances = plan
        .services
        .iter()
        .flat_map(|(service, count)| (0..*count).map(move |number| (service, number)));
    let services = instances
        .enumerate()
        .map(|(position, (service, number))| Vm {
            vm: format!("{service}-{}", number + 1),
            address: SocketAddr::new(ip, SERVICE_PORT + position as u16),
            data_centre: centre(number),
            role: VmRole::Service {
                service: service.clone(),
            },
            state: VmState::Live,
        });
    runners.chain(services).collect()
}

/// An address of this machine's loopback network that no other cluster uses,
/// so that fixed ports never collide.
fn fresh_ip() -> IpAddr {
    static CLUSTERS: AtomicU8 = AtomicU8::new(1);
    let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let high = 1 + (process / 250 % 250) as u8;
    let low = (process % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(127, high, low, number.max(1)))
}
