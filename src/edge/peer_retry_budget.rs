//! Borrows retries from the budgets of other nodes.

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

/// Access to the retry budgets of other nodes.
#[derive(Debug)]
pub(crate) struct PeerRetryBudget {
    /// Lists the other nodes.
    pub(crate) membership: Membership,
    /// Client for requests to them.
    pub(crate) peers: PeerClient,
}

impl PeerRetryBudget {
    /// Asks a few random nodes to spend a retry of their own budgets on behalf
    /// of this node; true once one has done so.
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
