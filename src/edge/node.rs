//! Starts and stops an entry node: binds its addresses, connects its parts and
//! spawns its background tasks.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::caller_handler::CallerHandler;
use super::cluster_view::{ChangeBounds, ClusterView};
use super::drain::{abort_time, wait_until_drained};
use super::observations;
use super::peer_api::EdgePeerApi;
use super::peer_permits::PeerPermits;
use super::peer_relay::PeerRelay;
use super::peer_retry_budget::PeerRetryBudget;
use super::peer_run_origins::PeerRunOrigins;
use super::relay_api::RelayApi;
use super::rollouts::RolloutCoordinator;
use super::served_versions::ServedVersionsWriter;
use super::settings::EdgeSettings;
use super::status_api::StatusApi;
use super::store_watch::{ROUTING_DOCUMENT, StoreWatch};
use super::stored_crashes::StoredCrashes;
use super::stored_run_origins::StoredRunOrigins;
use crate::clock::unix_ms;
use crate::configuration::document::DocumentStore;
use crate::configuration::document_exchange::DocumentExchange;
use crate::connection_bound::ConnectionBound;
use crate::forward::caller_departures::CallerDepartures;
use crate::forward::directory::Directory;
use crate::forward::forwarder::Forwarder;
use crate::forward::hedges::Hedges;
use crate::forward::observation::Observations;
use crate::forward::reach_monitor::ReachMonitor;
use crate::forward::request_crashes::RequestCrashes;
use crate::forward::reread_queue::RereadQueue;
use crate::forward::resume_queue::ResumeQueue;
use crate::forward::retry_budgets::RetryBudgets;
use crate::forward::rollouts::Rollouts;
use crate::forward::run_origin::RunOrigins;
use crate::forward::sessions::Sessions;
use crate::forward::startup_wait::StartupWait;
use crate::http::{Handler, serve};
use crate::listener::bind;
use crate::membership::gossip::{Membership, MembershipSettings};
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::Member;
use crate::membership::peer::PeerClient;
use crate::membership::peer_server::serve_peers;
use crate::memory::budget::MemoryBudget;
use crate::observe::metrics::Metrics;
use crate::platform::store::Store;
use crate::policy::connection_shares::ConnectionShares;
use crate::policy::memory_shares::MemoryShares;
use crate::shutdown::{Shutdown, ShutdownStage, ShutdownTrigger};

/// Interval at which other nodes are probed for liveness.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which the list of live nodes is copied into the cluster view.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(250);

/// An entry node, which serves callers and peers from [`Self::start`] until
/// [`Self::drain`] returns.
pub struct EdgeNode {
    settings: EdgeSettings,
    membership: Membership,
    forwarder: Arc<Forwarder<ClusterView>>,
    caller_server: CallServer,
    relay_server: CallServer,
    trigger: ShutdownTrigger,
}

/// A server for calls, which stops before the other tasks of the node.
#[derive(Debug)]
struct CallServer {
    trigger: ShutdownTrigger,
    /// Ends when all connections are closed.
    task: JoinHandle<()>,
}

impl CallServer {
    fn start<H: Handler>(address: SocketAddr, handler: H) -> io::Result<Self> {
        let (trigger, shutdown) = Shutdown::channel();
        let task = tokio::spawn(serve(bind(address)?, Arc::new(handler), shutdown));
        Ok(Self { trigger, task })
    }

    /// Closes each connection after the answer in progress, and aborts those that
    /// are open after `timeout`.
    async fn close(self, timeout: Duration) {
        self.trigger.advance(ShutdownStage::Closing);
        // Fails if answers are still being sent, whose connections are then aborted.
        let _ = tokio::time::timeout(timeout, self.task).await;
        self.trigger.abort();
    }
}

impl EdgeNode {
    /// Binds all addresses and starts to serve. Counters are also served at
    /// `metrics_address`, if one is given.
    pub async fn start(
        settings: EdgeSettings,
        metrics: Arc<Metrics>,
        metrics_address: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let (trigger, shutdown) = Shutdown::channel();
        let peers = PeerClient::default();
        let membership = join(&settings, peers.clone(), shutdown.clone()).await?;
        let store = Store::new(settings.store);
        let stored_origins = Arc::new(StoredRunOrigins::new(
            settings.node.clone(),
            store.with_own_connections(),
            metrics.clone(),
        ));
        let observation_channel = Observations::default();
        let forwarder = Arc::new(Forwarder {
            route_table: ArcSwapOption::empty(),
            startup_wait: StartupWait::new(Instant::now()),
            directory: Directory::new(observation_channel.clone()),
            reach: ReachMonitor::default(),
            departures: CallerDepartures::default(),
            rereads: RereadQueue::default(),
            budgets: RetryBudgets::new(settings.retry_limits()),
            hedges: Hedges::new(settings.hedge_limits.clone()),
            request_crashes: RequestCrashes::new(observation_channel.clone()),
            sessions: Sessions::new(observation_channel.clone()),
            rollouts: Rollouts::new(settings.rollouts),
            resumes: ResumeQueue::default(),
            run_origins: RunOrigins::default(),
            observations: observation_channel,
            memory: MemoryBudget::new(MemoryShares::of_process(settings.memory_mb)),
            metrics,
            data_centre: settings.data_centre.clone(),
            node: ClusterView::new(
                settings.is_seed(),
                ChangeBounds {
                    config: settings.config_bound,
                    drain: settings.drain_bound,
                },
                PeerRelay::new(settings.data_centre.clone()),
                PeerRetryBudget {
                    membership: membership.clone(),
                    peers: peers.clone(),
                },
                PeerPermits {
                    membership: membership.clone(),
                    peers: peers.clone(),
                    own: Arc::default(),
                },
                PeerRunOrigins {
                    membership: membership.clone(),
                    peers: peers.clone(),
                },
                stored_origins.clone(),
            ),
            in_flight: Arc::default(),
        });
        let watch = StoreWatch {
            store: store.clone(),
            forwarder: forwarder.clone(),
            exchange: config_exchange(&membership, &peers),
            upstreams: Arc::default(),
            heartbeat: Arc::default(),
            is_list_in_doubt: Arc::default(),
        };
        let rollouts = RolloutCoordinator {
            store: store.with_own_connections(),
            forwarder: forwarder.clone(),
            membership: membership.clone(),
            peers,
            owned: Arc::default(),
        };
        serve_peer_api(&settings, &watch, &rollouts, &shutdown)?;
        rollouts.spawn();
        spawn_background_tasks(&settings, watch);
        tokio::spawn(stored_origins.write_periodically(forwarder.clone()));
        let served_versions = ServedVersionsWriter {
            store: store.with_own_connections(),
            forwarder: forwarder.clone(),
        };
        tokio::spawn(served_versions.run());
        let shares = ConnectionShares::of_process(settings.descriptors_max, settings.memory_mb);
        let bound = |connections_max| {
            let memory = forwarder.memory.clone();
            ConnectionBound::new(connections_max, memory, forwarder.metrics.clone())
        };
        let stored_crashes = StoredCrashes {
            store: store.with_own_connections(),
            forwarder: forwarder.clone(),
        };
        tokio::spawn(stored_crashes.run());
        let status_api = Arc::new(StatusApi {
            forwarder: forwarder.clone(),
            address_ttl_max: settings.address_keep,
            connections: bound(shares.status_max),
        });
        let status_addresses = [
            Some(settings.readiness),
            Some(settings.addresses),
            metrics_address,
        ];
        for address in status_addresses.into_iter().flatten() {
            tokio::spawn(serve(bind(address)?, status_api.clone(), shutdown.clone()));
        }
        let handler = CallerHandler {
            forwarder: forwarder.clone(),
            connections: bound(shares.callers_max),
        };
        let caller_server = CallServer::start(settings.callers, handler)?;
        let relay_api = RelayApi::new(forwarder.clone(), bound(shares.relay_max));
        let relay_server = CallServer::start(settings.relay, relay_api)?;
        Ok(Self {
            settings,
            membership,
            forwarder,
            caller_server,
            relay_server,
            trigger,
        })
    }

    /// Leaves the cluster, waits within the grace period for calls in flight to
    /// end and for their answers to be sent, and aborts the rest.
    pub async fn drain(self) {
        let aborts_at = abort_time(self.settings.grace);
        self.forwarder.node.begin_stop(aborts_at);
        self.membership.leave();
        let in_flight = self.forwarder.in_flight.clone();
        let node = &self.forwarder.node;
        // The forwarder and this function hold one reference each.
        let in_flight_count = || Arc::strong_count(&in_flight) - 2;
        wait_until_drained(aborts_at, in_flight_count, || {
            node.announce_shutdown_imminent()
        })
        .await;
        let time_left = aborts_at.saturating_duration_since(Instant::now());
        let closing = self.caller_server.close(time_left);
        tokio::join!(closing, self.relay_server.close(time_left));
        self.membership.announce_left();
        self.trigger.abort();
    }
}

async fn join(
    settings: &EdgeSettings,
    peers: PeerClient,
    shutdown: Shutdown,
) -> io::Result<Membership> {
    let me = Member {
        node: settings.node.clone(),
        incarnation: unix_ms(),
        peer_address: settings.peers,
        caller_address: settings.callers,
        relay_port: settings.relay.port(),
        data_centre: settings.data_centre.clone(),
        leaving: false,
        demand_count: 0,
    };
    let settings = MembershipSettings {
        me,
        seeds: settings.seeds.clone(),
        interval: PROBE_INTERVAL,
        faults: LinkFaults::default(),
    };
    Membership::start_with(settings, peers, shutdown).await
}

fn config_exchange(membership: &Membership, peers: &PeerClient) -> DocumentExchange {
    DocumentExchange {
        name: ROUTING_DOCUMENT,
        documents: Arc::new(DocumentStore::default()),
        membership: membership.clone(),
        peers: peers.clone(),
        faults: LinkFaults::default(),
        changed: watch::Sender::new(0),
    }
}

fn serve_peer_api(
    settings: &EdgeSettings,
    watch: &StoreWatch,
    rollouts: &RolloutCoordinator,
    shutdown: &Shutdown,
) -> io::Result<()> {
    let exchange = &watch.exchange;
    let shares = ConnectionShares::of_process(settings.descriptors_max, settings.memory_mb);
    let forwarder = watch.forwarder.clone();
    let message_memory = MemoryBudget::new(MemoryShares::of_peer_messages(settings.memory_mb));
    let connections = ConnectionBound::new(
        shares.peers_max,
        message_memory.clone(),
        forwarder.metrics.clone(),
    );
    let api = Arc::new(EdgePeerApi {
        membership: exchange.membership.clone(),
        documents: exchange.documents.clone(),
        upstreams: watch.upstreams.clone(),
        forwarder,
        rollouts: rollouts.clone(),
        connections,
        message_memory,
    });
    let traffic = exchange.peers.traffic().clone();
    let listener = bind(settings.peers)?;
    tokio::spawn(serve_peers(listener, api, traffic, shutdown.clone()));
    Ok(())
}

fn spawn_background_tasks(settings: &EdgeSettings, watch: StoreWatch) {
    let members = watch.exchange.membership.clone();
    let own_name = settings.node.clone();
    let forwarder = watch.forwarder.clone();
    tokio::spawn(async move {
        loop {
            forwarder.node.set_nodes(&own_name, &members.alive());
            tokio::time::sleep(MEMBERS_INTERVAL).await;
        }
    });
    let exchange = watch.exchange.clone();
    let membership = exchange.membership.clone();
    tokio::spawn(observations::exchange(membership, watch.forwarder.clone()));
    tokio::spawn(watch.forwarder.clone().watch_reach());
    tokio::spawn(watch.forwarder.clone().watch_address_conflicts());
    tokio::spawn(async move { exchange.follow_peers().await });
    tokio::spawn(watch.clone().follow_peers());
    tokio::spawn(watch.clone().follow_config());
    tokio::spawn(watch.clone().follow_upstreams());
    tokio::spawn(watch.clone().expire_upstreams());
    tokio::spawn(watch.apply_configs());
}
