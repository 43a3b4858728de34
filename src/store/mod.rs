//! The object store in which this program keeps its durable state: its
//! interface, and the client of the platform's implementation over HTTP.

pub(crate) mod object_api;
pub(crate) mod object_store;
pub(crate) mod revision;

#[cfg(test)]
mod tests;
