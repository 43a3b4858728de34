//! A complete deployment on loopback inside one process, for the demonstration,
//! the experiments and the tests.
//!
//! Nodes and sockets are real. Stand-ins, which are test doubles, replace the
//! platform that hosts the VMs and stores objects, the runners that generate
//! answers, and the instances of plain services.

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

/// Key that operators of a local cluster authenticate with.
pub const OPERATOR_KEY: &str = "operator-key";

const PLATFORM_PORT: u16 = 7000;
const FIRST_RUNNER_PORT: u16 = 7200;
const FIRST_SERVICE_PORT: u16 = 9200;
const FIRST_NODE_PORT: u16 = 9400;
/// A node listens for callers, operators and peers, on a port each.
const PORTS_PER_NODE: u16 = 3;
/// Time-out of waits for a condition, such as the readiness of the cluster.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size, intent and settings of a local cluster.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Data centres. Nodes, runners and instances are assigned to them in turn.
    pub data_centres: Vec<String>,
    /// Number of nodes.
    pub node_count: usize,
    /// Number of runners.
    pub runner_count: usize,
    /// Behaviour of the runners. If it lists no models, the runners have every
    /// model of the intent loaded from the start.
    pub runner_profile: RunnerProfile,
    /// Number of instances of each service.
    pub services: BTreeMap<String, usize>,
    /// Intent (the models, customers and services that operators want) that is
    /// confirmed when the cluster starts.
    pub intent: Intent,
    /// Intervals and time-outs of the nodes.
    pub timing: Timing,
    /// Settings for the storage of claims, by which calls are executed at most
    /// once.
    pub claims: ClaimSettings,
    /// Minimum time between two loads of models from the weight store.
    pub load_spacing: Duration,
}

impl ClusterPlan {
    /// A plan without services, with intervals short enough for tests.
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

    /// Sets the number of instances of a service.
    pub fn with_service(mut self, service: &str, instance_count: usize) -> Self {
        self.services.insert(service.to_owned(), instance_count);
        self
    }
}

/// One runner of a local cluster.
#[derive(Debug)]
pub struct ClusterRunner {
    /// Name of the runner's VM.
    pub name: String,
    /// The stand-in that acts as the runner.
    pub engine: Arc<StandInRunner>,
    /// The runner's server; `None` after the runner was killed.
    pub server: Option<StandIn>,
}

/// A started cluster: its stand-ins and its nodes.
#[derive(Debug)]
pub struct LocalCluster {
    plan: ClusterPlan,
    ip: IpAddr,
    /// The stand-in for the platform.
    pub platform: Arc<StandInPlatform>,
    /// Server of the stand-in for the platform.
    pub platform_server: StandIn,
    /// Runners, by number.
    pub runners: Vec<ClusterRunner>,
    /// Instances of services, each with its server.
    pub services: Vec<(Arc<StandInService>, StandIn)>,
    /// Nodes, by number; `None` where a node was stopped.
    pub nodes: Vec<Option<Node>>,
    /// Faults that can be injected on each node's links to its peers.
    pub links: Vec<LinkFaults>,
}

impl LocalCluster {
    /// Starts the stand-ins and the nodes, confirms the plan's intent, and waits
    /// until every node applies the configuration made from it and can serve all
    /// its models, sees all nodes alive, and has a report of every runner.
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

    /// Starts a node for the first time, or again after it was stopped.
    pub async fn start_node(&mut self, number: usize) -> io::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let settings = self.settings(number);
            match Node::start_with(settings, self.links[number].clone()).await {
                Ok(node) => {
                    self.nodes[number] = Some(node);
                    return Ok(());
                }
                // Tasks of the node's previous incarnation may still hold its
                // ports.
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => tokio::time::sleep(WAIT_POLL_INTERVAL).await,
            }
        }
    }

    /// Starts a killed runner again, with a new incarnation number, by which nodes
    /// notice the restart.
    pub fn restart_runner(&mut self, number: usize) -> io::Result<()> {
        let address = SocketAddr::new(self.ip, FIRST_RUNNER_PORT + number as u16);
        let (engine, server) = StandInRunner::start(address, self.runner_profile())?;
        let runner = &mut self.runners[number];
        runner.engine = engine;
        runner.server = Some(server);
        Ok(())
    }

    /// Kills a runner, which closes its connections abruptly.
    pub async fn kill_runner(&mut self, number: usize) {
        if let Some(server) = self.runners[number].server.take() {
            server.kill().await;
        }
    }

    /// Stops all nodes and stand-ins, and closes open connections abruptly.
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

    /// Version of a model in the plan's intent; empty if the intent has no such
    /// model.
    pub(crate) fn model_version(&self, model: &str) -> String {
        let model = self.plan.intent.models.get(model);
        model.map(|m| m.version.clone()).unwrap_or_default()
    }

    /// A caller that knows the addresses of all nodes.
    pub fn caller(&self, key: &str, kind: &str) -> Caller {
        Caller::new(self.caller_addresses(), key, kind)
    }

    /// Addresses at which the nodes listen for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let numbers = 0..self.plan.node_count;
        numbers.map(|n| self.listen(n).callers).collect()
    }

    /// Address at which a node listens for its peers.
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        self.listen(number).peers
    }

    /// An operator that sends its requests to one node.
    pub fn operator(&self, number: usize) -> Operator {
        Operator::new(self.listen(number).operators, OPERATOR_KEY)
    }

    /// Number of the live runner that generates the most streams now.
    pub fn busiest_runner(&self) -> usize {
        let running_count = |r: &ClusterRunner| r.engine.running_count();
        let numbered = self.runners.iter().enumerate();
        let alive = numbered.filter(|(_, runner)| runner.server.is_some());
        alive
            .max_by_key(|(_, r)| running_count(r))
            .map_or(0, |(n, _)| n)
    }

    /// Number of the runner that has opened the most streams since its start.
    pub fn most_opened_runner(&self) -> usize {
        let opened_count = |r: &ClusterRunner| r.engine.ledger().opened_count;
        let numbered = self.runners.iter().enumerate();
        numbered
            .max_by_key(|(_, r)| opened_count(r))
            .map_or(0, |(n, _)| n)
    }

    /// The list of VMs that the platform had at the start, from which tests can
    /// make changed lists.
    pub fn vms(&self) -> Vec<Vm> {
        list_vms(&self.plan, self.ip)
    }

    /// Settings that a node starts with.
    pub fn settings(&self, number: usize) -> Settings {
        let data_centres = &self.plan.data_centres;
        Settings {
            node: format!("n{}", number + 1),
            data_centre: data_centres[number % data_centres.len()].clone(),
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

    /// Waits until the condition `holds`. `what` names it in the error after a
    /// time-out.
    pub async fn wait_for(&self, what: &str, holds: impl Fn(&Self) -> bool) -> io::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            if Instant::now() > deadline {
                return Err(io::Error::other(format!(
                    "local cluster: timed out waiting for {what}"
                )));
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
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

    /// Profile of the runners. If the plan states no models, every model of the
    /// intent is loaded from the start.
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
            let mut readiness = nodes.map(|node| {
                node.is_ready()
                    && node.alive_count() == cluster.plan.node_count
                    && node.reporting_runner_count() == cluster.plan.runner_count
            });
            readiness.all(|is_ready| is_ready)
        })
        .await
    }

    fn listen(&self, number: usize) -> Listen {
        let first_port = FIRST_NODE_PORT + PORTS_PER_NODE * number as u16;
        Listen {
            callers: SocketAddr::new(self.ip, first_port),
            operators: SocketAddr::new(self.ip, first_port + 1),
            peers: SocketAddr::new(self.ip, first_port + 2),
        }
    }
}

/// VMs of all runners and instances of a plan.
fn list_vms(plan: &ClusterPlan, ip: IpAddr) -> Vec<Vm> {
    let data_centre = |number: usize| plan.data_centres[number % plan.data_centres.len()].clone();
    let runners = (0..plan.runner_count).map(|number| Vm {
        vm: format!("r{}", number + 1),
        address: SocketAddr::new(ip, FIRST_RUNNER_PORT + number as u16),
        data_centre: data_centre(number),
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
            address: SocketAddr::new(ip, FIRST_SERVICE_PORT + position as u16),
            data_centre: data_centre(number),
            role: VmRole::Service {
                service: service.clone(),
            },
            state: VmState::Live,
        });
    runners.chain(services).collect()
}

/// A loopback address for one cluster, derived from the process id and a
/// counter, so that clusters with the same fixed ports do not collide.
fn fresh_ip() -> IpAddr {
    static CLUSTERS: AtomicU8 = AtomicU8::new(1);
    let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let high = 1 + (process / 250 % 250) as u8;
    let low = (process % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(127, high, low, number.max(1)))
}
