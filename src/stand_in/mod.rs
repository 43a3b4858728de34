//! Stand-ins: test doubles for the outside systems that a node talks to.
//!
//! These are the platform, which hosts the VMs and stores objects; the runners,
//! each a server that runs language models; and the instances of plain services.

pub(crate) mod platform;
pub(crate) mod runner;
pub(crate) mod runner_profile;
pub(crate) mod runner_stream;
pub(crate) mod server;
pub(crate) mod service;
