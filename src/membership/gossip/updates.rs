//! Application of received updates (member records, announcements and document
//! versions) to the state of this node.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Instant;

use crate::membership::announcement::{Announcement, from_record};
use crate::membership::gossip::{Membership, MembershipEvent};
use crate::membership::members::Change;
use crate::membership::message::{AnnouncementRecord, Datagram, DocumentVersion, MemberRecord};
use crate::membership::state::State;
use crate::membership::update_queue::Update;

/// How an update reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Piggybacked on a datagram. It has to be forwarded to other nodes.
    Datagram,
    /// Part of a synchronisation reply. It is not forwarded, since other nodes
    /// that lack it synchronise as well.
    Synchronisation,
}

impl Membership {
    /// Applies what `from` sent, and synchronises with `from` if its hashes
    /// differ from this node's.
    pub(super) fn apply_updates(&self, datagram: Datagram, from: SocketAddr, source: Source) {
        let now = Instant::now();
        let mut state = self.state();
        apply_members(&mut state, &datagram, source, now);
        let announced = apply_announcements(&mut state, datagram.announcements, source, now);
        let documents = newer_documents(&state, datagram.documents, from);
        // The notice of a node that stops, and a synchronisation reply (passed in
        // as a datagram), have no sender record and no hashes. Neither may start
        // a synchronisation.
        let has_sender = datagram.sender.is_some();
        if has_sender && state.is_sync_due(datagram.table_hash, datagram.announcement_hash, now) {
            state.last_sync_at = Some(now);
            tokio::spawn(self.clone().sync_with(from));
        }
        drop(state);
        if source == Source::Datagram && !announced.is_empty() {
            self.schedule_push();
        }
        let announced = announced.into_iter().map(MembershipEvent::Announced);
        for event in announced.chain(documents) {
            let _ = self.shared.events.send(event);
        }
    }
}

fn apply_members(state: &mut State, datagram: &Datagram, source: Source, now: Instant) {
    if let Some(sender) = &datagram.sender {
        let change = state.members.apply_self_report(sender, now);
        queue_update(state, sender, change, source, now);
    }
    for record in &datagram.members {
        let change = state.members.apply(record, now);
        queue_update(state, record, change, source, now);
    }
}

/// Queues what other nodes have to be sent after `record` was applied to the
/// members: the record itself, this node's own record if it refuted `record`, or
/// nothing.
fn queue_update(
    state: &mut State,
    record: &MemberRecord,
    change: Change,
    source: Source,
    now: Instant,
) {
    match change {
        Change::Unchanged => {}
        Change::Updated if source == Source::Synchronisation => {}
        Change::Updated => state.updates.add(Update::Member(record.clone()), now),
        Change::Refuted => {
            let own_record = state.members.my_record();
            state.updates.add(Update::Member(own_record), now);
        }
    }
}

/// Applies announcements and returns those that this node did not know.
fn apply_announcements(
    state: &mut State,
    records: Vec<AnnouncementRecord>,
    source: Source,
    now: Instant,
) -> Vec<Announcement> {
    let mut announced = Vec::new();
    for record in records {
        let announcement = from_record(record.clone());
        if !state.announcements.apply(announcement.clone(), now) {
            continue;
        }
        if source == Source::Datagram {
            state.updates.add(Update::Announcement(record), now);
        }
        announced.push(announcement);
    }
    announced
}

/// Events for those documents of which the peer holds a newer version than this
/// node, or one whose order is unknown.
fn newer_documents(
    state: &State,
    documents: Vec<DocumentVersion>,
    peer_address: SocketAddr,
) -> Vec<MembershipEvent> {
    let is_newer = |document: &DocumentVersion| {
        let held = state.documents.get(&document.name);
        let order = held.and_then(|held| document.revision().partial_cmp(held));
        order.is_none_or(Ordering::is_gt)
    };
    let newer = documents.into_iter().filter(is_newer);
    newer
        .map(|document| MembershipEvent::Document {
            name: document.name,
            version: document.version,
            era: document.era,
            peer_address,
        })
        .collect()
}
