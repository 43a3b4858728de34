//! Messages about the upstream that began a run.

use prost::Message;

/// Asks where a run began, or asks the receiver to keep that.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RunOriginRequest {
    /// Hash of the id of the call that brought the run's first event.
    #[prost(fixed64, tag = "1")]
    pub(crate) key: u64,
    /// The origin, if the receiver is to keep it.
    #[prost(message, optional, tag = "2")]
    pub(crate) origin: Option<RunOriginRecord>,
    /// Whether the receiver is to look in the store as well, because the sender can't.
    #[prost(bool, tag = "3")]
    pub(crate) reads_store: bool,
    /// Service of the run, if the receiver is to look in the store.
    #[prost(string, tag = "4")]
    pub(crate) service: String,
}

/// Reply to [`RunOriginRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RunOriginReply {
    /// The origin, if the sender asked for it and the receiver knows it.
    #[prost(message, optional, tag = "1")]
    pub(crate) origin: Option<RunOriginRecord>,
    /// Whether the receiver read all of the store's records for this request.
    #[prost(bool, tag = "2")]
    pub(crate) has_read_store: bool,
    /// Versions that have served the service lately, if the receiver read them.
    #[prost(string, repeated, tag = "3")]
    pub(crate) served_versions: Vec<String>,
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
