//! Experiments that measure one property of the system each, the demonstration,
//! and the local cluster on which most of them run: nodes and stand-ins for the
//! systems around them, in one process.

pub(crate) mod catalogue;
pub(crate) mod claims;
pub(crate) mod control;
pub(crate) mod crashes;
pub(crate) mod demo;
pub(crate) mod deployment;
pub(crate) mod evidence;
pub(crate) mod hedging;
pub(crate) mod idle;
pub(crate) mod limits;
pub(crate) mod local_cluster;
pub(crate) mod overload;
pub(crate) mod placement;
pub(crate) mod resume;
pub(crate) mod rollout;
pub(crate) mod sizes;
