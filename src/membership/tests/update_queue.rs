use std::time::{Duration, Instant};

use bytes::Bytes;
use prost::Message;

use crate::membership::message::AnnouncementRecord;
use crate::membership::update_queue::{Update, UpdateQueue};

const NODE_COUNT: usize = 8;
const BUDGET_BYTES: usize = 800;
/// Bytes that precede a record in a datagram, at most.
const NESTING_BYTES_MAX: usize = 8;
const TTL: Duration = Duration::from_millis(2_000);

/// An announcement as builds before `ttl_ms` write and read it.
#[derive(Clone, PartialEq, Message)]
struct EarlierRecord {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(string, tag = "2")]
    key: String,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(uint32, tag = "4")]
    ttl_s: u32,
    #[prost(bytes = "bytes", tag = "5")]
    body: Bytes,
}

fn record(key: &str, ttl: Duration) -> AnnouncementRecord {
    let mut record = AnnouncementRecord {
        topic: 5,
        key: key.to_owned(),
        version: 1,
        body: Bytes::from_static(b"dc-a"),
        ..AnnouncementRecord::default()
    };
    record.set_ttl(ttl);
    record
}

fn queue_of(keys: &[&str], now: Instant) -> UpdateQueue {
    let mut queue = UpdateQueue::default();
    for key in keys {
        queue.add(Update::Announcement(record(key, TTL)), now);
    }
    queue
}

fn taken(queue: &mut UpdateQueue, budget_bytes: usize, now: Instant) -> Vec<AnnouncementRecord> {
    let batch = queue.take_batch(NODE_COUNT, budget_bytes, now).into_iter();
    let records = batch.map(|update| match update {
        Update::Announcement(record) => record,
        Update::Member(member) => panic!("{member:?}"),
    });
    records.collect()
}

#[test]
fn an_announcement_is_sent_with_the_time_that_is_left_and_not_after_it() {
    let start = Instant::now();
    let mut queue = queue_of(&["a"], start);

    let early = taken(&mut queue, BUDGET_BYTES, start + TTL / 4);
    let late = taken(
        &mut queue,
        BUDGET_BYTES,
        start + TTL + Duration::from_millis(1),
    );

    assert_eq!(early[0].ttl(), TTL * 3 / 4);
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(queue.len(), 0);
}

#[test]
fn those_sent_least_often_go_first_and_all_are_sent_as_often() {
    let now = Instant::now();
    let mut queue = queue_of(&["a", "b", "c"], now);
    let budget_of_one = record("a", TTL).encoded_len() + NESTING_BYTES_MAX;

    let mut keys = Vec::new();
    while queue.len() > 0 {
        keys.extend(
            taken(&mut queue, budget_of_one, now)
                .into_iter()
                .map(|r| r.key),
        );
    }

    assert_eq!(keys[..6], ["a", "b", "c", "a", "b", "c"]);
    let count = |key: &str| keys.iter().filter(|k| *k == key).count();
    assert_eq!(count("a"), count("c"));
}

#[test]
fn updates_that_fit_no_datagram_hold_up_no_other() {
    let now = Instant::now();
    let mut queue = queue_of(&["z"], now);
    for key in ["a", "b", "c", "d"] {
        let mut large = record(key, TTL);
        large.body = vec![0; BUDGET_BYTES].into();
        queue.add(Update::Announcement(large), now);
    }

    let sent = taken(&mut queue, BUDGET_BYTES, now);

    let keys: Vec<&str> = sent.iter().map(|record| record.key.as_str()).collect();
    assert_eq!(keys, ["z"]);
}

#[test]
fn updates_that_expired_are_removed_and_counted() {
    let start = Instant::now();
    let mut queue = queue_of(&["a", "b"], start);
    queue.add(Update::Announcement(record("c", TTL * 2)), start);

    let expired_count = queue.expire(start + TTL);

    assert_eq!((expired_count, queue.len()), (2, 1));
}

#[test]
fn an_earlier_build_reads_the_time_left_in_whole_seconds_and_never_as_none() {
    let sent = record("a", Duration::from_millis(1_250)).encode_to_vec();

    let read = EarlierRecord::decode(&sent[..]).expect("it is readable");

    assert_eq!((read.key.as_str(), read.ttl_s), ("a", 2));
}

#[test]
fn the_time_left_that_an_earlier_build_states_is_read() {
    let earlier = EarlierRecord {
        ttl_s: 600,
        ..EarlierRecord::default()
    };

    let read = AnnouncementRecord::decode(&earlier.encode_to_vec()[..]).expect("it is readable");

    assert_eq!(read.ttl(), Duration::from_secs(600));
}
