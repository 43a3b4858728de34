//! What nodes tell each other about upstreams.

use std::time::Instant;

use crate::edge::upstream_log::{UpstreamLog, UpstreamUpdate, decode};
use crate::forward::upstream::UpstreamEntry;
use crate::platform::store::UpstreamChange;

fn entry(id: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        born_unix_ms: 5,
        service: "llm".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".to_owned(),
        slot_count: 4,
        draining: false,
    }
}

fn known(id: &str) -> UpstreamChange {
    UpstreamChange::Registered(entry(id))
}

fn gone(id: &str) -> UpstreamChange {
    UpstreamChange::Removed(id.to_owned())
}

fn update(is_whole: bool, news: Vec<UpstreamChange>, revision: u64) -> UpstreamUpdate {
    UpstreamUpdate {
        is_whole,
        news,
        revision,
    }
}

fn log(updates: Vec<UpstreamUpdate>) -> UpstreamLog {
    let log = UpstreamLog::default();
    for update in updates {
        log.apply(&update, Instant::now());
    }
    log
}

fn told(log: &UpstreamLog, since: u64) -> UpstreamUpdate {
    let (revision, body) = log.changes_since(since);
    decode(revision, &body).expect("it can be read")
}

#[test]
fn a_peer_is_told_just_what_it_lacks() {
    let log = log(vec![
        update(true, vec![known("a"), known("b")], 10),
        update(false, vec![known("c")], 12),
        update(false, vec![gone("a")], 15),
    ]);

    assert_eq!(told(&log, 12), update(false, vec![gone("a")], 15));
    assert_eq!(told(&log, 15), update(false, vec![], 15));
}

#[test]
fn a_peer_that_knows_too_little_is_told_everything() {
    let log = log(vec![
        update(true, vec![known("a"), known("b")], 10),
        update(false, vec![gone("a")], 15),
    ]);

    assert_eq!(told(&log, 3), update(true, vec![known("b")], 15));
}

#[test]
fn what_a_peer_tells_brings_another_node_to_the_same_knowledge() {
    let one = log(vec![
        update(true, vec![known("a"), known("b")], 10),
        update(false, vec![gone("a"), known("c")], 15),
    ]);
    let two = log(vec![update(true, vec![known("a"), known("b")], 11)]);

    let lacking = told(&one, two.revision());
    two.apply(&lacking, Instant::now());

    assert_eq!(told(&two, 0).news, told(&one, 0).news);
    assert_eq!(two.revision(), 15);
}

#[test]
fn an_older_word_changes_nothing() {
    let log = log(vec![update(true, vec![known("a")], 10)]);

    let is_taken = log.apply(&update(false, vec![gone("a")], 9), Instant::now());

    assert!(!is_taken);
    assert_eq!(told(&log, 0).news, vec![known("a")]);
}

/// Room that three thousand upstreams may take on a link of 10 Mbit/s that
/// hands them to four nodes within a quarter of a second.
const WHOLE_MAX_BYTES: usize = 78_000;

/// All of 300 nodes start at once before 3,000 upstreams; what three small VMs
/// know has to reach the others.
#[test]
fn a_long_list_travels_packed() {
    let numbered = |n: u32| {
        UpstreamChange::Registered(UpstreamEntry {
            id: format!(
                "i-{:010x}",
                u64::from(n).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 24
            ),
            born_unix_ms: 1_764_800_000_000 + u64::from(n.wrapping_mul(7_919) % 4_000),
            address: ([10, 2, (n / 250) as u8, (n % 250) as u8], 8766).into(),
            data_centre: format!("tt-south-{}", n % 3),
            ..entry("")
        })
    };
    let log = log(vec![update(true, (0..3_000).map(numbered).collect(), 10)]);

    let (_, packed) = log.changes_since(0);

    assert!(packed.len() < WHOLE_MAX_BYTES, "{} bytes", packed.len());
    assert_eq!(told(&log, 0).news.len(), 3_000);
}
