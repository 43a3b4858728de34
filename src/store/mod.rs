//! The object store: its interface, and the platform's implementation over
//! HTTP.

pub(crate) mod object_api;
pub(crate) mod object_store;

#[cfg(test)]
mod tests;
