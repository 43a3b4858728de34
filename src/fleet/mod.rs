//! The upstreams of the product's own deployments, and what is held against requests.

pub(crate) mod crash_tracker;
pub(crate) mod poison;
pub(crate) mod retry_budget;
pub(crate) mod runner;
pub(crate) mod runner_watch;
pub(crate) mod service;
pub(crate) mod table;
pub(crate) mod trial;

#[cfg(test)]
mod tests;
