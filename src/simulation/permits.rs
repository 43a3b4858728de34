//! Simulates nodes that send to one upstream with a limit, and its coordinator.

use std::time::{Duration, Instant};

use crate::policy::send_decision::SendDecision;
use crate::policy::upstream_limit::{Grantor, PermitBucket, Rate, UpstreamLimit};

/// Time between two calls of a node.
pub(crate) const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// What happened in each interval of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct PermitLog {
    /// Sends in each interval.
    pub(crate) sent: Vec<usize>,
    /// Requests to the coordinator, in all.
    pub(crate) ask_count: usize,
}

/// Simulates `node_count` nodes that get a call for the upstream in each of
/// `interval_count` intervals.
pub(crate) fn simulate_permits(node_count: usize, limit: Rate, interval_count: u32) -> PermitLog {
    let start = Instant::now();
    let mut coordinator = PermitBucket::new(start);
    let mut nodes: Vec<UpstreamLimit> = (0..node_count).map(|_| UpstreamLimit::default()).collect();
    for node in &mut nodes {
        node.record_named(limit, start);
    }
    let mut log = PermitLog::default();
    for interval in 1..=interval_count {
        let now = start + CALL_INTERVAL * interval;
        let mut sent_count = 0;
        for (number, node) in nodes.iter_mut().enumerate() {
            let mut decision = node.decide(now);
            if let SendDecision::Ask(demand) = decision {
                log.ask_count += 1;
                let draw = (number * 7 % node_count) as f64 / node_count as f64;
                let grant = coordinator.grant(demand, Grantor::Coordinator, now);
                decision = node.apply_grant(grant, draw, now);
            }
            sent_count += usize::from(decision == SendDecision::Send);
        }
        log.sent.push(sent_count);
    }
    log
}
