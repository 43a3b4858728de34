//! Sends a call to one upstream, and reports whether the upstream may have run
//! it.
//!
//! The state of an attempt is part of its type: only an [`Attempt<Unsent>`] can
//! be sent, and only an [`Attempt<Answered>`] has an answer to pass on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};

use super::connection::{Connection, SendFailure};
use super::probe::LossReason;
use super::send_probe::SendClearance;
use super::unanswered_send::UnansweredSend;
use super::upstream::{Upstream, Work};
use super::write_signal::WriteSignal;
use crate::id::UpstreamId;
use crate::platform::answer::{self, AnswerHeaders};
use crate::policy::answer_class::{AnswerClass, classify};

/// State of an attempt of which no byte has left this node.
#[derive(Debug)]
pub(crate) struct Unsent {
    request: Request<Full<Bytes>>,
}

/// State of an attempt for which the head of an answer has arrived.
#[derive(Debug)]
pub(crate) struct Answered {
    /// The connection, which returns to its pool after the body has ended.
    pub(crate) connection: Connection,
    /// The answer, its body not yet read.
    pub(crate) response: Response<Incoming>,
    /// Status and headers of the answer.
    pub(crate) headers: AnswerHeaders,
    /// When the call was sent.
    pub(crate) sent_at: Instant,
}

/// One send of a call to one upstream.
#[derive(Debug)]
pub(crate) struct Attempt<S> {
    pub(crate) upstream: Arc<Upstream>,
    /// Counts the call as load of the upstream until it is dropped.
    pub(crate) work: Work,
    /// [`Unsent`] or [`Answered`].
    pub(crate) state: S,
}

/// Why an attempt has no answer to pass on, and whether the call may have run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptFailure {
    /// No connection to the upstream could be opened.
    #[error("call not sent: {0}")]
    NotConnected(&'static str),
    /// No byte of the call left this node.
    #[error("call not sent: {0}")]
    NotSent(&'static str),
    /// The upstream states that it did not run the call.
    #[error("upstream states that it did not run the call")]
    NotExecuted,
    /// Another upstream listens at the address. It did not run the call. The
    /// value is its id, if the answer states it.
    #[error("another upstream listens at its address")]
    Misdirected(Option<UpstreamId>),
    /// The upstream is silent, and no byte of the call was sent into its silence.
    #[error("call not sent: upstream is silent")]
    Silent,
    /// The upstream asked this node for rest after it was chosen.
    #[error("call not sent: upstream rests")]
    Resting,
    /// The upstream may have run the call.
    #[error("upstream may have run the call: {0}")]
    MayHaveRun(String),
    /// This node gave the attempt up because the upstream was lost or made no
    /// progress. The upstream may have run the call.
    #[error("attempt abandoned: {0:?}")]
    Abandoned(LossReason),
}

impl AttemptFailure {
    /// Whether no byte of the call left this node.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::NotConnected(_) | Self::NotSent(_) | Self::Silent | Self::Resting
        )
    }

    /// Whether the failure suggests that this node has no path to the upstream.
    pub(crate) fn suggests_no_path(&self) -> bool {
        match self {
            Self::NotConnected(_) | Self::Silent | Self::MayHaveRun(_) | Self::Abandoned(_) => true,
            Self::NotSent(_) | Self::Resting | Self::NotExecuted | Self::Misdirected(_) => false,
        }
    }
}

impl Attempt<Unsent> {
    /// Prepares to send `request` to `upstream`.
    pub(crate) fn new(upstream: Arc<Upstream>, work: Work, request: Request<Full<Bytes>>) -> Self {
        Self {
            upstream,
            work,
            state: Unsent { request },
        }
    }

    /// Sends the call, whose caller gave it `call_id`, and waits for the head of the
    /// answer. `written` is set when its bytes begin to leave.
    ///
    /// Dropping the future closes the connection, which cancels the call.
    pub(crate) async fn send(
        self,
        _clearance: SendClearance,
        written: &WriteSignal,
        call_id: Option<&HeaderValue>,
    ) -> Result<Attempt<Answered>, AttemptFailure> {
        let Self {
            upstream,
            work,
            state: Unsent { request },
        } = self;
        if !upstream.notices().rest.begin_call(Instant::now()) {
            return Err(AttemptFailure::Resting);
        }
        let unanswered = UnansweredSend::new(&upstream, call_id);
        let sent_at = unanswered.sent_at();
        upstream.record_send(sent_at);
        let begin_write = || {
            let may_send = !upstream.is_resting();
            if may_send {
                written.set();
            }
            may_send
        };
        let answered = upstream.pool.send_if(request, begin_write).await;
        unanswered.ended();
        let (connection, mut response) = answered.map_err(AttemptFailure::from)?;
        // Tells a peer that relayed the call whose answer it passes on.
        response.extensions_mut().insert(upstream.entry.start());
        let headers = answer::read(response.status(), response.headers(), call_id);
        let attempt = Attempt {
            upstream,
            work,
            state: Answered {
                connection,
                response,
                headers,
                sent_at,
            },
        };
        attempt.check_answer()
    }
}

impl Attempt<Answered> {
    fn check_answer(self) -> Result<Self, AttemptFailure> {
        let is_first = !self.state.connection.is_reused();
        match classify(&self.state.headers, is_first) {
            AnswerClass::Final | AnswerClass::Failed => {
                self.record_answer();
                Ok(self)
            }
            AnswerClass::NotExecuted => {
                self.record_answer();
                Err(AttemptFailure::NotExecuted)
            }
            AnswerClass::Misdirected => {
                let actual = answer::actual_upstream(self.state.response.headers());
                Err(AttemptFailure::Misdirected(actual))
            }
            AnswerClass::Foreign => Err(AttemptFailure::MayHaveRun(format!(
                "answer with status {} ({:?}) belongs to another call, or another party sent or changed it",
                self.state.headers.status.as_u16(),
                self.state.headers.owner
            ))),
        }
    }
}

impl Attempt<Answered> {
    fn record_answer(&self) {
        self.upstream.record_contact(Instant::now());
        let Answered {
            headers, sent_at, ..
        } = &self.state;
        self.upstream.record_statements(headers, *sent_at);
    }
}

impl Answered {
    /// Returns `None` if the connection closes after the answer. Otherwise
    /// returns the upstream's idle time-out, if the answer states one.
    pub(crate) fn reuse(&self) -> Option<Option<Duration>> {
        (!self.headers.closes_connection).then_some(self.headers.idle_timeout)
    }
}

impl From<SendFailure> for AttemptFailure {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::NotConnected(cause) => Self::NotConnected(cause),
            SendFailure::NotSent(cause) => Self::NotSent(cause),
            SendFailure::Withheld => Self::Resting,
            SendFailure::NoAnswer(error) => Self::MayHaveRun(error.to_string()),
            failure @ SendFailure::NoFinalStatus(_) => Self::MayHaveRun(failure.to_string()),
        }
    }
}
