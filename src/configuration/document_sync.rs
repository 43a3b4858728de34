//! Keeps this node's documents as new as any peer's or the platform's.
//!
//! One node of each data centre waits at the platform; the others learn from
//! their peers that a version is newer, and fetch it from whoever told them.

use std::time::{Duration, Instant};

use rand::RngExt;

use crate::configuration::document_exchange::DocumentExchange;
use crate::hash::{Fnv, rendezvous_order};
use crate::store::object_api::PlatformClient;
use crate::store::object_store::ObjectStore;

/// How long one watch waits at the platform.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after the platform failed a watch.
const AWAY_PAUSE: Duration = Duration::from_millis(500);
/// How often a node checks whether it is the one to watch.
const ROLE_CHECK: Duration = Duration::from_millis(250);
/// How long peers are asked before a new node asks the platform.
const PEERS_FIRST: Duration = Duration::from_millis(700);
/// Time between the platform reads of nodes that do not watch.
const SAFETY_READ: Duration = Duration::from_secs(30);

/// Keeps one document of one node up to date.
#[derive(Clone, Debug)]
pub(crate) struct DocumentSync {
    /// The exchange with peers; its document's name is its platform key.
    pub(crate) exchange: DocumentExchange,
    /// The platform.
    pub(crate) platform: PlatformClient,
}

impl DocumentSync {
    /// Keeps the document until the task is dropped.
    pub(crate) async fn run(self) {
        tokio::join!(self.exchange.follow_peers(), self.follow_platform());
    }

    async fn follow_platform(&self) {
        tokio::time::sleep(PEERS_FIRST).await;
        let mut next_read = Instant::now();
        loop {
            if self.is_watcher() {
                self.watch_once().await;
                continue;
            }
            // A node that peers could not help must not wait for its turn.
            let has_none = self.exchange.version() == 0;
            if has_none || Instant::now() >= next_read {
                self.read_once().await;
                let spread = rand::rng().random_range(0.8..1.2);
                next_read = Instant::now() + SAFETY_READ.mul_f64(spread);
            }
            tokio::time::sleep(ROLE_CHECK).await;
        }
    }

    async fn watch_once(&self) {
        let held = self.exchange.version();
        match self
            .platform
            .watch(self.exchange.name, held, WATCH_WAIT)
            .await
        {
            Ok(Some(object)) => {
                self.exchange.offer(object);
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(AWAY_PAUSE).await,
        }
    }

    async fn read_once(&self) {
        match self.platform.get(self.exchange.name).await {
            Ok(Some(object)) => {
                self.exchange.offer(object);
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(AWAY_PAUSE).await,
        }
    }

    fn is_watcher(&self) -> bool {
        let me = self.exchange.membership.me();
        let alive = self.exchange.membership.alive();
        let near = alive
            .iter()
            .filter(|member| member.data_centre == me.data_centre && !member.leaving);
        let key = Fnv::new().text(self.exchange.name).finish();
        let order = rendezvous_order(key, near.map(|member| member.node.as_str()));
        order.first().is_none_or(|first| *first == me.node)
    }
}
