//! Stand-ins: test doubles for the outside systems that a node talks to.

pub(crate) mod platform;
pub(crate) mod runner;
pub(crate) mod runner_profile;
pub(crate) mod runner_stream;
pub(crate) mod server;
pub(crate) mod service;
