//! Synchronisation: a node whose hashes differ from a peer's requests over TCP the
//! members and announcements that it lacks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::membership::gossip::Membership;
use crate::membership::gossip::updates::Source;
use crate::membership::message::{Datagram, ReplyBody, RequestBody, SyncReply, SyncRequest};
use crate::membership::peer_server::PeerHandler;
use crate::membership::state::State;

/// Time-out of a synchronisation request to a peer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum time between two synchronisations when the members differ.
const MEMBER_SYNC_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// Minimum time between two synchronisations when only announcements differ. It
/// is longer than for members, since most of the missing announcements still
/// arrive in datagrams.
const ANNOUNCEMENT_SYNC_INTERVAL_MIN: Duration = Duration::from_secs(5);

impl State {
    /// Makes a request for the members and announcements that this node lacks.
    fn sync_request(&self) -> SyncRequest {
        SyncRequest {
            table_hash: self.members.table_hash(),
            bucket_hashes: self.announcements.bucket_hashes(),
        }
    }

    /// Whether to synchronise with a peer that sent these hashes of its members
    /// and announcements.
    pub(super) fn is_sync_due(
        &self,
        table_hash: u64,
        announcement_hash: u64,
        now: Instant,
    ) -> bool {
        let interval_min = if table_hash != self.members.table_hash() {
            MEMBER_SYNC_INTERVAL_MIN
        } else if announcement_hash != self.announcements.hash() {
            ANNOUNCEMENT_SYNC_INTERVAL_MIN
        } else {
            return false;
        };
        self.last_sync_at.is_none_or(|at| now - at >= interval_min)
    }
}

impl Membership {
    /// Makes the reply to a peer's synchronisation request: the members and
    /// announcements that the peer may lack.
    pub(crate) fn sync_reply(&self, request: &SyncRequest) -> SyncReply {
        let state = self.state();
        let members_differ = request.table_hash != state.members.table_hash();
        let announcements = &state.announcements;
        SyncReply {
            members: if members_differ {
                state.members.records()
            } else {
                Vec::new()
            },
            announcements: announcements
                .records_in_differing_buckets(&request.bucket_hashes, Instant::now()),
        }
    }

    pub(super) async fn sync_with(self, peer: SocketAddr) {
        if self.shared.settings.faults.is_cut(&peer) {
            return;
        }
        let request = RequestBody::Sync(self.state().sync_request());
        let result = self.shared.peers.call(peer, request, SYNC_TIMEOUT).await;
        let Ok(ReplyBody::Sync(reply)) = result else {
            return;
        };
        let updates = Datagram {
            members: reply.members,
            announcements: reply.announcements,
            ..Datagram::default()
        };
        self.apply_updates(updates, peer, Source::Synchronisation);
    }
}

/// Handles peers' requests where a membership runs outside a [`crate::Node`]:
/// it answers synchronisation requests only.
pub(super) struct SyncHandler(pub(super) Membership);

impl PeerHandler for SyncHandler {
    async fn handle(&self, request: RequestBody) -> Option<ReplyBody> {
        match request {
            RequestBody::Sync(request) => Some(ReplyBody::Sync(self.0.sync_reply(&request))),
            _ => None,
        }
    }
}
