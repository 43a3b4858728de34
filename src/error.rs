//! The closed list of what can go wrong, and the answer each kind gets.
//!
//! A caller needs three facts from a failure: whether its request ran, whether
//! to come back, and when. [`ErrorKind::answer`] is the one table that gives
//! them; `docs/PROTOCOLS.md` prints the same table.

use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// Says whether the request that failed was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// Nothing was sent upstream, and nothing will be.
    NotRun,
    /// The request reached an upstream that began it.
    Ran,
    /// The request may have reached an upstream; it is never sent again.
    Unknown,
}

/// Every way a request can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The caller's key belongs to no customer.
    Unauthorized,
    /// No such path, service, intent or resumable stream.
    NotFound,
    /// No such model for this customer.
    UnknownModel,
    /// The body or the headers exceed the limits.
    TooLarge,
    /// The sender was too slow.
    TooSlow,
    /// A non-idempotent call came without an idempotency key.
    KeyMissing,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// Another call with this key has not ended.
    KeyInProgress,
    /// This call was not sent, but whether an earlier one with its key ran
    /// cannot be told while the platform is away.
    KeyUnchecked,
    /// The call was sent and no answer came; it is never sent again.
    OutcomeUnknown,
    /// The wait would exceed this caller's patience.
    Overloaded,
    /// No runner or upstream can take the request.
    NoUpstream,
    /// The request lost every runner that ran it.
    CrashesRunners,
    /// The generation was lost more often than it may be resumed.
    GenerationLost,
    /// The platform cannot be reached.
    PlatformAway,
    /// This node has no confirmed configuration yet.
    NotReady,
    /// The configuration changed since the plan was made.
    Conflict,
    /// An upstream broke its protocol.
    UpstreamFailed,
}

/// What a kind of error means to the caller that gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status of the HTTP response.
    pub status: StatusCode,
    /// Whether the request ran.
    pub execution: Execution,
    /// When to come back, where coming back can help.
    pub retry_after: Option<Duration>,
}

impl ErrorKind {
    /// All kinds, in the order of the table in the docs.
    pub const ALL: [Self; 19] = [
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
        Self::NoUpstream,
        Self::CrashesRunners,
        Self::GenerationLost,
        Self::PlatformAway,
        Self::NotReady,
        Self::Conflict,
        Self::UpstreamFailed,
    ];

    /// Gives the answer for this kind.
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
            Self::NoUpstream => (503, NotRun, Some(1_000)),
            Self::CrashesRunners => (422, Ran, Some(600_000)),
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

    /// The kind's name on the wire.
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
            Self::NoUpstream => "no_upstream",
            Self::CrashesRunners => "crashes_runners",
            Self::GenerationLost => "generation_lost",
            Self::PlatformAway => "platform_away",
            Self::NotReady => "not_ready",
            Self::Conflict => "conflict",
            Self::UpstreamFailed => "upstream_failed",
        }
    }
}

/// A failure on its way to a caller or an operator.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}: {message}", kind.name())]
pub struct Error {
    /// What kind of failure this is.
    pub kind: ErrorKind,
    /// What a person should read.
    pub message: String,
    /// A better time to come back than the table's.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Makes a failure of `kind` with a message for people.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Replaces the table's time to come back.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// When to come back, from this failure or from the table.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after.or(self.kind.answer().retry_after)
    }

    /// Writes the failure as callers read it.
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

/// The JSON body of every failed response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The failure itself, in the place where OpenAI-style callers look.
    pub error: ErrorDetail,
}

/// What [`ErrorBody`] says about the failure.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Kind of failure.
    pub kind: ErrorKind,
    /// Text for people.
    pub message: String,
    /// Whether the request ran.
    pub execution: Execution,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}
