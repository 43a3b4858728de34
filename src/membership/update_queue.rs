//! Updates that a node passes on to other nodes, piggybacked on its datagrams.
//!
//! A storm of losses queues hundreds of them, so a datagram must cost the few updates
//! that it carries, and not the whole queue.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use prost::Message;

use crate::membership::message::{AnnouncementRecord, MemberRecord};

/// A node piggybacks an update on this number of datagrams for each doubling of
/// the number of nodes, that is, on about this number times log2 of the nodes.
const DATAGRAMS_PER_DOUBLING: u32 = 3;
/// Bytes that precede a nested message: its tag and its length.
const NESTING_BYTES: usize = 4;
/// Updates that don't fit a datagram any more, after which no smaller one is looked for.
const MISFITS_MAX: usize = 3;

/// An update that is piggybacked on datagrams.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Update {
    Member(MemberRecord),
    Announcement(AnnouncementRecord),
}

/// What an update is about: 0 and the node's name for a member, the topic plus one and
/// the key for an announcement.
type Subject = (u32, String);

/// Place of an update in the queue: the number of datagrams that carried it, and its
/// subject.
type Place = (u32, Subject);

impl Update {
    fn subject(&self) -> Subject {
        match self {
            Self::Member(record) => (0, record.node.clone()),
            Self::Announcement(record) => (record.topic + 1, record.key.clone()),
        }
    }

    /// Time for which the update is of use; `None` if that has no end.
    fn ttl(&self) -> Option<Duration> {
        match self {
            Self::Member(_) => None,
            Self::Announcement(record) => Some(record.ttl()),
        }
    }

    fn encoded_bytes(&self) -> usize {
        let record_bytes = match self {
            Self::Member(record) => record.encoded_len(),
            Self::Announcement(record) => record.encoded_len(),
        };
        record_bytes + NESTING_BYTES
    }
}

#[derive(Debug)]
struct QueuedUpdate {
    update: Update,
    sent_count: u32,
    expires_at: Option<Instant>,
}

impl QueuedUpdate {
    fn has_expired(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at <= now)
    }

    /// The update as it is to be sent now; `None` if its time has passed.
    fn at(&self, now: Instant) -> Option<Update> {
        if self.has_expired(now) {
            return None;
        }
        let mut update = self.update.clone();
        if let (Update::Announcement(record), Some(expires_at)) = (&mut update, self.expires_at) {
            record.set_ttl(expires_at.saturating_duration_since(now));
        }
        Some(update)
    }
}

/// An update that a datagram carries, or that is to be removed.
struct Visit {
    place: Place,
    /// `None` if the update's time has passed.
    update: Option<Update>,
}

/// Updates that this node still has to piggyback on datagrams.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    updates: BTreeMap<Subject, QueuedUpdate>,
    /// The places of all updates, those sent least often first.
    places: BTreeSet<Place>,
}

impl UpdateQueue {
    /// Adds an update, in place of an older one about the same subject.
    pub(crate) fn add(&mut self, update: Update, now: Instant) {
        let subject = update.subject();
        let queued = QueuedUpdate {
            sent_count: 0,
            expires_at: update.ttl().map(|ttl| now + ttl),
            update,
        };
        if let Some(replaced) = self.updates.insert(subject.clone(), queued) {
            self.places.remove(&(replaced.sent_count, subject.clone()));
        }
        self.places.insert((0, subject));
    }

    /// Removes the updates whose time has passed, and returns how many there were.
    pub(crate) fn expire(&mut self, now: Instant) -> usize {
        let before_count = self.updates.len();
        let places = &mut self.places;
        self.updates.retain(|subject, queued| {
            let has_expired = queued.has_expired(now);
            if has_expired {
                places.remove(&(queued.sent_count, subject.clone()));
            }
            !has_expired
        });
        before_count - self.updates.len()
    }

    /// Number of updates in the queue.
    pub(crate) fn len(&self) -> usize {
        self.updates.len()
    }

    /// Chooses updates of at most `budget_bytes` in total for one datagram, those
    /// sent least often first, and removes those that have been sent often
    /// enough.
    pub(crate) fn take_batch(
        &mut self,
        node_count: usize,
        budget_bytes: usize,
        now: Instant,
    ) -> Vec<Update> {
        let visits = self.visit(budget_bytes, now);
        let sent_max = sent_max(node_count);
        let mut batch = Vec::new();
        for Visit { place, update } in visits {
            self.advance(place, update.is_some(), sent_max);
            batch.extend(update);
        }
        batch
    }

    /// Visits updates in their order, until no more of them fit a datagram.
    fn visit(&self, budget_bytes: usize, now: Instant) -> Vec<Visit> {
        let mut visits = Vec::new();
        let mut remaining_bytes = budget_bytes;
        let mut misfit_count = 0;
        for place in &self.places {
            let update = self.updates.get(&place.1).and_then(|q| q.at(now));
            let size_bytes = update.as_ref().map_or(0, Update::encoded_bytes);
            if size_bytes <= remaining_bytes {
                remaining_bytes -= size_bytes;
                let place = place.clone();
                visits.push(Visit { place, update });
                continue;
            }
            // One that fits no datagram at all may not hold the others up.
            misfit_count += usize::from(size_bytes <= budget_bytes);
            if misfit_count == MISFITS_MAX {
                break;
            }
        }
        visits
    }

    /// Moves an update that was sent to its next place. Removes it if it has been sent often
    /// enough, or was not sent because its time has passed.
    fn advance(&mut self, place: Place, is_sent: bool, sent_max: u32) {
        self.places.remove(&place);
        let (sent_count, subject) = place;
        let sent_count = sent_count + 1;
        if !is_sent || sent_count >= sent_max {
            self.updates.remove(&subject);
        } else if let Some(queued) = self.updates.get_mut(&subject) {
            queued.sent_count = sent_count;
            self.places.insert((sent_count, subject));
        }
    }
}

/// Number of datagrams that carry an update.
fn sent_max(node_count: usize) -> u32 {
    let doublings = usize::BITS - node_count.leading_zeros();
    DATAGRAMS_PER_DOUBLING * doublings.max(1)
}
