//! A node of the `serve` command: the listeners for callers, operators and
//! peers, and the background tasks of one entry VM.

mod background;
mod slot_shares;
#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::caller::caller_api::CallerApi;
use crate::claims::forwarder::ClaimForwarder;
use crate::claims::group_commit::GroupCommit;
use crate::clock::unix_ms;
use crate::configuration::document::DocumentStore;
use crate::configuration::document_exchange::DocumentExchange;
use crate::configuration::document_sync::DocumentSync;
use crate::configuration::intent_manager::IntentManager;
use crate::fleet::crash_tracker::CrashTracker;
use crate::fleet::runner::RunnerClient;
use crate::fleet::service::ServiceClient;
use crate::fleet::table::Fleet;
use crate::generation::dispatch::Dispatcher;
use crate::http::{HttpClient, serve};
use crate::id::Version;
use crate::listener::bind;
use crate::membership::control_traffic::ControlTraffic;
use crate::membership::gossip::{Membership, MembershipSettings};
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::Member;
use crate::membership::peer::PeerClient;
use crate::membership::peer_server::serve_peers;
use crate::node::background::BackgroundTasks;
use crate::node_state::{NodeState, PeerApi};
use crate::observe::metrics::Metrics;
use crate::operator::operator_api::OperatorApi;
use crate::settings::Settings;
use crate::shutdown::{Shutdown, ShutdownStage, ShutdownTrigger};
use crate::store::object_api::{CONFIG_KEY, PlatformClient, VMS_KEY};

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
            relay_port: 0,
            data_centre: settings.data_centre.clone(),
            leaving: false,
            demand_count: 0,
        },
        seeds: settings.seeds.clone(),
        interval: settings.timing.probe_interval,
        faults,
    }
}
