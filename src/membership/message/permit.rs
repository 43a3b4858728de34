//! Messages about permits to send to upstreams that name a limit.

use prost::Message;

/// Asks the receiver, as the coordinator or standby of an upstream's limit, for permits.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct PermitRequest {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// The limit that the upstream named, in requests in a thousand seconds.
    #[prost(uint64, tag = "2")]
    pub(crate) rate_per_1000_s: u64,
    /// Number of permits that the sender could use at once.
    #[prost(uint32, tag = "3")]
    pub(crate) wanted_count: u32,
    /// Number of calls that the sender refused since it last asked.
    #[prost(uint32, tag = "4")]
    pub(crate) refused_count: u32,
    /// Whether the receiver stands in for a coordinator that does not answer.
    #[prost(bool, tag = "5")]
    pub(crate) is_standby: bool,
}

/// Reply to [`PermitRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct PermitReply {
    /// Number of permits granted.
    #[prost(uint32, tag = "1")]
    pub(crate) granted_count: u32,
    /// Time until the next permit, if none was granted.
    #[prost(uint64, tag = "2")]
    pub(crate) wait_ms: u64,
    /// Time that the permits for all refused callers take.
    #[prost(uint64, tag = "3")]
    pub(crate) backlog_ms: u64,
}
