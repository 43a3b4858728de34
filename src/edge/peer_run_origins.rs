//! Keeps the origins of runs at other nodes, so that a caller whose node is lost
//! can resume its stream through another one.
//!
//! Rendezvous hashing of the run's key chooses the nodes that keep its origin,
//! first in distinct data centres, because a data centre fails as a whole. The
//! cost of a stream thus does not depend on the number of nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::forward::run_origin::{OriginSearch, RunKey, RunOrigin};
use crate::hash::rendezvous_order;
use crate::membership::gossip::Membership;
use crate::membership::members::Member;
use crate::membership::message::{ReplyBody, RequestBody, RunOriginRecord, RunOriginRequest};
use crate::membership::peer::PeerClient;

/// Number of other nodes that keep the origin of a run.
pub(crate) const COPY_COUNT: usize = 3;
/// Number of nodes that are asked for an origin, or tried until enough of them
/// keep it. Nodes differ in which others they know.
const PEERS_ASKED_MAX: usize = 6;
/// Time-out of the request to keep an origin.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that a caller waits for the origin of its stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time that a caller waits for other nodes to look in the store.
const FIND_STORED_TIMEOUT: Duration = Duration::from_millis(500);

/// Access to the origins that other nodes keep.
#[derive(Clone, Debug)]
pub(crate) struct PeerRunOrigins {
    /// Lists the other nodes.
    pub(crate) membership: Membership,
    /// Client for requests to the other nodes.
    pub(crate) peers: PeerClient,
}

impl PeerRunOrigins {
    /// Has other nodes keep an origin. Where one does not reply, the next in the
    /// order is asked instead.
    pub(crate) async fn store(&self, key: RunKey, origin: RunOrigin) {
        let mut keepers = self.keepers(key).into_iter();
        let record = to_record(origin);
        let store = |address| {
            let request = RunOriginRequest {
                key,
                origin: Some(record.clone()),
                ..RunOriginRequest::default()
            };
            self.peers
                .call(address, RequestBody::RunOrigin(request), STORE_TIMEOUT)
        };
        let mut sent: FuturesUnordered<_> = keepers.by_ref().take(COPY_COUNT).map(store).collect();
        while let Some(reply) = sent.next().await {
            if reply.is_err()
                && let Some(address) = keepers.next()
            {
                sent.push(store(address));
            }
        }
    }

    /// Asks the nodes that may keep the origin of a run, all at once.
    pub(crate) async fn find(&self, key: RunKey) -> Option<RunOrigin> {
        match self.ask(key, None, FIND_TIMEOUT).await {
            OriginSearch::Found(origin) => Some(origin),
            OriginSearch::Absent(_) | OriginSearch::Unknown => None,
        }
    }

    /// Has the same nodes look for the origin in the store.
    pub(crate) async fn find_stored(&self, key: RunKey, service: &str) -> OriginSearch {
        self.ask(key, Some(service), FIND_STORED_TIMEOUT).await
    }

    /// Asks the nodes that may keep the origin. They look in the store as well if the
    /// service of the run is given.
    async fn ask(
        &self,
        key: RunKey,
        stored_service: Option<&str>,
        timeout: Duration,
    ) -> OriginSearch {
        let request = RunOriginRequest {
            key,
            origin: None,
            reads_store: stored_service.is_some(),
            service: stored_service.unwrap_or_default().to_owned(),
        };
        let ask = |address| {
            let request = RequestBody::RunOrigin(request.clone());
            self.peers.call(address, request, timeout)
        };
        let keepers = self.keepers(key).into_iter();
        let mut replies: FuturesUnordered<_> = keepers.map(ask).collect();
        let mut search = OriginSearch::Unknown;
        while let Some(reply) = replies.next().await {
            let Ok(ReplyBody::RunOrigin(reply)) = reply else {
                continue;
            };
            if let Some(record) = reply.origin {
                return OriginSearch::Found(from_record(record));
            }
            if reply.has_read_store {
                search = OriginSearch::Absent(reply.served_versions.into_iter().collect());
            }
        }
        search
    }

    fn keepers(&self, key: RunKey) -> Vec<SocketAddr> {
        let alive = self.membership.alive();
        // This node comes first in the list.
        let others: Vec<&Member> = alive.iter().skip(1).filter(|m| !m.leaving).collect();
        keepers_among(key, &others)
    }
}

/// Orders the nodes for a key: the first of each data centre, then the rest.
pub(crate) fn keepers_among(key: RunKey, nodes: &[&Member]) -> Vec<SocketAddr> {
    let by_name: BTreeMap<&str, &Member> = nodes.iter().map(|m| (m.node.as_str(), *m)).collect();
    let order = rendezvous_order(key, by_name.keys().copied());
    let members = order.iter().filter_map(|name| by_name.get(name).copied());
    let mut data_centres = BTreeSet::new();
    let (first, rest): (Vec<&Member>, Vec<&Member>) =
        members.partition(|member| data_centres.insert(member.data_centre.as_str()));
    let ordered = first.into_iter().chain(rest).take(PEERS_ASKED_MAX);
    ordered.map(|member| member.peer_address).collect()
}

/// Encodes an origin for another node.
pub(crate) fn to_record(origin: RunOrigin) -> RunOriginRecord {
    RunOriginRecord {
        service: origin.service,
        software_version: origin.software_version,
        upstream: origin.upstream,
        born_unix_ms: origin.born_unix_ms,
    }
}

/// Decodes an origin from another node.
pub(crate) fn from_record(record: RunOriginRecord) -> RunOrigin {
    RunOrigin {
        service: record.service,
        software_version: record.software_version,
        upstream: record.upstream,
        born_unix_ms: record.born_unix_ms,
    }
}
