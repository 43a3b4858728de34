//! Tests of upstreams that register with one address.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::forward::directory::{Directory, LaterStart};
use crate::forward::observation::Observations;
use crate::forward::upstream::{Upstream, UpstreamEntry};
use crate::policy::address_claim::DISPUTE_MAX;

const PORT: u16 = 1;

fn entry(id: &str, born_unix_ms: u64, version: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        born_unix_ms,
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], PORT).into(),
        data_centre: "a".to_owned(),
        software_version: Some(version.to_owned()),
        slot_count: 4,
        draining: false,
    }
}

/// A directory with a sound upstream, and with an entry of another writer.
fn disputed_directory(claim: UpstreamEntry) -> Directory {
    let directory = Directory::new(Observations::default());
    directory.put(entry("sound", 1, "v1"));
    directory.put(claim);
    directory
}

fn get(directory: &Directory, id: &str) -> Option<Arc<Upstream>> {
    directory.get(&id.to_owned())
}

fn serving_ids(directory: &Directory) -> Vec<String> {
    let serving = directory.serving("llm").into_iter();
    serving.map(|upstream| upstream.entry.id.clone()).collect()
}

fn record_answer(directory: &Directory, id: &str) {
    let upstream = get(directory, id).expect("known");
    directory.record_present(&upstream, Instant::now(), "answered");
}

#[test]
fn calls_are_tried_at_the_next_start_of_an_upstream_until_it_is_refuted() {
    let directory = disputed_directory(entry("claimant", 2, "v1"));
    let before = serving_ids(&directory);

    let claimant = get(&directory, "claimant").expect("known");
    directory.remove_misdirected(&claimant, Some(&"sound".to_owned()), Instant::now());

    assert_eq!(before, ["claimant"]);
    assert_eq!(serving_ids(&directory), ["sound"]);
}

#[test]
fn an_upstream_that_answers_as_the_next_start_replaces_the_ended_one() {
    let directory = disputed_directory(entry("claimant", 2, "v1"));
    let ended = get(&directory, "sound").expect("known");
    let losses = ended.subscribe_losses();

    record_answer(&directory, "claimant");
    // Its entry is listed until it expires.
    directory.replace_all(
        vec![entry("claimant", 2, "v1"), entry("sound", 1, "v1")],
        Instant::now(),
    );

    assert_eq!(serving_ids(&directory), ["claimant"]);
    assert!(get(&directory, "sound").is_none());
    assert!(losses.has_changed().expect("open"));
}

/// An entry that a sound upstream's answers refuted, and that goes, leaves no trace.
#[test]
fn a_refuted_entry_adds_no_version_to_its_service() {
    let directory = disputed_directory(entry("claimant", 2, "v2"));
    let now = Instant::now();
    let versions_before = directory.services_with_several_versions(now).len();

    record_answer(&directory, "sound");
    let is_known_after = get(&directory, "claimant").is_some();
    directory.entry_removed(&"claimant".to_owned(), now);

    assert_eq!(versions_before, 1);
    assert!(!is_known_after);
    assert!(directory.services_with_several_versions(now).is_empty());
    assert!(directory.only_origin("llm", now).is_some());
}

/// What answers at an address may change again.
#[test]
fn a_refuted_entry_is_used_once_the_upstream_that_refuted_it_has_left() {
    let directory = disputed_directory(entry("claimant", 2, "v1"));
    record_answer(&directory, "sound");
    let beside = serving_ids(&directory);

    directory.entry_removed(&"sound".to_owned(), Instant::now());

    assert_eq!(beside, ["sound"]);
    assert_eq!(serving_ids(&directory), ["claimant"]);
}

#[test]
fn a_refuted_entry_is_used_once_an_answer_names_its_upstream() {
    let directory = disputed_directory(entry("claimant", 2, "v1"));
    record_answer(&directory, "sound");

    let sound = get(&directory, "sound").expect("known");
    directory.remove_misdirected(&sound, Some(&"claimant".to_owned()), Instant::now());

    assert_eq!(serving_ids(&directory), ["claimant"]);
}

/// The answer may have waited in a buffer while the upstream ended and started again.
#[test]
fn an_answer_to_what_was_sent_before_an_entry_came_does_not_refute_it() {
    let directory = Directory::new(Observations::default());
    directory.put(entry("sound", 1, "v1"));
    let sent_at = Instant::now() - Duration::from_millis(1);
    directory.put(entry("claimant", 2, "v1"));

    let sound = get(&directory, "sound").expect("known");
    directory.record_present(&sound, sent_at, "answered");

    assert_eq!(serving_ids(&directory), ["claimant"]);
}

/// An entry that gets no calls would never be refuted.
#[test]
fn an_entry_that_takes_no_calls_of_the_upstream_leaves_it_in_use() {
    let draining = UpstreamEntry {
        draining: true,
        ..entry("claimant", 2, "v1")
    };
    let of_other_service = UpstreamEntry {
        service: "pay".to_owned(),
        ..entry("claimant", 2, "v1")
    };
    let of_other_version = entry("claimant", 2, "v2");

    for claim in [draining, of_other_service, of_other_version] {
        let directory = disputed_directory(claim.clone());
        let sound = get(&directory, "sound").expect("known");
        let now = Instant::now();

        assert!(serving_ids(&directory).contains(&"sound".to_owned()));
        assert!(sound.avoided_until(now).is_some(), "{claim:?}");
        assert!(sound.avoided_until(now + DISPUTE_MAX).is_none());
    }
}

/// While the store is away, the next start is found by its own report. Otherwise streams are
/// sent to the ended one, which refuses them.
#[test]
fn a_start_of_unknown_version_that_its_own_report_shows_replaces_the_ended_one() {
    let found = UpstreamEntry {
        software_version: None,
        ..entry("found", 2, "v1")
    };

    let directory = disputed_directory(found);

    assert_eq!(serving_ids(&directory), ["found"]);
}

#[test]
fn an_entry_of_another_id_alone_is_no_later_start() {
    let sound = entry("sound", 1, "v1");
    let directory = disputed_directory(entry("claimant", 2, "v1"));
    let claimed = directory.later_start(&sound);

    record_answer(&directory, "sound");
    let refuted = directory.later_start(&sound);
    directory.put(entry("next", 3, "v1"));
    record_answer(&directory, "next");

    assert!(matches!(claimed, LaterStart::Claimed(_)), "{claimed:?}");
    assert!(matches!(refuted, LaterStart::None), "{refuted:?}");
    assert!(matches!(directory.later_start(&sound), LaterStart::Known));
}

/// The entries of a whole data centre's ended starts go together. That is no sign that the
/// store has lost the entries of live upstreams, which would be kept beyond their time.
#[test]
fn entries_of_ended_starts_that_expire_together_do_not_keep_an_upstream_that_leaves() {
    let directory = Directory::new(Observations::default());
    let now = Instant::now();
    let at_port = |id: String, born_unix_ms: u64, port: u16| UpstreamEntry {
        address: ([127, 0, 0, 1], port).into(),
        ..entry(&id, born_unix_ms, "v1")
    };
    for port in 1..=6 {
        directory.put(at_port(format!("ended-{port}"), 1, port));
        directory.put(at_port(format!("next-{port}"), 2, port));
    }

    for port in 1..=6 {
        directory.entry_removed(&format!("ended-{port}"), now);
    }
    directory.entry_removed(&"next-1".to_owned(), now);

    assert!(get(&directory, "next-1").is_none(), "it has left");
    assert_eq!(serving_ids(&directory).len(), 5);
}
