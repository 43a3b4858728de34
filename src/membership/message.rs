//! Messages between nodes; `prost` derives their codec.
//!
//! Datagrams carry membership, announcements and document versions; calls over
//! framed TCP carry what does not fit a datagram or needs an answer.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

/// What a datagram asks of its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum Purpose {
    /// Answer with an [`Purpose::Ack`] of the same sequence number.
    Ping = 0,
    /// Answers a ping.
    Ack = 1,
    /// Ping the target and pass its answer on.
    PingRequest = 2,
}

/// How a member stands, in the order in which one overrides the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum MemberState {
    /// Answers its peers.
    Alive = 0,
    /// Did not answer one of them.
    Suspect = 1,
    /// Did not refute the suspicion in time.
    Dead = 2,
    /// Said that it goes.
    Left = 3,
}

/// What is known of one node.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct MemberRecord {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    /// Which life of the node, raised further to refute suspicions.
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    /// A [`MemberState`].
    #[prost(enumeration = "MemberState", tag = "3")]
    pub(crate) state: i32,
    /// Where peers reach it, over UDP and TCP.
    #[prost(string, tag = "4")]
    pub(crate) peer_address: String,
    /// Where callers reach it.
    #[prost(string, tag = "5")]
    pub(crate) caller_address: String,
    /// Data centre it stands in.
    #[prost(string, tag = "6")]
    pub(crate) data_centre: String,
    /// Whether it drains and is not to be given to callers.
    #[prost(bool, tag = "7")]
    pub(crate) leaving: bool,
    /// Requests in flight and waiting when it last spoke.
    #[prost(uint32, tag = "8")]
    pub(crate) demand_count: u32,
}

/// Something that all nodes are to learn soon.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct AnnouncementRecord {
    /// Groups announcements of one kind.
    #[prost(uint32, tag = "1")]
    pub(crate) topic: u32,
    /// What the announcement is about.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// The higher version of a key replaces the lower.
    #[prost(uint64, tag = "3")]
    pub(crate) version: u64,
    /// How long it stays in force.
    #[prost(uint32, tag = "4")]
    pub(crate) ttl_s: u32,
    /// Content.
    #[prost(bytes = "bytes", tag = "5")]
    pub(crate) body: Bytes,
}

/// The newest version of a document that the sender holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct DocumentVersion {
    /// Name of the document.
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    /// Its version.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
}

/// One datagram between nodes.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Datagram {
    /// A [`Purpose`].
    #[prost(enumeration = "Purpose", tag = "1")]
    pub(crate) purpose: i32,
    /// Pairs an answer with its question.
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    /// The sender, as it knows itself.
    #[prost(message, optional, tag = "3")]
    pub(crate) sender: Option<MemberRecord>,
    /// Address of the node that a [`Purpose::PingRequest`] is about.
    #[prost(string, tag = "4")]
    pub(crate) target_address: String,
    /// News of other members.
    #[prost(message, repeated, tag = "5")]
    pub(crate) members: Vec<MemberRecord>,
    /// News of other things.
    #[prost(message, repeated, tag = "6")]
    pub(crate) announcements: Vec<AnnouncementRecord>,
    /// Documents the sender holds.
    #[prost(message, repeated, tag = "7")]
    pub(crate) documents: Vec<DocumentVersion>,
    /// Hash of the live members that the sender knows.
    #[prost(fixed64, tag = "8")]
    pub(crate) table_hash: u64,
    /// Hash of the announcements that the sender has in force.
    #[prost(fixed64, tag = "9")]
    pub(crate) announcement_hash: u64,
}

/// A question over framed TCP.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerCall {
    /// Pairs the reply with the call.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// The question.
    #[prost(oneof = "Question", tags = "2, 3, 4, 5, 6, 7")]
    pub(crate) question: Option<Question>,
}

/// What one node may ask of another.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Question {
    /// Members and announcements that the asker lacks.
    #[prost(message, tag = "2")]
    Sync(SyncQuestion),
    /// A document above a version.
    #[prost(message, tag = "3")]
    Fetch(DocumentVersion),
    /// An operation on a shard of claims that the receiver owns.
    #[prost(message, tag = "4")]
    Claim(ClaimOperation),
    /// What the receiver has in force.
    #[prost(message, tag = "5")]
    Status(StatusQuestion),
    /// What is held against a request.
    #[prost(message, tag = "6")]
    Crashes(CrashRecord),
    /// A repeated send that the receiver is to spend for the asker.
    #[prost(message, tag = "7")]
    Retry(RetryQuestion),
}

/// Asks for one repeated send of the receiver's part of the retry budget.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RetryQuestion {
    /// The service that is sent to.
    #[prost(string, tag = "1")]
    pub(crate) service: String,
}

/// Answers [`RetryQuestion`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct RetryReply {
    /// Whether the send has been spent for the asker.
    #[prost(bool, tag = "1")]
    pub(crate) is_spent: bool,
}

/// Crashes that a request was in, as one node knows them.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct CrashRecord {
    /// Hash of the request.
    #[prost(fixed64, tag = "1")]
    pub(crate) fingerprint: u64,
    /// The runners' lives that ended while it ran there.
    #[prost(message, repeated, tag = "2")]
    pub(crate) lives: Vec<RunnerLifeRecord>,
    /// How long it is still refused; zero when it may run.
    #[prost(uint64, tag = "3")]
    pub(crate) poison_ms: u64,
    /// The copy of the request that the asker runs.
    #[prost(fixed64, tag = "4")]
    pub(crate) copy: u64,
    /// Whether that copy asks to begin to run.
    #[prost(bool, tag = "5")]
    pub(crate) wants_to_begin: bool,
    /// How long that copy is to wait for another one.
    #[prost(uint64, tag = "6")]
    pub(crate) wait_ms: u64,
}

/// One life of one runner.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RunnerLifeRecord {
    /// Name of the runner.
    #[prost(string, tag = "1")]
    pub(crate) runner: String,
    /// Which life of it.
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
}

/// Asks for the members and announcements that the asker may lack.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct SyncQuestion {
    /// Hash of the live members that the asker knows.
    #[prost(fixed64, tag = "1")]
    pub(crate) table_hash: u64,
    /// Hashes of the asker's announcements, by bucket of their keys.
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) bucket_hashes: Vec<u64>,
}

/// Asks what is in force.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct StatusQuestion {}

/// An answer over framed TCP.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerReply {
    /// The call's id.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// The answer; absent when the receiver cannot give one.
    #[prost(oneof = "ReplyBody", tags = "2, 3, 4, 5, 6, 7")]
    pub(crate) body: Option<ReplyBody>,
}

/// What one node answers another.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum ReplyBody {
    /// Answers [`Question::Sync`].
    #[prost(message, tag = "2")]
    Sync(SyncReply),
    /// Answers [`Question::Fetch`].
    #[prost(message, tag = "3")]
    Document(DocumentReply),
    /// Answers [`Question::Claim`].
    #[prost(message, tag = "4")]
    Claim(ClaimReply),
    /// Answers [`Question::Status`].
    #[prost(message, tag = "5")]
    Status(StatusReply),
    /// Answers [`Question::Crashes`] with all that the receiver knows.
    #[prost(message, tag = "6")]
    Crashes(CrashRecord),
    /// Answers [`Question::Retry`].
    #[prost(message, tag = "7")]
    Retry(RetryReply),
}

/// The members and announcements in which two nodes differ.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct SyncReply {
    /// Members, the sender included.
    #[prost(message, repeated, tag = "1")]
    pub(crate) members: Vec<MemberRecord>,
    /// Announcements in force.
    #[prost(message, repeated, tag = "2")]
    pub(crate) announcements: Vec<AnnouncementRecord>,
}

/// A document at a version.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct DocumentReply {
    /// Version; zero when the sender holds nothing newer.
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    /// Content.
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) body: Bytes,
}

/// What a node has in force.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct StatusReply {
    /// Documents in force.
    #[prost(message, repeated, tag = "1")]
    pub(crate) documents: Vec<DocumentVersion>,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub(crate) in_flight_count: u32,
}

/// What is done to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum ClaimAction {
    /// Claim the key for one call.
    Take = 0,
    /// Note the call's outcome.
    Finish = 1,
    /// Give the key back, unsent.
    Release = 2,
}

/// One operation on a claim; applying it twice changes nothing.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ClaimOperation {
    /// A [`ClaimAction`].
    #[prost(enumeration = "ClaimAction", tag = "1")]
    pub(crate) action: i32,
    /// Customer and idempotency key.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// Unique to the claimant's try, so that a lost reply can be resolved.
    #[prost(string, tag = "3")]
    pub(crate) mark: String,
    /// Node and life of the claimant.
    #[prost(string, tag = "4")]
    pub(crate) claimant: String,
    /// Hash of the call, so that a key cannot name two calls.
    #[prost(fixed64, tag = "5")]
    pub(crate) call_hash: u64,
    /// Time at the claimant.
    #[prost(uint64, tag = "6")]
    pub(crate) at_unix_ms: u64,
    /// Status of the service's answer; zero when there was none.
    #[prost(uint32, tag = "7")]
    pub(crate) status: u32,
    /// The service's answer.
    #[prost(bytes = "bytes", tag = "8")]
    pub(crate) answer: Bytes,
}

/// How a shard took an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum ClaimResult {
    /// The platform could not be asked; nothing was written.
    Unavailable = 0,
    /// It is not known whether the operation was written.
    Unsure = 1,
    /// The operation stands.
    Accepted = 2,
    /// Another call holds the key.
    Busy = 3,
    /// The key's call has ended.
    Ended = 4,
    /// The key names another call.
    Reused = 5,
    /// The shard holds as many keys as it may.
    Full = 6,
}

/// A shard's answer to an operation.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ClaimReply {
    /// A [`ClaimResult`].
    #[prost(enumeration = "ClaimResult", tag = "1")]
    pub(crate) result: i32,
    /// Claimant that holds the key, with [`ClaimResult::Busy`].
    #[prost(string, tag = "2")]
    pub(crate) claimant: String,
    /// Status of the stored answer, with [`ClaimResult::Ended`].
    #[prost(uint32, tag = "3")]
    pub(crate) status: u32,
    /// The stored answer, with [`ClaimResult::Ended`].
    #[prost(bytes = "bytes", tag = "4")]
    pub(crate) answer: Bytes,
}
