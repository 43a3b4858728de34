//! Keeps a node's knowledge of the store new: configuration and upstreams.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;

use super::beliefs::Beliefs;
use super::upstream_log::{UpstreamLog, UpstreamUpdate};
use crate::configuration::document_exchange::DocumentExchange;
use crate::forward::forwarder::Forwarder;
use crate::id::Version;
use crate::observe::metrics::Counter;
use crate::platform::routing;
use crate::platform::store::{Changes, ConfigText, Store, StoreFailure, UpstreamChange};
use crate::policy::watchers::{StoreHeartbeat, peer_list_wait};
use crate::store::object_store::Object;

/// Name of the configuration among the documents that peers exchange.
pub(crate) const ROUTING_DOCUMENT: &str = "routing";
/// Name of the upstreams among the documents that peers exchange.
pub(crate) const UPSTREAMS_DOCUMENT: &str = "upstreams";
/// Name of the store's word among the documents that peers name to each other.
pub(crate) const WORD_DOCUMENT: &str = "store-word";
/// Time between looks at whether it is this node's turn to ask the store.
const TURN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between looks at whether a peer told the upstreams.
const TOLD_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which changes of upstreams gather before they are asked for.
const GATHER: Duration = Duration::from_millis(200);
/// How long a watch waits after the store failed: a longer one could be lost
/// with the connection it went over, and would hold up what is new.
const AWAY_WAIT: Duration = Duration::from_millis(200);
/// Least pause after the store failed.
const AWAY_PAUSE_MIN_MS: u64 = 150;
/// Longest pause after the store failed.
const AWAY_PAUSE_MAX_MS: u64 = 400;
/// Times as long as this a node pauses that does not ask for others: it hears
/// from them when the store is back.
const FOLLOWER_PAUSES: u32 = 5;
/// Time between looks for upstreams that did not return.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// Watches the store for one node.
#[derive(Clone)]
pub(crate) struct StoreWatch {
    pub(crate) store: Store,
    pub(crate) forwarder: Arc<Forwarder<Beliefs>>,
    pub(crate) exchange: DocumentExchange,
    pub(crate) upstreams: Arc<UpstreamLog>,
    pub(crate) word: Arc<Mutex<StoreHeartbeat>>,
}

impl StoreWatch {
    /// Waits until this node is to ask the store: it is one of those that ask
    /// for all, it knows nothing, or it has not heard of the others for long.
    async fn wait_for_turn(&self, knows_something: bool) {
        let draw = rand::rng().random_range(0.0..1.0);
        while knows_something && !self.forwarder.node.is_watcher() {
            if self.word().is_overdue(draw, Instant::now()) {
                return;
            }
            tokio::time::sleep(TURN_INTERVAL).await;
        }
    }

    fn word(&self) -> MutexGuard<'_, StoreHeartbeat> {
        self.word.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes an answer of the store, and passes the word on.
    fn store_answered(&self, now: Instant) {
        self.forwarder.directory.set_store_reachable(true, now);
        self.forwarder.node.set_store_reachable(true, now);
        let count = self.word().store_answered(now);
        if let Some(count) = count {
            let membership = &self.exchange.membership;
            membership.hold_document(WORD_DOCUMENT, count);
        }
    }

    /// Takes in the store's word from a peer.
    pub(crate) fn hear_word(&self, count: Version) {
        let now = Instant::now();
        if self.word().receive(count, now) {
            let membership = &self.exchange.membership;
            membership.hold_document(WORD_DOCUMENT, count);
            self.forwarder.directory.set_store_reachable(true, now);
            self.forwarder.node.set_store_reachable(true, now);
        }
    }

    /// Takes in what changed, and tells peers that it is known here.
    pub(crate) fn take_in(&self, update: &UpstreamUpdate, now: Instant) {
        if !self.upstreams.apply(update, now) {
            return;
        }
        let directory = &self.forwarder.directory;
        if update.is_whole {
            let entries = update.news.iter().filter_map(|news| match news {
                UpstreamChange::Registered(entry) => Some(entry.clone()),
                UpstreamChange::Removed(_) => None,
            });
            directory.replace_all(entries.collect(), now);
        } else {
            for news in &update.news {
                match news {
                    UpstreamChange::Registered(entry) => directory.put(entry.clone()),
                    UpstreamChange::Removed(id) => directory.entry_removed(id, now),
                }
            }
        }
        if update.is_whole || !update.news.is_empty() {
            let membership = &self.exchange.membership;
            membership.hold_document(UPSTREAMS_DOCUMENT, update.revision);
        }
    }

    /// Takes in a configuration, wherever it comes from; older ones are refused.
    fn offer(&self, text: ConfigText, source: &str) {
        match routing::read(&text) {
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

    /// Puts in force what the exchange holds, whenever that changes.
    pub(crate) async fn apply_configs(self) {
        let mut changed = self.exchange.changed.subscribe();
        loop {
            if let Some(held) = self.exchange.documents.get(ROUTING_DOCUMENT) {
                self.apply(&held.body);
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    fn apply(&self, text: &[u8]) {
        let table = match routing::read(text) {
            Ok(table) => table,
            Err(error) => return log::error!("event=config_unreadable cause={error}"),
        };
        let in_force = self
            .forwarder
            .routing
            .load()
            .as_ref()
            .map_or(0, |t| t.version);
        if table.version > in_force {
            log::info!(
                "event=config_in_force version={} before={in_force}",
                table.version
            );
            self.forwarder.metrics.add(Counter::Configs, 1);
            self.forwarder.routing.store(Some(Arc::new(table)));
        }
    }

    /// Follows the configuration until the task is dropped.
    pub(crate) async fn follow_config(self) {
        let mut revision = None;
        let mut is_away = false;
        loop {
            self.wait_for_turn(self.exchange.version() > 0).await;
            let read = match revision {
                None => self.counted(self.store.read_config()).await,
                Some(revision) => {
                    let watch = self.store.watch_config(revision, self.wait(is_away));
                    self.counted(watch).await
                }
            };
            match read {
                Ok(Changes {
                    changes,
                    revision: at,
                }) => {
                    for text in changes {
                        self.offer(text, "store");
                    }
                    revision = Some(at);
                    self.store_answered(Instant::now());
                    note_return(&mut is_away, "config");
                }
                Err(StoreFailure::RevisionExpired) => revision = None,
                Err(failure) => {
                    let now = Instant::now();
                    self.forwarder.node.set_store_reachable(false, now);
                    note_loss(&mut is_away, "config", failure);
                    self.away_pause().await;
                }
            }
        }
    }

    /// Follows the upstreams until the task is dropped.
    pub(crate) async fn follow_upstreams(self) {
        let mut is_history_gone = false;
        let mut is_away = false;
        loop {
            let revision = self.upstreams.revision();
            self.wait_for_turn(revision > 0).await;
            let is_list = revision == 0 || is_history_gone;
            let followed = if is_list {
                self.list_upstreams().await
            } else {
                self.watch_upstreams(self.upstreams.revision(), self.wait(is_away))
                    .await
            };
            let now = Instant::now();
            match followed {
                Ok(()) => {
                    is_history_gone = false;
                    note_return(&mut is_away, "upstreams");
                    tokio::time::sleep(GATHER).await;
                }
                Err(StoreFailure::RevisionExpired) => is_history_gone = true,
                Err(failure) => {
                    self.forwarder.directory.set_store_reachable(false, now);
                    note_loss(&mut is_away, "upstreams", failure);
                    self.away_pause().await;
                }
            }
        }
    }

    async fn list_upstreams(&self) -> Result<(), StoreFailure> {
        let first = self.counted(self.store.list_upstreams(None)).await?;
        self.store_answered(Instant::now());
        if first.next.is_some() && self.upstreams.revision() == 0 && self.told_by_peers().await {
            return Ok(());
        }
        // Changes between two answers are heard again from the first one's revision.
        let revision = first.revision;
        let mut next = first.next;
        let mut entries = first.entries;
        while let Some(after) = next {
            let page = self
                .counted(self.store.list_upstreams(Some(&after)))
                .await?;
            entries.extend(page.entries);
            next = page.next;
        }
        let update = UpstreamUpdate {
            is_whole: true,
            news: entries
                .into_iter()
                .map(UpstreamChange::Registered)
                .collect(),
            revision,
        };
        self.take_in(&update, Instant::now());
        Ok(())
    }

    /// Waits to be told the upstreams by a peer; true when one did.
    async fn told_by_peers(&self) -> bool {
        let draw = rand::rng().random_range(0.0..1.0);
        let give_up_at = Instant::now() + peer_list_wait(self.forwarder.node.is_seed(), draw);
        while self.upstreams.revision() == 0 && Instant::now() < give_up_at {
            tokio::time::sleep(TOLD_INTERVAL).await;
        }
        self.upstreams.revision() > 0
    }

    fn wait(&self, is_away: bool) -> Duration {
        if is_away {
            AWAY_WAIT
        } else {
            self.forwarder.node.watch_timeout()
        }
    }

    async fn watch_upstreams(&self, revision: Version, wait: Duration) -> Result<(), StoreFailure> {
        let watch = self.store.watch_upstreams(revision, wait);
        let changes = self.counted(watch).await?;
        let now = Instant::now();
        self.store_answered(now);
        let update = UpstreamUpdate {
            is_whole: false,
            news: changes.changes,
            revision: changes.revision,
        };
        self.take_in(&update, now);
        Ok(())
    }

    /// Drops upstreams that did not return, until the task is dropped.
    pub(crate) async fn expire_upstreams(self) {
        loop {
            tokio::time::sleep(EXPIRE_INTERVAL).await;
            self.forwarder.directory.remove_expired(Instant::now());
        }
    }

    async fn away_pause(&self) {
        let ms = rand::rng().random_range(AWAY_PAUSE_MIN_MS..AWAY_PAUSE_MAX_MS);
        let pause = Duration::from_millis(ms);
        if self.forwarder.node.is_watcher() {
            tokio::time::sleep(pause).await;
        } else {
            tokio::time::sleep(pause * FOLLOWER_PAUSES).await;
        }
    }

    async fn counted<T>(&self, call: impl Future<Output = T>) -> T {
        self.forwarder.metrics.add(Counter::StoreCalls, 1);
        call.await
    }
}

fn note_loss(is_away: &mut bool, what: &str, failure: StoreFailure) {
    if !*is_away {
        log::warn!("event=store_lost what={what} cause={failure}");
    }
    *is_away = true;
}

fn note_return(is_away: &mut bool, what: &str) {
    if *is_away {
        log::info!("event=store_regained what={what}");
    }
    *is_away = false;
}
