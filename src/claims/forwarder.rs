//! Sends each claim's operations to the node that owns its shard.
//!
//! Ownership only makes writes fewer: where the owner cannot be asked, or two
//! nodes believe they own a shard, the object's version decides.

use std::time::Duration;

use crate::claims::claim::{ClaimWriter, WireOperation, WireReply};
use crate::claims::group_commit::GroupCommit;
use crate::hash::rendezvous_order;
use crate::membership::gossip::Membership;
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::Member;
use crate::membership::message::{ClaimOperation, ClaimReply, Question, ReplyBody};
use crate::membership::peer::PeerClient;

/// How long an owner may take before the operation is written here.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Carries out claims for one node.
#[derive(Clone, Debug)]
pub(crate) struct ClaimForwarder {
    group_commit: GroupCommit,
    membership: Membership,
    peers: PeerClient,
    faults: LinkFaults,
}

impl ClaimForwarder {
    /// Makes a desk over this node's group_commit and its peers.
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

    /// Carries out an operation that a peer sent here.
    pub(crate) async fn apply_here(&self, operation: ClaimOperation) -> ClaimReply {
        self.group_commit.apply(operation).await
    }

    fn owner(&self, shard: u32) -> Option<Member> {
        let alive = self.membership.alive();
        let me = self.membership.me().node;
        let staying = alive.iter().filter(|member| !member.leaving);
        let names = staying.map(|member| member.node.as_str());
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
        let owner = self.owner(self.group_commit.shard_of(&operation.key));
        let owner = owner.filter(|o| !self.faults.is_cut(&o.peer_address));
        if let Some(owner) = owner {
            let question = Question::Claim(operation.clone());
            let asked = self
                .peers
                .ask(owner.peer_address, question, OWNER_TIMEOUT)
                .await;
            if let Ok(ReplyBody::Claim(reply)) = asked {
                return WireReply(reply);
            }
        }
        // Writing what the owner may have written is the same operation: its
        // mark makes the second application change nothing.
        WireReply(self.group_commit.apply(operation).await)
    }
}
