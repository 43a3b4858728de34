//! Tests of where runs may go on, and of how long that is remembered.

use std::time::{Duration, Instant};

use crate::forward::directory::Directory;
use crate::forward::observation::Observations;
use crate::forward::run_origin::{ORIGIN_LIFETIME, ORIGINS_MAX, RunOrigin, RunOrigins};
use crate::forward::upstream::{Upstream, UpstreamEntry};

fn entry(id: &str, version: Option<&str>) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        born_unix_ms: 5,
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".to_owned(),
        software_version: version.map(str::to_owned),
        slot_count: 4,
        draining: false,
    }
}

fn upstream(id: &str, version: Option<&str>) -> Upstream {
    Upstream::new(entry(id, version))
}

fn origin(id: &str) -> RunOrigin {
    RunOrigin::at(&upstream(id, Some("v1")))
}

fn directory_of(entries: Vec<UpstreamEntry>) -> Directory {
    let directory = Directory::new(Observations::default());
    for entry in entries {
        directory.put(entry);
    }
    directory
}

#[test]
fn a_run_goes_on_only_at_its_version() {
    let origin = origin("e1");

    assert!(origin.admits(&upstream("e2", Some("v1"))));
    assert!(!origin.admits(&upstream("e2", Some("v2"))));
    assert!(!origin.admits(&upstream("e2", None)));
}

#[test]
fn a_run_that_began_at_an_unknown_version_goes_on_only_at_the_same_incarnation() {
    let origin = RunOrigin::at(&upstream("e1", None));
    let restarted = Upstream::new(UpstreamEntry {
        born_unix_ms: 6,
        ..entry("e1", None)
    });

    assert!(origin.admits(&upstream("e1", None)));
    assert!(!origin.admits(&upstream("e2", None)));
    assert!(!origin.admits(&restarted));
}

#[test]
fn a_version_that_was_unknown_is_learnt_from_a_later_entry() {
    let directory = directory_of(vec![entry("e1", None), entry("e1", Some("v1"))]);

    let upstream = directory.serving("llm").pop().expect("known");

    assert_eq!(upstream.software_version(), Some(&"v1".to_owned()));
}

#[test]
fn an_entry_with_another_version_describes_another_incarnation() {
    let directory = directory_of(vec![entry("e1", Some("v1"))]);
    let first = directory.serving("llm").pop().expect("known");
    let losses = first.subscribe_losses();

    directory.put(entry("e1", Some("v2")));

    let second = directory.serving("llm").pop().expect("known");
    assert_eq!(second.software_version(), Some(&"v2".to_owned()));
    assert!(losses.has_changed().expect("open"));
}

#[test]
fn the_only_version_is_none_while_another_one_serves_or_has_left_recently() {
    let now = Instant::now();
    let single = directory_of(vec![entry("e1", Some("v1")), entry("e2", Some("v1"))]);
    let mixed = directory_of(vec![entry("e1", Some("v1")), entry("e2", Some("v2"))]);
    let unknown = directory_of(vec![entry("e1", Some("v1")), entry("e2", None)]);

    let version_of = |directory: &Directory, at: Instant| {
        let origin = directory.only_origin("llm", at);
        origin.and_then(|origin| origin.software_version)
    };
    assert_eq!(version_of(&single, now).as_deref(), Some("v1"));
    assert_eq!(version_of(&mixed, now), None);
    assert_eq!(version_of(&unknown, now), None);

    mixed.entry_removed(&"e2".to_owned(), now);
    assert_eq!(version_of(&mixed, now), None);
    let later = now + Duration::from_secs(120);
    assert_eq!(version_of(&mixed, later).as_deref(), Some("v1"));
}

#[test]
fn a_service_has_several_versions_until_a_while_after_the_second_one_left() {
    let now = Instant::now();
    let single = directory_of(vec![entry("e1", Some("v1")), entry("e2", None)]);
    let draining = UpstreamEntry {
        draining: true,
        ..entry("e2", Some("v2"))
    };
    let mixed = directory_of(vec![entry("e1", Some("v1")), draining]);

    assert!(single.services_with_several_versions(now).is_empty());
    assert!(mixed.services_with_several_versions(now).contains("llm"));

    mixed.entry_removed(&"e2".to_owned(), now);
    let later = now + Duration::from_secs(120);
    assert!(mixed.services_with_several_versions(now).contains("llm"));
    assert!(mixed.services_with_several_versions(later).is_empty());
}

#[test]
fn the_first_record_of_a_run_stays_until_it_expires() {
    let origins = RunOrigins::default();
    let now = Instant::now();

    origins.record(1, origin("first"), now);
    origins.record(1, origin("second"), now);

    assert_eq!(origins.get(1, now), Some(origin("first")));
    assert_eq!(origins.get(1, now + ORIGIN_LIFETIME), None);
}

#[test]
fn the_oldest_records_make_room_for_new_ones() {
    let origins = RunOrigins::default();
    let now = Instant::now();

    for key in 0..=ORIGINS_MAX as u64 {
        origins.record(key, origin("e1"), now);
    }

    assert_eq!(origins.get(0, now), None);
    assert!(origins.get(1, now).is_some());
    assert!(origins.get(ORIGINS_MAX as u64, now).is_some());
}
