//! Messages between nodes; `prost` derives their codec.
//!
//! Datagrams carry three things: member records (which nodes are alive),
//! announcements (small items that every node should know for a while) and the
//! versions of documents (such as the configuration). Requests over framed TCP
//! carry what does not fit into a datagram or needs a reply.

mod claim;
mod crash;
mod datagram;
mod permit;
mod rollout;
mod run_origin;

use bytes::Bytes;
use prost::{Message, Oneof};

pub(crate) use claim::{ClaimAction, ClaimOperation, ClaimReply, ClaimResult};
pub(crate) use crash::{CrashRecord, CrashedCallRecord, RunnerIncarnationRecord};
pub(crate) use datagram::{
    AnnouncementRecord, Datagram, DocumentVersion, MemberRecord, MemberState, Purpose,
};
pub(crate) use permit::{PermitReply, PermitRequest};
pub(crate) use rollout::{
    AnnouncedState, GrantedStage, RolloutRecord, RolloutReply, RolloutReport, TallyRecord,
};
pub(crate) use run_origin::{RunOriginRecord, RunOriginReply, RunOriginRequest};

/// A request over framed TCP.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerRequest {
    /// Matches the reply to its request.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// The request; absent when the receiver does not know its kind.
    #[prost(oneof = "RequestBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
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
    /// Asks for permits to send to an upstream that names a limit.
    #[prost(message, tag = "9")]
    Permit(PermitRequest),
    /// Reports to an owner of a rollout, and asks what may be sent to its target.
    #[prost(message, tag = "10")]
    Rollout(RolloutReport),
}

impl RequestBody {
    /// Kind of the request, for the log.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Sync(_) => "sync",
            Self::Fetch(_) => "fetch",
            Self::Claim(_) => "claim",
            Self::Status(_) => "status",
            Self::Crashes(_) => "crashes",
            Self::Retry(_) => "retry",
            Self::RunOrigin(_) => "run_origin",
            Self::Permit(_) => "permit",
            Self::Rollout(_) => "rollout",
        }
    }

    /// Whether a peer that gets the request twice does the same as if it got it once.
    pub(crate) fn may_be_repeated(&self) -> bool {
        match self {
            Self::Sync(_) | Self::Fetch(_) | Self::Status(_) | Self::RunOrigin(_) => true,
            // A report holds totals.
            Self::Rollout(_) => true,
            // A claim's nonce identifies its operation.
            Self::Claim(_) => true,
            // Each of them may grant what only one may have.
            Self::Crashes(_) | Self::Retry(_) | Self::Permit(_) => false,
        }
    }
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
    #[prost(oneof = "ReplyBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
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
    /// Reply to [`RequestBody::Permit`].
    #[prost(message, tag = "9")]
    Permit(PermitReply),
    /// Reply to [`RequestBody::Rollout`].
    #[prost(message, tag = "10")]
    Rollout(RolloutReply),
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
    /// Era of the store in which the version is a revision, as in
    /// [`DocumentVersion`].
    #[prost(uint64, optional, tag = "3")]
    pub(crate) era: Option<u64>,
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
