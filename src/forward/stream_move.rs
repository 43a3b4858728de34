//! Moves a stream away from an upstream that is silent.
//!
//! A silent upstream may be lost, or it may go on after a second. Moving its
//! streams early keeps their pauses short if it is lost, but a stream that leaves
//! it and finds no other upstream is cut for nothing. A stream therefore stays at
//! its silent upstream until another one has answered, and whichever sends first
//! goes on. The other one is cancelled at once, so the call never runs at both.
//! `docs/RESUME.md` compares this with other ways.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};

use super::attempt::{Answered, Attempt};
use super::forwarder::{Forwarder, NodeContext};
use super::probe::responds;
use super::run_replica::lock;
use super::stream_call::{NextUpstream, OpenFailure, StreamRun};
use super::stream_relay::EventSender;
use super::upstream::Upstream;
use crate::observe::metrics::Counter;
use crate::policy::failure_response::GiveUpReason;

/// Maximum number of upstreams that are considered for one move.
const CANDIDATES_MAX: u32 = 3;
/// Age of the last answer or event of an upstream up to which it is not probed
/// before a stream moves to it.
const CONTACT_MAX_AGE: Duration = Duration::from_millis(250);

/// How the attempt to move a stream ended.
pub(super) enum MoveOutcome {
    /// Another upstream has answered. The connection to the present one may have
    /// broken in the meantime.
    Moved(Box<Attempt<Answered>>, Option<hyper::Error>),
    /// The present upstream sent the next frame of its answer, or its answer ended.
    GoesOn(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// No other upstream can take the stream.
    Stays,
    /// The caller has disconnected.
    CallerGone,
    /// The deadline of the call has passed.
    TimeOver,
}

impl<N: NodeContext> StreamRun<N> {
    /// Chooses and pays for the next upstream, and returns whether there is one. The
    /// next [`Self::open`] uses it.
    pub(super) async fn prepare_move(&mut self) -> bool {
        match self.next_responsive_upstream().await {
            Ok(next) => {
                self.next = Some(next);
                true
            }
            Err(failure) => {
                log::info!(
                    "event=stream_held call={} cause={failure:?} silent_ms={} sends={} age_ms={}",
                    self.call.id(),
                    self.silence().as_millis(),
                    self.sends.sent_count(),
                    self.call.age().as_millis()
                );
                false
            }
        }
    }

    /// Opens the stream at another upstream while the present one, whose answer is
    /// `body`, is silent.
    pub(super) async fn try_move(
        &mut self,
        body: &mut Incoming,
        sender: &EventSender,
    ) -> MoveOutcome {
        let tried_count = self.tried.len();
        let had_upstream_sent_event = self.has_upstream_sent_event;
        let outcome = self.race_move(body, sender).await;
        if !matches!(outcome, MoveOutcome::Moved(..)) && self.tried.len() > tried_count {
            // The slot has the replica of a run that did not begin.
            lock(&self.replica).take();
            self.has_upstream_sent_event = had_upstream_sent_event;
        }
        outcome
    }

    /// Waits for the first of two: the other upstream answers, or the present one
    /// goes on.
    async fn race_move(&mut self, body: &mut Incoming, sender: &EventSender) -> MoveOutcome {
        let deadline = self.call.deadline.into();
        let opening = self.open_elsewhere();
        tokio::pin!(opening);
        let mut error = None;
        loop {
            let opened = tokio::select! {
                frame = body.frame(), if error.is_none() => match frame {
                    Some(Err(broken)) => {
                        error = Some(broken);
                        continue;
                    }
                    frame => return MoveOutcome::GoesOn(frame),
                },
                opened = &mut opening => opened,
                () = sender.closed() => return MoveOutcome::CallerGone,
                () = tokio::time::sleep_until(deadline) => return MoveOutcome::TimeOver,
            };
            return match (opened, error) {
                (Ok(attempt), error) => MoveOutcome::Moved(Box::new(attempt), error),
                (Err(_), Some(error)) => MoveOutcome::GoesOn(Some(Err(error))),
                (Err(_), None) => MoveOutcome::Stays,
            };
        }
    }

    async fn open_elsewhere(&mut self) -> Result<Attempt<Answered>, OpenFailure> {
        if !self.prepare_move().await {
            return Err(OpenFailure::given_up(
                GiveUpReason::UpstreamsFailed,
                "the stream cannot move",
            ));
        }
        self.open().await
    }

    /// Chooses an upstream that responds, and spends a retry for it.
    async fn next_responsive_upstream(&self) -> Result<NextUpstream, OpenFailure> {
        if !self.may_repeat() {
            return Err(OpenFailure::given_up(
                GiveUpReason::UpstreamsFailed,
                "the stream must not run twice",
            ));
        }
        self.check_may_send()?;
        for _ in 0..CANDIDATES_MAX {
            let upstream = self.choose_upstream().await?;
            if self.forwarder.responds(&upstream).await {
                self.spend_retry().await?;
                return Ok(self.next_at(upstream));
            }
            self.exclude(&upstream);
        }
        Err(OpenFailure::given_up(
            GiveUpReason::NoUpstream,
            "no other upstream responds",
        ))
    }

    /// Ranks an upstream that does not respond behind all others for a while. It is
    /// not declared lost: only the streams that run at it can tell whether it is.
    fn exclude(&self, upstream: &Arc<Upstream>) {
        upstream.avoid(Instant::now());
        lock(&self.replica).take_if(|replica| Arc::ptr_eq(&replica.holder, upstream));
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Whether the upstream responds: it sent something just now, or answers a
    /// probe.
    async fn responds(&self, upstream: &Arc<Upstream>) -> bool {
        let silence = upstream.time_since_contact(Instant::now());
        if silence.is_some_and(|silence| silence < CONTACT_MAX_AGE) {
            return true;
        }
        self.metrics.add(Counter::EngineProbes, 1);
        responds(upstream).await
    }
}
