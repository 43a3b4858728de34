//! Decides whether this node reaches any upstream of a service.
//!
//! A node may be partitioned from all upstreams of a service while callers, the store and the
//! other nodes still reach it. Failures of calls only raise the suspicion: new
//! connections, opened to find out, decide. Connections that were open before the
//! partition may go on working, so an answer on one of them proves nothing.
//! `docs/REACH.md` has the design.

use std::collections::BTreeSet;

use crate::id::UpstreamId;

/// Number of upstreams that must fail before this node suspects itself. A single
/// one may be down.
const SUSPECT_UPSTREAMS_MIN: usize = 2;
/// Successive rounds of probes that must succeed until a cut node counts as
/// connected again, so that a node whose links flap does not change its state
/// with them.
const RETURN_ROUNDS: u32 = 2;

/// One round of new connections to random upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ProbeRound {
    /// Upstreams to which a connection was opened or tried.
    pub(crate) tried_count: usize,
    /// Those that accepted and kept it.
    pub(crate) reached_count: usize,
}

/// A change of what this node reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReachChange {
    /// No upstream can be reached any more.
    Cut,
    /// Upstreams can be reached again.
    Returned,
}

/// Whether this node reaches upstreams of one service.
#[derive(Debug, Default)]
pub(crate) struct UpstreamReach {
    is_cut: bool,
    /// Upstreams that failed since a new connection to any upstream worked.
    failed: BTreeSet<UpstreamId>,
    /// Successive rounds of probes that succeeded while the node was cut.
    successful_rounds: u32,
}

impl UpstreamReach {
    /// Whether the last probes reached no upstream.
    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Whether the node is cut and its last probes reached no upstream.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_cut && self.successful_rounds == 0
    }

    /// Records that a call failed at an upstream.
    pub(crate) fn record_failure(&mut self, id: &UpstreamId) {
        self.failed.insert(id.clone());
    }

    /// Records that an upstream answered on a new connection.
    pub(crate) fn record_connected(&mut self) {
        self.failed.clear();
    }

    /// Whether failures suggest that none of the service's `known_count` upstreams
    /// can be reached.
    pub(crate) fn is_suspected(&self, known_count: usize) -> bool {
        self.failed.len() >= SUSPECT_UPSTREAMS_MIN.min(known_count.max(1))
    }

    /// Records a round of probes.
    pub(crate) fn record_round(&mut self, round: ProbeRound) -> Option<ReachChange> {
        if round.tried_count == 0 {
            return None;
        }
        if round.reached_count == 0 {
            self.successful_rounds = 0;
            return (!std::mem::replace(&mut self.is_cut, true)).then_some(ReachChange::Cut);
        }
        self.failed.clear();
        if !self.is_cut {
            return None;
        }
        self.successful_rounds += 1;
        if self.successful_rounds < RETURN_ROUNDS {
            return None;
        }
        self.is_cut = false;
        self.successful_rounds = 0;
        Some(ReachChange::Returned)
    }
}
