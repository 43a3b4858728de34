//! This node's share of the slots of runners. A runner has a slot for each
//! generation that it can run at the same time; the nodes divide the slots among
//! themselves.

use std::sync::Arc;
use std::time::Duration;

use crate::membership::gossip::Membership;
use crate::node_state::NodeState;

/// Time between two updates of this node's share of the runners' slots.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay between a change of slots and the update of the shares, so that
/// reports of several runners are covered by one update.
const SHARE_UPDATE_DELAY: Duration = Duration::from_millis(5);
/// Number of requests added to the demand of every node when slots are divided
/// among the nodes, so that a node without demand gets a share and can start its
/// first request.
const BASE_DEMAND_PER_NODE: usize = 1;

/// Limits the generations that this node runs at the same time to its share of
/// each model's slots. The share follows from the node's own demand (its requests
/// in flight and queued) and from the demand that the other nodes announce.
pub(super) async fn update_slot_shares(state: Arc<NodeState>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SHARE_UPDATE_INTERVAL) => {}
            // A node that has just started knows few runners. Until the next
            // regular update it would refuse callers for lack of slots.
            () = state.fleet.wait_for_slot_change() => tokio::time::sleep(SHARE_UPDATE_DELAY).await,
        }
        let own = state.admission.demand_count();
        state.membership.set_demand(own as u32);
        let Some(config) = state.config.load_full() else {
            continue;
        };
        let shares = SlotShares::new(&state.membership, own);
        for model in config.intent().models.keys() {
            let slots = state
                .fleet
                .slot_count(model, &config.servable_versions(model));
            state
                .admission
                .set_slots(model, shares.slots_of(slots as usize));
        }
    }
}

/// The demand (requests in flight and queued) of this node and of all others,
/// from which this node's share of a model's slots follows.
struct SlotShares {
    own_demand: usize,
    others_demand: usize,
    node_count: usize,
}

impl SlotShares {
    fn new(membership: &Membership, own_demand: usize) -> Self {
        let me = membership.me().node;
        let alive = membership.alive();
        let others = alive.iter().filter(|member| member.node != me);
        Self {
            own_demand,
            others_demand: others.map(|member| member.demand_count as usize).sum(),
            node_count: alive.len(),
        }
    }

    /// The share of `slot_count` slots in proportion to this node's demand, or
    /// all slots that the demand of the other nodes leaves free if those are
    /// more.
    fn slots_of(&self, slot_count: usize) -> usize {
        let base_demand = self.node_count * BASE_DEMAND_PER_NODE;
        let total_demand = self.own_demand + self.others_demand + base_demand;
        let own_part = (self.own_demand + BASE_DEMAND_PER_NODE) as f64 / total_demand as f64;
        let by_demand = (slot_count as f64 * own_part).round() as usize;
        let left_free = slot_count.saturating_sub(self.others_demand);
        // At least one if there are any, so that a node can always start a
        // request.
        by_demand.max(left_free).max(usize::from(slot_count > 0))
    }
}
