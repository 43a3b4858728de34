//! The interface for callers of completions and plain services, and its clients.

pub(crate) mod admission;
pub(crate) mod caller_api;
pub(crate) mod client;
pub(crate) mod completion;
pub(crate) mod direct_caller;
pub(crate) mod event_id;
pub(crate) mod identity;
pub(crate) mod priority_semaphore;
pub(crate) mod service_api;
pub(crate) mod sse;
