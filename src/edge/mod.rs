//! One entry node on the platform: what callers meet, and what keeps its
//! knowledge new.

pub(crate) mod beliefs;
pub(crate) mod caller_entry;
pub(crate) mod drain;
pub(crate) mod lenders;
pub(crate) mod log_writer;
pub(crate) mod node;
pub(crate) mod pages;
pub(crate) mod peers;
pub(crate) mod settings;
pub(crate) mod sightings;
pub(crate) mod store_watch;
pub(crate) mod upstream_log;

#[cfg(test)]
mod tests;
