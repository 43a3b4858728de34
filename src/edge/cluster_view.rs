//! A node's view of the cluster: which nodes are alive, which addresses callers
//! may use, whether the configuration is fresh, and whether the node is
//! stopping. A watcher is one of the few nodes that poll the store and pass its
//! changes on to the others.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tokio_util::sync::CancellationToken;

use super::peer_permits::PeerPermits;
use super::peer_relay::PeerRelay;
use super::peer_retry_budget::PeerRetryBudget;
use super::peer_run_origins::PeerRunOrigins;
use super::stored_run_origins::StoredRunOrigins;
use crate::forward::forwarder::NodeContext;
use crate::forward::relay::RelayPeer;
use crate::forward::run_origin::{ORIGIN_LIFETIME, OriginSearch, RunKey, RunOrigin};
use crate::hash::{Fnv, rendezvous_order};
use crate::id::{NodeId, ServiceId, UpstreamId, Version};
use crate::membership::members::Member;
use crate::membership::message::{PermitReply, PermitRequest};
use crate::policy::freshness::{ConfigEvidence, ConfigFreshness};
use crate::policy::store_reachability::StoreReachability;
use crate::policy::upstream_limit::{Grant, PermitDemand};
use crate::policy::watchers::{self, WatchRank};

/// Time after the stop signal at which the node starts to refuse new streams.
const NEW_STREAMS_PERIOD: Duration = Duration::from_millis(1_500);
/// Time before the abort of calls in flight at which calls must be answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// Maximum number of node addresses that a caller gets.
const ADDRESSES_MAX: usize = 64;

/// Times within which changes in the store must take effect at all nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangeBounds {
    /// Time within which a configuration must be in force.
    pub(crate) config: Duration,
    /// Time after which an upstream that drains gets no calls.
    pub(crate) drain: Duration,
}

/// The times of this node's shutdown.
#[derive(Clone, Copy, Debug)]
struct Stop {
    signalled_at: Instant,
    /// Time at which the calls that are still in flight are aborted.
    aborts_at: Instant,
}

/// The cluster as this node sees it; updated by background tasks, read by the
/// forwarder.
#[derive(Debug)]
pub(crate) struct ClusterView {
    is_seed: bool,
    started_at: Instant,
    /// Position of this node among the live nodes, which are sorted by name.
    node_index: AtomicUsize,
    node_count: AtomicUsize,
    /// Largest number of nodes seen alive at once.
    peak_node_count: AtomicUsize,
    is_watcher: AtomicBool,
    /// Set by the stop signal.
    stop: OnceLock<Stop>,
    shutdown_imminent: CancellationToken,
    freshness: Mutex<ConfigFreshness>,
    store_reachability: Mutex<StoreReachability>,
    /// The live nodes that are not leaving.
    nodes: Mutex<Vec<Member>>,
    relay: PeerRelay,
    peer_budget: PeerRetryBudget,
    peer_permits: PeerPermits,
    peer_origins: PeerRunOrigins,
    stored_origins: Arc<StoredRunOrigins>,
    bounds: ChangeBounds,
}

impl ClusterView {
    /// Creates a view in which no other node is known.
    pub(crate) fn new(
        is_seed: bool,
        bounds: ChangeBounds,
        relay: PeerRelay,
        peer_budget: PeerRetryBudget,
        peer_permits: PeerPermits,
        peer_origins: PeerRunOrigins,
        stored_origins: Arc<StoredRunOrigins>,
    ) -> Self {
        Self {
            is_seed,
            started_at: Instant::now(),
            node_index: AtomicUsize::new(0),
            node_count: AtomicUsize::new(1),
            peak_node_count: AtomicUsize::new(1),
            is_watcher: AtomicBool::new(is_seed),
            stop: OnceLock::new(),
            shutdown_imminent: CancellationToken::new(),
            freshness: Mutex::new(ConfigFreshness::new(bounds.config)),
            store_reachability: Mutex::default(),
            bounds,
            nodes: Mutex::default(),
            relay,
            peer_budget,
            peer_permits,
            peer_origins,
            stored_origins,
        }
    }

    /// Updates the view from the list of live nodes, which includes this node
    /// (`own_name`). Leaving nodes are left out of the view.
    pub(crate) fn set_nodes(&self, own_name: &str, alive: &[Member]) {
        let mut staying: Vec<&Member> = alive.iter().filter(|m| !m.leaving).collect();
        staying.sort_by(|a, b| a.node.cmp(&b.node));
        let index = staying.iter().position(|m| m.node == own_name);
        self.node_index
            .store(index.unwrap_or_default(), Ordering::Relaxed);
        self.node_count
            .store(staying.len().max(1), Ordering::Relaxed);
        self.peak_node_count
            .fetch_max(staying.len(), Ordering::Relaxed);
        let rank = watch_rank(own_name, &staying).unwrap_or(WatchRank::LEAVING);
        let is_watcher = self.is_membership_settled() && watchers::is_watcher(staying.len(), rank);
        if self.is_watcher.swap(is_watcher, Ordering::Relaxed) != is_watcher {
            log::info!(
                "event=watcher is_watcher={is_watcher} nodes={}",
                staying.len()
            );
        }
        let nodes: Vec<Member> = staying.into_iter().cloned().collect();
        let others = nodes.iter().filter(|member| member.node != own_name);
        self.relay.set_nodes(others.cloned().collect());
        *self.nodes.lock().unwrap_or_else(PoisonError::into_inner) = nodes;
    }

    /// Whether this node is a seed, which other nodes contact first when they
    /// start.
    pub(crate) fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Whether this node watches the store on behalf of other nodes.
    pub(crate) fn is_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Relaxed)
    }

    /// Whether this node knows enough of the others to tell which tasks are assigned
    /// to it.
    pub(crate) fn is_membership_settled(&self) -> bool {
        watchers::is_membership_settled(self.is_seed, self.started_at.elapsed())
    }

    /// Whether this node started so recently that versions may have left which it
    /// does not know.
    pub(crate) fn has_started_recently(&self) -> bool {
        self.started_at.elapsed() < ORIGIN_LIFETIME
    }

    /// The other nodes as ways to upstreams.
    pub(crate) fn relay(&self) -> &PeerRelay {
        &self.relay
    }

    /// Addresses of entry nodes for a caller, those in its data centre first. Nodes
    /// that reach none of `services` are left out while at least half of the nodes
    /// remain.
    pub(crate) fn addresses(
        &self,
        data_centre: Option<&str>,
        services: &BTreeSet<ServiceId>,
    ) -> Vec<SocketAddr> {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        let is_cut = |m: &&Member| self.relay.is_cut_from_all(&m.node, services);
        let (cut, mut listed): (Vec<&Member>, Vec<&Member>) = nodes.iter().partition(is_cut);
        if listed.len() < cut.len() {
            listed.extend(cut);
        }
        let is_local = |m: &&&Member| Some(m.data_centre.as_str()) == data_centre;
        let local = listed.iter().filter(is_local);
        let remote = listed.iter().filter(|m| !is_local(m));
        let ordered = local.chain(remote).map(|m| m.caller_address);
        ordered.take(ADDRESSES_MAX).collect()
    }

    /// Longest wait of one long poll for the configuration, of which this node may have
    /// none yet.
    pub(crate) fn config_watch_timeout(&self, has_config: bool) -> Duration {
        if has_config {
            self.watch_timeout(self.bounds.config)
        } else {
            watchers::FIRST_CONFIG_WATCH_TIMEOUT
        }
    }

    /// Longest wait of one long poll for upstreams.
    pub(crate) fn upstreams_watch_timeout(&self) -> Duration {
        self.watch_timeout(self.bounds.drain)
    }

    /// Longest wait of one long poll for changes that must be known within `bound`.
    fn watch_timeout(&self, bound: Duration) -> Duration {
        let node_count = self.node_count.load(Ordering::Relaxed);
        let usual = watchers::watch_timeout(node_count, self.is_watcher());
        usual.min(watchers::watch_timeout_max(bound))
    }

    /// Records that the store answered this node or a peer (true), or that this
    /// node's last request for the configuration failed (false).
    pub(crate) fn set_store_reachable(&self, is_reachable: bool, now: Instant) {
        let reachability = self.store_reachability.lock();
        let mut reachability = reachability.unwrap_or_else(PoisonError::into_inner);
        reachability.set(is_reachable, now);
    }

    /// What this node knows of the age of its configuration.
    pub(crate) fn freshness(&self) -> MutexGuard<'_, ConfigFreshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers another node's request for permits.
    pub(crate) fn answer_permits(&self, request: &PermitRequest) -> PermitReply {
        self.peer_permits.answer(request)
    }

    /// Looks for the origin of a run in the store, by this node's own reads.
    pub(crate) async fn read_stored_origin(&self, key: RunKey, service: &str) -> OriginSearch {
        let node_count = self.node_count.load(Ordering::Relaxed);
        let reader = &self.stored_origins.reader;
        reader.find(key, service, node_count).await
    }

    /// Records the time of the stop signal.
    pub(crate) fn begin_stop(&self, aborts_at: Instant) {
        // A second signal does not extend the first.
        let _ = self.stop.set(Stop {
            signalled_at: Instant::now(),
            aborts_at,
        });
    }

    /// Notifies the streams in flight that they will soon be aborted.
    pub(crate) fn announce_shutdown_imminent(&self) {
        self.shutdown_imminent.cancel();
    }
}

impl NodeContext for ClusterView {
    fn position(&self) -> (usize, usize) {
        (
            self.node_index.load(Ordering::Relaxed),
            self.node_count.load(Ordering::Relaxed),
        )
    }

    fn is_assigned(&self, key: u64) -> bool {
        self.peer_permits.is_first(key)
    }

    fn peak_node_count(&self) -> usize {
        self.peak_node_count.load(Ordering::Relaxed)
    }

    fn is_config_fresh(&self, in_force: Version) -> bool {
        self.freshness().is_fresh(in_force, Instant::now())
    }

    fn config_evidence(&self, in_force: Version) -> ConfigEvidence {
        self.freshness().evidence(in_force, Instant::now())
    }

    fn is_store_reachable(&self) -> bool {
        let reachability = self.store_reachability.lock();
        let reachability = reachability.unwrap_or_else(PoisonError::into_inner);
        reachability.is_reachable(Instant::now())
    }

    fn has_store_answered_lately(&self) -> bool {
        let reachability = self.store_reachability.lock();
        let reachability = reachability.unwrap_or_else(PoisonError::into_inner);
        reachability.has_answered_lately(Instant::now())
    }

    fn is_draining(&self) -> bool {
        self.stop.get().is_some()
    }

    async fn borrow_retry(&self, service: &ServiceId) -> bool {
        self.peer_budget.borrow(service).await
    }

    async fn request_permits(&self, upstream: &UpstreamId, demand: PermitDemand) -> Option<Grant> {
        self.peer_permits.request(upstream, demand).await
    }

    fn relay_peer(&self, service: &str, tried: &[NodeId]) -> Option<RelayPeer> {
        self.relay.choose(service, tried)
    }

    fn publish_origin(&self, key: RunKey, origin: RunOrigin) {
        self.stored_origins.record(key, &origin);
        let peer_origins = self.peer_origins.clone();
        tokio::spawn(async move { peer_origins.store(key, origin).await });
    }

    async fn find_origin(&self, key: RunKey) -> Option<RunOrigin> {
        self.peer_origins.find(key).await
    }

    fn record_sent_to(&self, key: RunKey, origin: &RunOrigin) {
        self.stored_origins.record(key, origin);
    }

    fn withdraw_origin(&self, key: RunKey) {
        self.stored_origins.withdraw(key);
    }

    async fn wait_for_origin_correction(&self, key: RunKey) {
        self.stored_origins.wait_for_correction(key).await;
    }

    async fn find_stored_origin(&self, key: RunKey, service: &str) -> OriginSearch {
        match self.read_stored_origin(key, service).await {
            OriginSearch::Unknown => self.peer_origins.find_stored(key, service).await,
            search => search,
        }
    }

    async fn shutdown_imminent(&self) {
        self.shutdown_imminent.cancelled().await;
    }

    fn refuses_streams(&self) -> bool {
        let stop = self.stop.get();
        stop.is_some_and(|stop| stop.signalled_at.elapsed() >= NEW_STREAMS_PERIOD)
    }

    fn answer_deadline(&self) -> Option<Instant> {
        let stop = self.stop.get()?;
        Some(stop.aborts_at - ANSWER_MARGIN)
    }
}

/// Place of this node in the order in which nodes become store watchers; `None` if it
/// leaves.
fn watch_rank(own_name: &str, staying: &[&Member]) -> Option<WatchRank> {
    let own = staying.iter().find(|m| m.node == own_name)?;
    let data_centres: BTreeSet<&str> = staying.iter().map(|m| m.data_centre.as_str()).collect();
    let local = staying.iter().filter(|m| m.data_centre == own.data_centre);
    let local_key = Fnv::new().text(&own.data_centre).finish();
    Some(WatchRank {
        in_data_centre: place(local_key, local.map(|m| m.node.as_str()), own_name)?,
        of_data_centre: place(
            Fnv::new().finish(),
            data_centres.into_iter(),
            &own.data_centre,
        )?,
    })
}

/// Place of `name` in the rendezvous order of `names` for a key.
fn place<'a>(key: u64, names: impl Iterator<Item = &'a str>, name: &str) -> Option<usize> {
    let order = rendezvous_order(key, names);
    order.iter().position(|other| *other == name)
}
