use std::time::Duration;

use prost::Message;

use crate::membership::announcement::Announcement;
use crate::membership::crash_announcement::{from_clearance, from_crash, to_clearance, to_crash};
use crate::membership::message::CrashedCallRecord;
use crate::policy::crash_evidence::{Clearance, Crash, Incarnation};
use crate::policy::crash_time::CrashTime;

fn late_crash() -> Crash {
    Crash {
        upstream: Incarnation {
            id: "e-1".to_owned(),
            born_unix_ms: 1_001,
        },
        request: 7,
        parts: vec![1, 2],
        was_writing: true,
        time: CrashTime::of(Duration::from_millis(880)),
        version: 1_000,
    }
}

/// Guards against nodes of earlier builds whose announcements can't be read: they don't tell
/// when the crash came.
#[test]
fn a_crash_of_an_earlier_build_counts_as_one_that_came_at_once() {
    let crash = late_crash();
    let record = CrashedCallRecord {
        parts: crash.parts.clone(),
        was_writing: true,
        time_ms: 0,
        born_unix_ms: 0,
    };
    let announcement = Announcement {
        body: record.encode_to_vec().into(),
        ..from_crash(&crash)
    };

    let read = to_crash(&announcement).expect("readable");

    assert_eq!(read.time, CrashTime::IMMEDIATE);
    assert_eq!(read.upstream.born_unix_ms, 0);
    assert_eq!(to_crash(&from_crash(&crash)), Some(crash));
}

/// Guards against a clearance of late crashes that is lost because one of immediate crashes has
/// the same key, or that is taken for a crash.
#[test]
fn clearances_of_late_and_of_immediate_crashes_are_announced_apart() {
    let late = Clearance {
        feature: 1,
        up_to: 1_000,
        longest: late_crash().time,
    };
    let immediate = Clearance {
        longest: CrashTime::IMMEDIATE,
        ..late
    };

    let announcements = [late, immediate].map(from_clearance);

    assert_ne!(announcements[0].topic, announcements[1].topic);
    assert_eq!(to_clearance(&announcements[0]), Some(late));
    assert_eq!(to_clearance(&announcements[1]), Some(immediate));
    assert_eq!(to_crash(&announcements[0]), None);
}
