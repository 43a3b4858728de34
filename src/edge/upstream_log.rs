//! The upstreams that one node knows, with the revision of each change, so
//! that a peer can be told just what it lacks.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use prost::Message;

use crate::forward::upstream::{UpstreamEntry, UpstreamId};
use crate::id::Version;
use crate::membership::compression;
use crate::platform::store::UpstreamChange;

/// How long it is remembered that an entry is gone.
const GONE_KEEP: Duration = Duration::from_secs(60);

/// One upstream, or that it is gone.
#[derive(Clone, PartialEq, Message)]
struct UpstreamRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    id: String,
    /// Set where it has no entry any more.
    #[prost(bool, tag = "2")]
    is_gone: bool,
    /// Start of its life.
    #[prost(uint64, tag = "3")]
    born_unix_ms: u64,
    /// Service that it serves.
    #[prost(string, tag = "4")]
    service: String,
    /// Where it listens.
    #[prost(string, tag = "5")]
    address: String,
    /// Data centre it stands in.
    #[prost(string, tag = "6")]
    data_centre: String,
    /// Calls that it runs at once.
    #[prost(uint32, tag = "7")]
    slot_count: u32,
    /// Whether it takes no new calls.
    #[prost(bool, tag = "8")]
    draining: bool,
}

/// What changed since a revision, or all there is.
#[derive(Clone, PartialEq, Message)]
struct ChangesRecord {
    /// Set where all upstreams that are not named are gone.
    #[prost(bool, tag = "1")]
    is_whole: bool,
    /// The upstreams.
    #[prost(message, repeated, tag = "2")]
    upstreams: Vec<UpstreamRecord>,
}

/// What a node learns about upstreams, from the store or from a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamUpdate {
    /// Set where all upstreams that are not named are gone.
    pub(crate) is_whole: bool,
    /// What is said of each upstream.
    pub(crate) news: Vec<UpstreamChange>,
    /// Revision up to which nothing is missing.
    pub(crate) revision: Version,
}

#[derive(Debug, Default)]
struct State {
    revision: Version,
    /// Revision above which every change is remembered.
    complete_since: Version,
    known: BTreeMap<UpstreamId, (Version, Option<UpstreamEntry>)>,
    gone_at: BTreeMap<UpstreamId, Instant>,
    /// What was told last: after a change many peers ask for the same.
    told: Option<Told>,
}

#[derive(Clone, Debug)]
struct Told {
    since: Version,
    revision: Version,
    packed: Bytes,
}

/// The log of one node.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLog {
    state: Mutex<State>,
}

impl UpstreamLog {
    /// Revision up to which nothing is missing; zero when nothing is known.
    pub(crate) fn revision(&self) -> Version {
        self.lock().revision
    }

    /// Takes in an update, unless it is older than what is known.
    pub(crate) fn apply(&self, update: &UpstreamUpdate, now: Instant) -> bool {
        let mut state = self.lock();
        let is_older = update.revision < state.revision;
        let is_empty = update.news.is_empty() && !update.is_whole;
        if is_older || (update.revision == state.revision && is_empty) {
            return false;
        }
        state.expire(now);
        state.revision = update.revision;
        state.told = None;
        if update.is_whole {
            state.known.clear();
            state.gone_at.clear();
            state.complete_since = update.revision;
        }
        for news in &update.news {
            state.note(news, update.revision, now);
        }
        true
    }

    /// Encodes what a peer lacks that knows all up to `since`.
    pub(crate) fn changes_since(&self, since: Version) -> (Version, Bytes) {
        let mut state = self.lock();
        let revision = state.revision;
        let told = state.told.as_ref();
        if let Some(told) = told.filter(|t| (t.since, t.revision) == (since, revision)) {
            return (revision, told.packed.clone());
        }
        let packed = compression::compress(&state.lacking(since).encode_to_vec());
        state.told = Some(Told {
            since,
            revision,
            packed: packed.clone(),
        });
        (revision, packed)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn lacking(&self, since: Version) -> ChangesRecord {
        let is_whole = since < self.complete_since;
        let lacking = self.known.iter();
        let lacking = lacking
            .filter(|(_, (at, entry))| (is_whole && entry.is_some()) || (!is_whole && *at > since));
        let upstreams = lacking.map(|(id, (_, entry))| record(id, entry.as_ref()));
        ChangesRecord {
            is_whole,
            upstreams: upstreams.collect(),
        }
    }

    fn note(&mut self, news: &UpstreamChange, revision: Version, now: Instant) {
        match news {
            UpstreamChange::Registered(entry) => {
                let id = entry.id.clone();
                self.gone_at.remove(&id);
                self.known.insert(id, (revision, Some(entry.clone())));
            }
            UpstreamChange::Removed(id) => {
                self.gone_at.insert(id.clone(), now);
                self.known.insert(id.clone(), (revision, None));
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= GONE_KEEP;
        let over = self.gone_at.iter().filter(|(_, at)| is_over(at));
        let over: Vec<UpstreamId> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            self.gone_at.remove(&id);
            if let Some((at, _)) = self.known.remove(&id) {
                self.complete_since = self.complete_since.max(at);
            }
        }
    }
}

/// Decodes what a peer encoded by [`UpstreamLog::changes_since`].
pub(crate) fn decode(revision: Version, body: &[u8]) -> Option<UpstreamUpdate> {
    let record = ChangesRecord::decode(compression::decompress(body)?).ok()?;
    let news: Option<Vec<UpstreamChange>> = record.upstreams.into_iter().map(news).collect();
    Some(UpstreamUpdate {
        is_whole: record.is_whole,
        news: news?,
        revision,
    })
}

fn record(id: &UpstreamId, entry: Option<&UpstreamEntry>) -> UpstreamRecord {
    let Some(entry) = entry else {
        return UpstreamRecord {
            id: id.clone(),
            is_gone: true,
            ..UpstreamRecord::default()
        };
    };
    UpstreamRecord {
        id: id.clone(),
        is_gone: false,
        born_unix_ms: entry.born_unix_ms,
        service: entry.service.clone(),
        address: entry.address.to_string(),
        data_centre: entry.data_centre.clone(),
        slot_count: entry.slot_count,
        draining: entry.draining,
    }
}

fn news(record: UpstreamRecord) -> Option<UpstreamChange> {
    if record.is_gone {
        return Some(UpstreamChange::Removed(record.id));
    }
    Some(UpstreamChange::Registered(UpstreamEntry {
        address: record.address.parse().ok()?,
        id: record.id,
        born_unix_ms: record.born_unix_ms,
        service: record.service,
        data_centre: record.data_centre,
        slot_count: record.slot_count,
        draining: record.draining,
    }))
}

/// Encodes one entry.
pub(crate) fn encode_entry(entry: &UpstreamEntry) -> Bytes {
    record(&entry.id, Some(entry)).encode_to_vec().into()
}

/// Decodes what [`encode_entry`] encoded.
pub(crate) fn decode_entry(body: &[u8]) -> Option<UpstreamEntry> {
    match news(UpstreamRecord::decode(body).ok()?)? {
        UpstreamChange::Registered(entry) => Some(entry),
        UpstreamChange::Removed(_) => None,
    }
}
