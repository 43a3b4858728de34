//! Follows the configuration and the list of upstreams in the platform's store.
//!
//! In a large cluster only a few nodes, the watchers, poll the store. The
//! others receive changes and store heartbeats from peers, and poll the store
//! themselves only if these stop. The store heartbeat is a counter that rises
//! while the store answers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;

use super::cluster_view::ClusterView;
use super::upstream_log::{UpstreamLog, UpstreamUpdate};
use crate::configuration::document_exchange::DocumentExchange;
use crate::forward::forwarder::Forwarder;
use crate::id::Version;
use crate::observe::metrics::Counter;
use crate::platform::routing;
use crate::platform::store::{Changes, ConfigText, Store, StoreFailure, UpstreamChange};
use crate::policy::watchers::{StoreHeartbeat, peer_list_wait};
use crate::store::object_store::Object;
use crate::store::revision::Revision;

/// Name of the document that holds the configuration, in exchanges with peers.
pub(crate) const ROUTING_DOCUMENT: &str = "routing";
/// Name of the document that holds the upstreams, in exchanges with peers.
pub(crate) const UPSTREAMS_DOCUMENT: &str = "upstreams";
/// Name of the document whose version is the store heartbeat, in exchanges with
/// peers.
pub(crate) const HEARTBEAT_DOCUMENT: &str = "store-word";
/// Interval at which a node that is not a watcher checks whether it has to poll
/// the store.
pub(crate) const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a starting node checks whether a peer has sent the
/// upstreams.
const PEER_LIST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between two reads of the upstreams, so that one read returns several
/// changes.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Duration of a long poll after the store failed. A longer one could be lost
/// together with its connection, which would delay new changes.
const POLL_TIME_AFTER_FAILURE: Duration = Duration::from_millis(200);
/// Minimum backoff after the store failed.
const BACKOFF_MIN_MS: u64 = 150;
/// Maximum backoff after the store failed.
const BACKOFF_MAX_MS: u64 = 400;
/// Factor by which the backoff is longer on nodes that are not watchers. They
/// receive a heartbeat from a watcher once the store is available again.
const NON_WATCHER_BACKOFF_FACTOR: u32 = 5;
/// Interval at which upstreams whose entries have expired are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the store for one node and applies what it reads.
#[derive(Clone)]
pub(crate) struct StoreWatch {
    pub(crate) store: Store,
    pub(crate) forwarder: Arc<Forwarder<ClusterView>>,
    pub(crate) exchange: DocumentExchange,
    pub(crate) upstreams: Arc<UpstreamLog>,
    pub(crate) heartbeat: Arc<Mutex<StoreHeartbeat>>,
    /// Whether a peer announced a list of upstreams of which this node can't tell
    /// whether it is newer than its own.
    pub(crate) is_list_in_doubt: Arc<AtomicBool>,
}

impl StoreWatch {
    /// Waits until this node has to poll the store: it is a watcher, it has no
    /// data yet, the store heartbeat from the watchers is overdue, or `is_in_doubt`.
    /// Logs why a node that is no watcher polls; `what` names what it polls for.
    async fn wait_until_poll_needed(
        &self,
        what: &str,
        has_data: bool,
        is_in_doubt: impl Fn() -> bool,
    ) {
        let jitter = rand::rng().random_range(0.0..1.0);
        while has_data && !self.forwarder.node.is_watcher() {
            let is_in_doubt = is_in_doubt();
            let heartbeat = *self.heartbeat();
            let now = Instant::now();
            if is_in_doubt || heartbeat.is_overdue(jitter, now) {
                let heartbeat_ms = heartbeat.age(now).map(|age| age.as_millis());
                log::info!(
                    "event=store_polled what={what} in_doubt={is_in_doubt} heartbeat_ms_ago={heartbeat_ms:?}"
                );
                return;
            }
            tokio::time::sleep(POLL_CHECK_INTERVAL).await;
        }
    }

    fn heartbeat(&self) -> MutexGuard<'_, StoreHeartbeat> {
        self.heartbeat
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn record_store_answer(&self, now: Instant) {
        self.forwarder.directory.set_store_reachable(true, now);
        self.forwarder.node.set_store_reachable(true, now);
    }

    /// Records that the store answered about the configuration, and publishes a
    /// heartbeat to peers unless the last one is recent. The answer to another request
    /// says nothing about the configuration, of which peers take the heartbeat for
    /// a confirmation.
    fn record_config_answer(&self, now: Instant) {
        self.record_store_answer(now);
        self.forwarder.node.freshness().record_read(now);
        let count = self.heartbeat().store_answered(now);
        if let Some(count) = count {
            let membership = &self.exchange.membership;
            membership.hold_document(HEARTBEAT_DOCUMENT, count);
        }
    }

    /// Applies a store heartbeat from a peer. It confirms the configuration at this
    /// node, and is passed on, only if this node has the newest version that was
    /// announced with it.
    pub(crate) fn apply_heartbeat(&self, count: Version) {
        let now = Instant::now();
        if !self.heartbeat().receive(count, now) {
            return;
        }
        self.forwarder.directory.record_store_heartbeat(now);
        self.forwarder.node.set_store_reachable(true, now);
        let in_force = self.forwarder.config_version();
        let mut freshness = self.forwarder.node.freshness();
        if freshness.is_newer_announced(in_force) {
            return;
        }
        freshness.record_peer_confirmation(now);
        drop(freshness);
        let membership = &self.exchange.membership;
        membership.hold_document(HEARTBEAT_DOCUMENT, count);
    }

    /// Applies an update of the upstreams, and announces its revision to peers.
    pub(crate) fn apply_update(&self, update: &UpstreamUpdate, now: Instant) {
        let held = self.upstreams.revision();
        if !self.upstreams.apply(update, now) {
            if update.is_snapshot {
                log::warn!(
                    "event=upstreams_ignored revision={} held={}",
                    update.revision,
                    for_log(held)
                );
            }
            return;
        }
        let directory = &self.forwarder.directory;
        if update.is_snapshot {
            let entries = update.changes.iter().filter_map(|change| match change {
                UpstreamChange::Registered(entry) => Some(entry.clone()),
                UpstreamChange::Removed(_) => None,
            });
            let entries = entries.collect();
            if held.is_some_and(|held| held.era != update.revision.era) {
                directory.replace_all_from_copy(entries, now);
            } else {
                directory.replace_all(entries, now);
            }
        } else {
            for change in &update.changes {
                match change {
                    UpstreamChange::Registered(entry) => directory.put(entry.clone()),
                    UpstreamChange::Removed(id) => directory.entry_removed(id, now),
                }
            }
        }
        if update.is_snapshot || !update.changes.is_empty() {
            self.forwarder.startup_wait.notify_change();
            let membership = &self.exchange.membership;
            membership.hold_revision(UPSTREAMS_DOCUMENT, update.revision);
        }
    }

    fn is_fetch_overdue(&self) -> bool {
        let in_force = self.forwarder.config_version();
        let freshness = self.forwarder.node.freshness();
        freshness.is_fetch_overdue(in_force, Instant::now())
    }

    /// Stores a configuration in the document exchange, unless that already
    /// holds the same or a newer version.
    fn offer_config(&self, text: ConfigText, source: &str) {
        let table = routing::read(&text);
        let mut freshness = self.forwarder.node.freshness();
        freshness.set_newest_readable(table.is_ok());
        drop(freshness);
        match table {
            Ok(table) => {
                let version = table.version;
                let body = text;
                if self.exchange.offer(Object { version, body }) {
                    log::info!("event=config_read version={version} source={source}");
                }
            }
            Err(error) => log::error!("event=config_unreadable source={source} cause={error}"),
        }
    }

    /// Applies the configuration in the document exchange whenever it changes.
    pub(crate) async fn apply_configs(self) {
        let mut changed = self.exchange.changed.subscribe();
        loop {
            if let Some(held) = self.exchange.documents.get(ROUTING_DOCUMENT) {
                self.apply_config(&held.body);
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    fn apply_config(&self, text: &[u8]) {
        let table = match routing::read(text) {
            Ok(table) => table,
            Err(error) => return log::error!("event=config_unreadable cause={error}"),
        };
        let in_force = self.forwarder.config_version();
        if table.version > in_force {
            log::info!(
                "event=config_in_force version={} before={in_force}",
                table.version
            );
            self.forwarder.metrics.add(Counter::Configs, 1);
            self.forwarder.hedges.warn_of_single_attempts(&table);
            self.forwarder.route_table.store(Some(Arc::new(table)));
            self.forwarder.startup_wait.notify_change();
        }
    }

    /// Follows the configuration in the store. Never returns; it ends with the
    /// runtime.
    pub(crate) async fn follow_config(self) {
        let mut revision = None;
        let mut is_store_lost = false;
        loop {
            let has_config = self.exchange.version() > 0;
            self.wait_until_poll_needed("config", has_config, || self.is_fetch_overdue())
                .await;
            let read = match revision {
                None => self.count_call(self.store.read_config()).await,
                Some(revision) => {
                    let usual = self.forwarder.node.config_watch_timeout(has_config);
                    let wait = poll_time(usual, is_store_lost);
                    let watch = self.store.watch_config(revision, wait);
                    self.count_call(watch).await
                }
            };
            match read {
                Ok(Changes {
                    changes,
                    revision: new_revision,
                }) => {
                    for text in changes {
                        self.offer_config(text, "store");
                    }
                    revision = Some(new_revision);
                    let now = Instant::now();
                    self.record_config_answer(now);
                    log_recovery(&mut is_store_lost, "config");
                }
                Err(StoreFailure::RevisionExpired) => {
                    let revision_text = for_log(revision);
                    log::info!("event=store_revision_expired what=config revision={revision_text}");
                    revision = None;
                }
                Err(failure) => {
                    let now = Instant::now();
                    self.forwarder.node.set_store_reachable(false, now);
                    self.forwarder.node.freshness().record_failure();
                    self.handle_loss(&mut is_store_lost, "config", failure)
                        .await;
                }
            }
        }
    }

    /// Follows the upstreams in the store. Never returns; it ends with the
    /// runtime.
    pub(crate) async fn follow_upstreams(self) {
        let mut is_revision_expired = false;
        let mut is_store_lost = false;
        loop {
            let has_list = self.upstreams.revision().is_some();
            let is_in_doubt = || self.is_list_in_doubt.load(Ordering::Relaxed);
            self.wait_until_poll_needed("upstreams", has_list, is_in_doubt)
                .await;
            self.is_list_in_doubt.store(false, Ordering::Relaxed);
            let revision = self.upstreams.revision();
            let result = match revision.filter(|_| !is_revision_expired) {
                None => self.list_upstreams().await,
                Some(revision) => {
                    let usual = self.forwarder.node.upstreams_watch_timeout();
                    let wait = poll_time(usual, is_store_lost);
                    self.watch_upstreams(revision, wait).await
                }
            };
            let now = Instant::now();
            match result {
                Ok(()) => {
                    is_revision_expired = false;
                    log_recovery(&mut is_store_lost, "upstreams");
                    tokio::time::sleep(BATCH_DELAY).await;
                }
                Err(StoreFailure::RevisionExpired) => {
                    let revision = for_log(revision);
                    log::info!("event=store_revision_expired what=upstreams revision={revision}");
                    is_revision_expired = true;
                }
                Err(failure) => {
                    self.forwarder.directory.set_store_reachable(false, now);
                    self.handle_loss(&mut is_store_lost, "upstreams", failure)
                        .await;
                }
            }
        }
    }

    async fn list_upstreams(&self) -> Result<(), StoreFailure> {
        let first = self.count_call(self.store.list_upstreams(None)).await?;
        self.record_store_answer(Instant::now());
        let has_list = self.upstreams.revision().is_some();
        if first.next.is_some() && !has_list && self.wait_for_peer_list().await {
            return Ok(());
        }
        // Changes made while the pages are read are not lost: the next watch
        // starts at the revision of the first page.
        let revision = first.revision;
        let mut next = first.next;
        let mut entries = first.entries;
        while let Some(after) = next {
            let page = self
                .count_call(self.store.list_upstreams(Some(&after)))
                .await?;
            if page.revision.era != revision.era {
                return Err(StoreFailure::RevisionExpired);
            }
            entries.extend(page.entries);
            next = page.next;
        }
        let update = UpstreamUpdate {
            is_snapshot: true,
            changes: entries
                .into_iter()
                .map(UpstreamChange::Registered)
                .collect(),
            revision,
        };
        self.apply_update(&update, Instant::now());
        Ok(())
    }

    /// Waits for a limited time for a peer to send the upstreams, which makes
    /// the remaining pages of the store's list unnecessary; true if one did.
    async fn wait_for_peer_list(&self) -> bool {
        let jitter = rand::rng().random_range(0.0..1.0);
        let deadline = Instant::now() + peer_list_wait(self.forwarder.node.is_seed(), jitter);
        while self.upstreams.revision().is_none() && Instant::now() < deadline {
            tokio::time::sleep(PEER_LIST_CHECK_INTERVAL).await;
        }
        self.upstreams.revision().is_some()
    }

    async fn watch_upstreams(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<(), StoreFailure> {
        let watch = self.store.watch_upstreams(revision, wait);
        let changes = self.count_call(watch).await?;
        let now = Instant::now();
        self.record_store_answer(now);
        let update = UpstreamUpdate {
            is_snapshot: false,
            changes: changes.changes,
            revision: changes.revision,
        };
        self.apply_update(&update, now);
        Ok(())
    }

    /// Removes upstreams whose entries have expired, at intervals. Never returns;
    /// it ends with the runtime.
    pub(crate) async fn expire_upstreams(self) {
        loop {
            tokio::time::sleep(EXPIRE_INTERVAL).await;
            self.forwarder.directory.remove_expired(Instant::now());
        }
    }

    /// Logs that the store is lost, and waits before the next request to it. After the first
    /// failure there is no wait: the connection may have been dead, and the next request
    /// opens a new one.
    async fn handle_loss(&self, is_store_lost: &mut bool, what: &str, failure: StoreFailure) {
        self.forwarder.startup_wait.record_store_failure();
        let was_lost = *is_store_lost;
        log_loss(is_store_lost, what, failure);
        if was_lost {
            self.back_off().await;
        }
    }

    async fn back_off(&self) {
        let ms = rand::rng().random_range(BACKOFF_MIN_MS..BACKOFF_MAX_MS);
        let backoff = Duration::from_millis(ms);
        if self.forwarder.node.is_watcher() {
            tokio::time::sleep(backoff).await;
        } else {
            tokio::time::sleep(backoff * NON_WATCHER_BACKOFF_FACTOR).await;
        }
    }

    async fn count_call<T>(&self, call: impl Future<Output = T>) -> T {
        self.forwarder.metrics.add(Counter::StoreCalls, 1);
        call.await
    }
}

/// Wait of one long poll, which is `usual` unless the store is lost.
fn poll_time(usual: Duration, is_store_lost: bool) -> Duration {
    if is_store_lost {
        POLL_TIME_AFTER_FAILURE
    } else {
        usual
    }
}

fn for_log(revision: Option<Revision>) -> String {
    revision.map_or_else(|| "-".to_owned(), |revision| revision.to_string())
}

fn log_loss(is_store_lost: &mut bool, what: &str, failure: StoreFailure) {
    if !*is_store_lost {
        log::warn!("event=store_lost what={what} cause={failure}");
    }
    *is_store_lost = true;
}

fn log_recovery(is_store_lost: &mut bool, what: &str) {
    if *is_store_lost {
        log::info!("event=store_regained what={what}");
    }
    *is_store_lost = false;
}
