//! The runners (VMs with a model engine) and service instances that a node
//! forwards to, and the detection of requests that crash runners.

pub(crate) mod canary;
pub(crate) mod crash_tracker;
pub(crate) mod in_flight;
pub(crate) mod part_crashes;
pub(crate) mod poison;
pub(crate) mod ranking;
pub(crate) mod retry_budget;
pub(crate) mod runner;
mod runner_state;
pub(crate) mod runner_watch;
pub(crate) mod service;
pub(crate) mod table;

#[cfg(test)]
mod tests;
