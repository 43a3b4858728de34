//! Small news that every node is to learn: leaving runners, convictions.
//!
//! Each item sends on datagrams a number of times that grows with the
//! logarithm of the fleet, and is handed over whole to nodes that synchronise.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::hash::Fnv;
use crate::id::Version;
use crate::membership::message::{AnnouncementRecord, MemberRecord};

/// Times an item sends on datagrams, per doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

/// Something that all nodes are to learn soon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Groups announcements of one kind.
    pub topic: u32,
    /// What the announcement is about.
    pub key: String,
    /// The higher version of a key replaces the lower.
    pub version: Version,
    /// How long it stays in force.
    pub ttl: Duration,
    /// Content.
    pub body: Bytes,
}

/// Parts into which announcements are divided, so that two nodes can find out
/// in which few of them they differ.
const BUCKET_COUNT: usize = 64;

/// The announcements in force at one node.
#[derive(Debug)]
pub(crate) struct Announcements {
    in_force: BTreeMap<(u32, String), (Announcement, Instant)>,
    bucket_hashes: [u64; BUCKET_COUNT],
}

impl Default for Announcements {
    fn default() -> Self {
        Self {
            in_force: BTreeMap::new(),
            bucket_hashes: [0; BUCKET_COUNT],
        }
    }
}

impl Announcements {
    /// Takes in an announcement; false when it was known or outdated.
    pub(crate) fn apply(&mut self, announcement: Announcement, now: Instant) -> bool {
        let key = (announcement.topic, announcement.key.clone());
        let known = self.in_force.get(&key);
        let outdated = known.is_some_and(|(known, _)| known.version >= announcement.version);
        if outdated || announcement.ttl.is_zero() {
            return false;
        }
        let until = now + announcement.ttl;
        let bucket = &mut self.bucket_hashes[bucket_of(&announcement)];
        *bucket = bucket.wrapping_add(content_hash(&announcement));
        if let Some((replaced, _)) = self.in_force.insert(key, (announcement, until)) {
            let bucket = &mut self.bucket_hashes[bucket_of(&replaced)];
            *bucket = bucket.wrapping_sub(content_hash(&replaced));
        }
        true
    }

    /// Drops what is no longer in force.
    pub(crate) fn expire(&mut self, now: Instant) {
        let hashes = &mut self.bucket_hashes;
        self.in_force.retain(|_, (announcement, until)| {
            let stays = *until > now;
            if !stays {
                let bucket = &mut hashes[bucket_of(announcement)];
                *bucket = bucket.wrapping_sub(content_hash(announcement));
            }
            stays
        });
    }

    /// Hash of all that is in force, equal where two nodes know the same.
    pub(crate) fn hash(&self) -> u64 {
        self.bucket_hashes
            .iter()
            .fold(0, |sum: u64, hash| sum.rotate_left(1).wrapping_add(*hash))
    }

    /// Hashes by bucket.
    pub(crate) fn bucket_hashes(&self) -> Vec<u64> {
        self.bucket_hashes.to_vec()
    }

    /// Records, with the time that is left of each, of the buckets in which a
    /// peer's hashes differ. A peer that names none gets all.
    pub(crate) fn records_unlike(
        &self,
        bucket_hashes: &[u64],
        now: Instant,
    ) -> Vec<AnnouncementRecord> {
        let differs = |announcement: &Announcement| {
            let bucket = bucket_of(announcement);
            bucket_hashes.get(bucket) != Some(&self.bucket_hashes[bucket])
        };
        let in_force = self.in_force.values();
        in_force
            .filter(|(announcement, _)| differs(announcement))
            .map(|(announcement, until)| {
                let left = until.saturating_duration_since(now);
                to_record(announcement, left)
            })
            .collect()
    }

    /// Those of one topic.
    pub(crate) fn of_topic(&self, topic: u32) -> Vec<Announcement> {
        let in_force = self.in_force.values();
        let of_topic = in_force.filter(|(announcement, _)| announcement.topic == topic);
        of_topic
            .map(|(announcement, _)| announcement.clone())
            .collect()
    }

    /// How many are in force.
    pub(crate) fn count(&self) -> usize {
        self.in_force.len()
    }
}

fn bucket_of(announcement: &Announcement) -> usize {
    let key = Fnv::new()
        .number(announcement.topic.into())
        .text(&announcement.key);
    (key.finish() % BUCKET_COUNT as u64) as usize
}

fn content_hash(announcement: &Announcement) -> u64 {
    Fnv::new()
        .number(announcement.topic.into())
        .text(&announcement.key)
        .number(announcement.version)
        .finish()
}

/// Writes an announcement with the time left of it.
pub(crate) fn to_record(announcement: &Announcement, left: Duration) -> AnnouncementRecord {
    AnnouncementRecord {
        topic: announcement.topic,
        key: announcement.key.clone(),
        version: announcement.version,
        ttl_s: u32::try_from(left.as_secs()).unwrap_or(u32::MAX),
        body: announcement.body.clone(),
    }
}

/// Reads an announcement.
pub(crate) fn from_record(record: AnnouncementRecord) -> Announcement {
    Announcement {
        topic: record.topic,
        key: record.key,
        version: record.version,
        ttl: Duration::from_secs(record.ttl_s.into()),
        body: record.body,
    }
}

/// One thing that sends on datagrams.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Update {
    /// News of a member.
    Member(MemberRecord),
    /// News of something else.
    Announcement(AnnouncementRecord),
}

impl Update {
    fn key(&self) -> (u32, String) {
        match self {
            Self::Member(record) => (0, record.node.clone()),
            Self::Announcement(record) => (record.topic + 1, record.key.clone()),
        }
    }

    fn encoded_bytes(&self) -> usize {
        use prost::Message;
        match self {
            Self::Member(record) => record.encoded_len(),
            Self::Announcement(record) => record.encoded_len(),
        }
    }
}

/// What still has to be spread, the least told first.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    updates: BTreeMap<(u32, String), (u32, Update)>,
}

impl UpdateQueue {
    /// Adds a update in place of an older one about the same thing.
    pub(crate) fn add(&mut self, update: Update) {
        self.updates.insert(update.key(), (0, update));
    }

    /// Picks updates for one datagram of at most `budget_bytes`.
    pub(crate) fn take_batch(&mut self, fleet_count: usize, budget_bytes: usize) -> Vec<Update> {
        let doublings = usize::BITS - fleet_count.leading_zeros();
        let sends_max = SENDS_PER_DOUBLING * doublings.max(1);
        let mut waiting: Vec<(u32, (u32, String))> = self
            .updates
            .iter()
            .map(|(key, (sends, _))| (*sends, key.clone()))
            .collect();
        waiting.sort();
        let mut batch = Vec::new();
        let mut left_bytes = budget_bytes;
        for (_, key) in waiting {
            let Some((sends, update)) = self.updates.get_mut(&key) else {
                continue;
            };
            let size_bytes = update.encoded_bytes() + 4;
            if size_bytes > left_bytes {
                continue;
            }
            left_bytes -= size_bytes;
            batch.push(update.clone());
            *sends += 1;
            if *sends >= sends_max {
                self.updates.remove(&key);
            }
        }
        batch
    }
}
