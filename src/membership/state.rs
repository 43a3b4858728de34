//! The state behind a running membership, and when it calls for action.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::id::Version;
use crate::membership::announcement::{Announcements, Update, UpdateQueue};
use crate::membership::members::{Change, Members};
use crate::membership::message::{DocumentVersion, MemberRecord, SyncQuestion};

/// Least time between two synchronisations where members differ.
const SYNC_SPACING: Duration = Duration::from_secs(2);
/// The same where only announcements differ, which mostly are on their way.
const ANNOUNCEMENT_SYNC_SPACING: Duration = Duration::from_secs(5);

/// What one node knows of its peers, and what it has yet to tell them.
#[derive(Debug)]
pub(crate) struct State {
    /// The other nodes.
    pub(crate) members: Members,
    /// What is announced.
    pub(crate) announcements: Announcements,
    /// What still has to be spread.
    pub(crate) updates: UpdateQueue,
    /// Documents that are held here.
    pub(crate) documents: BTreeMap<String, Version>,
    /// Probes that wait for their answer.
    pub(crate) waiting: BTreeMap<u64, oneshot::Sender<()>>,
    /// Number of the next probe.
    pub(crate) next_sequence: u64,
    /// When a peer was last asked for all it has.
    pub(crate) synced_at: Option<Instant>,
    /// Whether peers are about to be told of something new.
    pub(crate) telling: bool,
}

impl State {
    /// Asks a peer for what this node lacks.
    pub(crate) fn sync_question(&self) -> SyncQuestion {
        SyncQuestion {
            table_hash: self.members.table_hash(),
            bucket_hashes: self.announcements.bucket_hashes(),
        }
    }

    /// Whether a peer with these hashes is to be asked for what it has.
    pub(crate) fn is_sync_due(
        &self,
        table_hash: u64,
        announcement_hash: u64,
        now: Instant,
    ) -> bool {
        let spacing = if table_hash != self.members.table_hash() {
            SYNC_SPACING
        } else if announcement_hash != self.announcements.hash() {
            ANNOUNCEMENT_SYNC_SPACING
        } else {
            return false;
        };
        self.synced_at.is_none_or(|at| now - at >= spacing)
    }
}

/// How something was learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// It travels from node to node, and is to travel on.
    Datagram,
    /// A peer handed over all it has; whoever lacks it will ask as well.
    Synchronisation,
}

/// Passes news of a member on, where that is called for.
pub(crate) fn spread(state: &mut State, record: &MemberRecord, change: Change, source: Source) {
    match change {
        Change::Nothing => {}
        Change::Spread if source == Source::Synchronisation => {}
        Change::Spread => state.updates.add(Update::Member(record.clone())),
        Change::Refuted => {
            let mine = state.members.my_record();
            state.updates.add(Update::Member(mine));
        }
    }
}

/// Documents as datagrams name them.
pub(crate) fn document_versions(documents: &BTreeMap<String, Version>) -> Vec<DocumentVersion> {
    documents
        .iter()
        .map(|(name, version)| DocumentVersion {
            name: name.clone(),
            version: *version,
        })
        .collect()
}
