//! What a node believes of itself and its surroundings, for its forwarder.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio_util::sync::CancellationToken;

use super::lenders::Lenders;
use crate::forward::forwarder::NodeContext;
use crate::hash::{Fnv, rendezvous_order};
use crate::id::{DataCentreId, ServiceId};
use crate::membership::members::Member;
use crate::policy::freshness::ConfigFreshness;
use crate::policy::watchers;

/// Time after the stop signal from which new streams are refused.
const STREAMS_UNTIL: Duration = Duration::from_millis(1_500);
/// Most addresses in one answer.
const ADDRESSES_MAX: usize = 64;

/// Beliefs that other tasks keep up to date.
#[derive(Debug)]
pub(crate) struct Beliefs {
    is_seed: bool,
    started: Instant,
    node_index: AtomicUsize,
    node_count: AtomicUsize,
    fleet_size: AtomicUsize,
    is_watcher: AtomicBool,
    /// Milliseconds from the start to the stop signal, plus one; zero before it.
    stopping_ms: AtomicU64,
    cut_is_near: CancellationToken,
    freshness: Mutex<ConfigFreshness>,
    nodes: Mutex<Vec<(DataCentreId, SocketAddr)>>,
    lenders: Lenders,
}

impl Beliefs {
    /// Begins with no other node known.
    pub(crate) fn new(is_seed: bool, lenders: Lenders) -> Self {
        Self {
            is_seed,
            started: Instant::now(),
            node_index: AtomicUsize::new(0),
            node_count: AtomicUsize::new(1),
            fleet_size: AtomicUsize::new(1),
            is_watcher: AtomicBool::new(is_seed),
            stopping_ms: AtomicU64::new(0),
            cut_is_near: CancellationToken::new(),
            freshness: Mutex::default(),
            nodes: Mutex::default(),
            lenders,
        }
    }

    /// Takes in which nodes live; `me` is one of them unless it leaves.
    pub(crate) fn set_nodes(&self, me: &str, alive: &[Member]) {
        let mut staying: Vec<&Member> = alive.iter().filter(|m| !m.leaving).collect();
        staying.sort_by(|a, b| a.node.cmp(&b.node));
        let index = staying.iter().position(|m| m.node == me);
        self.node_index
            .store(index.unwrap_or_default(), Ordering::Relaxed);
        self.node_count
            .store(staying.len().max(1), Ordering::Relaxed);
        self.fleet_size.fetch_max(staying.len(), Ordering::Relaxed);
        let rank = watch_rank(me, &staying);
        let is_watcher = watchers::is_membership_settled(self.is_seed, self.started.elapsed())
            && watchers::is_watcher(staying.len(), rank);
        if self.is_watcher.swap(is_watcher, Ordering::Relaxed) != is_watcher {
            log::info!(
                "event=watcher is_watcher={is_watcher} nodes={}",
                staying.len()
            );
        }
        let nodes = staying.iter();
        let nodes = nodes.map(|m| (m.data_centre.clone(), m.caller_address));
        *self.nodes.lock().unwrap_or_else(PoisonError::into_inner) = nodes.collect();
    }

    /// Whether other nodes look for this one first when they start.
    pub(crate) fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Whether this node asks the store for others.
    pub(crate) fn is_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Relaxed)
    }

    /// How long a watch at the store waits.
    pub(crate) fn watch_timeout(&self) -> Duration {
        watchers::watch_timeout(self.node_count.load(Ordering::Relaxed))
    }

    /// Addresses for a caller, those of its data centre first.
    pub(crate) fn addresses(&self, data_centre: Option<&str>) -> Vec<SocketAddr> {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        let is_near = |dc: &DataCentreId| Some(dc.as_str()) == data_centre;
        let near = nodes.iter().filter(|(dc, _)| is_near(dc));
        let far = nodes.iter().filter(|(dc, _)| !is_near(dc));
        let ordered = near.chain(far).map(|(_, address)| *address);
        ordered.take(ADDRESSES_MAX).collect()
    }

    /// Notes whether the store's word on the configuration came.
    pub(crate) fn set_store_reachable(&self, is_reachable: bool, now: Instant) {
        let mut freshness = self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        freshness.set_store_reachable(is_reachable, now);
    }

    /// Notes the stop signal.
    pub(crate) fn begin_stop(&self) {
        let ms = self.started.elapsed().as_millis() as u64 + 1;
        self.stopping_ms.store(ms, Ordering::Relaxed);
    }

    /// Notes that what still runs will be cut soon.
    pub(crate) fn say_cut_is_near(&self) {
        self.cut_is_near.cancel();
    }

    fn stopping_for(&self) -> Option<Duration> {
        let since = self.stopping_ms.load(Ordering::Relaxed).checked_sub(1)?;
        let elapsed = self.started.elapsed();
        Some(elapsed.saturating_sub(Duration::from_millis(since)))
    }
}

impl NodeContext for Beliefs {
    fn position(&self) -> (usize, usize) {
        (
            self.node_index.load(Ordering::Relaxed),
            self.node_count.load(Ordering::Relaxed),
        )
    }

    fn peak_node_count(&self) -> usize {
        self.fleet_size.load(Ordering::Relaxed)
    }

    fn is_config_fresh(&self) -> bool {
        let freshness = self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        freshness.is_fresh(Instant::now())
    }

    fn is_draining(&self) -> bool {
        self.stopping_for().is_some()
    }

    async fn borrow_retry(&self, service: &ServiceId) -> bool {
        self.lenders.borrow(service).await
    }

    async fn shutdown_imminent(&self) {
        self.cut_is_near.cancelled().await;
    }

    fn refuses_streams(&self) -> bool {
        self.stopping_for().is_some_and(|t| t >= STREAMS_UNTIL)
    }
}

/// Place of `me` in the order in which the nodes of its data centre are to
/// ask the store.
fn watch_rank(me: &str, staying: &[&Member]) -> usize {
    let Some(own) = staying.iter().find(|m| m.node == me) else {
        return usize::MAX;
    };
    let near = staying.iter().filter(|m| m.data_centre == own.data_centre);
    let key = Fnv::new().text(&own.data_centre).finish();
    let order = rendezvous_order(key, near.map(|m| m.node.as_str()));
    order
        .iter()
        .position(|name| *name == me)
        .unwrap_or(usize::MAX)
}
