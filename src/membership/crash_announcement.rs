//! Announcements of crashes of upstreams and of the suspicions that sound runs
//! refuted.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::announcement::Announcement;
use super::message::CrashedCallRecord;
use crate::policy::crash_evidence::{
    Clearance, Crash, EVIDENCE_TTL, Incarnation, SUSPECT_PARTS_MAX,
};
use crate::policy::crash_time::CrashTime;

/// Topic of announcements that an upstream crashed while it ran a call.
pub(crate) const CRASH_TOPIC: u32 = 4;
/// Topic of the suspicions of what crashes upstreams that sound runs refuted.
pub(crate) const CLEARANCE_TOPIC: u32 = 8;
/// Topic of such suspicions that rest on crashes some time after the first event. Builds that
/// don't know it take all crashes for immediate ones, which their own sound runs refute.
pub(crate) const LATE_CLEARANCE_TOPIC: u32 = 11;

/// The key includes the upstream, because a request can crash several upstreams and
/// each crash counts separately.
pub(crate) fn from_crash(crash: &Crash) -> Announcement {
    let record = CrashedCallRecord {
        parts: crash.parts.clone(),
        was_writing: crash.was_writing,
        time_ms: crash.time.as_ms(),
        born_unix_ms: crash.upstream.born_unix_ms,
    };
    Announcement {
        topic: CRASH_TOPIC,
        key: format!("{:016x}/{}", crash.request, crash.upstream.id),
        version: crash.version,
        ttl: EVIDENCE_TTL,
        body: record.encode_to_vec().into(),
    }
}

/// Nodes that clear a feature of the same crashes announce the same version, so each
/// node passes on one of their announcements.
pub(crate) fn from_clearance(clearance: Clearance) -> Announcement {
    let feature = clearance.feature;
    let (topic, key) = if clearance.longest > CrashTime::IMMEDIATE {
        let longest_ms = clearance.longest.as_ms();
        (LATE_CLEARANCE_TOPIC, format!("{feature:016x}/{longest_ms}"))
    } else {
        (CLEARANCE_TOPIC, format!("{feature:016x}"))
    };
    Announcement {
        topic,
        key,
        version: clearance.up_to,
        ttl: EVIDENCE_TTL,
        body: Bytes::new(),
    }
}

/// Whether the topic is that of clearances.
pub(crate) fn is_clearance_topic(topic: u32) -> bool {
    matches!(topic, CLEARANCE_TOPIC | LATE_CLEARANCE_TOPIC)
}

/// Returns none if the announcement is of another topic or can't be read.
pub(crate) fn to_crash(announcement: &Announcement) -> Option<Crash> {
    if announcement.topic != CRASH_TOPIC {
        return None;
    }
    let (request, upstream) = announcement.key.split_once('/')?;
    let mut record = CrashedCallRecord::decode(announcement.body.clone()).ok()?;
    record.parts.truncate(SUSPECT_PARTS_MAX);
    Some(Crash {
        upstream: Incarnation {
            id: upstream.to_owned(),
            born_unix_ms: record.born_unix_ms,
        },
        request: u64::from_str_radix(request, 16).ok()?,
        parts: record.parts,
        was_writing: record.was_writing,
        time: CrashTime::of(Duration::from_millis(record.time_ms.into())),
        version: announcement.version,
    })
}

/// Returns none if the announcement is of another topic or can't be read.
pub(crate) fn to_clearance(announcement: &Announcement) -> Option<Clearance> {
    let key = announcement.key.as_str();
    let (feature, longest_ms) = match announcement.topic {
        CLEARANCE_TOPIC => (key, 0),
        LATE_CLEARANCE_TOPIC => {
            let (feature, longest_ms) = key.split_once('/')?;
            (feature, longest_ms.parse().ok()?)
        }
        _ => return None,
    };
    Some(Clearance {
        feature: u64::from_str_radix(feature, 16).ok()?,
        up_to: announcement.version,
        longest: CrashTime::of(Duration::from_millis(longest_ms)),
    })
}
