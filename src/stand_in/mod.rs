//! Stand-ins that take the place of outside systems.

pub(crate) mod platform;
pub(crate) mod runner;
pub(crate) mod runner_profile;
pub(crate) mod runner_stream;
pub(crate) mod server;
pub(crate) mod service;
