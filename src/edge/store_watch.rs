//! Keeps a node's knowledge of the store new: configuration and upstreams.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;

use super::beliefs::Beliefs;
use crate::document_exchange::DocumentExchange;
use crate::forward::forwarder::Forwarder;
use crate::id::Version;
use crate::metrics::Counter;
use crate::object_store::Object;
use crate::platform::routing;
use crate::platform::store::{Changes, ConfigText, Store, StoreFailure, UpstreamNews};

/// Name of the configuration among the documents that peers exchange.
pub(crate) const ROUTING_DOCUMENT: &str = "routing";
/// How long one watch of the configuration waits.
const CONFIG_WAIT: Duration = Duration::from_millis(4_000);
/// How long one watch of the upstreams waits.
const UPSTREAM_WAIT: Duration = Duration::from_millis(8_000);
/// Time in which changes of upstreams gather before they are asked for.
const GATHER: Duration = Duration::from_millis(200);
/// Least pause after the store failed.
const AWAY_PAUSE_MIN_MS: u64 = 150;
/// Longest pause after the store failed.
const AWAY_PAUSE_MAX_MS: u64 = 400;
/// Time between looks for upstreams that did not return.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// Watches the store for one node.
#[derive(Clone)]
pub(crate) struct StoreWatch {
    pub(crate) store: Store,
    pub(crate) forwarder: Arc<Forwarder<Beliefs>>,
    pub(crate) exchange: DocumentExchange,
}

impl StoreWatch {
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
            let read = match revision {
                None => self.counted(self.store.read_config()).await,
                Some(revision) => {
                    let watch = self.store.watch_config(revision, CONFIG_WAIT);
                    self.counted(watch).await
                }
            };
            let now = Instant::now();
            match read {
                Ok(Changes {
                    changes,
                    revision: at,
                }) => {
                    for text in changes {
                        self.offer(text, "store");
                    }
                    revision = Some(at);
                    self.forwarder.node.store_answers(true, now);
                    note_return(&mut is_away, "config");
                }
                Err(StoreFailure::HistoryGone) => revision = None,
                Err(failure) => {
                    self.forwarder.node.store_answers(false, now);
                    note_loss(&mut is_away, "config", failure);
                    away_pause().await;
                }
            }
        }
    }

    /// Follows the upstreams until the task is dropped.
    pub(crate) async fn follow_upstreams(self) {
        let directory = &self.forwarder.directory;
        let mut revision: Option<Version> = None;
        let mut is_away = false;
        loop {
            let followed = match revision {
                None => self.list_upstreams().await,
                Some(revision) => self.watch_upstreams(revision).await,
            };
            let now = Instant::now();
            match followed {
                Ok(at) => {
                    revision = Some(at);
                    directory.store_answers(true, now);
                    note_return(&mut is_away, "upstreams");
                    tokio::time::sleep(GATHER).await;
                }
                Err(StoreFailure::HistoryGone) => revision = None,
                Err(failure) => {
                    directory.store_answers(false, now);
                    note_loss(&mut is_away, "upstreams", failure);
                    away_pause().await;
                }
            }
        }
    }

    async fn list_upstreams(&self) -> Result<Version, StoreFailure> {
        let list = self.counted(self.store.list_upstreams()).await?;
        let directory = &self.forwarder.directory;
        directory.store_answers(true, Instant::now());
        directory.replace(list.entries, Instant::now());
        Ok(list.revision)
    }

    async fn watch_upstreams(&self, revision: Version) -> Result<Version, StoreFailure> {
        let watch = self.store.watch_upstreams(revision, UPSTREAM_WAIT);
        let changes = self.counted(watch).await?;
        let directory = &self.forwarder.directory;
        directory.store_answers(true, Instant::now());
        for news in changes.changes {
            match news {
                UpstreamNews::Entry(entry) => directory.put(entry),
                UpstreamNews::Gone(id) => directory.gone(&id, Instant::now()),
            }
        }
        Ok(changes.revision)
    }

    /// Drops upstreams that did not return, until the task is dropped.
    pub(crate) async fn expire_upstreams(self) {
        loop {
            tokio::time::sleep(EXPIRE_INTERVAL).await;
            self.forwarder.directory.expire(Instant::now());
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

async fn away_pause() {
    let ms = rand::rng().random_range(AWAY_PAUSE_MIN_MS..AWAY_PAUSE_MAX_MS);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
