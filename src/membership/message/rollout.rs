//! Messages about rollouts of new software versions.

use prost::{Enumeration, Message};

/// Tells an owner of a rollout what a node has counted since it learned of the request,
/// and asks what it may send to the target.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RolloutReport {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Version to which the service is to be moved.
    #[prost(string, tag = "2")]
    pub(crate) target: String,
    /// Name of the node that counted.
    #[prost(string, tag = "3")]
    pub(crate) node: String,
    /// Time since the request, as far as the node knows.
    #[prost(uint64, tag = "4")]
    pub(crate) age_ms: u64,
    #[prost(message, repeated, tag = "5")]
    pub(crate) tallies: Vec<TallyRecord>,
}

/// How many answers came from one side on one route.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TallyRecord {
    #[prost(string, tag = "1")]
    pub(crate) route: String,
    /// Whether the answers are those of the target, and not of other versions.
    #[prost(bool, tag = "2")]
    pub(crate) is_target: bool,
    /// Answers, failures included.
    #[prost(uint32, tag = "3")]
    pub(crate) answer_count: u32,
    #[prost(uint32, tag = "4")]
    pub(crate) failure_count: u32,
    /// Number of times to the answer in each class.
    #[prost(uint32, repeated, tag = "5")]
    pub(crate) times: Vec<u32>,
    /// Number of times between events in each class.
    #[prost(uint32, repeated, tag = "6")]
    pub(crate) gaps: Vec<u32>,
}

/// What a grant is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum GrantedStage {
    /// Nothing may be sent to the target.
    Nothing = 0,
    Canary = 1,
    Ramp = 2,
    HandOver = 3,
}

/// Reply to [`RolloutReport`].
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct RolloutReply {
    /// A [`GrantedStage`].
    #[prost(enumeration = "GrantedStage", tag = "1")]
    pub(crate) stage: i32,
    /// Share of the calls that may be sent to the target.
    #[prost(double, tag = "2")]
    pub(crate) share: f64,
    /// Time since the request, as far as the owner knows.
    #[prost(uint64, tag = "3")]
    pub(crate) age_ms: u64,
}

/// The state of a rollout in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum AnnouncedState {
    /// There is no rollout of the service any more.
    Removed = 0,
    Requested = 1,
    InProgress = 2,
    Completed = 3,
    Reverted = 4,
}

/// Body of the announcement of a rollout, whose key is the service.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RolloutRecord {
    /// Version to which the service is to be moved.
    #[prost(string, tag = "1")]
    pub(crate) target: String,
    /// Time from the request to its deadline.
    #[prost(uint64, tag = "2")]
    pub(crate) duration_ms: u64,
    /// An [`AnnouncedState`].
    #[prost(enumeration = "AnnouncedState", tag = "3")]
    pub(crate) state: i32,
    /// Time from the request to the announcement.
    #[prost(uint64, tag = "4")]
    pub(crate) age_ms: u64,
}
