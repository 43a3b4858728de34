//! Calls that run at most once, by claims at the platform.

pub(crate) mod claim;
pub(crate) mod forwarder;
pub(crate) mod group_commit;
pub(crate) mod shard;
