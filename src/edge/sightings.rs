//! What one node finds out, told from node to node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::broadcast::error::RecvError;

use super::beliefs::Beliefs;
use super::upstream_log::{decode_entry, encode_entry};
use crate::clock::unix_ms;
use crate::fleet::poison::Fingerprint;
use crate::forward::forwarder::{Forwarder, NodeContext};
use crate::forward::observation::Observation;
use crate::membership::announcement::Announcement;
use crate::membership::gossip::{Membership, MembershipEvent};

/// Announcements of crashes that a request was in.
const CRASH_TOPIC: u32 = 4;
/// Announcements of upstreams that a node lost.
const LOSS_TOPIC: u32 = 5;
/// Announcements of upstreams that a node found while the store was away.
const FIND_TOPIC: u32 = 6;
/// Announcements of where a cut stream's prompt lies.
const HANDOVER_TOPIC: u32 = 7;

/// How long news of a crash is told to new nodes.
const CRASH_TTL: Duration = Duration::from_secs(120);
/// How long a handover is told; its caller comes back within moments.
const HANDOVER_TTL: Duration = Duration::from_secs(8);
/// How long a loss is told; it concerns the moment.
const LOSS_TTL: Duration = Duration::from_secs(2);
/// How long a find is told; the store tells it once it is back.
const FIND_TTL: Duration = Duration::from_secs(20);

/// Tells peers what this node finds out, and takes in what they do, until the
/// task is dropped.
pub(crate) async fn exchange(membership: Membership, forwarder: Arc<Forwarder<Beliefs>>) {
    let mut news = membership.subscribe();
    let mut own = forwarder.observations.subscribe();
    loop {
        tokio::select! {
            sighting = own.recv() => match sighting {
                Ok(sighting) => membership.announce(announcement(sighting)),
                Err(RecvError::Lagged(missed)) => log::warn!("event=sightings_missed own={missed}"),
                Err(RecvError::Closed) => return,
            },
            item = news.recv() => match item {
                Ok(MembershipEvent::Announced(announced)) => learn(&forwarder, &announced),
                Ok(_) => {}
                Err(RecvError::Lagged(missed)) => log::warn!("event=sightings_missed peers={missed}"),
                Err(RecvError::Closed) => return,
            },
        }
    }
}

fn announcement(sighting: Observation) -> Announcement {
    let (topic, key, ttl, body) = match sighting {
        Observation::Crash { request, upstream } => {
            let key = crash_key(request, &upstream);
            (CRASH_TOPIC, key, CRASH_TTL, Bytes::new())
        }
        Observation::Lost { id, data_centre } => {
            (LOSS_TOPIC, id, LOSS_TTL, data_centre.into_bytes().into())
        }
        Observation::Found(entry) => {
            let body = encode_entry(&entry);
            (FIND_TOPIC, entry.id, FIND_TTL, body)
        }
        Observation::Handover { session, upstream } => {
            let body = upstream.into_bytes().into();
            (HANDOVER_TOPIC, session, HANDOVER_TTL, body)
        }
    };
    Announcement {
        topic,
        key,
        version: unix_ms(),
        ttl,
        body,
    }
}

fn learn(forwarder: &Forwarder<Beliefs>, announced: &Announcement) {
    let now = Instant::now();
    let key = &announced.key;
    let text = || String::from_utf8_lossy(&announced.body).into_owned();
    match announced.topic {
        CRASH_TOPIC => match parse_crash_key(key) {
            Some((request, upstream)) => {
                let mut detector = forwarder.request_crashes.lock();
                detector.record_crash(request, &upstream.to_owned(), now);
            }
            None => log::error!("event=peer_unreadable what=crash key={key:?}"),
        },
        LOSS_TOPIC => {
            forwarder.directory.record_loss(&text(), key, now);
        }
        FIND_TOPIC => match decode_entry(&announced.body) {
            // With the store at hand its word goes first.
            Some(entry) if !forwarder.node.is_config_fresh() => {
                if forwarder.directory.has_earlier_incarnation(&entry) {
                    forwarder.directory.put(entry);
                }
            }
            Some(_) => {}
            None => log::error!("event=peer_unreadable what=find key={key:?}"),
        },
        HANDOVER_TOPIC => forwarder.sessions.record_prefill(key, &text(), now),
        _ => {}
    }
}

/// A request crashes several upstreams, and each is news of its own.
fn crash_key(request: Fingerprint, upstream: &str) -> String {
    format!("{request:016x}/{upstream}")
}

fn parse_crash_key(key: &str) -> Option<(Fingerprint, &str)> {
    let (request, upstream) = key.split_once('/')?;
    let request = u64::from_str_radix(request, 16).ok()?;
    Some((request, upstream))
}
