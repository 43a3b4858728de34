//! Intents, plans, confirmed configurations and their documents.

pub(crate) mod config;
pub(crate) mod document;
pub(crate) mod document_exchange;
pub(crate) mod document_sync;
pub(crate) mod intent;
pub(crate) mod keeper;
pub(crate) mod plan;

#[cfg(test)]
mod tests;
