//! Keeps this node's documents as new as any peer's or the platform's.
//!
//! One node of each data centre waits at the platform; the others learn from
//! their peers that a version is newer, and fetch it from whoever told them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use tokio::sync::broadcast::error::RecvError;

use crate::document::DocumentStore;
use crate::hash::{Fnv, rendezvous_order};
use crate::id::Version;
use crate::link_faults::LinkFaults;
use crate::membership::{Membership, News};
use crate::message::{DocumentVersion, Question, ReplyBody};
use crate::object_store::{Object, ObjectStore};
use crate::peer::PeerClient;
use crate::platform::Platform;

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
/// How long a peer may take to hand over a document.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps one document of one node up to date.
#[derive(Clone, Debug)]
pub(crate) struct DocumentSync {
    /// Name of the document, which is its platform key.
    pub(crate) name: &'static str,
    /// Where it is kept.
    pub(crate) documents: Arc<DocumentStore>,
    /// The platform.
    pub(crate) platform: Platform,
    /// The peers.
    pub(crate) membership: Membership,
    /// Calls to peers.
    pub(crate) peers: PeerClient,
    /// Faults between nodes, for tests.
    pub(crate) faults: LinkFaults,
    /// Wakes whoever applies the document.
    pub(crate) changed: tokio::sync::watch::Sender<Version>,
}

impl DocumentSync {
    /// Keeps the document until the task is dropped.
    pub(crate) async fn run(self) {
        tokio::join!(self.follow_peers(), self.follow_platform());
    }

    /// Takes in a version, wherever it comes from; older ones are refused.
    pub(crate) fn offer(&self, object: Object) -> bool {
        let version = object.version;
        let newer = self.documents.offer(self.name, object);
        if newer {
            self.changed.send_replace(version);
            self.membership.hold_document(self.name, version);
        }
        newer
    }

    async fn follow_peers(&self) {
        let mut news = self.membership.subscribe();
        loop {
            match news.recv().await {
                Ok(News::Document {
                    name,
                    version,
                    peer_address,
                }) if name == self.name => {
                    if version > self.documents.version(self.name) {
                        self.fetch(peer_address).await;
                    }
                }
                Ok(_) | Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            }
        }
    }

    async fn fetch(&self, peer_address: SocketAddr) {
        if self.faults.is_cut(&peer_address) {
            return;
        }
        let question = Question::Fetch(DocumentVersion {
            name: self.name.to_owned(),
            version: self.documents.version(self.name),
        });
        let asked = self.peers.ask(peer_address, question, FETCH_TIMEOUT).await;
        if let Ok(ReplyBody::Document(reply)) = asked {
            self.offer(Object {
                version: reply.version,
                body: reply.body,
            });
        }
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
            let has_none = self.documents.version(self.name) == 0;
            if has_none || Instant::now() >= next_read {
                self.read_once().await;
                let spread = rand::rng().random_range(0.8..1.2);
                next_read = Instant::now() + SAFETY_READ.mul_f64(spread);
            }
            tokio::time::sleep(ROLE_CHECK).await;
        }
    }

    async fn watch_once(&self) {
        let held = self.documents.version(self.name);
        match self.platform.watch(self.name, held, WATCH_WAIT).await {
            Ok(Some(object)) => {
                self.offer(object);
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(AWAY_PAUSE).await,
        }
    }

    async fn read_once(&self) {
        match self.platform.get(self.name).await {
            Ok(Some(object)) => {
                self.offer(object);
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(AWAY_PAUSE).await,
        }
    }

    fn is_watcher(&self) -> bool {
        let me = self.membership.me();
        let alive = self.membership.alive();
        let near = alive
            .iter()
            .filter(|member| member.data_centre == me.data_centre && !member.leaving);
        let key = Fnv::new().text(self.name).finish();
        let order = rendezvous_order(key, near.map(|member| member.node.as_str()));
        order.first().is_none_or(|first| *first == me.node)
    }
}
