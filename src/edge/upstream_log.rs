//! The upstreams that one node knows, with the store's revision at each change,
//! so that the node can send a peer only the changes that the peer does not have
//! yet.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use prost::Message;

use crate::forward::upstream::UpstreamEntry;
use crate::id::{UpstreamId, Version};
use crate::membership::compression;
use crate::platform::store::UpstreamChange;
use crate::store::revision::Revision;

/// How long the tombstone of a removed upstream is kept.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Wire format of an upstream, or of its removal.
#[derive(Clone, PartialEq, Message)]
struct UpstreamRecord {
    #[prost(string, tag = "1")]
    id: String,
    /// Whether the upstream was removed; all later fields are then empty.
    #[prost(bool, tag = "2")]
    is_removed: bool,
    /// Start time of the incarnation.
    #[prost(uint64, tag = "3")]
    born_unix_ms: u64,
    /// Service that the upstream serves.
    #[prost(string, tag = "4")]
    service: String,
    #[prost(string, tag = "5")]
    address: String,
    #[prost(string, tag = "6")]
    data_centre: String,
    /// Number of calls that the upstream runs concurrently.
    #[prost(uint32, tag = "7")]
    slot_count: u32,
    /// Whether the upstream accepts no new calls.
    #[prost(bool, tag = "8")]
    draining: bool,
    /// Version of the upstream's software; absent if unknown.
    #[prost(string, optional, tag = "9")]
    software_version: Option<String>,
}

/// Wire format of the changes since a revision, or of all upstreams.
#[derive(Clone, PartialEq, Message)]
struct ChangesRecord {
    /// Whether `upstreams` is the full list, so that all others are removed.
    #[prost(bool, tag = "1")]
    is_snapshot: bool,
    /// Upstreams that were added, changed or removed.
    #[prost(message, repeated, tag = "2")]
    upstreams: Vec<UpstreamRecord>,
}

/// An update of the upstreams, from the store or from a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamUpdate {
    /// Whether `changes` is the full list, so that all others are removed.
    pub(crate) is_snapshot: bool,
    pub(crate) changes: Vec<UpstreamChange>,
    /// Revision up to which all changes are included.
    pub(crate) revision: Revision,
}

#[derive(Debug, Default)]
struct State {
    /// Revision up to which all changes are known; `None` before the first list.
    revision: Option<Revision>,
    /// Number of the revision after which the log still has every change of its era.
    /// Older tombstones have been removed.
    complete_since: Version,
    /// Last change of each upstream with the number of its revision, which is of the
    /// era of `revision`; `None` is a tombstone.
    last_changes: BTreeMap<UpstreamId, (Version, Option<UpstreamEntry>)>,
    removed_at: BTreeMap<UpstreamId, Instant>,
    /// The last reply. After a change many peers send the same request.
    cached_reply: Option<CachedReply>,
}

#[derive(Clone, Debug)]
struct CachedReply {
    since: Option<Revision>,
    revision: Option<Revision>,
    body: Bytes,
}

/// The upstreams that one node knows and their last changes. An update from the
/// store or a peer is applied to the log, and a peer is answered from the log.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLog {
    state: Mutex<State>,
}

impl UpstreamLog {
    /// Revision of the store up to which all changes are known; `None` if no list
    /// of upstreams has been received yet.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.lock().revision
    }

    /// Applies an update unless it is older than the log or has no effect; true
    /// if it was applied.
    pub(crate) fn apply(&self, update: &UpstreamUpdate, now: Instant) -> bool {
        let mut state = self.lock();
        if !state.can_apply(update) {
            return false;
        }
        state.remove_old_tombstones(now);
        state.revision = Some(update.revision);
        state.cached_reply = None;
        if update.is_snapshot {
            state.last_changes.clear();
            state.removed_at.clear();
            state.complete_since = update.revision.number;
        }
        for change in &update.changes {
            state.record_change(change, update.revision.number, now);
        }
        true
    }

    /// Encodes the changes after the revision `since` for a peer, and gives the
    /// revision up to which they go, if the log has one.
    pub(crate) fn encode_changes_since(
        &self,
        since: Option<Revision>,
    ) -> (Option<Revision>, Bytes) {
        let mut state = self.lock();
        let revision = state.revision;
        let cached = state.cached_reply.as_ref();
        if let Some(cached) = cached.filter(|c| (c.since, c.revision) == (since, revision)) {
            return (revision, cached.body.clone());
        }
        let body = compression::compress(&state.changes_since(since).encode_to_vec());
        state.cached_reply = Some(CachedReply {
            since,
            revision,
            body: body.clone(),
        });
        (revision, body)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// An update of another era than the log's can only be a snapshot, since its
    /// changes follow on others than those of the log.
    fn can_apply(&self, update: &UpstreamUpdate) -> bool {
        let follows_on = self.revision.is_some_and(|r| r.era == update.revision.era);
        let is_empty = update.changes.is_empty() && !update.is_snapshot;
        let has_effect = !is_empty || self.revision != Some(update.revision);
        has_effect && (update.is_snapshot || follows_on) && update.revision.replaces(self.revision)
    }

    fn changes_since(&self, since: Option<Revision>) -> ChangesRecord {
        let era = self.revision.and_then(|revision| revision.era);
        let since = since.filter(|since| since.era == era);
        let since = since.filter(|since| since.number >= self.complete_since);
        let changes = self.last_changes.iter();
        let changes = changes.filter(|(_, (number, entry))| match since {
            None => entry.is_some(),
            Some(since) => *number > since.number,
        });
        let upstreams = changes.map(|(id, (_, entry))| to_record(id, entry.as_ref()));
        ChangesRecord {
            is_snapshot: since.is_none(),
            upstreams: upstreams.collect(),
        }
    }

    fn record_change(&mut self, change: &UpstreamChange, number: Version, now: Instant) {
        match change {
            UpstreamChange::Registered(entry) => {
                let id = entry.id.clone();
                self.removed_at.remove(&id);
                self.last_changes.insert(id, (number, Some(entry.clone())));
            }
            UpstreamChange::Removed(id) => {
                self.removed_at.insert(id.clone(), now);
                self.last_changes.insert(id.clone(), (number, None));
            }
        }
    }

    fn remove_old_tombstones(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= TOMBSTONE_RETENTION;
        let old = self.removed_at.iter().filter(|(_, at)| is_old(at));
        let old: Vec<UpstreamId> = old.map(|(id, _)| id.clone()).collect();
        for id in old {
            self.removed_at.remove(&id);
            if let Some((number, _)) = self.last_changes.remove(&id) {
                self.complete_since = self.complete_since.max(number);
            }
        }
    }
}

/// Decodes a reply that a peer encoded with
/// [`UpstreamLog::encode_changes_since`].
pub(crate) fn decode(revision: Revision, body: &[u8]) -> Option<UpstreamUpdate> {
    let record = ChangesRecord::decode(compression::decompress(body)?).ok()?;
    Some(UpstreamUpdate {
        is_snapshot: record.is_snapshot,
        changes: record.upstreams.into_iter().map(from_record).collect(),
        revision,
    })
}

fn to_record(id: &UpstreamId, entry: Option<&UpstreamEntry>) -> UpstreamRecord {
    let Some(entry) = entry else {
        return UpstreamRecord {
            id: id.clone(),
            is_removed: true,
            ..UpstreamRecord::default()
        };
    };
    UpstreamRecord {
        id: id.clone(),
        is_removed: false,
        born_unix_ms: entry.born_unix_ms,
        service: entry.service.clone(),
        address: entry.address.to_string(),
        data_centre: entry.data_centre.clone(),
        slot_count: entry.slot_count,
        draining: entry.draining,
        software_version: entry.software_version.clone(),
    }
}

/// Converts a record. One that names no address names no upstream to use, and counts as
/// removed.
fn from_record(record: UpstreamRecord) -> UpstreamChange {
    if record.is_removed {
        return UpstreamChange::Removed(record.id);
    }
    let Ok(address) = record.address.parse() else {
        log::warn!("event=peer_unreadable what=upstream name={:?}", record.id);
        return UpstreamChange::Removed(record.id);
    };
    UpstreamChange::Registered(UpstreamEntry {
        address,
        id: record.id,
        born_unix_ms: record.born_unix_ms,
        service: record.service,
        data_centre: record.data_centre,
        slot_count: record.slot_count,
        draining: record.draining,
        software_version: record.software_version,
    })
}

/// Encodes one upstream.
pub(crate) fn encode_entry(entry: &UpstreamEntry) -> Bytes {
    to_record(&entry.id, Some(entry)).encode_to_vec().into()
}

/// Decodes the output of [`encode_entry`].
pub(crate) fn decode_entry(body: &[u8]) -> Option<UpstreamEntry> {
    match from_record(UpstreamRecord::decode(body).ok()?) {
        UpstreamChange::Registered(entry) => Some(entry),
        UpstreamChange::Removed(_) => None,
    }
}
