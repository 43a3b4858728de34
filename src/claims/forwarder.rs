//! Sends each claim's operations to the node that owns its shard.
//!
//! Ownership only reduces the number of writes. When the owner cannot be
//! reached, or two nodes both consider themselves the owner, conditional writes
//! on the version of the shard's object keep the claims correct.

use std::time::Duration;

use crate::claims::claim::{ClaimWriter, WireOperation, WireReply};
use crate::claims::group_commit::GroupCommit;
use crate::hash::rendezvous_order;
use crate::membership::gossip::Membership;
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::Member;
use crate::membership::message::{ClaimOperation, ClaimReply, ReplyBody, RequestBody};
use crate::membership::peer::PeerClient;

/// Time for the owner to reply, after which this node writes the operation.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Writes the claim operations of one node.
#[derive(Clone, Debug)]
pub(crate) struct ClaimForwarder {
    group_commit: GroupCommit,
    membership: Membership,
    peers: PeerClient,
    faults: LinkFaults,
}

impl ClaimForwarder {
    /// Makes a forwarder that writes through `group_commit` where this node
    /// owns the shard or cannot reach the owner.
    pub(crate) fn new(
        group_commit: GroupCommit,
        membership: Membership,
        peers: PeerClient,
        faults: LinkFaults,
    ) -> Self {
        Self {
            group_commit,
            membership,
            peers,
            faults,
        }
    }

    /// Applies an operation that a peer forwarded.
    pub(crate) async fn apply_locally(&self, operation: ClaimOperation) -> ClaimReply {
        self.group_commit.apply(operation).await
    }

    /// The node that owns a shard, unless it is this one.
    fn remote_owner(&self, shard: u32) -> Option<Member> {
        let alive = self.membership.alive();
        let me = self.membership.me().node;
        let candidates = alive.iter().filter(|member| !member.leaving);
        let names = candidates.map(|member| member.node.as_str());
        let owner = rendezvous_order(shard.into(), names).into_iter().next()?;
        if owner == me {
            return None;
        }
        alive.iter().find(|member| member.node == owner).cloned()
    }
}

impl ClaimWriter for ClaimForwarder {
    async fn write(&self, operation: WireOperation) -> WireReply {
        let WireOperation(operation) = operation;
        let owner = self.remote_owner(self.group_commit.shard_of(&operation.key));
        let owner = owner.filter(|o| !self.faults.is_cut(&o.peer_address));
        if let Some(owner) = owner {
            let request = RequestBody::Claim(operation.clone());
            let result = self
                .peers
                .call(owner.peer_address, request, OWNER_TIMEOUT)
                .await;
            if let Ok(ReplyBody::Claim(reply)) = result {
                return WireReply(reply);
            }
        }
        // The owner may have written the operation already. Its nonce makes the
        // second application have no effect.
        WireReply(self.group_commit.apply(operation).await)
    }
}
