//! What operators meet, and their client.

pub(crate) mod client;
pub(crate) mod operator_api;
