//! Intents, plans, confirmed configurations, and the versioned documents in
//! which nodes exchange them.

pub(crate) mod check_report;
pub(crate) mod config;
pub(crate) mod document;
pub(crate) mod document_exchange;
pub(crate) mod document_sync;
pub(crate) mod intent;
pub(crate) mod intent_manager;
pub(crate) mod peer_fetches;
pub(crate) mod plan;

#[cfg(test)]
mod tests;
