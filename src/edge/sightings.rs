//! Losses and finds of upstreams, and streams that a leaving node hands over,
//! told from node to node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::broadcast::error::RecvError;

use super::beliefs::Beliefs;
use super::upstream_log::{decode_entry, encode_entry};
use crate::clock::unix_ms;
use crate::forward::directory::Sighting;
use crate::forward::forwarder::{Forwarder, Surroundings};
use crate::membership::announcement::Announcement;
use crate::membership::gossip::{Membership, News};

/// Announcements of upstreams that a node lost.
const LOSS_TOPIC: u32 = 5;
/// Announcements of upstreams that a node found while the store was away.
const FIND_TOPIC: u32 = 6;
/// Announcements of where a cut stream's prompt lies.
const HANDOVER_TOPIC: u32 = 7;
/// How long a handover is told; its caller comes back within moments.
const HANDOVER_TTL: Duration = Duration::from_secs(8);
/// How long a loss is told; it concerns the moment.
const LOSS_TTL: Duration = Duration::from_secs(2);
/// How long a find is told; the store tells it once it is back.
const FIND_TTL: Duration = Duration::from_secs(20);

/// Tells peers what this node sees, and takes in what they see, until the
/// task is dropped.
pub(crate) async fn exchange(membership: Membership, forwarder: Arc<Forwarder<Beliefs>>) {
    let mut news = membership.subscribe();
    let mut own = forwarder.directory.sightings();
    let mut handovers = forwarder.sessions.handovers();
    loop {
        tokio::select! {
            handover = handovers.recv() => match handover {
                Ok((session, upstream)) => membership.announce(Announcement {
                    topic: HANDOVER_TOPIC,
                    key: session,
                    version: unix_ms(),
                    ttl: HANDOVER_TTL,
                    body: upstream.into_bytes().into(),
                }),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
            sighting = own.recv() => match sighting {
                Ok(sighting) => membership.announce(announcement(&sighting)),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
            item = news.recv() => match item {
                Ok(News::Announced(announced)) => learn(&forwarder, &announced),
                Ok(_) | Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
        }
    }
}

fn announcement(sighting: &Sighting) -> Announcement {
    let (topic, key, ttl, body) = match sighting {
        Sighting::Lost { id, data_centre } => {
            let body = Bytes::copy_from_slice(data_centre.as_bytes());
            (LOSS_TOPIC, id.clone(), LOSS_TTL, body)
        }
        Sighting::Found(entry) => (FIND_TOPIC, entry.id.clone(), FIND_TTL, encode_entry(entry)),
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
    let directory = &forwarder.directory;
    match announced.topic {
        LOSS_TOPIC => {
            let data_centre = String::from_utf8_lossy(&announced.body).into_owned();
            directory.heard_of_loss(&data_centre, &announced.key, Instant::now());
        }
        FIND_TOPIC => match decode_entry(&announced.body) {
            // With the store at hand its word goes first.
            Some(entry) if !forwarder.node.is_config_fresh() => {
                if directory.has_earlier_life(&entry) {
                    directory.put(entry);
                }
            }
            Some(_) => {}
            None => log::error!("event=peer_unreadable what=find key={:?}", announced.key),
        },
        HANDOVER_TOPIC => {
            let upstream = String::from_utf8_lossy(&announced.body).into_owned();
            let sessions = &forwarder.sessions;
            sessions.read_at(&announced.key, &upstream, Instant::now());
        }
        _ => {}
    }
}
