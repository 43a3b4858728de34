//! The directory of all upstreams that this node knows.
//!
//! An upstream registers with an entry in the platform's store. Each start of it
//! is an incarnation of its own, identified by its id and start time.

mod addresses;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::broadcast;

pub(crate) use self::addresses::LaterStart;
use self::addresses::RefutedEntries;
use super::departed_notices::DepartedNotices;
use super::observation::{Observation, Observations};
use super::probe::ProbeFailure;
use super::run_origin::RunOrigin;
use super::upstream::{
    SoftwareVersion, Upstream, UpstreamEntry, UpstreamStart, lock_notices, log_leaving,
    version_for_log,
};
use super::version_history::VersionHistory;
use crate::id::{DataCentreId, ServiceId, UpstreamId};
use crate::policy::entry_expiry::{EntryExpiry, ExpiryDecision};
use crate::policy::outage::OutageDetector;
use crate::policy::upstream_limit::Rate;

/// Maximum number of suspected outages that a subscriber may leave unread.
const OUTAGE_QUEUE_MAX: usize = 256;

/// All registered upstreams, and those kept although their entries are gone from
/// the store.
#[derive(Debug)]
pub(crate) struct Directory {
    state: Mutex<State>,
    outages: broadcast::Sender<DataCentreId>,
    observations: Observations,
}

#[derive(Debug, Default)]
struct State {
    upstreams: BTreeMap<UpstreamId, Arc<Upstream>>,
    refuted: RefutedEntries,
    expiry: EntryExpiry,
    outage_detector: OutageDetector,
    version_history: VersionHistory,
    departed_notices: DepartedNotices,
    /// When the last upstream became known.
    joined_at: Option<Instant>,
    /// Whether a whole list of upstreams was applied.
    is_listed: bool,
}

impl State {
    /// Brings an entry of a copy up to date with what is known of its incarnation;
    /// `None` if that has left.
    fn update_copied(&self, mut entry: UpstreamEntry) -> Option<UpstreamEntry> {
        let known = self.upstreams.get(&entry.id);
        match known.filter(|known| known.is_same_incarnation(&entry)) {
            Some(known) => entry.draining |= known.is_draining(),
            None if self.departed_notices.find(&entry.start()).is_some() => return None,
            None => {}
        }
        Some(entry)
    }

    fn remove(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(upstream) = self.upstreams.remove(id) {
            self.record_departure(&upstream, now);
            self.update_conflicts(upstream.entry.address, now);
        }
    }

    fn record_departure(&mut self, upstream: &Upstream, now: Instant) {
        self.version_history.record_departure(upstream, now);
        self.departed_notices.keep(upstream);
    }

    /// Adds the upstream that an entry describes, and returns the one with the same id that
    /// it replaces.
    fn insert(&mut self, entry: UpstreamEntry) -> Option<Arc<Upstream>> {
        let now = Instant::now();
        let address = entry.address;
        let replaced = self.upstreams.remove(&entry.id);
        if let Some(replaced) = &replaced {
            self.record_departure(replaced, now);
        }
        let notices = self
            .departed_notices
            .find(&entry.start())
            .unwrap_or_default();
        let id = entry.id.clone();
        let speed = self.departed_notices.find_speed(&entry).unwrap_or_default();
        let upstream = Arc::new(Upstream::with_history(entry, notices, speed));
        self.upstreams.insert(id, upstream);
        self.joined_at = Some(now);
        self.update_conflicts(address, now);
        let other_address = replaced.as_ref().map(|replaced| replaced.entry.address);
        if let Some(other_address) = other_address.filter(|other| *other != address) {
            self.update_conflicts(other_address, now);
        }
        replaced
    }
}

impl Directory {
    /// Creates an empty directory that publishes losses to `observations`.
    pub(crate) fn new(observations: Observations) -> Self {
        Self {
            state: Mutex::default(),
            outages: broadcast::Sender::new(OUTAGE_QUEUE_MAX),
            observations,
        }
    }

    /// Adds or updates the upstream that an entry describes, unless answers from its address
    /// have refuted the entry.
    pub(crate) fn put(&self, entry: UpstreamEntry) {
        if let Some(entry) = self.apply(entry) {
            log::info!(
                "event=upstream_known upstream={} service={} version={} address={} dc={} born={} draining={}",
                entry.id,
                entry.service,
                version_for_log(entry.software_version.as_ref()),
                entry.address,
                entry.data_centre,
                entry.born_unix_ms,
                entry.draining
            );
        }
    }

    /// Applies an entry, and returns it if it describes an incarnation that was
    /// not known.
    fn apply(&self, entry: UpstreamEntry) -> Option<UpstreamEntry> {
        let mut state = self.lock();
        state.expiry.registered_again(&entry.id);
        if let Some(known) = state.upstreams.get(&entry.id)
            && known.is_same_incarnation(&entry)
        {
            if known.set_draining(entry.draining) {
                log::info!(
                    "event=upstream_state upstream={} draining={}",
                    entry.id,
                    entry.draining
                );
            }
            if let Some(version) = entry.software_version {
                known.learn_software_version(version);
            }
            return None;
        }
        if state.keep_refuted(&entry) {
            return None;
        }
        let superseded = state.insert(entry.clone());
        drop(state);
        if let Some(upstream) = superseded {
            self.notify_lost(&upstream, "superseded", Instant::now());
        }
        Some(entry)
    }

    /// Handles the removal of the upstream's entry from the store.
    pub(crate) fn entry_removed(&self, id: &UpstreamId, now: Instant) {
        let mut state = self.lock();
        state.refuted.remove(id);
        let Some(upstream) = state.upstreams.get(id).cloned() else {
            return;
        };
        if upstream.is_replaced() {
            // Its calls go to the next start, so it is given no time to register again.
            log::info!("event=upstream_gone upstream={id} cause=replaced");
            return state.remove(id, now);
        }
        let service = upstream.entry.service.clone();
        let known = state.upstreams.values();
        let service_size = known
            .filter(|u| u.entry.service == service && !u.is_replaced())
            .count();
        match state.expiry.entry_removed(id, &service, service_size, now) {
            ExpiryDecision::Remove => {
                log::info!("event=upstream_gone upstream={id}");
                state.remove(id, now);
            }
            ExpiryDecision::KeepUntil(until) => {
                let held_ms = until.saturating_duration_since(now).as_millis();
                log::info!("event=upstream_lapsed upstream={id} held_ms={held_ms}");
            }
        }
    }

    /// Applies the store's whole list of entries. Known upstreams that are not
    /// listed are handled as removed.
    pub(crate) fn replace_all(&self, entries: Vec<UpstreamEntry>, now: Instant) {
        let listed: Vec<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let listed_count = entries.len();
        self.lock().is_listed = true;
        let new = entries.into_iter().filter_map(|entry| self.apply(entry));
        let new_count = new.count();
        log::info!("event=upstreams_listed listed={listed_count} new={new_count}");
        let state = self.lock();
        let known = state.upstreams.keys().chain(state.refuted.ids());
        let known: Vec<UpstreamId> = known.cloned().collect();
        drop(state);
        for id in known.iter().filter(|id| !listed.contains(id)) {
            self.entry_removed(id, now);
        }
    }

    /// Applies the list of a store that came back from an older copy of its data. What
    /// the node knows may be newer: an upstream that the copy lacks has time to register
    /// again, one that drains goes on draining, and one that left stays away until it
    /// registers again.
    pub(crate) fn replace_all_from_copy(&self, entries: Vec<UpstreamEntry>, now: Instant) {
        let mut state = self.lock();
        state.expiry.record_return_from_copy(now);
        let entries = entries.into_iter().filter_map(|e| state.update_copied(e));
        let entries = entries.collect();
        drop(state);
        self.replace_all(entries, now);
    }

    /// Records that a peer passed on that the store answers.
    pub(crate) fn record_store_heartbeat(&self, now: Instant) {
        self.lock().expiry.record_peer_heartbeat(now);
    }

    /// Records that the store answered this node, or that a request of this node to it
    /// failed.
    pub(crate) fn set_store_reachable(&self, is_reachable: bool, now: Instant) {
        self.lock().expiry.set_store_reachable(is_reachable, now);
    }

    /// Removes upstreams that did not register again in time.
    pub(crate) fn remove_expired(&self, now: Instant) {
        let mut state = self.lock();
        for id in state.expiry.take_expired(now) {
            log::info!("event=upstream_gone upstream={id} cause=did_not_return");
            state.remove(&id, now);
        }
    }

    /// The upstreams of a service that accept new calls. Those whose calls are tried at their
    /// next start are left out.
    pub(crate) fn serving(&self, service: &str) -> Vec<Arc<Upstream>> {
        let state = self.lock();
        let all = state.upstreams.values();
        all.filter(|u| u.entry.service == service && !u.is_draining() && !u.is_replaced())
            .cloned()
            .collect()
    }

    /// Whether a whole list of upstreams was applied.
    pub(crate) fn is_listed(&self) -> bool {
        self.lock().is_listed
    }

    /// When the last upstream became known.
    pub(crate) fn last_joined_at(&self) -> Option<Instant> {
        self.lock().joined_at
    }

    /// Whether an upstream of the service accepts new calls.
    pub(crate) fn has_upstreams_of(&self, service: &str) -> bool {
        let state = self.lock();
        let mut all = state.upstreams.values();
        all.any(|u| u.entry.service == service && !u.is_draining())
    }

    /// The origin of every run of the service that may still go on, if that is
    /// the same for all: the service's upstreams have one known version, and none
    /// of another version left recently.
    pub(crate) fn only_origin(&self, service: &str, now: Instant) -> Option<RunOrigin> {
        let state = self.lock();
        let all = state.upstreams.values();
        let mut present = all.filter(|u| u.entry.service == service);
        let origin = RunOrigin::at(present.next()?);
        let version = origin.software_version.as_ref()?;
        let is_only = present.all(|u| u.software_version() == Some(version))
            && state.version_history.has_only(service, version, now);
        is_only.then_some(origin)
    }

    /// The known versions of each service that are present or left recently.
    pub(crate) fn versions_by_service(
        &self,
        now: Instant,
    ) -> BTreeMap<ServiceId, BTreeSet<SoftwareVersion>> {
        let state = self.lock();
        let mut versions: BTreeMap<ServiceId, BTreeSet<SoftwareVersion>> = BTreeMap::new();
        for upstream in state.upstreams.values() {
            if let Some(version) = upstream.software_version() {
                let service = upstream.entry.service.clone();
                versions.entry(service).or_default().insert(version.clone());
            }
        }
        for (service, version) in state.version_history.departed(now) {
            let of_service = versions.entry(service.to_owned()).or_default();
            of_service.insert(version.to_owned());
        }
        versions
    }

    /// The services of which several versions are present or left recently.
    pub(crate) fn services_with_several_versions(&self, now: Instant) -> BTreeSet<ServiceId> {
        let versions = self.versions_by_service(now).into_iter();
        let several = versions.filter(|(_, known)| known.len() > 1);
        several.map(|(service, _)| service).collect()
    }

    /// Records that a peer read the limit of an upstream.
    pub(crate) fn record_limit_of_peer(&self, id: &UpstreamId, rate: Rate) {
        let upstream = self.lock().upstreams.get(id).cloned();
        if let Some(upstream) = upstream {
            upstream.limit().record_named_by_peer(rate, Instant::now());
        }
    }

    /// Records that an upstream said that it leaves, in an answer that a peer got from it.
    pub(crate) fn record_leaving(&self, start: &UpstreamStart) {
        let state = self.lock();
        let known = state.upstreams.get(&start.id);
        let known = known.filter(|known| known.entry.is_start(start));
        let notices = match known {
            Some(known) => Some(known.shared_notices()),
            None => state.departed_notices.find(start),
        };
        drop(state);
        let Some(notices) = notices else {
            return;
        };
        let is_new = lock_notices(&notices).record_leaving();
        if is_new {
            log_leaving(&start.id);
        }
    }

    /// The upstreams of a service, those that drain included.
    pub(crate) fn of_service(&self, service: &str) -> Vec<Arc<Upstream>> {
        let state = self.lock();
        let all = state.upstreams.values();
        all.filter(|u| u.entry.service == service)
            .cloned()
            .collect()
    }

    /// The upstream with this id, if it is known.
    pub(crate) fn get(&self, id: &UpstreamId) -> Option<Arc<Upstream>> {
        self.lock().upstreams.get(id).cloned()
    }

    /// The services that have upstreams.
    pub(crate) fn services(&self) -> BTreeSet<ServiceId> {
        let state = self.lock();
        let all = state.upstreams.values();
        all.map(|u| u.entry.service.clone()).collect()
    }

    /// The upstreams of each service, those that drain included.
    pub(crate) fn by_service(&self) -> BTreeMap<ServiceId, Vec<Arc<Upstream>>> {
        let mut services: BTreeMap<ServiceId, Vec<Arc<Upstream>>> = BTreeMap::new();
        for upstream in self.lock().upstreams.values() {
            let service = upstream.entry.service.clone();
            services.entry(service).or_default().push(upstream.clone());
        }
        services
    }

    pub(crate) fn knows(&self, id: &UpstreamId) -> bool {
        self.lock().upstreams.contains_key(id)
    }

    /// Marks the upstream as lost: informs all calls that run at it and all runs
    /// that have a replica at it, and publishes the loss to other nodes.
    pub(crate) fn mark_lost(&self, upstream: &Upstream, cause: &str, now: Instant) {
        self.notify_lost(upstream, cause, now);
        self.publish_loss(upstream, now);
    }

    /// Records that the upstream is silent, and publishes it to other nodes, since
    /// several silent upstreams indicate an outage. Calls that run at it stay.
    pub(crate) fn mark_silent(&self, upstream: &Upstream, cause: &str, now: Instant) {
        log::info!(
            "event=upstream_silent upstream={} dc={} cause={cause}",
            upstream.entry.id,
            upstream.entry.data_centre
        );
        upstream.mark_silent(now);
        self.publish_loss(upstream, now);
    }

    /// Applies that a probe showed no life of the upstream.
    pub(crate) fn apply_probe_failure(
        &self,
        upstream: &Upstream,
        failure: ProbeFailure,
        cause: &str,
        now: Instant,
    ) {
        match failure {
            ProbeFailure::Silent => self.mark_silent(upstream, cause, now),
            ProbeFailure::Unreachable => {
                upstream.mark_unreachable();
                self.mark_lost(upstream, cause, now);
            }
            ProbeFailure::Broken => self.mark_lost(upstream, cause, now),
            ProbeFailure::Replaced => upstream.end_runs(),
        }
    }

    fn publish_loss(&self, upstream: &Upstream, now: Instant) {
        let entry = &upstream.entry;
        if self.record_loss(&entry.data_centre, &entry.id, now) {
            self.observations.publish(Observation::Lost {
                id: entry.id.clone(),
                data_centre: entry.data_centre.clone(),
            });
        }
    }

    fn notify_all_lost(&self, upstreams: &[Arc<Upstream>], cause: &str, now: Instant) {
        for upstream in upstreams {
            self.notify_lost(upstream, cause, now);
        }
    }

    /// Informs all calls that run at the upstream, and all runs that have a
    /// replica at it, that it is lost.
    fn notify_lost(&self, upstream: &Upstream, cause: &str, now: Instant) {
        log::info!(
            "event=upstream_lost upstream={} dc={} cause={cause}",
            upstream.entry.id,
            upstream.entry.data_centre
        );
        upstream.mark_lost(now);
    }

    /// Records the loss of the upstream `id`, observed by this node or a peer. If an
    /// outage of the data centre is now suspected, informs the subscribers.
    /// Returns true if the loss was not known.
    pub(crate) fn record_loss(
        &self,
        data_centre: &DataCentreId,
        id: &UpstreamId,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        let is_new = state.outage_detector.record_loss(data_centre, id, now);
        let is_outage_suspected = state.outage_detector.is_outage_suspected(data_centre, now);
        drop(state);
        if is_new && is_outage_suspected {
            // The channel has no receiver while no call is running.
            let _ = self.outages.send(data_centre.clone());
        }
        is_new
    }

    /// The data centres of which recent losses indicate an outage.
    pub(crate) fn suspected_outages(&self, now: Instant) -> BTreeSet<DataCentreId> {
        self.lock().outage_detector.suspected(now)
    }

    /// Whether the upstream was heard after the first recent loss in its data centre, so
    /// that the outage which the losses indicate has spared it.
    pub(crate) fn has_survived_outage(&self, upstream: &Upstream, now: Instant) -> bool {
        let state = self.lock();
        let data_centre = &upstream.entry.data_centre;
        let began_at = state
            .outage_detector
            .recent_losses_began_at(data_centre, now);
        drop(state);
        began_at.is_some_and(|began_at| upstream.was_heard_since(began_at))
    }

    /// Receives the data centres whose outage is suspected, once for each new
    /// loss.
    pub(crate) fn subscribe_outages(&self) -> broadcast::Receiver<DataCentreId> {
        self.outages.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
