//! Borrows retries from other nodes. Each node may spend a share of the retries
//! that are allowed over all nodes together; a node that has spent its share
//! asks other nodes to spend one of theirs for it.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::id::ServiceId;
use crate::membership::gossip::Membership;
use crate::membership::message::{ReplyBody, RequestBody, RetryRequest};
use crate::membership::peer::PeerClient;

/// Number of nodes that are asked for a retry, one after the other.
const PEERS_ASKED_MAX: usize = 8;
/// Time-out of the request to one node.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(25);

/// Access to other nodes' shares of the retry budget.
#[derive(Debug)]
pub(crate) struct PeerRetryBudget {
    /// Lists the other nodes.
    pub(crate) membership: Membership,
    /// Client for requests to the other nodes.
    pub(crate) peers: PeerClient,
}

impl PeerRetryBudget {
    /// Asks a few random nodes, one after the other, to spend a retry from their
    /// shares on behalf of this node; true as soon as one has done so.
    pub(crate) async fn borrow(&self, service: &ServiceId) -> bool {
        let alive = self.membership.alive();
        // This node comes first in the list.
        let others: Vec<_> = alive.iter().skip(1).collect();
        let asked = others.sample(&mut rand::rng(), PEERS_ASKED_MAX).copied();
        let addresses: Vec<_> = asked.map(|member| member.peer_address).collect();
        for address in addresses {
            let request = RequestBody::Retry(RetryRequest {
                service: service.clone(),
            });
            let reply = self.peers.call(address, request, REQUEST_TIMEOUT).await;
            if matches!(reply, Ok(ReplyBody::Retry(reply)) if reply.is_granted) {
                return true;
            }
        }
        false
    }
}
