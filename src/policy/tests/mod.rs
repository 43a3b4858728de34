//! Tests that replay the failures which the decisions have to handle.

mod engine_speed;
mod entry_expiry;
mod failure_response;
mod freshness;
mod liveness;
mod outage;
mod placement;
mod poison_detector;
mod resume_order;
mod retry_budget_share;
mod send_probe;
mod store_contact;
mod upstream_limit;
mod upstream_reach;
mod upstream_rest;
mod watchers;
