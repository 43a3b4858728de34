//! An entry node, which accepts callers' requests and forwards them to upstreams
//! on the platform: the node's servers for callers, peers and status queries,
//! and the tasks that keep its configuration and its list of upstreams up to
//! date.

pub(crate) mod caller_handler;
pub(crate) mod cluster_view;
pub(crate) mod drain;
pub(crate) mod log_writer;
pub(crate) mod node;
pub(crate) mod observations;
pub(crate) mod options;
pub(crate) mod peer_api;
pub(crate) mod peer_permits;
pub(crate) mod peer_relay;
pub(crate) mod peer_retry_budget;
pub(crate) mod peer_run_origins;
pub(crate) mod relay_api;
pub(crate) mod rollout_messages;
pub(crate) mod rollout_watch;
pub(crate) mod rollouts;
pub(crate) mod run_origin_log;
pub(crate) mod served_versions;
pub(crate) mod settings;
pub(crate) mod status_api;
pub(crate) mod store_watch;
pub(crate) mod stored_crashes;
pub(crate) mod stored_run_origin_reader;
pub(crate) mod stored_run_origins;
pub(crate) mod unanswered_call;
pub(crate) mod upstream_log;

#[cfg(test)]
mod tests;
