//! Exchanges one document between nodes, so that the newest reaches all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;

use crate::configuration::document::DocumentStore;
use crate::id::Version;
use crate::membership::compression::decompress;
use crate::membership::gossip::{Membership, MembershipEvent};
use crate::membership::link_faults::LinkFaults;
use crate::membership::message::{DocumentVersion, ReplyBody, RequestBody};
use crate::membership::peer::PeerClient;
use crate::store::object_store::Object;

/// How long a peer may take to hand over a document.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// One node's side of the exchange of one document.
#[derive(Clone, Debug)]
pub(crate) struct DocumentExchange {
    /// Name of the document.
    pub(crate) name: &'static str,
    /// Where it is kept.
    pub(crate) documents: Arc<DocumentStore>,
    /// The peers.
    pub(crate) membership: Membership,
    /// Calls to peers.
    pub(crate) peers: PeerClient,
    /// Faults between nodes, for tests.
    pub(crate) faults: LinkFaults,
    /// Wakes whoever applies the document.
    pub(crate) changed: watch::Sender<Version>,
}

impl DocumentExchange {
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

    /// Version held; zero when there is none.
    pub(crate) fn version(&self) -> Version {
        self.documents.version(self.name)
    }

    /// Fetches newer versions from peers until the task is dropped.
    pub(crate) async fn follow_peers(&self) {
        let mut news = self.membership.subscribe();
        loop {
            match news.recv().await {
                Ok(MembershipEvent::Document {
                    name,
                    version,
                    peer_address,
                }) if name == self.name => {
                    if version > self.version() {
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
        let question = RequestBody::Fetch(DocumentVersion {
            name: self.name.to_owned(),
            version: self.version(),
        });
        let asked = self.peers.call(peer_address, question, FETCH_TIMEOUT).await;
        let Ok(ReplyBody::Document(reply)) = asked else {
            return;
        };
        // A peer that holds nothing newer sends version zero and no body.
        if reply.version == 0 {
            return;
        }
        match decompress(&reply.body) {
            Some(body) => {
                self.offer(Object {
                    version: reply.version,
                    body,
                });
            }
            None => log::error!(
                "event=peer_unreadable peer={peer_address} what={}",
                self.name
            ),
        }
    }
}
