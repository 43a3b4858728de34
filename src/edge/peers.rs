//! What a node tells its peers, and what it learns from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::broadcast::error::RecvError;

use super::beliefs::Beliefs;
use super::store_watch::{StoreWatch, UPSTREAMS_DOCUMENT, WORD_DOCUMENT};
use super::upstream_log::{UpstreamLog, decode};
use crate::configuration::document::DocumentStore;
use crate::forward::forwarder::Forwarder;
use crate::membership::gossip::{Membership, MembershipEvent};
use crate::membership::message::{
    DocumentReply, DocumentVersion, ReplyBody, RequestBody, RetryReply,
};
use crate::membership::peer::PeerHandler;

/// How long a peer may take to tell what changed.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Answers other entry nodes.
pub(crate) struct EdgePeerApi {
    pub(crate) membership: Membership,
    pub(crate) documents: Arc<DocumentStore>,
    pub(crate) upstreams: Arc<UpstreamLog>,
    pub(crate) forwarder: Arc<Forwarder<Beliefs>>,
}

impl EdgePeerApi {
    fn document(&self, wanted: &DocumentVersion) -> DocumentReply {
        if wanted.name != UPSTREAMS_DOCUMENT {
            return self.documents.reply(wanted);
        }
        let (version, body) = self.upstreams.changes_since(wanted.version);
        DocumentReply { version, body }
    }
}

impl PeerHandler for EdgePeerApi {
    async fn handle(&self, question: RequestBody) -> Option<ReplyBody> {
        match question {
            RequestBody::Sync(question) => {
                Some(ReplyBody::Sync(self.membership.sync_reply(&question)))
            }
            RequestBody::Fetch(wanted) => Some(ReplyBody::Document(self.document(&wanted))),
            RequestBody::Retry(wanted) => Some(ReplyBody::Retry(RetryReply {
                is_granted: self.forwarder.spend_retry(&wanted.service),
            })),
            _ => None,
        }
    }
}

impl StoreWatch {
    /// Learns of upstreams and of the store's word from peers, until the task
    /// is dropped.
    pub(crate) async fn follow_peers(self) {
        let mut news = self.exchange.membership.subscribe();
        loop {
            let (name, version, peer) = match news.recv().await {
                Ok(MembershipEvent::Document {
                    name,
                    version,
                    peer_address,
                }) => (name, version, peer_address),
                Ok(_) | Err(RecvError::Lagged(_)) => continue,
                Err(RecvError::Closed) => return,
            };
            match name.as_str() {
                WORD_DOCUMENT => self.hear_word(version),
                UPSTREAMS_DOCUMENT if version > self.upstreams.revision() => {
                    self.fetch_upstreams(peer).await;
                }
                _ => {}
            }
        }
    }

    async fn fetch_upstreams(&self, peer: SocketAddr) {
        let question = RequestBody::Fetch(DocumentVersion {
            name: UPSTREAMS_DOCUMENT.to_owned(),
            version: self.upstreams.revision(),
        });
        let peers = &self.exchange.peers;
        let asked = peers.call(peer, question, FETCH_TIMEOUT).await;
        let Ok(ReplyBody::Document(reply)) = asked else {
            return;
        };
        match decode(reply.version, &reply.body) {
            Some(update) => self.take_in(&update, Instant::now()),
            None => log::error!("event=peer_unreadable peer={peer} what=upstreams"),
        }
    }
}
