//! Which of several upstreams that register with one address gets its calls.
//!
//! An entry in the platform's store is a claim: after a crash the entry of the ended
//! incarnation stays beside its successor's, and another writer may leave one that names the
//! address of a sound upstream. Only what answers at the address tells who is there. Until
//! then a later entry decides where a call is tried first, and shuts nobody out.
//! `docs/incidents/claimed-addresses.md` tells what believing the entry did.

use std::time::Duration;

/// Longest time for which an upstream is used behind others because a later entry names its
/// address. Longer than the store keeps the entry of an upstream that has ended, which is some
/// heartbeat intervals.
pub(crate) const DISPUTE_MAX: Duration = Duration::from_secs(5);

/// What an upstream's entry says of the address that another one names too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AddressClaim<'a> {
    pub(crate) service: &'a str,
    pub(crate) data_centre: &'a str,
    /// Version of the upstream's software; `None` if unknown.
    pub(crate) software_version: Option<&'a str>,
    /// Start of the upstream, in Unix milliseconds; zero if unknown.
    pub(crate) born_unix_ms: u64,
    /// Whether the upstream accepts no new calls.
    pub(crate) is_draining: bool,
}

impl AddressClaim<'_> {
    /// Whether `other` states a later start.
    pub(crate) fn precedes(&self, other: &Self) -> bool {
        self.born_unix_ms < other.born_unix_ms
    }

    /// Whether calls are tried at `other` in place of this upstream: it looks like the next
    /// start of the same one, and gets the same calls. The first of them shows who is there.
    /// One that gets no calls, or other ones, would never be found out. The version of a start
    /// is unknown if its own report shows it, and no entry does.
    pub(crate) fn is_replaced_by(&self, other: &Self) -> bool {
        let is_reported = other.software_version.is_none();
        self.precedes(other)
            && !other.is_draining
            && self.service == other.service
            && self.data_centre == other.data_centre
            && (is_reported || self.software_version == other.software_version)
    }
}

/// Why an entry is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refutation {
    /// The upstream has ended: a later start of another one runs at its address.
    Ended,
    /// The upstream was never there: one with an earlier start answers at its address.
    NeverThere,
}

impl Refutation {
    /// Why an entry is not used if `present` answers at its address.
    pub(crate) fn of(claim: &AddressClaim<'_>, present: &AddressClaim<'_>) -> Self {
        if claim.precedes(present) {
            Self::Ended
        } else {
            Self::NeverThere
        }
    }
}
