//! The other upstreams that register with the address of an upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use tokio::sync::watch;

use super::{Upstream, UpstreamEntry};
use crate::policy::address_claim::{AddressClaim, DISPUTE_MAX};

/// Those of the upstreams with the same address that state a later start.
type LaterUpstreams = Vec<Arc<Upstream>>;

/// What is known of the upstreams that register with the same address.
#[derive(Debug, Default)]
pub(super) struct Conflicts {
    /// Whether there are any. Asked for each call and candidate, so it takes no lock.
    exist: AtomicBool,
    later: watch::Sender<LaterUpstreams>,
}

impl Upstream {
    /// What the upstream's entry says of its address.
    pub(crate) fn address_claim(&self) -> AddressClaim<'_> {
        AddressClaim {
            software_version: self.software_version().map(String::as_str),
            is_draining: self.is_draining(),
            ..self.entry.address_claim()
        }
    }

    /// Whether other upstreams that are in use register with the same address.
    pub(crate) fn has_conflicts(&self) -> bool {
        self.conflicts.exist.load(Ordering::Relaxed)
    }

    /// Whether calls are tried at another upstream in place of this one.
    pub(crate) fn is_replaced(&self) -> bool {
        if !self.has_conflicts() {
            return false;
        }
        let own = self.address_claim();
        let later = self.conflicts.later.borrow();
        later
            .iter()
            .any(|other| own.is_replaced_by(&other.address_claim()))
    }

    /// The upstreams with the same address that state a later start.
    pub(crate) fn later_conflicts(&self) -> LaterUpstreams {
        self.conflicts.later.borrow().clone()
    }

    /// Returns a receiver that changes whenever other upstreams with a later start
    /// register with the address.
    pub(crate) fn subscribe_conflicts(&self) -> watch::Receiver<LaterUpstreams> {
        self.conflicts.later.subscribe()
    }

    /// Sets which upstreams in use register with the same address: whether there are any, and
    /// those with a later start. If one of these is new, calls go to others first until this
    /// one is heard, and its idle connections are closed: they may lead to a process that has
    /// ended. Returns the new ones.
    pub(crate) fn set_conflicts(
        &self,
        has_conflicts: bool,
        later: LaterUpstreams,
        now: Instant,
    ) -> LaterUpstreams {
        self.conflicts.exist.store(has_conflicts, Ordering::Relaxed);
        let known = self.later_conflicts();
        let is_known = |other: &Arc<Upstream>| known.iter().any(|known| Arc::ptr_eq(known, other));
        let new: LaterUpstreams = later
            .iter()
            .filter(|other| !is_known(other))
            .cloned()
            .collect();
        let is_settled = later.is_empty() && !known.is_empty();
        if new.is_empty() {
            self.conflicts.later.send_if_modified(|known| {
                *known = later;
                false
            });
        } else {
            self.conflicts.later.send_replace(later);
            self.pool.clear();
            self.dispute_until(now + DISPUTE_MAX);
        }
        if is_settled {
            self.end_dispute();
        }
        new
    }
}

impl UpstreamEntry {
    /// What the entry says of its address.
    pub(crate) fn address_claim(&self) -> AddressClaim<'_> {
        AddressClaim {
            service: &self.service,
            data_centre: &self.data_centre,
            software_version: self.software_version.as_deref(),
            born_unix_ms: self.born_unix_ms,
            is_draining: self.draining,
        }
    }
}
