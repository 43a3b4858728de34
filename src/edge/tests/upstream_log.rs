//! Tests of the upstream changes that nodes exchange.

use std::time::Instant;

use prost::Message;

use crate::edge::upstream_log::{UpstreamLog, UpstreamUpdate, decode};
use crate::forward::upstream::UpstreamEntry;
use crate::membership::compression;
use crate::platform::store::UpstreamChange;
use crate::store::revision::Revision;

pub(super) fn entry(id: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        born_unix_ms: 5,
        service: "llm".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".to_owned(),
        software_version: Some("v1".to_owned()),
        slot_count: 4,
        draining: false,
    }
}

pub(super) fn registered(id: &str) -> UpstreamChange {
    UpstreamChange::Registered(entry(id))
}

pub(super) fn removed(id: &str) -> UpstreamChange {
    UpstreamChange::Removed(id.to_owned())
}

fn update(is_snapshot: bool, changes: Vec<UpstreamChange>, number: u64) -> UpstreamUpdate {
    UpstreamUpdate {
        is_snapshot,
        changes,
        revision: Revision::without_era(number),
    }
}

fn log_of(updates: Vec<UpstreamUpdate>) -> UpstreamLog {
    let log = UpstreamLog::default();
    for update in updates {
        log.apply(&update, Instant::now());
    }
    log
}

fn changes_since(log: &UpstreamLog, since: u64) -> UpstreamUpdate {
    changes_after(log, Some(Revision::without_era(since)))
}

pub(super) fn changes_after(log: &UpstreamLog, since: Option<Revision>) -> UpstreamUpdate {
    let (revision, body) = log.encode_changes_since(since);
    let revision = revision.expect("the log has a list");
    decode(revision, &body).expect("an encoded update decodes")
}

#[test]
fn a_peer_gets_only_the_changes_after_its_revision() {
    let log = log_of(vec![
        update(true, vec![registered("a"), registered("b")], 10),
        update(false, vec![registered("c")], 12),
        update(false, vec![removed("a")], 15),
    ]);

    assert_eq!(
        changes_since(&log, 12),
        update(false, vec![removed("a")], 15)
    );
    assert_eq!(changes_since(&log, 15), update(false, vec![], 15));
}

#[test]
fn a_peer_whose_revision_is_too_old_gets_a_snapshot() {
    let log = log_of(vec![
        update(true, vec![registered("a"), registered("b")], 10),
        update(false, vec![removed("a")], 15),
    ]);

    assert_eq!(
        changes_since(&log, 3),
        update(true, vec![registered("b")], 15)
    );
}

#[test]
fn applying_a_peers_changes_gives_the_same_upstreams() {
    let source = log_of(vec![
        update(true, vec![registered("a"), registered("b")], 10),
        update(false, vec![removed("a"), registered("c")], 15),
    ]);
    let target = log_of(vec![update(
        true,
        vec![registered("a"), registered("b")],
        11,
    )]);

    let changes = changes_after(&source, target.revision());
    target.apply(&changes, Instant::now());

    assert_eq!(
        changes_since(&target, 0).changes,
        changes_since(&source, 0).changes
    );
    assert_eq!(target.revision(), Some(Revision::without_era(15)));
}

#[test]
fn an_older_update_is_ignored() {
    let log = log_of(vec![update(true, vec![registered("a")], 10)]);

    let is_applied = log.apply(&update(false, vec![removed("a")], 9), Instant::now());

    assert!(!is_applied);
    assert_eq!(changes_since(&log, 0).changes, vec![registered("a")]);
}

/// Maximum size of an encoded snapshot of 3,000 upstreams. At this size, a link
/// of 10 Mbit/s sends it to four nodes within 250 ms.
const SNAPSHOT_MAX_BYTES: usize = 78_000;

/// Guards against slow starts when 300 nodes start at once with 3,000 upstreams
/// registered: three small VMs then have to send the list to all other nodes.
#[test]
fn a_snapshot_of_many_upstreams_is_compressed() {
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
    let log = log_of(vec![update(true, (0..3_000).map(numbered).collect(), 10)]);

    let (_, body) = log.encode_changes_since(None);

    assert!(body.len() < SNAPSHOT_MAX_BYTES, "{} bytes", body.len());
    assert_eq!(changes_since(&log, 0).changes.len(), 3_000);
}

/// A change of an upstream, as far as it has an id and an address.
#[derive(Clone, PartialEq, Message)]
struct ChangeOnWire {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "5")]
    address: String,
}

#[derive(Clone, PartialEq, Message)]
struct ChangesOnWire {
    #[prost(message, repeated, tag = "2")]
    upstreams: Vec<ChangeOnWire>,
}

#[test]
fn an_upstream_whose_address_cannot_be_read_costs_no_other_change_of_a_peer() {
    let change = |id: &str, address: &str| ChangeOnWire {
        id: id.to_owned(),
        address: address.to_owned(),
    };
    let sent = ChangesOnWire {
        upstreams: vec![change("odd", "10.0.0.1:99999"), change("a", "10.0.0.1:80")],
    };

    let body = compression::compress(&sent.encode_to_vec());
    let update = decode(Revision::without_era(3), &body).expect("an update");

    assert_eq!(update.changes[0], removed("odd"));
    assert!(matches!(&update.changes[1], UpstreamChange::Registered(entry) if entry.id == "a"));
}
