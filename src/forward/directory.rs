//! All upstreams that this node knows.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::broadcast;

use super::sighting::{Sighting, Sightings};
use super::upstream::{Upstream, UpstreamEntry, UpstreamId};
use crate::id::DataCentreId;
use crate::policy::alarm::Alarms;
use crate::policy::lapse::{Lapses, Verdict};

/// Alarms that a listener may leave unread.
const UNREAD_MAX: usize = 256;

/// The upstreams that registered themselves, and those that just lapsed.
#[derive(Debug)]
pub(crate) struct Directory {
    state: Mutex<State>,
    alarms: broadcast::Sender<DataCentreId>,
    sightings: Sightings,
}

#[derive(Debug, Default)]
struct State {
    upstreams: BTreeMap<UpstreamId, Arc<Upstream>>,
    lapses: Lapses,
    alarms: Alarms,
}

impl State {
    /// Whether another upstream started at this address after `entry` did.
    fn has_later_life(&self, entry: &UpstreamEntry) -> bool {
        let mut known = self.upstreams.values();
        known.any(|known| entry.precedes(&known.entry))
    }

    fn take_earlier_lives(&mut self, entry: &UpstreamEntry) -> Vec<Arc<Upstream>> {
        let known = self.upstreams.values();
        let over = known.filter(|known| known.entry.precedes(entry));
        let over: Vec<Arc<Upstream>> = over.cloned().collect();
        for earlier in &over {
            self.upstreams.remove(&earlier.entry.id);
        }
        over
    }
}

impl Directory {
    /// Makes a directory that knows no upstream and tells what it sees.
    pub(crate) fn new(sightings: Sightings) -> Self {
        Self {
            state: Mutex::default(),
            alarms: broadcast::Sender::new(UNREAD_MAX),
            sightings,
        }
    }

    /// Takes in an entry.
    pub(crate) fn put(&self, entry: UpstreamEntry) {
        if let Some(entry) = self.take_in(entry) {
            log::info!(
                "event=upstream_known upstream={} service={} address={} dc={} born={} draining={}",
                entry.id,
                entry.service,
                entry.address,
                entry.data_centre,
                entry.born_unix_ms,
                entry.draining
            );
        }
    }

    /// Takes in an entry, and gives it back when it names a life that was not
    /// known.
    fn take_in(&self, entry: UpstreamEntry) -> Option<UpstreamEntry> {
        let mut state = self.lock();
        state.lapses.returned(&entry.id);
        if let Some(known) = state.upstreams.get(&entry.id)
            && known.is_same_life(&entry)
        {
            if known.is_draining() != entry.draining {
                log::info!(
                    "event=upstream_state upstream={} draining={}",
                    entry.id,
                    entry.draining
                );
            }
            known.set_draining(entry.draining);
            return None;
        }
        if state.has_later_life(&entry) {
            return None;
        }
        let mut over = state.take_earlier_lives(&entry);
        let upstream = Arc::new(Upstream::new(entry.clone()));
        over.extend(state.upstreams.insert(entry.id.clone(), upstream));
        drop(state);
        for earlier in over {
            self.end(&earlier, "superseded", Instant::now());
        }
        Some(entry)
    }

    /// Takes in that an entry is gone.
    pub(crate) fn gone(&self, id: &UpstreamId, now: Instant) {
        let mut state = self.lock();
        let Some(upstream) = state.upstreams.get(id) else {
            return;
        };
        let service = upstream.entry.service.clone();
        let peers = state.upstreams.values();
        let service_size = peers.filter(|u| u.entry.service == service).count();
        match state.lapses.gone(id, &service, service_size, now) {
            Verdict::Left => {
                log::info!("event=upstream_gone upstream={id}");
                state.upstreams.remove(id);
            }
            Verdict::MayReturn(until) => {
                let held = until.saturating_duration_since(now).as_millis();
                log::info!("event=upstream_lapsed upstream={id} held_ms={held}");
            }
        }
    }

    /// Takes in a whole list.
    pub(crate) fn replace(&self, entries: Vec<UpstreamEntry>, now: Instant) {
        let listed: Vec<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let listed_count = entries.len();
        let new = entries.into_iter().filter_map(|entry| self.take_in(entry));
        let new_count = new.count();
        log::info!("event=upstreams_listed listed={listed_count} new={new_count}");
        let known: Vec<UpstreamId> = self.lock().upstreams.keys().cloned().collect();
        for id in known.iter().filter(|id| !listed.contains(id)) {
            self.gone(id, now);
        }
    }

    /// Notes whether the store answers.
    pub(crate) fn store_answers(&self, answers: bool, now: Instant) {
        self.lock().lapses.store_answers(answers, now);
    }

    /// Drops upstreams whose time to return is over.
    pub(crate) fn expire(&self, now: Instant) {
        let mut state = self.lock();
        for id in state.lapses.expired(now) {
            log::info!("event=upstream_gone upstream={id} cause=did_not_return");
            state.upstreams.remove(&id);
        }
    }

    /// Upstreams of a service that take new calls.
    pub(crate) fn serving(&self, service: &str) -> Vec<Arc<Upstream>> {
        let state = self.lock();
        let all = state.upstreams.values();
        all.filter(|u| u.entry.service == service && !u.is_draining())
            .cloned()
            .collect()
    }

    /// Whether an upstream of this name is known.
    pub(crate) fn knows(&self, id: &UpstreamId) -> bool {
        self.lock().upstreams.contains_key(id)
    }

    /// How many upstreams are known.
    pub(crate) fn count(&self) -> usize {
        self.lock().upstreams.len()
    }

    /// Notes that an upstream is lost, and has all that waits look again.
    pub(crate) fn lose(&self, upstream: &Upstream, cause: &str, now: Instant) {
        self.end(upstream, cause, now);
        let entry = &upstream.entry;
        if self.heard_of_loss(&entry.data_centre, &entry.id, now) {
            self.sightings.tell(Sighting::Lost {
                id: entry.id.clone(),
                data_centre: entry.data_centre.clone(),
            });
        }
    }

    /// Ends all that runs at an upstream whose life is over.
    fn end(&self, upstream: &Upstream, cause: &str, now: Instant) {
        log::info!(
            "event=upstream_lost upstream={} dc={} cause={cause}",
            upstream.entry.id,
            upstream.entry.data_centre
        );
        upstream.lose(now);
    }

    /// Takes in that some node lost an upstream; true when it was not known.
    pub(crate) fn heard_of_loss(
        &self,
        data_centre: &DataCentreId,
        id: &UpstreamId,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        let is_news = state.alarms.lost(data_centre, id, now);
        let is_alarmed = state.alarms.is_alarmed(data_centre, now);
        drop(state);
        if is_news && is_alarmed {
            // Nobody listens where nothing runs.
            let _ = self.alarms.send(data_centre.clone());
        }
        is_news
    }

    /// Whether a data centre's upstreams are being lost.
    pub(crate) fn is_alarmed(&self, data_centre: &str, now: Instant) -> bool {
        self.lock().alarms.is_alarmed(data_centre, now)
    }

    /// Hears which data centres' upstreams are being lost.
    pub(crate) fn alarms(&self) -> broadcast::Receiver<DataCentreId> {
        self.alarms.subscribe()
    }

    /// Whether an earlier life at the entry's address and of its service is known.
    pub(crate) fn has_earlier_life(&self, entry: &UpstreamEntry) -> bool {
        let state = self.lock();
        let mut known = state.upstreams.values();
        known.any(|u| u.entry.service == entry.service && u.entry.precedes(entry))
    }

    /// Drops an upstream whose address turned out to be another one's.
    pub(crate) fn forget(&self, upstream: &Upstream, now: Instant) {
        let mut state = self.lock();
        let known = state.upstreams.get(&upstream.entry.id);
        if known.is_some_and(|known| known.is_same_life(&upstream.entry)) {
            state.upstreams.remove(&upstream.entry.id);
        }
        drop(state);
        self.end(upstream, "misdirected", now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
