//! Orders, which tell runners what models to load, and the lease that lets one
//! node at a time send them.

pub(crate) mod lease;
pub(crate) mod reconciler;
