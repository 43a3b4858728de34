//! All kinds of errors that callers and operators can get, and the response to
//! each kind.
//!
//! A caller needs to know three things about an error: whether its request ran,
//! whether a retry can help, and when to retry. [`ErrorKind::answer`] defines
//! them for each kind; `docs/PROTOCOLS.md` has the same table. An upstream is a
//! runner (a model engine) or an instance of a plain service.

use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// Whether a failed request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The request was not sent to any upstream, and will not be.
    NotRun,
    /// An upstream began to execute the request.
    Ran,
    /// The request may have reached an upstream, and is not retried.
    Unknown,
}

/// Every way a request can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The key belongs to no customer, or to no operator.
    Unauthorized,
    /// There is no such path, service, intent or resumable stream.
    NotFound,
    /// There is no such model for this customer.
    UnknownModel,
    /// The body or the headers exceed the limits.
    TooLarge,
    /// The client sent its request too slowly.
    TooSlow,
    /// A call to a non-idempotent service has no idempotency key.
    KeyMissing,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// Another call with the same idempotency key is in progress.
    KeyInProgress,
    /// This call was not sent. Whether an earlier call with the same idempotency
    /// key ran is unknown while the platform is unavailable.
    KeyUnchecked,
    /// The call, or an operator's confirmation, may have taken effect, but no
    /// answer arrived. It is not retried any more.
    OutcomeUnknown,
    /// The wait would exceed the maximum wait of the caller.
    Overloaded,
    /// This node holds as many bytes for callers as its memory allows.
    MemoryFull,
    /// No runner or upstream can accept the request.
    NoUpstream,
    /// The request is poison: it crashes the runners that run it.
    CrashesRunners,
    /// The request shares a part of its prompt with requests that crash runners.
    Quarantined,
    /// The generation was lost more often than it may be resumed.
    GenerationLost,
    /// The platform is unavailable.
    PlatformAway,
    /// This node has no configuration or only an outdated one, or a model has no
    /// runner yet.
    NotReady,
    /// The configuration changed since the plan that an operator confirmed was
    /// made.
    Conflict,
    /// An upstream failed or violated the protocol.
    UpstreamFailed,
}

/// The response to one kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request was executed.
    pub execution: Execution,
    /// Delay before a retry; absent if a retry cannot help.
    pub retry_after: Option<Duration>,
}

impl ErrorKind {
    /// All kinds, in the order of the table in `docs/PROTOCOLS.md`.
    pub const ALL: [Self; 21] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::NotFound,
        Self::UnknownModel,
        Self::TooLarge,
        Self::TooSlow,
        Self::KeyMissing,
        Self::KeyReused,
        Self::KeyInProgress,
        Self::KeyUnchecked,
        Self::OutcomeUnknown,
        Self::Overloaded,
        Self::MemoryFull,
        Self::NoUpstream,
        Self::CrashesRunners,
        Self::Quarantined,
        Self::GenerationLost,
        Self::PlatformAway,
        Self::NotReady,
        Self::Conflict,
        Self::UpstreamFailed,
    ];

    /// Returns the response to this kind of error.
    ///
    /// ```
    /// use zinniawing::{ErrorKind, Execution};
    ///
    /// assert_eq!(ErrorKind::Overloaded.answer().execution, Execution::NotRun);
    /// ```
    pub fn answer(self) -> Answer {
        use Execution::{NotRun, Ran, Unknown};
        let (status, execution, retry_after_ms) = match self {
            Self::BadRequest => (400, NotRun, None),
            Self::Unauthorized => (401, NotRun, None),
            Self::NotFound => (404, NotRun, None),
            Self::UnknownModel => (404, NotRun, None),
            Self::TooLarge => (413, NotRun, None),
            Self::TooSlow => (408, NotRun, Some(1_000)),
            Self::KeyMissing => (400, NotRun, None),
            Self::KeyReused => (422, NotRun, None),
            Self::KeyInProgress => (409, Unknown, Some(1_000)),
            Self::KeyUnchecked => (503, Unknown, Some(5_000)),
            Self::OutcomeUnknown => (504, Unknown, None),
            Self::Overloaded => (429, NotRun, Some(2_000)),
            Self::MemoryFull => (503, NotRun, Some(1_000)),
            Self::NoUpstream => (503, NotRun, Some(1_000)),
            Self::CrashesRunners => (422, Ran, Some(600_000)),
            Self::Quarantined => (503, NotRun, Some(5_000)),
            Self::GenerationLost => (502, Ran, Some(1_000)),
            Self::PlatformAway => (503, NotRun, Some(5_000)),
            Self::NotReady => (503, NotRun, Some(1_000)),
            Self::Conflict => (409, NotRun, None),
            Self::UpstreamFailed => (502, Unknown, None),
        };
        Answer {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            execution,
            retry_after: retry_after_ms.map(Duration::from_millis),
        }
    }

    /// Returns the name of this kind in responses.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::UnknownModel => "unknown_model",
            Self::TooLarge => "too_large",
            Self::TooSlow => "too_slow",
            Self::KeyMissing => "key_missing",
            Self::KeyReused => "key_reused",
            Self::KeyInProgress => "key_in_progress",
            Self::KeyUnchecked => "key_unchecked",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Overloaded => "overloaded",
            Self::MemoryFull => "memory_full",
            Self::NoUpstream => "no_upstream",
            Self::CrashesRunners => "crashes_runners",
            Self::Quarantined => "quarantined",
            Self::GenerationLost => "generation_lost",
            Self::PlatformAway => "platform_away",
            Self::NotReady => "not_ready",
            Self::Conflict => "conflict",
            Self::UpstreamFailed => "upstream_failed",
        }
    }
}

/// An error that is returned to a caller or an operator.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}: {message}", kind.name())]
pub struct Error {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Description for people.
    pub message: String,
    /// Delay before a retry, if it differs from that of [`ErrorKind::answer`].
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error of a kind with a description for people.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay before a retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the delay before a retry: that of this error, or else that of its
    /// kind.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after.or(self.kind.answer().retry_after)
    }

    /// Builds the body of the response.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                kind: self.kind,
                message: self.message.clone(),
                execution: self.kind.answer().execution,
                retry_after_ms: self.retry_after().map(|t| t.as_millis() as u64),
            },
        }
    }
}

/// The JSON body of every error response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error, under the key that clients of OpenAI-style APIs read.
    pub error: ErrorDetail,
}

/// The error in an [`ErrorBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Description for people.
    pub message: String,
    /// Whether the request was executed.
    pub execution: Execution,
    /// Delay before a retry, in milliseconds; absent if a retry cannot help.
    pub retry_after_ms: Option<u64>,
}
