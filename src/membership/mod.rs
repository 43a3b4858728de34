//! Membership of the cluster and communication between nodes.
//!
//! By gossip (datagrams with a small random set of peers) nodes detect which
//! nodes have failed, and spread announcements and the versions of documents.
//! Requests over TCP carry what is larger or needs a reply.

pub(crate) mod announcement;
pub(crate) mod compression;
pub(crate) mod control_traffic;
pub(crate) mod crash_announcement;
pub(crate) mod gossip;
pub(crate) mod link_faults;
pub(crate) mod members;
pub(crate) mod message;
pub(crate) mod peer;
pub(crate) mod peer_server;
pub(crate) mod state;
pub(crate) mod update_queue;

#[cfg(test)]
mod tests;
