//! The API for operators, and its client.

pub(crate) mod client;
pub(crate) mod node_version;
pub(crate) mod operator_api;
