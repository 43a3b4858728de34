//! Calls that run at most once: before such a call is sent, its idempotency key
//! is claimed by a write to the platform's object store.

pub(crate) mod claim;
pub(crate) mod forwarder;
pub(crate) mod group_commit;
pub(crate) mod shard;
