//! One attempt of a generation: a stream of tokens from one runner.
//!
//! An attempt ends with the complete answer or is lost. A broken connection is
//! a loss at once. A silent stream is lost only when a probe shows that its
//! runner is gone, or after a much longer time, because a slow runner must not
//! be mistaken for a dead one. See `docs/RESUME.md`.

use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::task::JoinHandle;

use crate::caller::event_id::AttemptId;
use crate::caller::sse::{EventBuffer, EventTooLarge};
use crate::configuration::config::CallerPolicy;
use crate::fleet::in_flight::InFlightStream;
use crate::fleet::runner;
use crate::generation::delivery::{Added, Delivery};
use crate::generation::runner_probe::{ProbeResult, probe_result, probe_runner};
use crate::generation::silence::SilenceDetector;
use crate::generation::stream_guard::StreamGuard;
use crate::id::Incarnation;

/// What happened to an attempt; outcome of [`Attempt::next_step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Tokens were added to the [`Delivery`].
    Tokens,
    /// The answer is complete.
    Ended,
    /// The attempt has been silent for so long that a standby attempt should be
    /// opened at another runner.
    OpenStandby,
    /// The attempt is lost.
    Lost(Loss),
}

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The connection broke, as it does when the runner dies.
    Reset,
    /// The stream was silent, and the runner's host could not be reached, the runner
    /// stood still for too long, or it has restarted since.
    Silence,
    /// The runner answers probes, but the stream sends no tokens.
    Stalled,
    /// The runner skipped a token or sent a malformed event.
    Protocol,
}

/// Whether a standby attempt is open beside an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StandbyState {
    /// One is open.
    Open,
    /// None is open, and one may be.
    Allowed,
    /// None is open, and none can be.
    Forbidden,
}

/// An attempt whose stream is open: reads the stream and detects its loss.
#[derive(Debug)]
pub(crate) struct Attempt {
    id: AttemptId,
    id_prefix: String,
    guard: StreamGuard,
    incarnation: Incarnation,
    queued: bool,
    body: Incoming,
    buffer: EventBuffer,
    in_flight: InFlightStream,
    silence: SilenceDetector,
    probe: Option<JoinHandle<ProbeResult>>,
}

/// A stream that a runner has opened, with what an [`Attempt`] needs to read it.
pub(crate) struct OpenedStream {
    pub(crate) id: AttemptId,
    /// Cancels the stream when it is no longer needed.
    pub(crate) guard: StreamGuard,
    /// Incarnation of the runner that opened the stream; 0 if unknown.
    pub(crate) incarnation: Incarnation,
    /// Counts the stream as in flight at the runner.
    pub(crate) in_flight: InFlightStream,
    /// Whether the runner had no free slot and queued the stream.
    pub(crate) queued: bool,
    /// The runner's response, whose body is the stream.
    pub(crate) response: Response<Incoming>,
}

impl Attempt {
    /// Makes the attempt that reads a stream which a runner has opened.
    pub(crate) fn new(opened: OpenedStream, policy: CallerPolicy) -> Self {
        Self {
            id_prefix: format!("id: {}.", opened.id),
            id: opened.id,
            guard: opened.guard,
            incarnation: opened.incarnation,
            queued: opened.queued,
            body: opened.response.into_body(),
            buffer: EventBuffer::default(),
            in_flight: opened.in_flight,
            silence: SilenceDetector::new(policy, Instant::now()),
            probe: None,
        }
    }

    pub(crate) fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Whether the runner had no free slot and queued the attempt.
    pub(crate) fn is_queued(&self) -> bool {
        self.queued
    }

    /// The runner that serves the attempt, with its incarnation.
    pub(crate) fn runner_incarnation(&self) -> (String, Incarnation) {
        (self.id.runner.clone(), self.incarnation)
    }

    /// Waits for the attempt's next step. [`Step::OpenStandby`] comes only with
    /// [`StandbyState::Allowed`].
    pub(crate) async fn next_step(
        &mut self,
        delivery: &mut Delivery,
        standby: StandbyState,
    ) -> Step {
        loop {
            match self.drain(delivery) {
                Drained::Nothing => {}
                Drained::Tokens => return Step::Tokens,
                Drained::Ended => {
                    self.guard.release();
                    return Step::Ended;
                }
                Drained::Invalid => return Step::Lost(Loss::Protocol),
            }
            let waiting_since = Instant::now();
            let wake_at = self.silence.wake_at(standby);
            let wake_at = wake_at.map(|at| at.max(waiting_since));
            tokio::select! {
                biased;
                frame = self.body.frame() => {
                    let Some(Ok(frame)) = frame else {
                        return Step::Lost(Loss::Reset);
                    };
                    if self.buffer_frames(frame.into_data().ok()).is_err() {
                        return Step::Lost(Loss::Protocol);
                    }
                }
                result = probe_result(&mut self.probe) => {
                    self.probe = None;
                    let now = Instant::now();
                    if let Some(loss) = self.silence.apply_probe_result(result, standby, now) {
                        return Step::Lost(loss);
                    }
                }
                wake_at = sleep_until(wake_at) => {
                    let now = Instant::now();
                    if now - wake_at > self.silence.wake_delay_max() {
                        // This process was paused and could not read the stream, so
                        // the silence says nothing about the runner.
                        self.silence.restart(now);
                        continue;
                    }
                    if standby == StandbyState::Allowed && self.silence.request_standby_if_due(now) {
                        return Step::OpenStandby;
                    }
                    self.probe_if_due(standby, now);
                }
            }
        }
    }

    /// Restarts the measurement of silence after a slow delivery to the caller,
    /// during which this stream was not read.
    pub(crate) fn restart_silence(&mut self) {
        self.silence.restart(Instant::now());
    }

    /// Tells the runner to stop the stream, whose tokens are no longer needed.
    pub(crate) fn cancel(self) {
        self.guard.cancel();
    }

    /// Leaves the stream to its runner when the attempt is dropped, because the
    /// caller has an event id with which it may come back for it.
    pub(crate) fn keep_for_caller(&mut self) {
        self.guard.release();
    }

    fn buffer_frames(&mut self, first: Option<Bytes>) -> Result<(), EventTooLarge> {
        let mut data = first;
        loop {
            if let Some(data) = data {
                self.buffer.push(&data)?;
            }
            // Data that has already arrived goes to the caller in the same write.
            match self.body.frame().now_or_never() {
                Some(Some(Ok(frame))) => data = frame.into_data().ok(),
                _ => return Ok(()),
            }
        }
    }

    fn drain(&mut self, delivery: &mut Delivery) -> Drained {
        let mut drained = Drained::Nothing;
        while let Some(event) = self.buffer.next() {
            if event.data.as_ref() == runner::DONE {
                // Tokens before the end are delivered in a step of their own.
                if drained == Drained::Tokens {
                    self.buffer.put_back_done();
                    break;
                }
                return Drained::Ended;
            }
            match delivery.add(&event, &self.id_prefix) {
                Added::Token => drained = Drained::Tokens,
                Added::Repeated => {}
                Added::Invalid => return Drained::Invalid,
            }
        }
        if drained == Drained::Tokens {
            let now = Instant::now();
            self.silence.token_received(now);
            self.in_flight.record_token(now);
            self.probe = None;
        }
        drained
    }

    fn probe_if_due(&mut self, standby: StandbyState, now: Instant) {
        if self.probe.is_some() || !self.silence.is_probe_due(now) {
            return;
        }
        let window = self.silence.probe_window();
        if self.in_flight.runner_silence(now) < window / 2 {
            // Other streams of the runner receive tokens, so it is alive. Only
            // half the window counts: when a runner dies, the last tokens of
            // its streams arrive at slightly different times.
            self.silence
                .apply_probe_result(ProbeResult::Alive, standby, now);
            return;
        }
        let client = self.guard.client().clone();
        let address = self.guard.address();
        let incarnation = self.incarnation;
        self.silence.probe_started();
        self.probe = Some(tokio::spawn(async move {
            probe_runner(client, address, incarnation, window).await
        }));
    }
}

/// Sleeps until `wake_at` and returns it; waits for ever if there is none.
async fn sleep_until(wake_at: Option<Instant>) -> Instant {
    match wake_at {
        Some(at) => {
            tokio::time::sleep_until(at.into()).await;
            at
        }
        None => std::future::pending().await,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drained {
    Nothing,
    Tokens,
    Ended,
    Invalid,
}
