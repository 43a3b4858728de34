//! What callers meet at the product's own interface.

pub(crate) mod admission;
pub(crate) mod call;
pub(crate) mod caller_api;
pub(crate) mod completion;
pub(crate) mod direct_caller;
pub(crate) mod event_id;
pub(crate) mod gate;
pub(crate) mod identity;
pub(crate) mod service_api;
pub(crate) mod sse;
