//! Sending a call to one upstream, and what is known afterwards.
//!
//! A call is unsent, sent or answered, and each state allows only what is
//! true in it: only an [`Attempt<Unsent>`] can be given up as not run, and an
//! [`Attempt<Answered>`] alone has an answer to pass on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::connection::{Connection, SendFailure};
use super::probe::LossReason;
use super::request::Call;
use super::upstream::{Upstream, UpstreamId, Work};
use crate::platform::answer::{self, AnswerHeaders};
use crate::policy::answer_class::{AnswerClass, classify};

/// No byte of the call left this node.
#[derive(Debug)]
pub(crate) struct Unsent {
    request: Request<Full<Bytes>>,
}

/// The head of an answer to the call has arrived.
#[derive(Debug)]
pub(crate) struct Answered {
    /// The connection, which goes back to its pool after the body.
    pub(crate) connection: Connection,
    /// The answer.
    pub(crate) response: Response<Incoming>,
    /// What its head says.
    pub(crate) headers: AnswerHeaders,
}

/// One sending of one call to one upstream.
#[derive(Debug)]
pub(crate) struct Attempt<S> {
    /// The upstream.
    pub(crate) upstream: Arc<Upstream>,
    /// The work that is counted there.
    pub(crate) work: Work,
    /// How far the sending has come.
    pub(crate) state: S,
}

/// What is known after a sending that brought no answer to pass on.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendOutcome {
    /// No byte left this node.
    #[error("nothing was sent: {0}")]
    NotSent(&'static str),
    /// The upstream states that it did not run the call.
    #[error("it did not run the call")]
    NotExecuted,
    /// The address belongs to another upstream, which did not run the call and
    /// may have said its name.
    #[error("another upstream has its address")]
    Misdirected(Option<UpstreamId>),
    /// The upstream may have run the call.
    #[error("it may have run the call: {0}")]
    MayHaveRun(String),
    /// The same, and the upstream fell silent or made no progress.
    #[error("it fell silent: {0:?}")]
    Silent(LossReason),
}

impl Attempt<Unsent> {
    /// Prepares a sending.
    pub(crate) fn new(upstream: Arc<Upstream>, work: Work, request: Request<Full<Bytes>>) -> Self {
        Self {
            upstream,
            work,
            state: Unsent { request },
        }
    }

    /// Sends the call and waits for the head of the answer.
    ///
    /// Dropping the future closes the connection, which cancels the call.
    pub(crate) async fn send(self, call: &Call) -> Result<Attempt<Answered>, SendOutcome> {
        let Self {
            upstream,
            work,
            state: Unsent { request },
        } = self;
        let mut connection = upstream.pool.take().await.map_err(SendOutcome::from)?;
        let sent = match connection.send(request.clone()).await {
            // A kept connection that had closed took nothing with it.
            Err(SendFailure::NotSent(_)) if connection.is_reused() => {
                connection = upstream.pool.open().await.map_err(SendOutcome::from)?;
                connection.send(request).await
            }
            sent => sent,
        };
        let response = sent.map_err(SendOutcome::from)?;
        let headers = answer::read(
            response.status(),
            response.headers(),
            call.headers.call_id.as_ref(),
        );
        let attempt = Attempt {
            upstream,
            work,
            state: Answered {
                connection,
                response,
                headers,
            },
        };
        attempt.check()
    }
}

impl Attempt<Answered> {
    fn check(self) -> Result<Self, SendOutcome> {
        match classify(&self.state.headers) {
            AnswerClass::Final | AnswerClass::Failed => {
                self.upstream.record_contact(Instant::now());
                Ok(self)
            }
            AnswerClass::NotExecuted => {
                self.upstream.record_contact(Instant::now());
                Err(SendOutcome::NotExecuted)
            }
            AnswerClass::Misdirected => {
                let actual = answer::actual_upstream(self.state.response.headers());
                Err(SendOutcome::Misdirected(actual))
            }
            AnswerClass::Foreign => Err(SendOutcome::MayHaveRun(format!(
                "status {} of another call or no upstream's",
                self.state.headers.status.as_u16()
            ))),
        }
    }
}

impl Answered {
    /// How long the connection may be kept, if it may be kept at all.
    pub(crate) fn reuse(&self) -> Option<Option<Duration>> {
        (!self.headers.closes).then_some(self.headers.idle_timeout)
    }
}

impl From<SendFailure> for SendOutcome {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::NotSent(cause) => Self::NotSent(cause),
            SendFailure::NoAnswer(error) => Self::MayHaveRun(error.to_string()),
        }
    }
}
