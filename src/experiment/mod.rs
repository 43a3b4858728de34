//! Experiments that measure one property of the system each, and the local
//! cluster that they run on.

pub(crate) mod catalogue;
pub(crate) mod claims;
pub(crate) mod config;
pub(crate) mod control;
pub(crate) mod crashes;
pub(crate) mod demo;
pub(crate) mod deployment;
pub(crate) mod idle;
pub(crate) mod local_cluster;
pub(crate) mod overload;
pub(crate) mod placement;
pub(crate) mod resume;
pub(crate) mod sizes;
