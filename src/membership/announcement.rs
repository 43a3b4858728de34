//! Announcements: small items that are published to every node, such as runners
//! that leave or requests that crash runners. An announcement is in force until its
//! TTL has passed since it was published, and a node that passes it on states the
//! time that is left. With the whole TTL it would be new again at a node that has
//! forgotten it, and never end.
//!
//! A node piggybacks each announcement on a number of datagrams that grows with
//! the logarithm of the number of nodes. Nodes that still lack it receive it when
//! they synchronise with a peer, that is, compare hashes of what both hold and
//! exchange what differs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::hash::Fnv;
use crate::id::Version;
use crate::membership::message::AnnouncementRecord;

/// A message to all nodes that stays in force until its TTL expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Kind of announcement. The component that uses a topic defines its number.
    pub topic: u32,
    /// What the announcement is about, such as the name of a runner.
    pub key: String,
    /// Of two announcements with the same topic and key, the one with the higher
    /// version replaces the other.
    pub version: Version,
    /// Time until expiry.
    pub ttl: Duration,
    /// Content, in a format that depends on the topic.
    pub body: Bytes,
}

/// Number of buckets into which announcements are hashed. Two nodes compare the
/// hashes of their buckets and exchange only buckets that differ.
const BUCKET_COUNT: usize = 64;

/// The announcements that one node holds and that have not expired.
#[derive(Debug)]
pub(crate) struct Announcements {
    /// Announcements with their times of expiry, by topic and key.
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
    /// Stores an announcement. Returns false if this or a newer version is
    /// already stored, or if its TTL is zero.
    pub(crate) fn apply(&mut self, announcement: Announcement, now: Instant) -> bool {
        let key = (announcement.topic, announcement.key.clone());
        let known = self.in_force.get(&key);
        let is_known = known.is_some_and(|(known, _)| known.version >= announcement.version);
        if is_known || announcement.ttl.is_zero() {
            return false;
        }
        let expires_at = now + announcement.ttl;
        let bucket = &mut self.bucket_hashes[bucket_of(&announcement)];
        *bucket = bucket.wrapping_add(content_hash(&announcement));
        if let Some((replaced, _)) = self.in_force.insert(key, (announcement, expires_at)) {
            let bucket = &mut self.bucket_hashes[bucket_of(&replaced)];
            *bucket = bucket.wrapping_sub(content_hash(&replaced));
        }
        true
    }

    /// Removes expired announcements.
    pub(crate) fn expire(&mut self, now: Instant) {
        let hashes = &mut self.bucket_hashes;
        self.in_force.retain(|_, (announcement, expires_at)| {
            let is_in_force = *expires_at > now;
            if !is_in_force {
                let bucket = &mut hashes[bucket_of(announcement)];
                *bucket = bucket.wrapping_sub(content_hash(announcement));
            }
            is_in_force
        });
    }

    /// Hash of all announcements in force, equal at two nodes that hold the same
    /// versions of the same announcements.
    pub(crate) fn hash(&self) -> u64 {
        self.bucket_hashes
            .iter()
            .fold(0, |sum: u64, hash| sum.rotate_left(1).wrapping_add(*hash))
    }

    pub(crate) fn bucket_hashes(&self) -> Vec<u64> {
        self.bucket_hashes.to_vec()
    }

    /// Records of the announcements in all buckets whose hash differs from the
    /// peer's in `bucket_hashes`, each with its remaining TTL. A peer that sends
    /// no hashes gets all records.
    pub(crate) fn records_in_differing_buckets(
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
            .map(|(announcement, expires_at)| {
                let time_left = expires_at.saturating_duration_since(now);
                to_record(announcement, time_left)
            })
            .collect()
    }

    pub(crate) fn of_topic(&self, topic: u32) -> Vec<Announcement> {
        let in_force = self.in_force.values();
        let matching = in_force.filter(|(announcement, _)| announcement.topic == topic);
        matching
            .map(|(announcement, _)| announcement.clone())
            .collect()
    }

    /// Number of announcements in force.
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

/// Converts an announcement for a message, with `time_left` as its TTL.
pub(crate) fn to_record(announcement: &Announcement, time_left: Duration) -> AnnouncementRecord {
    let mut record = AnnouncementRecord {
        topic: announcement.topic,
        key: announcement.key.clone(),
        version: announcement.version,
        body: announcement.body.clone(),
        ..AnnouncementRecord::default()
    };
    record.set_ttl(time_left);
    record
}

/// Converts an announcement from a message.
pub(crate) fn from_record(record: AnnouncementRecord) -> Announcement {
    Announcement {
        topic: record.topic,
        ttl: record.ttl(),
        key: record.key,
        version: record.version,
        body: record.body,
    }
}
