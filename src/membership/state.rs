//! State of the gossip at one node, and the decision when to synchronise.
//!
//! To synchronise means to request from a peer, over TCP, the members and
//! announcements that datagrams have not delivered.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::id::Version;
use crate::membership::announcement::{Announcements, Update, UpdateQueue};
use crate::membership::members::{Change, Members};
use crate::membership::message::{DocumentVersion, MemberRecord, SyncRequest};

/// Minimum time between two synchronisations when the members differ.
const MEMBER_SYNC_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// Minimum time between two synchronisations when only announcements differ. It
/// is longer than for members, since most of the missing announcements still
/// arrive in datagrams.
const ANNOUNCEMENT_SYNC_INTERVAL_MIN: Duration = Duration::from_secs(5);

/// What one node knows of its peers, and the updates it has yet to send.
#[derive(Debug)]
pub(crate) struct State {
    /// All nodes, including this one.
    pub(crate) members: Members,
    /// Announcements that have not expired.
    pub(crate) announcements: Announcements,
    /// Updates that this node still has to piggyback on datagrams.
    pub(crate) updates: UpdateQueue,
    /// Versions of the documents that this node holds.
    pub(crate) documents: BTreeMap<String, Version>,
    /// Pings and ping requests that wait for an ack, by sequence number.
    pub(crate) pending_acks: BTreeMap<u64, oneshot::Sender<()>>,
    /// Sequence number of the latest ping or ping request.
    pub(crate) last_sequence: u64,
    /// When this node last asked a peer to synchronise.
    pub(crate) last_sync_at: Option<Instant>,
    /// Whether a push of new updates to some peers is scheduled.
    pub(crate) is_push_scheduled: bool,
}

impl State {
    /// Makes a request for the members and announcements that this node lacks.
    pub(crate) fn sync_request(&self) -> SyncRequest {
        SyncRequest {
            table_hash: self.members.table_hash(),
            bucket_hashes: self.announcements.bucket_hashes(),
        }
    }

    /// Whether to synchronise with a peer that sent these hashes of its members
    /// and announcements.
    pub(crate) fn is_sync_due(
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

/// How an update reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// Piggybacked on a datagram. It has to be forwarded to other nodes.
    Datagram,
    /// Part of a synchronisation reply. It is not forwarded, since other nodes
    /// that lack it synchronise as well.
    Synchronisation,
}

/// Queues what other nodes have to be sent after `record` was applied to the
/// members: the record itself, this node's own record if it refuted `record`, or
/// nothing.
pub(crate) fn queue_update(
    state: &mut State,
    record: &MemberRecord,
    change: Change,
    source: Source,
) {
    match change {
        Change::Unchanged => {}
        Change::Updated if source == Source::Synchronisation => {}
        Change::Updated => state.updates.add(Update::Member(record.clone())),
        Change::Refuted => {
            let own_record = state.members.my_record();
            state.updates.add(Update::Member(own_record));
        }
    }
}

/// Converts document versions for a datagram.
pub(crate) fn document_versions(documents: &BTreeMap<String, Version>) -> Vec<DocumentVersion> {
    documents
        .iter()
        .map(|(name, version)| DocumentVersion {
            name: name.clone(),
            version: *version,
        })
        .collect()
}
