//! At-most-once calls, by claims that are stored at the platform.

pub(crate) mod claim;
pub(crate) mod forwarder;
pub(crate) mod group_commit;
pub(crate) mod shard;
