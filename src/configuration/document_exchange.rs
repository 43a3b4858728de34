//! Exchange of one document, such as the configuration, between nodes.
//!
//! A node that gets a newer version announces its number in its gossip
//! datagrams. Nodes with a lower version then fetch the document from it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;

use crate::configuration::document::DocumentStore;
use crate::configuration::peer_fetches::PeerFetches;
use crate::id::Version;
use crate::membership::compression::decompress;
use crate::membership::gossip::{Membership, MembershipEvent};
use crate::membership::link_faults::LinkFaults;
use crate::membership::message::{DocumentVersion, ReplyBody, RequestBody};
use crate::membership::peer::PeerClient;
use crate::store::object_store::Object;
use crate::store::revision::Revision;

/// Time-out of a request for a document to a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// One node's side of the exchange of one document.
#[derive(Clone, Debug)]
pub(crate) struct DocumentExchange {
    /// Name of the document.
    pub(crate) name: &'static str,
    /// Where this node stores the document.
    pub(crate) documents: Arc<DocumentStore>,
    /// Gossip membership, which announces versions.
    pub(crate) membership: Membership,
    /// Client for requests to peers.
    pub(crate) peers: PeerClient,
    /// Simulated faults of the network between nodes, for tests.
    pub(crate) faults: LinkFaults,
    /// Notifies the task that applies the document of the version held.
    pub(crate) changed: watch::Sender<Version>,
}

impl DocumentExchange {
    /// Stores and announces `object` if it is newer than the version held, and
    /// returns whether it is.
    pub(crate) fn offer(&self, object: Object) -> bool {
        let version = object.version;
        let is_newer = self.documents.offer(self.name, object);
        if is_newer {
            self.changed.send_replace(version);
            self.membership.hold_document(self.name, version);
        }
        is_newer
    }

    /// Returns the version held, or zero if the document is not held.
    pub(crate) fn version(&self) -> Version {
        self.documents.version(self.name)
    }

    /// Fetches each newer version that a peer announces. A `Node` cancels the
    /// task when it stops; at an `EdgeNode` it ends with the runtime. `self` holds
    /// a sender of the event channel, which thus stays open.
    pub(crate) async fn follow_peers(&self) {
        let mut events = self.membership.subscribe();
        let mut fetches = PeerFetches::new();
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Ok(MembershipEvent::Document {
                        name,
                        version,
                        peer_address,
                        ..
                    }) if name == self.name => fetches.announce(version, peer_address),
                    Ok(_) | Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return,
                },
                (version, peer) = fetches.next_due() => {
                    if version > self.version() {
                        fetches.begin(peer, self.fetch(peer));
                    }
                }
            }
        }
    }

    async fn fetch(&self, peer_address: SocketAddr) {
        if self.faults.is_cut(&peer_address) {
            return;
        }
        let held = Revision::without_era(self.version());
        let request = RequestBody::Fetch(DocumentVersion::new(self.name.to_owned(), held));
        let result = self.peers.call(peer_address, request, FETCH_TIMEOUT).await;
        let Ok(ReplyBody::Document(reply)) = result else {
            return;
        };
        // A peer that holds nothing newer sends version zero and no body.
        if reply.version == 0 {
            return;
        }
        match decompress(&reply.body) {
            Some(body) => {
                let version = reply.version;
                if self.offer(Object { version, body }) {
                    log::info!(
                        "event=document_fetched name={} version={version} peer={peer_address}",
                        self.name
                    );
                }
            }
            None => log::error!(
                "event=peer_unreadable peer={peer_address} what={}",
                self.name
            ),
        }
    }
}
