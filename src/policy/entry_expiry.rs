//! Decides whether an upstream has left when its entry is gone from the store.
//!
//! Each upstream registers with an entry in the platform's store and renews it
//! by heartbeats; without them the entry expires. While the store is unreachable
//! for some seconds, the heartbeats of live upstreams are lost, and all their
//! entries expire together. Removing these upstreams at once would leave a
//! service without any for two seconds or more, until they have registered
//! again.
//!
//! A node that alone is cut from the store sees the same failures, but the entries of
//! live upstreams stay. An upstream whose entry goes then has left, and must get no
//! calls soon after. What tells the two apart is whether the store answers any node,
//! see [`StoreContact`].

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::store_contact::StoreContact;
use crate::id::{ServiceId, UpstreamId};

/// Time within which live upstreams register again once the store is back.
const REGISTRATION_GRACE_PERIOD: Duration = Duration::from_millis(2_200);
/// Time within which removals of entries count as one mass expiry.
const MASS_EXPIRY_WINDOW: Duration = Duration::from_millis(1_500);
/// Minimum number of removed entries of one service that counts as a mass expiry;
/// they must also be more than half of the service's upstreams.
const MASS_EXPIRY_MIN: usize = 4;

/// What to do with an upstream whose entry is gone from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpiryDecision {
    /// The upstream left and is removed.
    Remove,
    /// The upstream stays in use until the given time, and is removed then if it
    /// has not registered again.
    KeepUntil(Instant),
}

/// Tracks the removals of upstreams' entries, and whether the store is reachable.
#[derive(Debug, Default)]
pub(crate) struct EntryExpiry {
    store: StoreContact,
    kept_until: BTreeMap<UpstreamId, Instant>,
    recent_removals: Vec<(ServiceId, Instant)>,
}

impl EntryExpiry {
    /// Records that the store answered this node, or that a request of this node to it
    /// failed.
    pub(crate) fn set_store_reachable(&mut self, is_reachable: bool, now: Instant) {
        if is_reachable {
            self.store.record_answer(now);
        } else {
            self.store.record_failure(now);
        }
    }

    /// Records that a peer passed on that the store answers.
    pub(crate) fn record_peer_heartbeat(&mut self, now: Instant) {
        self.store.record_peer_heartbeat(now);
    }

    /// Records that the store came back from a copy of its data, which lacks the entries
    /// that upstreams have written since.
    pub(crate) fn record_return_from_copy(&mut self, now: Instant) {
        self.store.record_return_from_copy(now);
    }

    /// Decides what to do when an entry of a service with `service_size`
    /// upstreams was removed.
    pub(crate) fn entry_removed(
        &mut self,
        id: &UpstreamId,
        service: &ServiceId,
        service_size: usize,
        now: Instant,
    ) -> ExpiryDecision {
        self.recent_removals
            .retain(|(_, at)| now.saturating_duration_since(*at) < MASS_EXPIRY_WINDOW);
        self.recent_removals.push((service.clone(), now));
        if let Some(until) = self.kept_until.get(id) {
            return ExpiryDecision::KeepUntil(*until);
        }
        let Some(since) = self.grace_start(service, service_size, now) else {
            return ExpiryDecision::Remove;
        };
        let until = since + REGISTRATION_GRACE_PERIOD;
        if until <= now {
            return ExpiryDecision::Remove;
        }
        self.kept_until.insert(id.clone(), until);
        ExpiryDecision::KeepUntil(until)
    }

    /// Records that the upstream `id` registered again.
    pub(crate) fn registered_again(&mut self, id: &UpstreamId) {
        self.kept_until.remove(id);
    }

    /// Takes out the kept upstreams that did not register again in time. Returns
    /// none during an outage of the store, since they cannot register then.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<UpstreamId> {
        if self.store.is_in_outage(now) {
            return Vec::new();
        }
        let expired = self.kept_until.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<UpstreamId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.kept_until.remove(id);
        }
        expired
    }

    /// Start of the grace period in which upstreams may register again, or none
    /// if there is no sign that entries of live upstreams expired.
    fn grace_start(
        &self,
        service: &ServiceId,
        service_size: usize,
        now: Instant,
    ) -> Option<Instant> {
        if self.store.is_in_outage(now) {
            return Some(now);
        }
        let is_recent =
            |at: &Instant| now.saturating_duration_since(*at) < REGISTRATION_GRACE_PERIOD;
        if let Some(at) = self.store.outage_ended_at().filter(is_recent) {
            return Some(at);
        }
        let removed = self
            .recent_removals
            .iter()
            .filter(|(s, _)| s == service)
            .count();
        let is_mass_expiry = removed >= MASS_EXPIRY_MIN && removed * 2 > service_size;
        is_mass_expiry.then_some(now)
    }
}
