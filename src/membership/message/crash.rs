//! Messages about requests that crash runners.

use prost::Message;

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

/// What the announcement of an upstream's crash holds besides its key, which names
/// the request and the upstream.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct CrashedCallRecord {
    /// Hashes of the parts of the prompt that other prompts may share.
    #[prost(fixed64, repeated, tag = "1")]
    pub(crate) parts: Vec<u64>,
    /// Whether the upstream had begun to write its answer.
    #[prost(bool, tag = "2")]
    pub(crate) was_writing: bool,
    /// How long it had written the answer, in milliseconds; zero if the crash was immediate or
    /// the sender does not tell.
    #[prost(uint32, tag = "3")]
    pub(crate) time_ms: u32,
    /// Start of the upstream, in Unix milliseconds; zero if it is unknown or the sender does not
    /// tell.
    #[prost(uint64, tag = "4")]
    pub(crate) born_unix_ms: u64,
}
