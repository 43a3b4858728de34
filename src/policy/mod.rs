//! Decisions of the forwarder, as functions and types that do no I/O: the current
//! time and random numbers are passed in.
//!
//! Each module describes the failures that it handles; `tests` replays them.

pub(crate) mod address_claim;
pub(crate) mod answer_class;
pub(crate) mod connection_shares;
pub(crate) mod crash_evidence;
pub(crate) mod crash_time;
pub(crate) mod engine_speed;
pub(crate) mod entry_expiry;
pub(crate) mod failure_response;
pub(crate) mod freshness;
pub(crate) mod hedging;
pub(crate) mod liveness;
pub(crate) mod memory_shares;
pub(crate) mod outage;
pub(crate) mod placement;
pub(crate) mod poison_detector;
pub(crate) mod priority_class;
pub(crate) mod reread_queue;
pub(crate) mod resume_order;
pub(crate) mod retry_budget_share;
pub(crate) mod rollout;
pub(crate) mod rollout_evidence;
pub(crate) mod send_decision;
pub(crate) mod send_probe;
pub(crate) mod sound_parts;
pub(crate) mod startup_wait;
pub(crate) mod store_contact;
pub(crate) mod store_reachability;
pub(crate) mod upstream_limit;
pub(crate) mod upstream_notices;
pub(crate) mod upstream_reach;
pub(crate) mod upstream_rest;
pub(crate) mod watchers;

#[cfg(test)]
mod tests;
