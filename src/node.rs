//! One node: everything that runs on one entry VM.

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
use crate::stand_in::server::bind;
use crate::store::object_api::{CONFIG_KEY, PlatformClient, VMS_KEY, Vm};

/// Time between looks at what orders are due.
const ORDER_INTERVAL: Duration = Duration::from_millis(500);
/// Time between adjustments of this node's share of the slots.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which news of runners gathers before shares follow it.
const SHARE_SETTLE: Duration = Duration::from_millis(5);
/// Every node gets at least the share of this much demand, so that one with
/// none can begin.
const SHARE_BASE: usize = 1;

/// A running node.
#[derive(Debug)]
pub struct Node {
    state: Arc<NodeState>,
    trigger: Arc<ShutdownTrigger>,
    listeners: Vec<JoinHandle<()>>,
}

impl Node {
    /// Binds all addresses of `settings` and starts to serve.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        Self::start_with(settings, LinkFaults::default()).await
    }

    /// Starts a node whose links to its peers have faults that tests order.
    pub async fn start_with(settings: Settings, faults: LinkFaults) -> io::Result<Self> {
        let (trigger, shutdown) = Shutdown::channel();
        let callers = bind(settings.listen.callers)?;
        let operators = bind(settings.listen.operators)?;
        let peers = bind(settings.listen.peers)?;
        let (state, vms_sync) = assemble(settings, faults, &shutdown).await?;
        let background = Background {
            state: state.clone(),
            config_changed: state.config_sync.exchange.changed.subscribe(),
            vms_changed: vms_sync.exchange.changed.subscribe(),
        };
        background.start(vms_sync, &shutdown);
        let peer_traffic = state.peers.traffic().clone();
        let peer_api = Arc::new(PeerApi::new(state.clone()));
        let for_peers = shutdown.clone();
        let listeners = vec![
            tokio::spawn(serve(
                callers,
                Arc::new(CallerApi::new(state.clone())),
                shutdown.clone(),
            )),
            tokio::spawn(serve(
                operators,
                Arc::new(OperatorApi::new(state.clone())),
                shutdown.clone(),
            )),
            tokio::spawn(async move {
                // The listener only ends with the node.
                let _ = serve_peers(peers, peer_api, peer_traffic, for_peers).await;
            }),
        ];
        Ok(Self {
            state,
            trigger: Arc::new(trigger),
            listeners,
        })
    }

    /// Where callers reach the node.
    pub fn caller_address(&self) -> SocketAddr {
        self.state.settings.listen.callers
    }

    /// Where operators reach the node.
    pub fn operator_address(&self) -> SocketAddr {
        self.state.settings.listen.operators
    }

    /// Version of the configuration in force; zero when there is none.
    pub fn config_version(&self) -> Version {
        self.state.config.load().as_ref().map_or(0, |c| c.version)
    }

    /// The node's counters.
    pub fn metrics(&self) -> Arc<Metrics> {
        self.state.metrics.clone()
    }

    /// Messages and bytes between this node and its peers.
    pub fn control_traffic(&self) -> ControlTraffic {
        self.state.membership.traffic()
    }

    /// How many nodes this one believes to live, itself included.
    pub fn alive_count(&self) -> usize {
        self.state.membership.alive_count()
    }

    /// How many runners have told this node what they hold.
    pub fn known_runner_count(&self) -> usize {
        let views = self.state.fleet.views();
        views.iter().filter(|view| view.has_reported).count()
    }

    /// Whether requests for every model of the configuration can be served.
    pub fn is_ready(&self) -> bool {
        self.state.ready_config().is_ok()
    }

    /// Begins to leave: callers are no longer sent here, and those that come
    /// are still served.
    pub fn leave(&self) {
        self.state.membership.leave();
        self.trigger.advance(ShutdownStage::Leaving);
    }

    /// Stops gracefully: leaves, waits until every address answer that names
    /// this node has run out, takes no new connection, ends every request in
    /// flight, and says goodbye. `hurry` cuts the wait short, nothing else.
    pub async fn drain(self, hurry: impl Future<Output = ()>) {
        self.leave();
        tokio::select! {
            () = tokio::time::sleep(self.state.settings.timing.address_keep) => {}
            () = hurry => {}
        }
        self.trigger.advance(ShutdownStage::Closing);
        for listener in self.listeners {
            let _ = listener.await;
        }
        self.state.tasks.close();
        self.state.tasks.wait().await;
        self.state.membership.announce_left();
        self.trigger.abort();
    }

    /// Cuts everything at once, as the death of the process would.
    pub fn abort(&self) {
        self.trigger.abort();
    }

    /// Stops as a killed process would, and waits until all is cut.
    pub async fn kill(self) {
        self.abort();
        for listener in self.listeners {
            let _ = listener.await;
        }
        self.state.tasks.close();
        self.state.tasks.wait().await;
    }
}

/// Builds the parts of a node, which do nothing yet.
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
    let sync = |name| DocumentSync {
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
    let crashes = Arc::new(CrashTracker::new(
        fleet.clone(),
        runners.clone(),
        membership.clone(),
        peers.clone(),
        metrics.clone(),
    ));
    let dispatcher = Dispatcher::new(
        fleet.clone(),
        runners,
        crashes.clone(),
        metrics.clone(),
        settings.timing.leaving_bound,
    );
    let group_commit = GroupCommit::start(&platform, settings.claims);
    let state = NodeState {
        config_sync: sync(CONFIG_KEY),
        intents: IntentManager::new(platform.clone(), settings.node.clone()),
        claims: ClaimForwarder::new(
            group_commit,
            membership.clone(),
            peers.clone(),
            faults.clone(),
        ),
        services: ServiceClient::new(http.clone(), fleet.clone()),
        dispatcher: Arc::new(dispatcher),
        crashes,
        admission: Arc::default(),
        config: ArcSwapOption::empty(),
        tasks: TaskTracker::new(),
        aborted: shutdown.abort_token(),
        platform: platform.clone(),
        membership: membership.clone(),
        peers: peers.clone(),
        documents: documents.clone(),
        fleet,
        metrics,
        settings,
    };
    Ok((Arc::new(state), sync(VMS_KEY)))
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

/// The tasks of a node that no request started.
struct Background {
    state: Arc<NodeState>,
    config_changed: watch::Receiver<Version>,
    vms_changed: watch::Receiver<Version>,
}

impl Background {
    fn start(self, vms_sync: DocumentSync, shutdown: &Shutdown) {
        let state = self.state;
        let spawn = |task| spawn_until_aborted(shutdown, task);
        spawn(Box::pin(state.config_sync.clone().run()));
        spawn(Box::pin(vms_sync.run()));
        spawn(Box::pin(apply_config(state.clone(), self.config_changed)));
        spawn(Box::pin(apply_vms(state.clone(), self.vms_changed)));
        spawn(Box::pin(follow_announcements(state.clone())));
        spawn(Box::pin(watch_runners(state.clone())));
        spawn(Box::pin(give_orders(state.clone())));
        spawn(Box::pin(adjust_shares(state.clone())));
        if let Some(collector) = state.settings.metrics {
            let metrics = state.metrics.clone();
            spawn(Box::pin(async move {
                if let Err(error) = metrics.deliver(collector).await {
                    log::error!("counters are not delivered: {error}");
                }
            }));
        }
    }
}

type BackgroundTask = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

fn spawn_until_aborted(shutdown: &Shutdown, task: BackgroundTask) {
    let aborted = shutdown.abort_token();
    tokio::spawn(async move {
        aborted.run_until_cancelled(task).await;
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
            None => log::error!("configuration {} is unreadable", object.version),
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
            Err(error) => log::error!("the VM list is unreadable: {error}"),
        }
        // Reports of runners that were not on the list yet count now.
        for announcement in state.membership.announcements(RUNNER_TOPIC) {
            learn_report(&state, &announcement.key, &announcement.body);
        }
    }
}

async fn follow_announcements(state: Arc<NodeState>) {
    let mut news = state.membership.subscribe();
    loop {
        match news.recv().await {
            Ok(MembershipEvent::Announced(announcement)) => match announcement.topic {
                CRASH_TOPIC | POISON_TOPIC => state.crashes.apply_announcement(&announcement),
                RUNNER_TOPIC => learn_report(&state, &announcement.key, &announcement.body),
                _ => {}
            },
            Ok(MembershipEvent::Document { .. }) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

fn learn_report(state: &NodeState, runner: &str, body: &[u8]) {
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

async fn give_orders(state: Arc<NodeState>) {
    let mut giver = OrderReconciler::new(
        state.platform.clone(),
        &state.membership.me().claimant(),
        state.settings.timing.order_lease,
        state.fleet.clone(),
        RunnerClient::new(HttpClient::new()),
        state.metrics.clone(),
        state.settings.load_spacing,
    );
    loop {
        tokio::time::sleep(ORDER_INTERVAL).await;
        let Some(config) = state.config.load_full() else {
            continue;
        };
        if is_order_holder(&state) {
            giver.reconcile(&config).await;
        }
    }
}

/// Only one node asks for the lease at a time; the lease, not this, is what
/// keeps two from acting.
fn is_order_holder(state: &NodeState) -> bool {
    let alive = state.membership.alive();
    let staying = alive.iter().filter(|member| !member.leaving);
    let order = rendezvous_order(0, staying.map(|member| member.node.as_str()));
    order.first() == Some(&state.settings.node.as_str())
}

/// Takes this node's share of each model's slots, as far as the demand of the
/// others is known.
async fn adjust_shares(state: Arc<NodeState>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SHARE_INTERVAL) => {}
            // A share of the few runners known a moment ago would turn callers
            // away from a node that has just started.
            () = state.fleet.wait_for_slot_change() => tokio::time::sleep(SHARE_SETTLE).await,
        }
        let own = state.admission.demand_count();
        state.membership.set_demand(own as u32);
        let Some(config) = state.config.load_full() else {
            continue;
        };
        let shares = Shares::new(&state.membership, own);
        for model in config.intent().models.keys() {
            let slots = state
                .fleet
                .slot_count(model, &config.servable_versions(model));
            state.admission.set_slots(model, shares.of(slots as usize));
        }
    }
}

/// This node's demand beside that of all others.
struct Shares {
    own_count: usize,
    others_count: usize,
    node_count: usize,
}

impl Shares {
    fn new(membership: &Membership, own_count: usize) -> Self {
        let me = membership.me().node;
        let alive = membership.alive();
        let others = alive.iter().filter(|member| member.node != me);
        Self {
            own_count,
            others_count: others.map(|member| member.demand_count as usize).sum(),
            node_count: alive.len(),
        }
    }

    /// The part that this node's demand has in the demand of all, or whatever
    /// the others leave free, if that is more.
    fn of(&self, slot_count: usize) -> usize {
        let base = self.node_count * SHARE_BASE;
        let total = self.own_count + self.others_count + base;
        let part = (self.own_count + SHARE_BASE) as f64 / total as f64;
        let by_demand = (slot_count as f64 * part).round() as usize;
        let left_free = slot_count.saturating_sub(self.others_count);
        // A node with demand must be able to begin something.
        by_demand.max(left_free).max(usize::from(slot_count > 0))
    }
}
