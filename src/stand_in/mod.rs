//! Stand-ins that take the place of outside systems.

pub(crate) mod platform;
pub(crate) mod runner;
pub(crate) mod server;
pub(crate) mod service;
