//! Which of the upstreams that register with one address are in use.
//!
//! Entries of the platform's store are claims, see `docs/incidents/claimed-addresses.md`. All
//! are in use until an answer shows which upstream is at the address. The entries that this
//! refutes are kept aside for as long as they are registered, since what answers there may
//! change again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Directory, State};
use crate::forward::upstream::{Upstream, UpstreamEntry};
use crate::id::UpstreamId;
use crate::policy::address_claim::Refutation;

/// A registered entry that is not used.
#[derive(Debug)]
struct RefutedEntry {
    entry: UpstreamEntry,
    refutation: Refutation,
}

/// The registered entries that are not used, because other upstreams answer at their
/// addresses.
#[derive(Debug, Default)]
pub(super) struct RefutedEntries {
    entries: BTreeMap<UpstreamId, RefutedEntry>,
}

impl RefutedEntries {
    fn keep(&mut self, entry: UpstreamEntry, refutation: Refutation) {
        let id = entry.id.clone();
        self.entries.insert(id, RefutedEntry { entry, refutation });
    }

    /// Replaces the entry with the same id.
    fn update(&mut self, entry: &UpstreamEntry) {
        if let Some(known) = self.entries.get_mut(&entry.id) {
            known.entry = entry.clone();
        }
    }

    /// Whether the entry is refuted: it is one of these, or a later one of an id that was never
    /// at the address, whatever start it states.
    fn covers(&self, entry: &UpstreamEntry) -> bool {
        let known = self.entries.get(&entry.id);
        let known = known.filter(|known| known.entry.address == entry.address);
        known.is_some_and(|known| {
            known.refutation == Refutation::NeverThere || known.entry.is_same_start(entry)
        })
    }

    /// Whether this start is known to have ended.
    fn has_ended(&self, entry: &UpstreamEntry) -> bool {
        let known = self.entries.get(&entry.id);
        known.is_some_and(|known| {
            known.refutation == Refutation::Ended && known.entry.is_same_start(entry)
        })
    }

    /// Forgets the entry with this id, if it is one of these.
    pub(super) fn remove(&mut self, id: &UpstreamId) -> Option<UpstreamEntry> {
        self.entries.remove(id).map(|known| known.entry)
    }

    /// The ids of the entries.
    pub(super) fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.entries.keys()
    }

    /// Takes out the entries with the address that may be right after all.
    fn take_at(&mut self, address: SocketAddr) -> Vec<UpstreamEntry> {
        let is_taken = |_: &UpstreamId, known: &mut RefutedEntry| {
            known.entry.address == address && known.refutation == Refutation::NeverThere
        };
        let taken = self.entries.extract_if(.., is_taken);
        taken.map(|(_, known)| known.entry).collect()
    }
}

/// What is known of a later start at the address of an upstream.
#[derive(Clone, Debug)]
pub(crate) enum LaterStart {
    /// Nothing states one.
    None,
    /// The upstream has ended.
    Known,
    /// An entry states one, and nothing at the address has shown it.
    Claimed(Arc<Upstream>),
}

impl State {
    /// The upstreams in use that register with the address.
    pub(super) fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Arc<Upstream>> {
        let known = self.upstreams.values();
        known.filter(move |known| known.entry.address == address)
    }

    /// Keeps the entry aside if it is refuted and an upstream is known at its address, and
    /// returns whether it is. Otherwise nothing is held against the entry any more.
    pub(super) fn keep_refuted(&mut self, entry: &UpstreamEntry) -> bool {
        let is_kept = self.refuted.covers(entry) && self.at_address(entry.address).next().is_some();
        if is_kept {
            self.refuted.update(entry);
        } else {
            self.refuted.remove(&entry.id);
        }
        is_kept
    }

    /// Tells the upstreams with the address of each other, after one of them came or went. If
    /// none is left, uses the entries that another one's answers had refuted.
    pub(super) fn update_conflicts(&mut self, address: SocketAddr, now: Instant) {
        let group: Vec<Arc<Upstream>> = self.at_address(address).cloned().collect();
        if group.is_empty() {
            for entry in self.refuted.take_at(address) {
                self.insert(entry);
            }
            return;
        }
        for upstream in &group {
            let later = group.iter().filter(|o| upstream.entry.precedes(&o.entry));
            let new = upstream.set_conflicts(group.len() > 1, later.cloned().collect(), now);
            for other in new {
                log::info!(
                    "event=address_claimed upstream={} by={} service={} by_service={} address={address} is_replaced={}",
                    upstream.entry.id,
                    other.entry.id,
                    upstream.entry.service,
                    other.entry.service,
                    upstream.is_replaced()
                );
            }
        }
    }

    /// Takes an upstream out of use because another one is at its address.
    fn refute(&mut self, upstream: &Upstream, refutation: Refutation, cause: &str, now: Instant) {
        let entry = &upstream.entry;
        log::info!(
            "event=entry_refuted upstream={} service={} address={} refutation={refutation:?} cause={cause}",
            entry.id,
            entry.service,
            entry.address
        );
        self.upstreams.remove(&entry.id);
        if refutation == Refutation::Ended {
            self.record_departure(upstream, now);
        }
        self.refuted.keep(entry.clone(), refutation);
    }

    /// Takes all upstreams with the address of `present` that were known at `since` out of
    /// use. Returns these.
    fn refute_others_than(
        &mut self,
        present: &Arc<Upstream>,
        since: Instant,
        cause: &str,
        now: Instant,
    ) -> Vec<Arc<Upstream>> {
        let address = present.entry.address;
        let is_refuted =
            |other: &&Arc<Upstream>| !Arc::ptr_eq(other, present) && other.known_since <= since;
        let others: Vec<Arc<Upstream>> = self
            .at_address(address)
            .filter(is_refuted)
            .cloned()
            .collect();
        for other in &others {
            let refutation = Refutation::of(&other.address_claim(), &present.address_claim());
            self.refute(other, refutation, cause, now);
        }
        self.update_conflicts(address, now);
        others
    }

    /// Takes out an upstream that is not at its address. If others register with it, the entry
    /// is not used again while these are known.
    fn remove_disproved(&mut self, upstream: &Upstream, now: Instant) {
        let entry = &upstream.entry;
        let known = self.upstreams.get(&entry.id);
        if !known.is_some_and(|known| known.is_same_incarnation(entry)) {
            return;
        }
        if !upstream.has_conflicts() {
            return self.remove(&entry.id, now);
        }
        let refutation = if upstream.later_conflicts().is_empty() {
            Refutation::NeverThere
        } else {
            Refutation::Ended
        };
        self.refute(upstream, refutation, "misdirected", now);
        self.update_conflicts(entry.address, now);
    }

    /// The upstream with this id at the address, if it is known or was refuted.
    fn registered_at(&mut self, id: &UpstreamId, address: SocketAddr) -> Option<Arc<Upstream>> {
        let refuted = self.refuted.entries.get(id);
        if refuted.is_some_and(|known| known.entry.address == address)
            && let Some(entry) = self.refuted.remove(id)
        {
            self.insert(entry);
        }
        let known = self.upstreams.get(id).cloned();
        known.filter(|known| known.entry.address == address)
    }
}

impl Directory {
    /// Records that an upstream is at its address, as its answer to something that was sent at
    /// `sent_at` shows. The others that had registered with the address by then are not.
    pub(crate) fn record_present(&self, upstream: &Arc<Upstream>, sent_at: Instant, cause: &str) {
        if !upstream.has_conflicts() {
            return;
        }
        let now = Instant::now();
        let mut state = self.lock();
        let known = state.upstreams.get(&upstream.entry.id);
        if !known.is_some_and(|known| Arc::ptr_eq(known, upstream)) {
            return;
        }
        let refuted = state.refute_others_than(upstream, sent_at, cause, now);
        drop(state);
        self.notify_all_lost(&refuted, cause, now);
    }

    /// Records what answered, at `address`, to something that was sent at `sent_at`. Returns
    /// whether it is one of the upstreams that register with the address.
    pub(crate) fn record_answer_at(
        &self,
        address: SocketAddr,
        is_answerer: impl Fn(&UpstreamEntry) -> bool,
        sent_at: Instant,
    ) -> bool {
        let state = self.lock();
        let present = {
            let mut known = state.at_address(address);
            known.find(|known| is_answerer(&known.entry)).cloned()
        };
        drop(state);
        if let Some(present) = &present {
            self.record_present(present, sent_at, "asked");
        }
        present.is_some()
    }

    /// The upstreams at whose addresses others have been registered for at least `age`.
    pub(crate) fn disputed_for(&self, age: Duration, now: Instant) -> Vec<Arc<Upstream>> {
        let state = self.lock();
        let is_old =
            |other: &Arc<Upstream>| now.saturating_duration_since(other.known_since) >= age;
        let known = state.upstreams.values();
        let disputed = known
            .filter(|known| known.has_conflicts())
            .filter(|known| known.later_conflicts().iter().any(is_old));
        disputed.cloned().collect()
    }

    /// Takes an upstream out of use whose address belongs to another one: to `actual`, if the
    /// answer from there names it.
    pub(crate) fn remove_misdirected(
        &self,
        upstream: &Upstream,
        actual: Option<&UpstreamId>,
        now: Instant,
    ) {
        let entry = &upstream.entry;
        let mut state = self.lock();
        let actual = actual.filter(|actual| **actual != entry.id);
        let present = actual.and_then(|actual| state.registered_at(actual, entry.address));
        let mut others = Vec::new();
        if let Some(present) = present {
            others = state.refute_others_than(&present, now, "misdirected", now);
            others.retain(|other| other.entry.id != entry.id);
        } else {
            state.remove_disproved(upstream, now);
        }
        drop(state);
        self.notify_lost(upstream, "misdirected", now);
        self.notify_all_lost(&others, "misdirected", now);
    }

    /// Whether an earlier incarnation with the entry's address and service is
    /// known.
    pub(crate) fn has_earlier_incarnation(&self, entry: &UpstreamEntry) -> bool {
        let state = self.lock();
        let mut known = state.upstreams.values();
        known.any(|u| u.entry.service == entry.service && u.entry.precedes(entry))
    }

    /// What is known of a later start of the entry's upstream, after which the entry's has
    /// ended. It has the same id or the same address.
    pub(crate) fn later_start(&self, entry: &UpstreamEntry) -> LaterStart {
        if entry.born_unix_ms == 0 {
            return LaterStart::None;
        }
        let state = self.lock();
        let of_id = state.upstreams.get(&entry.id);
        let is_later = |known: &Arc<Upstream>| known.entry.born_unix_ms > entry.born_unix_ms;
        if of_id.is_some_and(is_later) || state.refuted.has_ended(entry) {
            return LaterStart::Known;
        }
        let mut at_address = state.at_address(entry.address);
        let later = at_address.find(|known| entry.precedes(&known.entry));
        later.map_or(LaterStart::None, |later| LaterStart::Claimed(later.clone()))
    }
}
