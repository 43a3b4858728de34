//! Membership of the cluster and communication between nodes.

pub(crate) mod announcement;
pub(crate) mod compression;
pub(crate) mod control_traffic;
pub(crate) mod gossip;
pub(crate) mod link_faults;
pub(crate) mod members;
pub(crate) mod message;
pub(crate) mod peer;
pub(crate) mod state;
