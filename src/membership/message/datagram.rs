//! Datagrams of the gossip and the records in them.

use std::time::Duration;

use bytes::Bytes;
use prost::{Enumeration, Message};

use crate::store::revision::Revision;

/// Kind of datagram (SWIM's ping, ack and ping-req).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum Purpose {
    /// The receiver replies with an [`Purpose::Ack`] of the same sequence
    /// number.
    Ping = 0,
    /// Reply to a ping.
    Ack = 1,
    /// The receiver pings the node at the target address and, if that node
    /// answers, sends an ack to the sender of this request.
    PingRequest = 2,
}

/// Whether a node is alive, as its peers believe. If two reports name the same
/// incarnation of a node, the one whose state stands further down here wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum MemberState {
    /// Not suspected, dead or left.
    Alive = 0,
    /// Did not answer the probe of a peer; still counts as live.
    Suspect = 1,
    /// Did not refute the suspicion in time.
    Dead = 2,
    /// Announced that it stops.
    Left = 3,
}

/// What a node reports about one member: itself or another node.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct MemberRecord {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    /// Incarnation of the node. The node raises it to override earlier reports on
    /// itself, such as a suspicion.
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    /// A [`MemberState`].
    #[prost(enumeration = "MemberState", tag = "3")]
    pub(crate) state: i32,
    /// Address at which the node listens for other nodes, over UDP and TCP.
    #[prost(string, tag = "4")]
    pub(crate) peer_address: String,
    /// Address at which the node listens for callers.
    #[prost(string, tag = "5")]
    pub(crate) caller_address: String,
    /// Data centre of the node.
    #[prost(string, tag = "6")]
    pub(crate) data_centre: String,
    /// Whether the node is draining; callers are not directed to it.
    #[prost(bool, tag = "7")]
    pub(crate) leaving: bool,
    /// Requests that the node had in flight or queued when it last reported.
    #[prost(uint32, tag = "8")]
    pub(crate) demand_count: u32,
    /// Port at which the node accepts calls that other nodes relay; zero if it
    /// accepts none.
    #[prost(uint32, tag = "9")]
    pub(crate) relay_port: u32,
}

/// A message to all nodes that stays in force until its TTL expires.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct AnnouncementRecord {
    /// Kind of announcement. The component that uses a topic defines its number.
    #[prost(uint32, tag = "1")]
    pub(crate) topic: u32,
    /// What the announcement is about, such as the name of a runner.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// Of two announcements with the same topic and key, the one with the higher
    /// version replaces the other.
    #[prost(uint64, tag = "3")]
    pub(crate) version: u64,
    /// Time until expiry, in whole seconds, for builds that read no `ttl_ms`. It is rounded
    /// up, since they drop an announcement without time.
    #[prost(uint32, tag = "4")]
    pub(crate) ttl_s: u32,
    /// Content, in a format that depends on the topic.
    #[prost(bytes = "bytes", tag = "5")]
    pub(crate) body: Bytes,
    /// Time until expiry, in milliseconds. Absent if an earlier build sent the record.
    #[prost(uint32, optional, tag = "6")]
    pub(crate) ttl_ms: Option<u32>,
}

impl AnnouncementRecord {
    /// Time until expiry.
    pub(crate) fn ttl(&self) -> Duration {
        let seconds = Duration::from_secs(self.ttl_s.into());
        self.ttl_ms
            .map_or(seconds, |ms| Duration::from_millis(ms.into()))
    }

    /// States the time until expiry.
    pub(crate) fn set_ttl(&mut self, time_left: Duration) {
        let ms = u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX);
        self.ttl_ms = Some(ms);
        self.ttl_s = ms.div_ceil(1_000);
    }
}

/// Newest version of a document that the sender holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct DocumentVersion {
    /// Name of the document.
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// Era of the store in which the version is a revision. Absent if the document has
    /// none, the store names none, or an earlier build sent it.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) era: Option<u64>,
}

impl DocumentVersion {
    pub(crate) fn new(name: String, revision: Revision) -> Self {
        Self {
            name,
            version: revision.number,
            era: revision.era,
        }
    }

    pub(crate) fn revision(&self) -> Revision {
        Revision {
            era: self.era,
            number: self.version,
        }
    }
}

/// One datagram between nodes.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Datagram {
    /// A [`Purpose`].
    #[prost(enumeration = "Purpose", tag = "1")]
    pub(crate) purpose: i32,
    /// Matches an ack to its ping.
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    /// The sender's own record. Absent in the notice that a node sends when it
    /// stops.
    #[prost(message, optional, tag = "3")]
    pub(crate) sender: Option<MemberRecord>,
    /// Address of the node that a [`Purpose::PingRequest`] asks to ping.
    #[prost(string, tag = "4")]
    pub(crate) target_address: String,
    /// Piggybacked updates on members.
    #[prost(message, repeated, tag = "5")]
    pub(crate) members: Vec<MemberRecord>,
    /// Piggybacked announcements.
    #[prost(message, repeated, tag = "6")]
    pub(crate) announcements: Vec<AnnouncementRecord>,
    /// Versions of the documents that the sender holds. A receiver with a lower
    /// version requests the document.
    #[prost(message, repeated, tag = "7")]
    pub(crate) documents: Vec<DocumentVersion>,
    /// Hash of the live members that the sender knows. A receiver with another
    /// hash asks the sender to synchronise.
    #[prost(fixed64, tag = "8")]
    pub(crate) table_hash: u64,
    /// Hash of the announcements that the sender holds and that have not
    /// expired, for the same comparison.
    #[prost(fixed64, tag = "9")]
    pub(crate) announcement_hash: u64,
}
