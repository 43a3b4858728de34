//! Answers peers' requests, and applies what peers pass on from the store:
//! changes of upstreams, and the counter that rises while the store answers (the
//! store heartbeat).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::broadcast::error::RecvError;

use super::cluster_view::ClusterView;
use super::peer_run_origins::{from_record, to_record};
use super::store_watch::{HEARTBEAT_DOCUMENT, ROUTING_DOCUMENT, StoreWatch, UPSTREAMS_DOCUMENT};
use super::upstream_log::{UpstreamLog, decode};
use crate::configuration::document::DocumentStore;
use crate::forward::forwarder::Forwarder;
use crate::membership::gossip::{Membership, MembershipEvent};
use crate::membership::message::{
    DocumentReply, DocumentVersion, ReplyBody, RequestBody, RetryReply, RunOriginReply,
    RunOriginRequest,
};
use crate::membership::peer::PeerHandler;

/// Time-out for fetching upstream changes from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Answers requests of other entry nodes.
pub(crate) struct EdgePeerApi {
    pub(crate) membership: Membership,
    pub(crate) documents: Arc<DocumentStore>,
    pub(crate) upstreams: Arc<UpstreamLog>,
    pub(crate) forwarder: Arc<Forwarder<ClusterView>>,
}

impl EdgePeerApi {
    fn document(&self, wanted: &DocumentVersion) -> DocumentReply {
        if wanted.name != UPSTREAMS_DOCUMENT {
            return self.documents.reply(wanted);
        }
        let (version, body) = self.upstreams.encode_changes_since(wanted.version);
        DocumentReply { version, body }
    }
}

impl EdgePeerApi {
    fn run_origin(&self, request: RunOriginRequest) -> RunOriginReply {
        let origins = &self.forwarder.run_origins;
        let now = Instant::now();
        let Some(record) = request.origin else {
            let origin = origins.get(request.key, now).map(to_record);
            return RunOriginReply { origin };
        };
        origins.record(request.key, from_record(record), now);
        RunOriginReply { origin: None }
    }
}

impl PeerHandler for EdgePeerApi {
    async fn handle(&self, request: RequestBody) -> Option<ReplyBody> {
        match request {
            RequestBody::Sync(request) => {
                Some(ReplyBody::Sync(self.membership.sync_reply(&request)))
            }
            RequestBody::Fetch(wanted) => Some(ReplyBody::Document(self.document(&wanted))),
            RequestBody::Retry(wanted) => Some(ReplyBody::Retry(RetryReply {
                is_granted: self.forwarder.spend_retry(&wanted.service),
            })),
            RequestBody::Permit(request) => Some(ReplyBody::Permit(
                self.forwarder.node.answer_permits(&request),
            )),
            RequestBody::RunOrigin(request) => Some(ReplyBody::RunOrigin(self.run_origin(request))),
            _ => None,
        }
    }
}

impl StoreWatch {
    /// Applies upstream changes and store heartbeats from peers. Ends with the
    /// runtime: it holds a sender of its event channel, which thus stays open.
    pub(crate) async fn follow_peers(self) {
        let mut events = self.exchange.membership.subscribe();
        loop {
            let (name, version, peer) = match events.recv().await {
                Ok(MembershipEvent::Document {
                    name,
                    version,
                    peer_address,
                }) => (name, version, peer_address),
                Ok(_) | Err(RecvError::Lagged(_)) => continue,
                Err(RecvError::Closed) => return,
            };
            match name.as_str() {
                HEARTBEAT_DOCUMENT => self.apply_heartbeat(version),
                ROUTING_DOCUMENT => self.forwarder.node.record_announced_config(version),
                UPSTREAMS_DOCUMENT if version > self.upstreams.revision() => {
                    self.fetch_upstreams(peer).await;
                }
                _ => {}
            }
        }
    }

    async fn fetch_upstreams(&self, peer: SocketAddr) {
        let request = RequestBody::Fetch(DocumentVersion {
            name: UPSTREAMS_DOCUMENT.to_owned(),
            version: self.upstreams.revision(),
        });
        let peers = &self.exchange.peers;
        let result = peers.call(peer, request, FETCH_TIMEOUT).await;
        let Ok(ReplyBody::Document(reply)) = result else {
            return;
        };
        match decode(reply.version, &reply.body) {
            Some(update) => self.apply_update(&update, Instant::now()),
            None => log::error!("event=peer_unreadable peer={peer} what=upstreams"),
        }
    }
}
