//! Answers peers' requests, and applies what peers pass on from the store:
//! changes of upstreams, and the counter that rises while the store answers (the
//! store heartbeat).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::sync::broadcast::error::RecvError;

use super::cluster_view::ClusterView;
use super::peer_run_origins::{from_record, to_record};
use super::rollouts::RolloutCoordinator;
use super::store_watch::{HEARTBEAT_DOCUMENT, ROUTING_DOCUMENT, StoreWatch, UPSTREAMS_DOCUMENT};
use super::upstream_log::{UpstreamLog, decode};
use crate::configuration::document::DocumentStore;
use crate::configuration::peer_fetches::PeerFetches;
use crate::connection_bound::ConnectionBound;
use crate::forward::forwarder::Forwarder;
use crate::forward::run_origin::OriginSearch;
use crate::membership::gossip::{Membership, MembershipEvent};
use crate::membership::message::{
    DocumentReply, DocumentVersion, ReplyBody, RequestBody, RetryReply, RunOriginReply,
    RunOriginRequest,
};
use crate::membership::peer_server::PeerHandler;
use crate::memory::budget::MemoryBudget;
use crate::store::revision::Revision;

/// Time-out for fetching upstream changes from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Answers requests of other entry nodes.
pub(crate) struct EdgePeerApi {
    pub(crate) membership: Membership,
    pub(crate) documents: Arc<DocumentStore>,
    pub(crate) upstreams: Arc<UpstreamLog>,
    pub(crate) forwarder: Arc<Forwarder<ClusterView>>,
    pub(crate) rollouts: RolloutCoordinator,
    pub(crate) connections: Arc<ConnectionBound>,
    pub(crate) message_memory: Arc<MemoryBudget>,
}

impl EdgePeerApi {
    fn document(&self, wanted: &DocumentVersion) -> DocumentReply {
        if wanted.name != UPSTREAMS_DOCUMENT {
            return self.documents.reply(wanted);
        }
        // A node without a list asks with version zero.
        let since = Some(wanted.revision()).filter(|since| since.number > 0);
        let (revision, body) = self.upstreams.encode_changes_since(since);
        revision.map_or_else(DocumentReply::default, |revision| DocumentReply {
            version: revision.number,
            body,
            era: revision.era,
        })
    }
}

impl EdgePeerApi {
    async fn run_origin(&self, request: RunOriginRequest) -> RunOriginReply {
        let origins = &self.forwarder.run_origins;
        let now = Instant::now();
        if let Some(record) = request.origin {
            origins.record(request.key, from_record(record), now);
            return RunOriginReply::default();
        }
        if let Some(origin) = origins.get(request.key, now) {
            return RunOriginReply {
                origin: Some(to_record(origin)),
                ..RunOriginReply::default()
            };
        }
        if !request.reads_store {
            return RunOriginReply::default();
        }
        let node = &self.forwarder.node;
        match node.read_stored_origin(request.key, &request.service).await {
            OriginSearch::Found(origin) => RunOriginReply {
                origin: Some(to_record(origin)),
                has_read_store: true,
                served_versions: Vec::new(),
            },
            OriginSearch::Absent(served) => RunOriginReply {
                origin: None,
                has_read_store: true,
                served_versions: served.into_iter().collect(),
            },
            OriginSearch::Unknown => RunOriginReply::default(),
        }
    }
}

impl PeerHandler for EdgePeerApi {
    fn connection_bound(&self) -> Option<Arc<ConnectionBound>> {
        Some(self.connections.clone())
    }

    fn message_memory(&self) -> Arc<MemoryBudget> {
        self.message_memory.clone()
    }

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
            RequestBody::RunOrigin(request) => {
                Some(ReplyBody::RunOrigin(self.run_origin(request).await))
            }
            RequestBody::Rollout(report) => {
                let reply = self.rollouts.receive(report);
                Some(ReplyBody::Rollout(reply))
            }
            _ => None,
        }
    }
}

impl StoreWatch {
    /// Applies upstream changes and store heartbeats from peers. Ends with the
    /// runtime: it holds a sender of its event channel, which thus stays open.
    pub(crate) async fn follow_peers(self) {
        let mut events = self.exchange.membership.subscribe();
        let mut fetches = PeerFetches::new();
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Ok(MembershipEvent::Document {
                        name,
                        version: number,
                        era,
                        peer_address,
                    }) => {
                        let revision = Revision { era, number };
                        if self.apply_announced(&name, revision) {
                            fetches.announce(revision, peer_address);
                        }
                    }
                    Ok(_) | Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return,
                },
                (revision, peer) = fetches.next_due() => {
                    if self.is_list_newer(revision) {
                        fetches.begin(peer, self.fetch_upstreams(peer));
                    }
                }
            }
        }
    }

    /// Applies what the version of a document alone says; true if it is a list of
    /// upstreams that should be fetched.
    fn apply_announced(&self, name: &str, revision: Revision) -> bool {
        match name {
            HEARTBEAT_DOCUMENT => self.apply_heartbeat(revision.number),
            ROUTING_DOCUMENT => {
                let mut freshness = self.forwarder.node.freshness();
                freshness.record_announced(revision.number, Instant::now());
            }
            UPSTREAMS_DOCUMENT => return self.is_list_newer(revision),
            _ => {}
        }
        false
    }

    /// Whether a list of upstreams that a peer announced is newer than this node's. If
    /// its order is unknown, since an earlier build announced it without its era, this
    /// node asks the store.
    fn is_list_newer(&self, announced: Revision) -> bool {
        let held = self.upstreams.revision();
        let replaces = announced.replaces(held);
        let is_unordered = held.is_some_and(|held| announced.partial_cmp(&held).is_none());
        if is_unordered && !replaces {
            self.is_list_in_doubt.store(true, Ordering::Relaxed);
        }
        held != Some(announced) && replaces
    }

    async fn fetch_upstreams(&self, peer: SocketAddr) {
        let held = self.upstreams.revision();
        let held = held.unwrap_or(Revision::without_era(0));
        let name = UPSTREAMS_DOCUMENT.to_owned();
        let request = RequestBody::Fetch(DocumentVersion::new(name, held));
        let peers = &self.exchange.peers;
        let result = peers.call(peer, request, FETCH_TIMEOUT).await;
        let Ok(ReplyBody::Document(reply)) = result else {
            return;
        };
        // A peer that has no list sends version zero and no body.
        if reply.version == 0 {
            return;
        }
        let revision = Revision {
            era: reply.era,
            number: reply.version,
        };
        match decode(revision, &reply.body) {
            Some(update) => self.apply_update(&update, Instant::now()),
            None => log::error!("event=peer_unreadable peer={peer} what=upstreams"),
        }
    }
}
