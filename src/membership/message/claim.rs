//! Operations on claims and the replies to them.

use bytes::Bytes;
use prost::{Enumeration, Message};

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

impl From<ClaimResult> for ClaimReply {
    /// A reply that carries nothing but its result.
    fn from(result: ClaimResult) -> Self {
        Self {
            result: result.into(),
            ..Self::default()
        }
    }
}
