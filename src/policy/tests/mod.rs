//! Tests that replay the failures which the decisions have to handle.

mod connection_shares;
mod engine_speed;
mod entry_expiry;
mod failure_response;
mod freshness;
mod hedging;
mod liveness;
mod memory_shares;
mod outage;
mod placement;
mod poison_detector;
mod resume_order;
mod retry_budget_share;
mod rollout;
mod rollout_scene;
mod send_probe;
mod startup_wait;
mod store_contact;
mod upstream_limit;
mod upstream_reach;
mod upstream_rest;
mod watchers;
