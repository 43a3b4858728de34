//! Announcements of crashes of upstreams and of the suspicions that sound runs
//! refuted.

use bytes::Bytes;
use prost::Message;

use super::announcement::Announcement;
use super::message::CrashedCallRecord;
use crate::policy::crash_evidence::{Clearance, Crash, EVIDENCE_TTL, SUSPECT_PARTS_MAX};

/// Topic of announcements that an upstream crashed while it ran a call.
pub(crate) const CRASH_TOPIC: u32 = 4;
/// Topic of the suspicions of what crashes upstreams that sound runs refuted.
pub(crate) const CLEARANCE_TOPIC: u32 = 8;

/// The key includes the upstream, because a request can crash several upstreams and
/// each crash counts separately.
pub(crate) fn from_crash(crash: &Crash) -> Announcement {
    let record = CrashedCallRecord {
        parts: crash.parts.clone(),
        was_writing: crash.was_writing,
    };
    Announcement {
        topic: CRASH_TOPIC,
        key: format!("{:016x}/{}", crash.request, crash.upstream),
        version: crash.version,
        ttl: EVIDENCE_TTL,
        body: record.encode_to_vec().into(),
    }
}

/// Nodes that clear a feature of the same crashes announce the same version, so each
/// node passes on one of their announcements.
pub(crate) fn from_clearance(clearance: Clearance) -> Announcement {
    Announcement {
        topic: CLEARANCE_TOPIC,
        key: format!("{:016x}", clearance.feature),
        version: clearance.up_to,
        ttl: EVIDENCE_TTL,
        body: Bytes::new(),
    }
}

/// Returns none if the announcement can't be read.
pub(crate) fn to_crash(announcement: &Announcement) -> Option<Crash> {
    let (request, upstream) = announcement.key.split_once('/')?;
    let mut record = CrashedCallRecord::decode(announcement.body.clone()).ok()?;
    record.parts.truncate(SUSPECT_PARTS_MAX);
    Some(Crash {
        upstream: upstream.to_owned(),
        request: u64::from_str_radix(request, 16).ok()?,
        parts: record.parts,
        was_writing: record.was_writing,
        version: announcement.version,
    })
}

/// Returns none if the announcement can't be read.
pub(crate) fn to_clearance(announcement: &Announcement) -> Option<Clearance> {
    Some(Clearance {
        feature: u64::from_str_radix(&announcement.key, 16).ok()?,
        up_to: announcement.version,
    })
}
