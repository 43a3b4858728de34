//! Moves a stream away from an upstream that is silent.
//!
//! A silent upstream may be lost, or it may go on after a second. Moving its
//! streams early keeps their pauses short if it is lost, but a stream that leaves
//! it and finds no other upstream is cut for nothing. A stream therefore stays at
//! its silent upstream until another one responds, has been sent the call and has not
//! refused it, and whichever sends first goes on. The other one is cancelled, so that
//! both work on the call for [`OVERLAP_MAX`] at most.
//! `docs/RESUME.md` compares this with other ways.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Frame;

use super::attempt::{Answered, Attempt};
use super::forwarder::{Forwarder, NodeContext};
use super::present_answer::{OpenAnswer, PresentAnswer};
use super::probe::responds;
use super::run_replica::lock;
use super::stream_call::{NextUpstream, OpenFailure, StreamRun};
use super::stream_relay::EventSender;
use super::upstream::Upstream;
use super::write_signal::WriteSignal;
use crate::observe::metrics::Counter;
use crate::policy::failure_response::GiveUpReason;
use crate::policy::liveness::OVERLAP_MAX;

/// Maximum number of upstreams that are considered for one move.
const CANDIDATES_MAX: u32 = 3;
/// Age of the last answer or event of an upstream up to which it is not probed
/// before a stream moves to it.
const CONTACT_MAX_AGE: Duration = Duration::from_millis(250);

/// How the attempt to move a stream ended.
pub(super) enum MoveOutcome {
    /// Another upstream has answered, and the connection to the present one is closed.
    /// It may have broken before.
    Moved(Box<Attempt<Answered>>, Option<hyper::Error>),
    /// The present upstream sent the next frame of its answer, or its answer ended.
    GoesOn(OpenAnswer, Option<Result<Frame<Bytes>, hyper::Error>>),
    /// No other upstream can take the stream.
    Stays(OpenAnswer),
    /// The connection to the present upstream is closed, which may have broken before,
    /// and no other upstream has answered, for the given cause.
    Left(String, Option<hyper::Error>),
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
    /// `present`, is silent.
    pub(super) async fn try_move(
        &mut self,
        present: PresentAnswer,
        sender: &EventSender,
    ) -> MoveOutcome {
        let tried_count = self.tried.len();
        let had_upstream_sent_event = self.has_upstream_sent_event;
        let outcome = self.race_move(present, sender).await;
        // Set if the present upstream went on just when the move was prepared.
        if self.next.take().is_some() {
            self.forwarder.budgets.take_back(&self.call.service);
        }
        if !matches!(outcome, MoveOutcome::Moved(..)) && self.tried.len() > tried_count {
            // The slot has the replica of a run that did not begin.
            lock(&self.replica).take();
            self.has_upstream_sent_event = had_upstream_sent_event;
        }
        outcome
    }

    /// Waits for the first of two: the other upstream answers, or the present one
    /// goes on. A present one that can be reached is cancelled [`OVERLAP_MAX`] after the call
    /// was sent to the other, which has not refused it by then, and may work on it long
    /// before it answers.
    async fn race_move(&mut self, mut present: PresentAnswer, sender: &EventSender) -> MoveOutcome {
        let deadline = self.call.deadline;
        let is_prepared = tokio::select! {
            ended = wait_for_end(&mut present, sender, deadline) => return ended.outcome(present),
            is_prepared = self.prepare_move() => is_prepared,
        };
        if !is_prepared {
            return stays(present);
        }
        let written = WriteSignal::default();
        self.next_write = written.clone();
        present.moves_with(written.clone());
        let is_reached = present.is_reached();
        let overlap_ends = async {
            written.wait().await;
            tokio::time::sleep(OVERLAP_MAX).await;
        };
        let opening = self.open();
        tokio::pin!(opening);
        tokio::select! {
            ended = wait_for_end(&mut present, sender, deadline) => return ended.outcome(present),
            opened = &mut opening => return match opened {
                Ok(attempt) => MoveOutcome::Moved(Box::new(attempt), present.close()),
                Err(_) => stays(present),
            },
            () = overlap_ends, if is_reached => {}
        }
        let broke = present.close();
        tokio::select! {
            opened = opening => match opened {
                Ok(attempt) => MoveOutcome::Moved(Box::new(attempt), broke),
                Err(failure) => MoveOutcome::Left(format!("{failure:?}"), broke),
            },
            () = sender.closed() => MoveOutcome::CallerGone,
            () = tokio::time::sleep_until(deadline.into()) => MoveOutcome::TimeOver,
        }
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
        let _turn = self.wait_for_turn().await;
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

/// What ends the wait for another upstream.
enum WaitEnd {
    GoesOn(Option<Result<Frame<Bytes>, hyper::Error>>),
    CallerGone,
    TimeOver,
}

impl WaitEnd {
    fn outcome(self, present: PresentAnswer) -> MoveOutcome {
        match self {
            Self::GoesOn(frame) => MoveOutcome::GoesOn(present.into_parts().0, frame),
            Self::CallerGone => MoveOutcome::CallerGone,
            Self::TimeOver => MoveOutcome::TimeOver,
        }
    }
}

/// Waits until the present upstream goes on, the caller leaves or the deadline passes.
async fn wait_for_end(
    present: &mut PresentAnswer,
    sender: &EventSender,
    deadline: Instant,
) -> WaitEnd {
    tokio::select! {
        frame = present.next_frame() => WaitEnd::GoesOn(frame),
        () = sender.closed() => WaitEnd::CallerGone,
        () = tokio::time::sleep_until(deadline.into()) => WaitEnd::TimeOver,
    }
}

/// The stream stays at its present upstream, unless the connection broke meanwhile.
fn stays(present: PresentAnswer) -> MoveOutcome {
    match present.into_parts() {
        (answer, Some(broke)) => MoveOutcome::GoesOn(answer, Some(Err(broke))),
        (answer, None) => MoveOutcome::Stays(answer),
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
