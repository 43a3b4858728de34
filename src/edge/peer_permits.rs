//! Asks the node that keeps the limit of an upstream for permits.

use std::sync::Arc;
use std::time::Duration;

use crate::forward::upstream_permits::UpstreamPermits;
use crate::hash::{Fnv, rendezvous_order};
use crate::id::UpstreamId;
use crate::membership::gossip::Membership;
use crate::membership::members::Member;
use crate::membership::message::{PermitReply, PermitRequest, ReplyBody, RequestBody};
use crate::membership::peer::PeerClient;
use crate::policy::upstream_limit::{Grant, Grantor, PermitDemand, Rate};

/// Time-out of the request to one node.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(40);

/// Access to the permits that this node and its peers grant.
#[derive(Debug)]
pub(crate) struct PeerPermits {
    pub(crate) membership: Membership,
    pub(crate) peers: PeerClient,
    /// The permits that this node grants.
    pub(crate) own: Arc<UpstreamPermits>,
}

impl PeerPermits {
    /// Asks the coordinator for permits, and the standby if the coordinator does not answer.
    /// Returns none if neither does.
    pub(crate) async fn request(
        &self,
        upstream: &UpstreamId,
        demand: PermitDemand,
    ) -> Option<Grant> {
        let key = Fnv::new().text(upstream).finish();
        let grantors = [Grantor::Coordinator, Grantor::Standby];
        for (member, grantor) in self.first_two(key).into_iter().zip(grantors) {
            let granted = self.request_from(&member, upstream, demand, grantor).await;
            if granted.is_some() {
                return granted;
            }
        }
        None
    }

    /// Whether this node comes first in the order of the nodes for a key.
    pub(crate) fn is_first(&self, key: u64) -> bool {
        let order = self.first_two(key);
        let first = order.first();
        first.is_none_or(|first| first.node == self.membership.me().node)
    }

    /// The first two of the live nodes that are not leaving, in the order in which a
    /// task with this key falls to them.
    fn first_two(&self, key: u64) -> Vec<Member> {
        let mut staying = self.membership.alive();
        staying.retain(|member| !member.leaving);
        let names = staying.iter().map(|member| member.node.as_str());
        let order = rendezvous_order(key, names).into_iter();
        let members = order
            .take(2)
            .filter_map(|name| staying.iter().find(|m| m.node == name));
        members.cloned().collect()
    }

    async fn request_from(
        &self,
        member: &Member,
        upstream: &UpstreamId,
        demand: PermitDemand,
        grantor: Grantor,
    ) -> Option<Grant> {
        if member.node == self.membership.me().node {
            return Some(self.own.grant(upstream, demand, grantor));
        }
        let request = RequestBody::Permit(PermitRequest {
            upstream: upstream.clone(),
            rate_per_1000_s: demand.rate.per_1000_s,
            wanted_count: demand.wanted_count,
            refused_count: demand.refused_count,
            is_standby: grantor == Grantor::Standby,
        });
        let address = member.peer_address;
        let reply = self.peers.call(address, request, REQUEST_TIMEOUT).await;
        match reply {
            Ok(ReplyBody::Permit(reply)) => Some(from_reply(reply)),
            _ => None,
        }
    }

    /// Answers another node.
    pub(crate) fn answer(&self, request: &PermitRequest) -> PermitReply {
        let demand = PermitDemand {
            rate: Rate {
                per_1000_s: request.rate_per_1000_s,
            },
            wanted_count: request.wanted_count,
            refused_count: request.refused_count,
        };
        let grantor = if request.is_standby {
            Grantor::Standby
        } else {
            Grantor::Coordinator
        };
        let grant = self.own.grant(&request.upstream, demand, grantor);
        PermitReply {
            granted_count: grant.count,
            wait_ms: grant.wait.as_millis() as u64,
            backlog_ms: grant.backlog.as_millis() as u64,
        }
    }
}

fn from_reply(reply: PermitReply) -> Grant {
    Grant {
        count: reply.granted_count,
        wait: Duration::from_millis(reply.wait_ms),
        backlog: Duration::from_millis(reply.backlog_ms),
    }
}
