//! Tests of the records that a node writes to the platform's store.

use std::collections::BTreeSet;

use crate::edge::run_origin_log::{OriginRecord, RECORDS_MAX, RunOriginLog};
use crate::forward::run_origin::{ORIGIN_LIFETIME, RunKey, RunOrigin};
use crate::id::ServiceId;
use crate::platform::run_origin_objects::encode;

const NOW_UNIX_MS: u64 = 1_796_370_000_000;
const LIFETIME_MS: u64 = ORIGIN_LIFETIME.as_millis() as u64;

fn origin(service: &str, version: Option<&str>) -> RunOrigin {
    RunOrigin {
        service: service.to_owned(),
        software_version: version.map(str::to_owned),
        upstream: "i-69ccc789ee".to_owned(),
        born_unix_ms: NOW_UNIX_MS,
    }
}

fn record(key: RunKey, recorded_unix_ms: u64) -> OriginRecord {
    OriginRecord {
        key,
        service: "llm".to_owned(),
        software_version: "v1".to_owned(),
        recorded_unix_ms,
    }
}

fn keys(log: &RunOriginLog, service: &str) -> Vec<RunKey> {
    let services: BTreeSet<ServiceId> = [service.to_owned()].into();
    let records = log.of_services(&services);
    records.iter().map(|record| record.key).collect()
}

#[test]
fn only_runs_of_the_given_services_whose_version_is_known_are_returned() {
    let mut log = RunOriginLog::default();

    log.record(1, &origin("llm", Some("v1")), NOW_UNIX_MS);
    log.record(2, &origin("llm", None), NOW_UNIX_MS);
    log.record(3, &origin("other", Some("v1")), NOW_UNIX_MS);

    assert_eq!(keys(&log, "llm"), [1]);
    assert_eq!(keys(&log, "other"), [3]);
}

#[test]
fn records_expire() {
    let mut log = RunOriginLog::default();
    log.record(1, &origin("llm", Some("v1")), NOW_UNIX_MS);
    log.record(2, &origin("llm", Some("v1")), NOW_UNIX_MS + 1);

    log.trim(NOW_UNIX_MS + LIFETIME_MS);

    assert_eq!(keys(&log, "llm"), [2]);
}

#[test]
fn records_of_an_earlier_process_are_merged_once_and_by_age() {
    let mut log = RunOriginLog::default();
    log.record(3, &origin("llm", Some("v1")), NOW_UNIX_MS);
    let earlier = vec![
        record(3, NOW_UNIX_MS - 1),
        record(2, NOW_UNIX_MS - 2),
        record(1, NOW_UNIX_MS - LIFETIME_MS),
    ];

    log.merge(earlier.clone(), NOW_UNIX_MS);
    log.merge(earlier, NOW_UNIX_MS);

    assert_eq!(keys(&log, "llm"), [2, 3]);
}

#[test]
fn the_newest_records_fit_into_one_object_of_the_store() {
    let mut log = RunOriginLog::default();
    for n in 0..=RECORDS_MAX as u64 {
        log.record(u64::MAX - n, &origin("llm", Some("v1")), NOW_UNIX_MS);
    }

    let records = log.of_services(&["llm".to_owned()].into());
    let object = encode(&"edge-1".to_owned(), &records).expect("encodable");

    assert_eq!(records.len(), RECORDS_MAX);
    assert_eq!(records[0].key, u64::MAX - 1);
    assert!(object.len() < 1 << 20, "{} bytes", object.len());
}

#[test]
fn a_change_of_a_runs_version_is_unwritten_until_a_write_of_the_new_one_is_acknowledged() {
    let mut log = RunOriginLog::default();
    let services = BTreeSet::from(["llm".to_owned()]);
    log.record(1, &origin("llm", Some("v1")), 0);
    let written_before = log.offer(&services);
    assert!(!log.is_outdated_in_store(1));

    log.record(1, &origin("llm", Some("v2")), 1);
    log.record_written(&written_before);
    assert!(log.is_outdated_in_store(1), "the store has the earlier one");

    let written = log.offer(&services);
    log.record_written(&written);
    assert!(!log.is_outdated_in_store(1));
    assert_eq!(written[0].software_version, "v2");
}

#[test]
fn a_withdrawn_record_is_outdated_until_a_write_without_it_is_acknowledged() {
    let mut log = RunOriginLog::default();
    let services = BTreeSet::from(["llm".to_owned()]);
    log.record(1, &origin("llm", Some("v1")), 0);
    let written_before = log.offer(&services);

    log.withdraw(1);
    log.record_written(&written_before);
    log.merge(written_before, 1);

    assert!(log.is_outdated_in_store(1));
    assert_eq!(keys(&log, "llm"), Vec::<RunKey>::new());

    let written = log.offer(&services);
    log.record_written(&written);

    assert!(!log.has_outdated_in_store());
}

/// Guards against a sound stream that waits for the store, which never had its earlier record.
#[test]
fn a_record_that_changed_before_any_write_is_not_outdated_in_the_store() {
    let mut log = RunOriginLog::default();
    log.record(1, &origin("llm", Some("v1")), 0);
    log.record(2, &origin("llm", Some("v1")), 0);

    log.record(1, &origin("llm", Some("v2")), 0);
    log.withdraw(2);

    assert!(!log.has_outdated_in_store());
}
