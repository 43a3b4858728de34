//! The registration of one incarnation of an upstream.

use std::net::SocketAddr;

use crate::id::{DataCentreId, ServiceId, UpstreamId};

/// Version of the software that an upstream runs, as its registration states it.
/// It has no order, and is not the version of a model's weights.
pub(crate) type SoftwareVersion = String;

/// One start of an upstream, as its answers and its registration name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamStart {
    /// Id under which the upstream is registered.
    pub(crate) id: UpstreamId,
    /// Time of the start, in Unix milliseconds; zero if unknown.
    pub(crate) born_unix_ms: u64,
}

/// An upstream's registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamEntry {
    /// Id of this incarnation.
    pub(crate) id: UpstreamId,
    /// Start of this incarnation, in Unix milliseconds; zero if unknown.
    pub(crate) born_unix_ms: u64,
    /// Service that the upstream belongs to.
    pub(crate) service: ServiceId,
    /// Address at which the upstream listens for calls.
    pub(crate) address: SocketAddr,
    /// Data centre that the upstream runs in.
    pub(crate) data_centre: DataCentreId,
    /// Version of the upstream's software; `None` if unknown.
    pub(crate) software_version: Option<SoftwareVersion>,
    /// Maximum number of calls that the upstream runs at once.
    pub(crate) slot_count: u32,
    /// Whether the upstream is draining: it accepts no new calls.
    pub(crate) draining: bool,
}

impl UpstreamEntry {
    /// The start of the upstream that this entry describes.
    pub(crate) fn start(&self) -> UpstreamStart {
        UpstreamStart {
            id: self.id.clone(),
            born_unix_ms: self.born_unix_ms,
        }
    }

    /// Whether `other` describes the same start of the upstream, as far as is known.
    pub(crate) fn is_same_start(&self, other: &Self) -> bool {
        self.is_start(&other.start())
    }

    /// Whether the entry describes this start, as far as is known.
    pub(crate) fn is_start(&self, start: &UpstreamStart) -> bool {
        self.id == start.id && self.may_have_started_at(start.born_unix_ms)
    }

    /// Whether the entry may be that of a process which started at this time, in Unix
    /// milliseconds. Zero, in either, is unknown and rules nothing out.
    pub(crate) fn may_have_started_at(&self, born_unix_ms: u64) -> bool {
        let own_born_unix_ms = self.born_unix_ms;
        own_born_unix_ms == born_unix_ms || own_born_unix_ms == 0 || born_unix_ms == 0
    }

    /// Whether `other` has another id and states a later start at the same address. After a
    /// crash, the store keeps the old entry beside the successor's until it expires, which
    /// takes some heartbeat intervals. Whether `other` is there is told by what answers.
    pub(crate) fn precedes(&self, other: &Self) -> bool {
        self.address == other.address
            && self.id != other.id
            && self.address_claim().precedes(&other.address_claim())
    }
}

/// A software version in the log; `-` if unknown.
pub(crate) fn version_for_log(version: Option<&SoftwareVersion>) -> &str {
    version.map_or("-", String::as_str)
}
