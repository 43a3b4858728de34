//! Messages between nodes; `prost` derives their codec.
//!
//! Datagrams carry three things: member records (which nodes are alive),
//! announcements (small items that every node should know for a while) and the
//! versions of documents (such as the configuration). Requests over framed TCP
//! carry what does not fit into a datagram or needs a reply.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

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
    /// Time until expiry, in seconds.
    #[prost(uint32, tag = "4")]
    pub(crate) ttl_s: u32,
    /// Content, in a format that depends on the topic.
    #[prost(bytes = "bytes", tag = "5")]
    pub(crate) body: Bytes,
}

/// Newest version of a document that the sender holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct DocumentVersion {
    /// Name of the document.
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
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

/// A request over framed TCP.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerRequest {
    /// Matches the reply to its request.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// The request; absent when the receiver does not know its kind.
    #[prost(oneof = "RequestBody", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub(crate) body: Option<RequestBody>,
}

/// Requests between nodes.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum RequestBody {
    /// Asks for the members and announcements that the sender may lack.
    #[prost(message, tag = "2")]
    Sync(SyncRequest),
    /// Asks for a document if the receiver holds a newer version than this.
    #[prost(message, tag = "3")]
    Fetch(DocumentVersion),
    /// Applies an operation to a claim shard that the receiver owns.
    #[prost(message, tag = "4")]
    Claim(ClaimOperation),
    /// Asks which document versions the receiver has in force, and how many
    /// requests it has in flight.
    #[prost(message, tag = "5")]
    Status(StatusRequest),
    /// Tells the arbiter of a request (the one node that all nodes consult about
    /// that request) which runners crashed under it, as far as the sender knows.
    /// If the sender wants to start a copy of the request, also asks whether it
    /// may. The reply holds the crashes that the arbiter knows of.
    #[prost(message, tag = "6")]
    Crashes(CrashRecord),
    /// Asks the receiver to spend a retry of its retry budget on behalf of the
    /// sender.
    #[prost(message, tag = "7")]
    Retry(RetryRequest),
    /// Asks where a run began, or asks the receiver to keep that.
    #[prost(message, tag = "8")]
    RunOrigin(RunOriginRequest),
}

/// Asks where a run began, or asks the receiver to keep that.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RunOriginRequest {
    /// Hash of the id of the call that brought the run's first event.
    #[prost(fixed64, tag = "1")]
    pub(crate) key: u64,
    /// The origin, if the receiver is to keep it.
    #[prost(message, optional, tag = "2")]
    pub(crate) origin: Option<RunOriginRecord>,
}

/// Reply to [`RunOriginRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RunOriginReply {
    /// The origin, if the sender asked for it and the receiver knows it.
    #[prost(message, optional, tag = "1")]
    pub(crate) origin: Option<RunOriginRecord>,
}

/// The upstream that sent the first event of a run.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RunOriginRecord {
    /// Service of the upstream.
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Version of the upstream's software; absent if unknown.
    #[prost(string, optional, tag = "2")]
    pub(crate) software_version: Option<String>,
    /// Id of the upstream.
    #[prost(string, tag = "3")]
    pub(crate) upstream: String,
    /// Start time of the upstream's incarnation.
    #[prost(uint64, tag = "4")]
    pub(crate) born_unix_ms: u64,
}

/// Asks for one retry. The nodes share a budget of retries; a node that has
/// used up its share borrows from others.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RetryRequest {
    /// Service that the retry goes to.
    #[prost(string, tag = "1")]
    pub(crate) service: String,
}

/// Reply to [`RetryRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct RetryReply {
    /// Whether the receiver charged the retry to its own budget.
    #[prost(bool, tag = "1")]
    pub(crate) is_granted: bool,
}

/// The runners that crashed while they ran a given request, as far as one node
/// knows. A request that is sent again is a new copy of the same request. While
/// a request is suspected of crashing runners, one copy runs first, as a canary,
/// and the others wait for its result.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct CrashRecord {
    /// Hash of the request's content, equal for all its copies.
    #[prost(fixed64, tag = "1")]
    pub(crate) fingerprint: u64,
    /// Incarnations of runners that crashed while they ran the request.
    #[prost(message, repeated, tag = "2")]
    pub(crate) incarnations: Vec<RunnerIncarnationRecord>,
    /// How long the request is still refused because it is poison (it crashes
    /// the runners that run it); zero when it may run.
    #[prost(uint64, tag = "3")]
    pub(crate) poison_ms: u64,
    /// Id of the copy of the request that the sender runs.
    #[prost(fixed64, tag = "4")]
    pub(crate) copy: u64,
    /// Whether the sender asks to start that copy.
    #[prost(bool, tag = "5")]
    pub(crate) wants_to_start: bool,
    /// How long that copy must wait for the canary run of another one.
    #[prost(uint64, tag = "6")]
    pub(crate) wait_ms: u64,
}

/// One start of a runner's process.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RunnerIncarnationRecord {
    /// Name of the runner.
    #[prost(string, tag = "1")]
    pub(crate) runner: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
}

/// Asks for the members and announcements that the sender may lack.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct SyncRequest {
    /// Hash of the live members that the sender knows.
    #[prost(fixed64, tag = "1")]
    pub(crate) table_hash: u64,
    /// Hash of each bucket of the sender's announcements. Keys are divided among
    /// a fixed number of buckets by their hash.
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) bucket_hashes: Vec<u64>,
}

/// Asks which document versions the receiver has in force, and how many requests
/// it has in flight.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct StatusRequest {}

/// A reply over framed TCP.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerReply {
    /// Id of the request that this answers.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// The reply; absent when the receiver cannot give one.
    #[prost(oneof = "ReplyBody", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub(crate) body: Option<ReplyBody>,
}

/// Replies between nodes.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum ReplyBody {
    /// Reply to [`RequestBody::Sync`].
    #[prost(message, tag = "2")]
    Sync(SyncReply),
    /// Reply to [`RequestBody::Fetch`].
    #[prost(message, tag = "3")]
    Document(DocumentReply),
    /// Reply to [`RequestBody::Claim`].
    #[prost(message, tag = "4")]
    Claim(ClaimReply),
    /// Reply to [`RequestBody::Status`].
    #[prost(message, tag = "5")]
    Status(StatusReply),
    /// Reply to [`RequestBody::Crashes`] with all crashes that the receiver
    /// knows.
    #[prost(message, tag = "6")]
    Crashes(CrashRecord),
    /// Reply to [`RequestBody::Retry`].
    #[prost(message, tag = "7")]
    Retry(RetryReply),
    /// Reply to [`RequestBody::RunOrigin`].
    #[prost(message, tag = "8")]
    RunOrigin(RunOriginReply),
}

/// The members and announcements that the requester may lack.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct SyncReply {
    /// All members, the sender included; empty if the table hashes are equal.
    #[prost(message, repeated, tag = "1")]
    pub(crate) members: Vec<MemberRecord>,
    /// Announcements in the buckets whose hashes differ.
    #[prost(message, repeated, tag = "2")]
    pub(crate) announcements: Vec<AnnouncementRecord>,
}

/// Reply to [`RequestBody::Fetch`].
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct DocumentReply {
    /// Version; zero when the sender holds no newer one.
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    /// Content, compressed if documents of this name are sent compressed.
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) body: Bytes,
}

/// Reply to [`StatusRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct StatusReply {
    /// Versions of the documents that the node holds; of the configuration, the
    /// version that it applies.
    #[prost(message, repeated, tag = "1")]
    pub(crate) documents: Vec<DocumentVersion>,
    /// Requests that the node has in flight or queued.
    #[prost(uint32, tag = "2")]
    pub(crate) in_flight_count: u32,
}

/// What an operation does to a claim: the entry under which a caller's
/// idempotency key (here: the key) is reserved for one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum ClaimAction {
    /// Reserves the key for one call.
    Take = 0,
    /// Records the outcome of the call.
    Finish = 1,
    /// Releases the key; the call was not sent.
    Release = 2,
}

/// One operation on a claim. It can be applied more than once with the same
/// effect.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ClaimOperation {
    /// A [`ClaimAction`].
    #[prost(enumeration = "ClaimAction", tag = "1")]
    pub(crate) action: i32,
    /// Customer and idempotency key.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// Unique to one attempt to claim the key, so that an operation whose reply
    /// was lost can be repeated.
    #[prost(string, tag = "3")]
    pub(crate) nonce: String,
    /// Node and incarnation of the claimant, as `node@incarnation`.
    #[prost(string, tag = "4")]
    pub(crate) claimant: String,
    /// Hash of the call, to detect a key that is used for two calls.
    #[prost(fixed64, tag = "5")]
    pub(crate) call_hash: u64,
    /// Time at which the key was claimed, by the claimant's clock.
    #[prost(uint64, tag = "6")]
    pub(crate) at_unix_ms: u64,
    /// HTTP status of the service's answer; zero when there was none.
    #[prost(uint32, tag = "7")]
    pub(crate) status: u32,
    /// The service's answer.
    #[prost(bytes = "bytes", tag = "8")]
    pub(crate) answer: Bytes,
}

/// Result of an operation on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum ClaimResult {
    /// The operation was not written to the platform's store, usually because
    /// the platform was unavailable.
    Unavailable = 0,
    /// The operation may have been written.
    OutcomeUnknown = 1,
    /// The operation was written.
    Accepted = 2,
    /// Another call with the key is in progress.
    Busy = 3,
    /// The key's call has ended.
    Ended = 4,
    /// The key was used for a different call.
    Reused = 5,
    /// The object that stores this key's part of all claims (its shard) has no
    /// room for another key.
    Full = 6,
}

/// Reply to an operation on a claim.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ClaimReply {
    /// A [`ClaimResult`].
    #[prost(enumeration = "ClaimResult", tag = "1")]
    pub(crate) result: i32,
    /// Claimant that holds the key, for [`ClaimResult::Busy`].
    #[prost(string, tag = "2")]
    pub(crate) claimant: String,
    /// HTTP status of the stored answer, for [`ClaimResult::Ended`].
    #[prost(uint32, tag = "3")]
    pub(crate) status: u32,
    /// The stored answer, for [`ClaimResult::Ended`].
    #[prost(bytes = "bytes", tag = "4")]
    pub(crate) answer: Bytes,
}
