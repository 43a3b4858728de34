//! Asking other nodes to spend a repeated send for this one.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::id::ServiceId;
use crate::membership::gossip::Membership;
use crate::membership::message::{ReplyBody, RequestBody, RetryRequest};
use crate::membership::peer::PeerClient;

/// Nodes that are asked, one after the other.
const LENDERS_MAX: usize = 8;
/// How long one of them may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(25);

/// Where this node can ask.
#[derive(Debug)]
pub(crate) struct Lenders {
    /// The nodes.
    pub(crate) membership: Membership,
    /// Calls to them.
    pub(crate) peers: PeerClient,
}

impl Lenders {
    /// Whether some node has spent a repeated send for this one.
    pub(crate) async fn borrow(&self, service: &ServiceId) -> bool {
        let alive = self.membership.alive();
        // This node comes first in the list.
        let others: Vec<_> = alive.iter().skip(1).collect();
        let asked = others.sample(&mut rand::rng(), LENDERS_MAX).copied();
        let addresses: Vec<_> = asked.map(|member| member.peer_address).collect();
        for address in addresses {
            let question = RequestBody::Retry(RetryRequest {
                service: service.clone(),
            });
            let reply = self.peers.call(address, question, ASK_TIMEOUT).await;
            if matches!(reply, Ok(ReplyBody::Retry(reply)) if reply.is_granted) {
                return true;
            }
        }
        false
    }
}
