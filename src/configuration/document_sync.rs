//! Keeps the document that this node holds (the configuration or the VM list) as
//! new as at its peers and in the platform.
//!
//! One node of each data centre, the watcher, waits for new versions in the
//! platform by long polling. The other nodes are notified of new versions by
//! gossip and fetch them from the peer that announced them.

use std::time::{Duration, Instant};

use rand::RngExt;

use crate::configuration::document_exchange::DocumentExchange;
use crate::hash::{Fnv, rendezvous_order};
use crate::store::object_api::PlatformClient;
use crate::store::object_store::ObjectStore;

/// Time-out of one long poll of the platform.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed long poll or read of the platform.
const FAILURE_DELAY: Duration = Duration::from_millis(500);
/// Time between two checks by a node that is not the watcher of the platform
/// whether it has become the watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a new node waits for documents from peers before it reads the
/// platform.
const PEERS_FIRST_DELAY: Duration = Duration::from_millis(700);
/// Time between two reads of the platform by a node that is not the watcher, in
/// case it missed an announcement of its peers.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Keeps one document that this node holds up to date.
#[derive(Clone, Debug)]
pub(crate) struct DocumentSync {
    /// Exchange of the document with peers. The document's name is also its key
    /// in the platform.
    pub(crate) exchange: DocumentExchange,
    /// Client of the platform's object API.
    pub(crate) platform: PlatformClient,
}

impl DocumentSync {
    /// Keeps the document up to date. Never returns; the node cancels the task
    /// when it stops.
    pub(crate) async fn run(self) {
        tokio::join!(self.exchange.follow_peers(), self.follow_platform());
    }

    async fn follow_platform(&self) {
        tokio::time::sleep(PEERS_FIRST_DELAY).await;
        let mut next_read = Instant::now();
        loop {
            if self.is_watcher() {
                self.watch_once().await;
                continue;
            }
            // A node that got no document from its peers does not wait for the
            // next fallback read.
            let has_none = self.exchange.version() == 0;
            if has_none || Instant::now() >= next_read {
                self.read_once().await;
                let jitter = rand::rng().random_range(0.8..1.2);
                next_read = Instant::now() + FALLBACK_READ_INTERVAL.mul_f64(jitter);
            }
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
        }
    }

    async fn watch_once(&self) {
        let held = self.exchange.version();
        match self
            .platform
            .watch(self.exchange.name, held, WATCH_TIMEOUT)
            .await
        {
            Ok(Some(object)) => {
                self.exchange.offer(object);
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(FAILURE_DELAY).await,
        }
    }

    async fn read_once(&self) {
        match self.platform.get(self.exchange.name).await {
            Ok(Some(object)) => {
                self.exchange.offer(object);
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(FAILURE_DELAY).await,
        }
    }

    fn is_watcher(&self) -> bool {
        let me = self.exchange.membership.me();
        let alive = self.exchange.membership.alive();
        let candidates = alive
            .iter()
            .filter(|member| member.data_centre == me.data_centre && !member.leaving);
        let key = Fnv::new().text(self.exchange.name).finish();
        let order = rendezvous_order(key, candidates.map(|member| member.node.as_str()));
        order.first().is_none_or(|first| *first == me.node)
    }
}
