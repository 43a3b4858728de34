//! Orders to runners, given under a fenced lease.

pub(crate) mod lease;
pub(crate) mod reconciler;
