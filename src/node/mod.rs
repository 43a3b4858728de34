//! A node of the `serve` command: the listeners for callers, operators and
//! peers, and the background tasks of one entry VM.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::caller::caller_api::CallerApi;
use crate::claims::forwarder::ClaimForwarder;
use crate::claims::group_commit::GroupCommit;
use crate::clock::unix_ms;
use crate::configuration::config::Config;
use crate::configuration::document::DocumentStore;
use crate::configuration::document_exchange::DocumentExchange;
use crate::configuration::document_sync::DocumentSync;
use crate::configuration::intent_manager::IntentManager;
use crate::fleet::crash_tracker::{CRASH_TOPIC, CrashTracker, POISON_TOPIC};
use crate::fleet::runner::{RunnerClient, RunnerReport};
use crate::fleet::runner_watch::{RUNNER_TOPIC, RunnerWatch};
use crate::fleet::service::ServiceClient;
use crate::fleet::table::Fleet;
use crate::generation::dispatch::Dispatcher;
use crate::hash::rendezvous_order;
use crate::http::{HttpClient, serve};
use crate::id::Version;
use crate::listener::bind;
use crate::membership::control_traffic::ControlTraffic;
use crate::membership::gossip::{Membership, MembershipEvent, MembershipSettings};
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::Member;
use crate::membership::peer::{PeerClient, serve_peers};
use crate::node_state::{NodeState, PeerApi};
use crate::observe::metrics::{Counter, Metrics};
use crate::operator::operator_api::OperatorApi;
use crate::orders::reconciler::OrderReconciler;
use crate::settings::Settings;
use crate::shutdown::{Shutdown, ShutdownStage, ShutdownTrigger};
use crate::store::object_api::{CONFIG_KEY, PlatformClient, VMS_KEY, Vm};

/// Time between two checks whether runners must be ordered to load other models.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two updates of this node's share of the runners' slots. A runner
/// has a slot for each generation that it can run at the same time; the nodes
/// divide the slots among themselves.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay between a change of slots and the update of the shares, so that
/// reports of several runners are covered by one update.
const SHARE_UPDATE_DELAY: Duration = Duration::from_millis(5);
/// Number of requests added to the demand of every node when slots are divided
/// among the nodes, so that a node without demand gets a share and can start its
/// first request.
const BASE_DEMAND_PER_NODE: usize = 1;

/// A running node of the `serve` command. It serves callers and operators and
/// coordinates with the other nodes.
#[derive(Debug)]
pub struct Node {
    state: Arc<NodeState>,
    shutdown_trigger: Arc<ShutdownTrigger>,
    listeners: Vec<JoinHandle<()>>,
}

impl Node {
    /// Binds all addresses of `settings` and starts to serve.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        Self::start_with(settings, LinkFaults::default()).await
    }

    /// Starts a node with faults injected into its links to peers, for tests
    /// and experiments.
    pub async fn start_with(settings: Settings, faults: LinkFaults) -> io::Result<Self> {
        let (trigger, shutdown) = Shutdown::channel();
        let caller_listener = bind(settings.listen.callers)?;
        let operator_listener = bind(settings.listen.operators)?;
        let peer_listener = bind(settings.listen.peers)?;
        let (state, vms_sync) = assemble(settings, faults, &shutdown).await?;
        let background = BackgroundTasks {
            state: state.clone(),
            config_changed: state.config_sync.exchange.changed.subscribe(),
            vms_changed: vms_sync.exchange.changed.subscribe(),
        };
        background.start(vms_sync, &shutdown);
        let peer_traffic = state.peers.traffic().clone();
        let peer_api = Arc::new(PeerApi::new(state.clone()));
        let peer_shutdown = shutdown.clone();
        let listeners = vec![
            tokio::spawn(serve(
                caller_listener,
                Arc::new(CallerApi::new(state.clone())),
                shutdown.clone(),
            )),
            tokio::spawn(serve(
                operator_listener,
                Arc::new(OperatorApi::new(state.clone())),
                shutdown.clone(),
            )),
            tokio::spawn(async move {
                // Returns only when shutdown begins, and then without an error.
                let _ = serve_peers(peer_listener, peer_api, peer_traffic, peer_shutdown).await;
            }),
        ];
        Ok(Self {
            state,
            shutdown_trigger: Arc::new(trigger),
            listeners,
        })
    }

    /// Address at which the node listens for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.state.settings.listen.callers
    }

    /// Address at which the node listens for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.state.settings.listen.operators
    }

    /// Version of the configuration in force; zero if there is none.
    pub fn config_version(&self) -> Version {
        self.state.config.load().as_ref().map_or(0, |c| c.version)
    }

    /// The node's counters.
    pub fn metrics(&self) -> Arc<Metrics> {
        self.state.metrics.clone()
    }

    /// Messages and bytes exchanged between this node and its peers.
    pub fn control_traffic(&self) -> ControlTraffic {
        self.state.membership.traffic()
    }

    /// Number of nodes that this node considers alive, itself included.
    pub fn alive_count(&self) -> usize {
        self.state.membership.alive_count()
    }

    /// Number of runners on the platform's list of VMs of which this node has
    /// received a report.
    pub fn reporting_runner_count(&self) -> usize {
        let views = self.state.fleet.views();
        views.iter().filter(|view| view.has_reported).count()
    }

    /// Whether a configuration is in force and this node has slots for all its
    /// models.
    pub fn is_ready(&self) -> bool {
        self.state.ready_config().is_ok()
    }

    /// Starts to leave: the lists of node addresses that callers get (address
    /// answers) no longer name this node, but requests that still arrive are
    /// served.
    pub fn leave(&self) {
        self.state.membership.leave();
        self.shutdown_trigger.advance(ShutdownStage::Leaving);
    }

    /// Stops gracefully: leaves, waits until every address answer that names
    /// this node has expired, closes its listeners, completes the requests in
    /// flight, and announces to its peers that it has left. When `skip_wait`
    /// resolves, the wait for the address answers ends early; requests in
    /// flight are completed all the same.
    pub async fn drain(self, skip_wait: impl Future<Output = ()>) {
        self.leave();
        tokio::select! {
            () = tokio::time::sleep(self.state.settings.timing.address_keep) => {}
            () = skip_wait => {}
        }
        self.shutdown_trigger.advance(ShutdownStage::Closing);
        for listener in self.listeners {
            let _ = listener.await;
        }
        self.state.tasks.close();
        self.state.tasks.wait().await;
        self.state.membership.announce_left();
        self.shutdown_trigger.abort();
    }

    /// Aborts all tasks and closes all connections at once, as if the process
    /// had been killed.
    pub fn abort(&self) {
        self.shutdown_trigger.abort();
    }

    /// Like [`Node::abort`], but also waits until the listeners and all requests
    /// have ended.
    pub async fn kill(self) {
        self.abort();
        for listener in self.listeners {
            let _ = listener.await;
        }
        self.state.tasks.close();
        self.state.tasks.wait().await;
    }
}

/// Creates the components of a node and starts membership and the claim writer.
/// The listeners and the other background tasks are not started yet.
async fn assemble(
    settings: Settings,
    faults: LinkFaults,
    shutdown: &Shutdown,
) -> io::Result<(Arc<NodeState>, DocumentSync)> {
    let http = HttpClient::new();
    let peers = PeerClient::default();
    let membership = Membership::start_with(
        membership_settings(&settings, faults.clone()),
        peers.clone(),
        shutdown.clone(),
    )
    .await?;
    let platform = PlatformClient::new(settings.platform, http.clone());
    let documents = Arc::new(DocumentStore::default());
    let document_sync = |name| DocumentSync {
        exchange: DocumentExchange {
            name,
            documents: documents.clone(),
            membership: membership.clone(),
            peers: peers.clone(),
            faults: faults.clone(),
            changed: watch::Sender::new(0),
        },
        platform: platform.clone(),
    };
    let metrics = Arc::new(Metrics::default());
    let fleet = Arc::new(Fleet::default());
    let runners = RunnerClient::new(HttpClient::for_streams());
    let crash_tracker = Arc::new(CrashTracker::new(
        fleet.clone(),
        runners.clone(),
        membership.clone(),
        peers.clone(),
        metrics.clone(),
    ));
    let dispatcher = Dispatcher::new(
        fleet.clone(),
        runners,
        crash_tracker.clone(),
        metrics.clone(),
        settings.timing.leaving_bound,
    );
    let group_commit = GroupCommit::start(&platform, settings.claims);
    let state = NodeState {
        config_sync: document_sync(CONFIG_KEY),
        intents: IntentManager::new(platform.clone(), settings.node.clone()),
        claims: ClaimForwarder::new(
            group_commit,
            membership.clone(),
            peers.clone(),
            faults.clone(),
        ),
        services: ServiceClient::new(http.clone(), fleet.clone()),
        dispatcher: Arc::new(dispatcher),
        crash_tracker,
        admission: Arc::default(),
        config: ArcSwapOption::empty(),
        tasks: TaskTracker::new(),
        abort_token: shutdown.abort_token(),
        platform: platform.clone(),
        membership: membership.clone(),
        peers: peers.clone(),
        documents: documents.clone(),
        fleet,
        metrics,
        settings,
    };
    Ok((Arc::new(state), document_sync(VMS_KEY)))
}

fn membership_settings(settings: &Settings, faults: LinkFaults) -> MembershipSettings {
    MembershipSettings {
        me: Member {
            node: settings.node.clone(),
            incarnation: unix_ms(),
            peer_address: settings.listen.peers,
            caller_address: settings.listen.callers,
            data_centre: settings.data_centre.clone(),
            leaving: false,
            demand_count: 0,
        },
        seeds: settings.seeds.clone(),
        interval: settings.timing.probe_interval,
        faults,
    }
}

/// The background tasks of a node, which run until the node is aborted.
struct BackgroundTasks {
    state: Arc<NodeState>,
    config_changed: watch::Receiver<Version>,
    vms_changed: watch::Receiver<Version>,
}

impl BackgroundTasks {
    fn start(self, vms_sync: DocumentSync, shutdown: &Shutdown) {
        let state = self.state;
        let spawn = |task| spawn_until_aborted(shutdown, task);
        spawn(Box::pin(state.config_sync.clone().run()));
        spawn(Box::pin(vms_sync.run()));
        spawn(Box::pin(apply_config(state.clone(), self.config_changed)));
        spawn(Box::pin(apply_vms(state.clone(), self.vms_changed)));
        spawn(Box::pin(follow_announcements(state.clone())));
        spawn(Box::pin(watch_runners(state.clone())));
        spawn(Box::pin(reconcile_orders(state.clone())));
        spawn(Box::pin(update_slot_shares(state.clone())));
        if let Some(collector) = state.settings.metrics {
            let metrics = state.metrics.clone();
            spawn(Box::pin(async move {
                if let Err(error) = metrics.deliver(collector).await {
                    log::error!(
                        "cannot send metrics to the StatsD collector at {collector}: {error}"
                    );
                }
            }));
        }
    }
}

type BackgroundTask = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

fn spawn_until_aborted(shutdown: &Shutdown, task: BackgroundTask) {
    let abort_token = shutdown.abort_token();
    tokio::spawn(async move {
        abort_token.run_until_cancelled(task).await;
    });
}

async fn apply_config(state: Arc<NodeState>, mut changed: watch::Receiver<Version>) {
    while changed.changed().await.is_ok() {
        let Some(object) = state.documents.get(CONFIG_KEY) else {
            continue;
        };
        let in_force = state.config.load().as_ref().map_or(0, |c| c.version);
        if object.version <= in_force {
            state.metrics.add(Counter::StaleConfigs, 1);
            continue;
        }
        match Config::from_object(&object) {
            Some(config) => {
                log::info!("configuration {} is in force", config.version);
                state.metrics.add(Counter::Configs, 1);
                state.config.store(Some(Arc::new(config)));
            }
            None => log::error!(
                "configuration {} cannot be parsed; the previous one stays in force",
                object.version
            ),
        }
    }
}

async fn apply_vms(state: Arc<NodeState>, mut changed: watch::Receiver<Version>) {
    while changed.changed().await.is_ok() {
        let Some(object) = state.documents.get(VMS_KEY) else {
            continue;
        };
        match serde_json::from_slice::<Vec<Vm>>(&object.body) {
            Ok(vms) => state.fleet.replace_vms(&vms),
            Err(error) => {
                log::error!("the VM list cannot be parsed; the previous one stays in use: {error}")
            }
        }
        // A report that arrived before its runner was on the VM list was
        // ignored, so the latest reports are applied once more.
        for announcement in state.membership.announcements(RUNNER_TOPIC) {
            apply_report(&state, &announcement.key, &announcement.body);
        }
    }
}

async fn follow_announcements(state: Arc<NodeState>) {
    let mut events = state.membership.subscribe();
    loop {
        match events.recv().await {
            Ok(MembershipEvent::Announced(announcement)) => match announcement.topic {
                CRASH_TOPIC | POISON_TOPIC => state.crash_tracker.apply_announcement(&announcement),
                RUNNER_TOPIC => apply_report(&state, &announcement.key, &announcement.body),
                _ => {}
            },
            Ok(MembershipEvent::Document { .. }) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

fn apply_report(state: &NodeState, runner: &str, body: &[u8]) {
    if let Ok(report) = serde_json::from_slice::<RunnerReport>(body) {
        state.fleet.apply_announced_report(runner, &report);
    }
}

async fn watch_runners(state: Arc<NodeState>) {
    let client = RunnerClient::new(HttpClient::new());
    let mut watch = RunnerWatch::new(state.fleet.clone(), client, state.membership.clone());
    let interval = state.settings.timing.watch_interval;
    loop {
        let next = tokio::time::sleep(interval);
        watch.poll(interval).await;
        next.await;
    }
}

async fn reconcile_orders(state: Arc<NodeState>) {
    let mut reconciler = OrderReconciler::new(
        state.platform.clone(),
        &state.membership.me().claimant(),
        state.settings.timing.order_lease,
        state.fleet.clone(),
        RunnerClient::new(HttpClient::new()),
        state.metrics.clone(),
        state.settings.load_spacing,
    );
    loop {
        tokio::time::sleep(ORDER_CHECK_INTERVAL).await;
        let Some(config) = state.config.load_full() else {
            continue;
        };
        if is_order_candidate(&state) {
            reconciler.reconcile(&config).await;
        }
    }
}

/// Whether this node is the one that tries to acquire the lease under which
/// orders (which models a runner must load) are sent. The choice only keeps nodes
/// from competing for the lease: two nodes may both consider themselves chosen,
/// and the lease keeps them from both sending orders.
fn is_order_candidate(state: &NodeState) -> bool {
    let alive = state.membership.alive();
    let candidates = alive.iter().filter(|member| !member.leaving);
    let order = rendezvous_order(0, candidates.map(|member| member.node.as_str()));
    order.first() == Some(&state.settings.node.as_str())
}

/// Limits the generations that this node runs at the same time to its share of
/// each model's slots. The share follows from the node's own demand (its requests
/// in flight and queued) and from the demand that the other nodes announce.
async fn update_slot_shares(state: Arc<NodeState>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SHARE_UPDATE_INTERVAL) => {}
            // A node that has just started knows few runners. Until the next
            // regular update it would refuse callers for lack of slots.
            () = state.fleet.wait_for_slot_change() => tokio::time::sleep(SHARE_UPDATE_DELAY).await,
        }
        let own = state.admission.demand_count();
        state.membership.set_demand(own as u32);
        let Some(config) = state.config.load_full() else {
            continue;
        };
        let shares = SlotShares::new(&state.membership, own);
        for model in config.intent().models.keys() {
            let slots = state
                .fleet
                .slot_count(model, &config.servable_versions(model));
            state
                .admission
                .set_slots(model, shares.slots_of(slots as usize));
        }
    }
}

/// The demand (requests in flight and queued) of this node and of all others,
/// from which this node's share of a model's slots follows.
struct SlotShares {
    own_demand: usize,
    others_demand: usize,
    node_count: usize,
}

impl SlotShares {
    fn new(membership: &Membership, own_demand: usize) -> Self {
        let me = membership.me().node;
        let alive = membership.alive();
        let others = alive.iter().filter(|member| member.node != me);
        Self {
            own_demand,
            others_demand: others.map(|member| member.demand_count as usize).sum(),
            node_count: alive.len(),
        }
    }

    /// The share of `slot_count` slots in proportion to this node's demand, or
    /// all slots that the demand of the other nodes leaves free if those are
    /// more.
    fn slots_of(&self, slot_count: usize) -> usize {
        let base_demand = self.node_count * BASE_DEMAND_PER_NODE;
        let total_demand = self.own_demand + self.others_demand + base_demand;
        let own_part = (self.own_demand + BASE_DEMAND_PER_NODE) as f64 / total_demand as f64;
        let by_demand = (slot_count as f64 * own_part).round() as usize;
        let left_free = slot_count.saturating_sub(self.others_demand);
        // At least one if there are any, so that a node can always start a
        // request.
        by_demand.max(left_free).max(usize::from(slot_count > 0))
    }
}
