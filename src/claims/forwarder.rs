//! Sends each operation on a claim to the node that owns the claim's shard.
//!
//! A shard is one stored object with a part of all claims. Rendezvous hashing
//! chooses its owner among the live nodes that are not draining, so that one node
//! writes the object instead of all. Ownership only reduces the number of writes.
//! When the owner cannot be reached, or two nodes both consider themselves the
//! owner, conditional writes on the version of the shard's object keep the claims
//! correct.

use std::time::Duration;

use crate::claims::claim::{ClaimWriter, WireOperation, WireReply};
use crate::claims::group_commit::GroupCommit;
use crate::hash::rendezvous_order;
use crate::membership::gossip::Membership;
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::Member;
use crate::membership::message::{ClaimOperation, ClaimReply, ReplyBody, RequestBody};
use crate::membership::peer::PeerClient;

/// Time for the owner to reply, after which this node writes the operation
/// itself.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Writes the operations on claims that one node makes, through the owner of the
/// shard or by itself.
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

    /// Writes an operation that a peer forwarded, whether or not this node owns
    /// the shard.
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
        // The owner may have written the operation already. By the operation's
        // nonce the second write is recognised and has no effect.
        WireReply(self.group_commit.apply(operation).await)
    }
}
