//! State of the gossip at one node.

use std::collections::BTreeMap;
use std::time::Instant;

use tokio::sync::oneshot;

use crate::membership::announcement::Announcements;
use crate::membership::members::{Member, Members};
use crate::membership::message::DocumentVersion;
use crate::membership::update_queue::UpdateQueue;
use crate::store::revision::Revision;

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
    pub(crate) documents: BTreeMap<String, Revision>,
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
    /// Makes the state of a node that knows only itself.
    pub(crate) fn new(me: Member) -> Self {
        Self {
            members: Members::new(me),
            announcements: Announcements::default(),
            updates: UpdateQueue::default(),
            documents: BTreeMap::new(),
            pending_acks: BTreeMap::new(),
            last_sequence: 0,
            last_sync_at: None,
            is_push_scheduled: false,
        }
    }
}

/// Converts document versions for a datagram.
pub(crate) fn document_versions(documents: &BTreeMap<String, Revision>) -> Vec<DocumentVersion> {
    documents
        .iter()
        .map(|(name, revision)| DocumentVersion::new(name.clone(), *revision))
        .collect()
}
