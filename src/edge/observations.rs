//! Tells peers what this node observed: upstreams that crashed as they began a
//! request, that are unreachable, or that were discovered while the store was
//! unavailable; and, before a stopping node aborts a stream, which upstream has
//! the prompt cached (a handover). Applies what peers tell.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::broadcast::error::RecvError;

use super::cluster_view::ClusterView;
use super::upstream_log::{decode_entry, encode_entry};
use crate::clock::unix_ms;
use crate::forward::forwarder::{Forwarder, NodeContext};
use crate::forward::observation::Observation;
use crate::id::{DataCentreId, NodeId, ServiceId, UpstreamId};
use crate::membership::announcement::Announcement;
use crate::membership::crash_announcement::{
    CRASH_TOPIC, from_clearance, from_crash, is_clearance_topic, to_clearance, to_crash,
};
use crate::membership::gossip::{Membership, MembershipEvent};
use crate::policy::upstream_limit::{PEER_LIMIT_TTL, Rate};

/// Topic of upstreams that a node can no longer reach.
pub(super) const LOSS_TOPIC: u32 = 5;
/// Topic of upstreams that a node discovered while the store was unavailable.
pub(super) const DISCOVERY_TOPIC: u32 = 6;
/// Topic of the upstreams that have the prompts of aborted streams cached.
pub(super) const HANDOVER_TOPIC: u32 = 7;

/// Topic of the limits that upstreams name.
pub(super) const LIMIT_TOPIC: u32 = 9;
/// Topic of the services that a node can't reach.
pub(super) const UNREACHABLE_TOPIC: u32 = 10;

/// Lifetime of a handover announcement; the caller retries within seconds.
const HANDOVER_TTL: Duration = Duration::from_secs(8);
/// Lifetime of a loss announcement. It is short because a loss matters only
/// for the detection of outages in progress.
const LOSS_TTL: Duration = Duration::from_secs(2);
/// Lifetime of a discovery announcement. Once the store is available again, it
/// lists the upstream itself.
const DISCOVERY_TTL: Duration = Duration::from_secs(20);

/// Lifetime of the announcement of services that a node can't reach, which the node
/// repeats while it lasts.
const UNREACHABLE_TTL: Duration = Duration::from_secs(30);
/// Separates the services in that announcement.
const SERVICE_SEPARATOR: char = '\n';

/// Announces this node's observations to peers and applies those of peers. Ends
/// with the runtime: it holds senders of both event channels, which thus stay
/// open.
pub(crate) async fn exchange(membership: Membership, forwarder: Arc<Forwarder<ClusterView>>) {
    let mut events = membership.subscribe();
    let mut own = forwarder.observations.subscribe();
    loop {
        tokio::select! {
            observation = own.recv() => match observation {
                Ok(Observation::Lost { id, data_centre }) => {
                    let (membership, forwarder) = (membership.clone(), forwarder.clone());
                    tokio::spawn(announce_loss(membership, forwarder, id, data_centre));
                }
                Ok(observation) => announce(&membership, &forwarder, observation),
                Err(RecvError::Lagged(missed)) => log::warn!("event=sightings_missed own={missed}"),
                Err(RecvError::Closed) => return,
            },
            event = events.recv() => match event {
                Ok(MembershipEvent::Announced(announcement)) => apply(&forwarder, &announcement),
                Ok(_) => {}
                Err(RecvError::Lagged(missed)) => log::warn!("event=sightings_missed peers={missed}"),
                Err(RecvError::Closed) => return,
            },
        }
    }
}

/// Announces that an upstream is lost, unless this node reaches no other one of its
/// service: then the paths of the node are lost, and not the upstream.
async fn announce_loss(
    membership: Membership,
    forwarder: Arc<Forwarder<ClusterView>>,
    id: UpstreamId,
    data_centre: DataCentreId,
) {
    if let Some(upstream) = forwarder.directory.get(&id)
        && !forwarder.reaches_another(&upstream).await
    {
        return;
    }
    let observation = Observation::Lost { id, data_centre };
    announce(&membership, &forwarder, observation);
}

/// Announces an observation of this node to its peers.
fn announce(membership: &Membership, forwarder: &Forwarder<ClusterView>, observation: Observation) {
    let announcement = to_announcement(&membership.me().node, observation);
    if announcement.topic == UNREACHABLE_TOPIC {
        // This node answers address lookups too.
        apply(forwarder, &announcement);
    }
    membership.announce(announcement);
}

fn to_announcement(own_node: &NodeId, observation: Observation) -> Announcement {
    let (topic, key, ttl, body) = match observation {
        Observation::Crash(crash) => return from_crash(&crash),
        Observation::Cleared(clearance) => return from_clearance(clearance),
        Observation::Lost { id, data_centre } => {
            (LOSS_TOPIC, id, LOSS_TTL, data_centre.into_bytes().into())
        }
        Observation::Unreachable(services) => {
            let services: Vec<ServiceId> = services.into_iter().collect();
            let body = services.join(&SERVICE_SEPARATOR.to_string());
            let body = body.into_bytes().into();
            (UNREACHABLE_TOPIC, own_node.clone(), UNREACHABLE_TTL, body)
        }
        Observation::Limited { id, rate } => {
            let body = rate.per_1000_s.to_be_bytes().to_vec().into();
            // All nodes that read the limit within a second announce the same version.
            return Announcement {
                topic: LIMIT_TOPIC,
                key: id,
                version: unix_ms() / 1_000,
                ttl: PEER_LIMIT_TTL,
                body,
            };
        }
        Observation::Discovered(entry) => {
            let body = encode_entry(&entry);
            (DISCOVERY_TOPIC, entry.id, DISCOVERY_TTL, body)
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

fn apply(forwarder: &Forwarder<ClusterView>, announcement: &Announcement) {
    let now = Instant::now();
    let key = &announcement.key;
    let body_text = || String::from_utf8_lossy(&announcement.body).into_owned();
    match announcement.topic {
        CRASH_TOPIC => match to_crash(announcement) {
            Some(crash) => forwarder.request_crashes.apply_crash(crash),
            None => log::error!("event=peer_unreadable what=crash key={key:?}"),
        },
        topic if is_clearance_topic(topic) => match to_clearance(announcement) {
            Some(clearance) => forwarder.request_crashes.apply_clearance(clearance),
            None => log::error!("event=peer_unreadable what=clearance key={key:?}"),
        },
        LOSS_TOPIC => {
            forwarder.directory.record_loss(&body_text(), key, now);
        }
        DISCOVERY_TOPIC => match decode_entry(&announcement.body) {
            // A discovered upstream is used only while the store does not answer;
            // otherwise the store's list decides.
            Some(entry) if !forwarder.node.is_store_reachable() => {
                if forwarder.directory.has_earlier_incarnation(&entry) {
                    forwarder.directory.put(entry);
                }
            }
            Some(_) => {}
            None => log::error!("event=peer_unreadable what=find key={key:?}"),
        },
        LIMIT_TOPIC => match announcement.body.as_ref().try_into() {
            Ok(rate) => {
                let rate = Rate {
                    per_1000_s: u64::from_be_bytes(rate),
                };
                forwarder.directory.record_limit_of_peer(key, rate);
            }
            Err(_) => log::error!("event=peer_unreadable what=limit key={key:?}"),
        },
        UNREACHABLE_TOPIC => {
            let text = body_text();
            let services = text.split(SERVICE_SEPARATOR).filter(|s| !s.is_empty());
            let services = services.map(str::to_owned).collect();
            let ttl = announcement.ttl;
            forwarder
                .node
                .relay()
                .record_cut(key.clone(), services, ttl);
        }
        HANDOVER_TOPIC => forwarder.sessions.record_prefill(key, &body_text(), now),
        _ => {}
    }
}
