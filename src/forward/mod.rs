//! The routed forwarder: one call's way to an upstream and back.
//!
//! `docs/OPERATIONS.md` follows failed calls through their log lines, and
//! `docs/RESUME.md` streams from one upstream to the next.

pub(crate) mod answer_body;
pub(crate) mod attempt;
pub(crate) mod connection;
pub(crate) mod crashes;
pub(crate) mod directory;
pub(crate) mod forwarder;
pub(crate) mod plain_call;
pub(crate) mod probe;
pub(crate) mod request;
pub(crate) mod retry_budgets;
pub(crate) mod route_table;
pub(crate) mod run_replica;
pub(crate) mod send_history;
pub(crate) mod sessions;
pub(crate) mod sighting;
pub(crate) mod stream_call;
pub(crate) mod stream_relay;
pub(crate) mod successor;
pub(crate) mod upstream;

#[cfg(test)]
mod tests;
