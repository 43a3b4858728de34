//! Orders to runners, sent under a fenced lease.

pub(crate) mod lease;
pub(crate) mod reconciler;
