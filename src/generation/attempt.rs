//! One attempt of a generation: a stream of tokens from one runner.
//!
//! An attempt ends with the complete answer or is lost. A broken connection is
//! a loss at once. A silent stream is lost only when a probe shows that its
//! runner is gone, or after a much longer time, because a slow runner must not
//! be mistaken for a dead one. See `docs/RESUME.md`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::task::JoinHandle;

use crate::caller::event_id::AttemptId;
use crate::caller::sse::{Event, EventBuffer, escaped_text, parse_index};
use crate::configuration::config::CallerPolicy;
use crate::fleet::runner::{self, RunnerClient, StreamKey};
use crate::fleet::table::InFlightStream;
use crate::id::{Incarnation, TokenIndex};

/// Weight of the newest gap between tokens in the moving average of the gaps.
const GAP_EWMA_WEIGHT: f64 = 0.1;
/// A stream counts as silent after this many mean gaps between tokens at the
/// earliest, even if the caller's policy sets a shorter time.
const SILENCE_MIN_GAPS: f64 = 4.0;
/// Upper limit of the silence that is derived from the mean gap.
const GAP_SILENCE_MAX: Duration = Duration::from_secs(5);
/// While a runner answers probes, its silent stream counts as lost only after
/// this many times the silence that is allowed if the runner does not answer.
const STALL_FACTOR: u32 = 10;

/// How long a runner that answers probes may take to send the first token,
/// including the time in its queue.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(60);

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
    /// The stream was silent, and the runner did not answer a probe or has
    /// restarted since.
    Silence,
    /// The runner answers probes, but the stream sends no tokens.
    Stalled,
    /// The runner skipped a token or sent a malformed event.
    Protocol,
}

/// The tokens of one generation, as received from runners for the caller.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// Index of the next token.
    pub(crate) next_index: TokenIndex,
    /// Text of all tokens before `next_index`, as escaped JSON.
    pub(crate) escaped_text: BytesMut,
    /// Events not yet sent to the caller.
    pub(crate) unsent: BytesMut,
    /// Number of tokens that were received again and dropped.
    pub(crate) repeated_count: u64,
}

/// An attempt whose stream is open: reads the stream and detects its loss.
#[derive(Debug)]
pub(crate) struct Attempt {
    id: AttemptId,
    id_prefix: String,
    key: StreamKey,
    address: SocketAddr,
    incarnation: Incarnation,
    queued: bool,
    client: RunnerClient,
    body: Incoming,
    buffer: EventBuffer,
    in_flight: InFlightStream,
    silence: SilenceDetector,
    probe: Option<JoinHandle<ProbeResult>>,
}

/// A stream that a runner has opened, with what an [`Attempt`] needs to read it.
pub(crate) struct OpenedStream {
    pub(crate) id: AttemptId,
    /// Name of the stream at the runner.
    pub(crate) key: StreamKey,
    /// Address of the runner.
    pub(crate) address: SocketAddr,
    /// Incarnation of the runner that opened the stream; 0 if unknown.
    pub(crate) incarnation: Incarnation,
    /// Counts the stream as in flight at the runner.
    pub(crate) in_flight: InFlightStream,
    /// Whether the runner had no free slot and queued the stream.
    pub(crate) queued: bool,
    /// The runner's response, whose body is the stream.
    pub(crate) response: Response<Incoming>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeResult {
    Alive,
    Gone,
    Inconclusive,
}

impl Attempt {
    /// Makes the attempt that reads a stream which a runner has opened.
    pub(crate) fn new(opened: OpenedStream, client: RunnerClient, policy: CallerPolicy) -> Self {
        Self {
            id_prefix: format!("id: {}.", opened.id),
            id: opened.id,
            key: opened.key,
            address: opened.address,
            incarnation: opened.incarnation,
            queued: opened.queued,
            client,
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

    /// Waits for the attempt's next step. [`Step::OpenStandby`] comes only if
    /// `may_open_standby`.
    pub(crate) async fn next_step(
        &mut self,
        delivery: &mut Delivery,
        may_open_standby: bool,
    ) -> Step {
        loop {
            match self.drain(delivery) {
                Drained::Nothing => {}
                Drained::Tokens => return Step::Tokens,
                Drained::Ended => return Step::Ended,
                Drained::Invalid => return Step::Lost(Loss::Protocol),
            }
            let waiting_since = Instant::now();
            let wake_at = self.silence.wake_at(may_open_standby).max(waiting_since);
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
                    if let Some(loss) = self.silence.apply_probe_result(result, Instant::now()) {
                        return Step::Lost(loss);
                    }
                }
                () = tokio::time::sleep_until(wake_at.into()) => {
                    let now = Instant::now();
                    if now - wake_at > self.silence.wake_delay_max() {
                        // This process was paused and could not read the stream, so
                        // the silence says nothing about the runner.
                        self.silence.restart(now);
                        continue;
                    }
                    if may_open_standby && self.silence.request_standby_if_due(now) {
                        return Step::OpenStandby;
                    }
                    self.probe_if_due(now);
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
        tokio::spawn(async move { self.client.cancel(self.address, &self.key).await });
    }

    fn buffer_frames(
        &mut self,
        first: Option<Bytes>,
    ) -> Result<(), crate::caller::sse::EventTooLarge> {
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

    fn probe_if_due(&mut self, now: Instant) {
        if self.probe.is_some() || !self.silence.is_probe_due(now) {
            return;
        }
        let window = self.silence.probe_window();
        if self.in_flight.runner_silence(now) < window / 2 {
            // Other streams of the runner receive tokens, so it is alive. Only
            // half the window counts: when a runner dies, the last tokens of
            // its streams arrive at slightly different times.
            self.silence.apply_probe_result(ProbeResult::Alive, now);
            return;
        }
        let client = self.client.clone();
        let address = self.address;
        let incarnation = self.incarnation;
        self.silence.probe_started();
        self.probe = Some(tokio::spawn(async move {
            probe(client, address, incarnation, window).await
        }));
    }
}

/// Asks a runner for a report within `window` to find out whether the
/// incarnation that holds the stream is still running.
async fn probe(
    client: RunnerClient,
    address: SocketAddr,
    incarnation: Incarnation,
    window: Duration,
) -> ProbeResult {
    let asked_at = Instant::now();
    let report = client.report(address, window).await;
    match report {
        Ok(report) if report.incarnation == incarnation || incarnation == 0 => ProbeResult::Alive,
        // The runner has restarted since it opened the stream.
        Ok(_) => ProbeResult::Gone,
        // The time-out fired far too late, so this process was paused.
        Err(_) if asked_at.elapsed() > window * 2 => ProbeResult::Inconclusive,
        Err(_) => ProbeResult::Gone,
    }
}

/// Waits for the result of the probe; waits for ever if none is running.
async fn probe_result(probe: &mut Option<JoinHandle<ProbeResult>>) -> ProbeResult {
    match probe {
        Some(handle) => handle.await.unwrap_or(ProbeResult::Inconclusive),
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

enum Added {
    Token,
    Repeated,
    Invalid,
}

impl Delivery {
    fn add(&mut self, event: &Event, id_prefix: &str) -> Added {
        let Some(index) = parse_index(&event.id) else {
            return Added::Invalid;
        };
        if index < self.next_index {
            self.repeated_count += 1;
            return Added::Repeated;
        }
        if index > self.next_index {
            return Added::Invalid;
        }
        let Some(text) = escaped_text(&event.data) else {
            return Added::Invalid;
        };
        self.escaped_text.extend_from_slice(&text);
        self.unsent.extend_from_slice(id_prefix.as_bytes());
        self.unsent.extend_from_slice(&event.id);
        self.unsent.extend_from_slice(b"\ndata: ");
        self.unsent.extend_from_slice(&event.data);
        self.unsent.extend_from_slice(b"\n\n");
        self.next_index += 1;
        Added::Token
    }
}

/// Decides when the silence of one stream calls for a standby attempt or a
/// probe, and when the stream is lost.
#[derive(Debug)]
struct SilenceDetector {
    policy: CallerPolicy,
    mean_gap_s: f64,
    silent_since: Instant,
    probe_at: Instant,
    probe_running: bool,
    standby_requested: bool,
}

impl SilenceDetector {
    fn new(policy: CallerPolicy, now: Instant) -> Self {
        let mut detector = Self {
            policy,
            mean_gap_s: 0.0,
            silent_since: now,
            probe_at: now,
            probe_running: false,
            standby_requested: false,
        };
        detector.restart(now);
        detector
    }

    fn token_received(&mut self, now: Instant) {
        let gap_s = (now - self.silent_since).as_secs_f64();
        self.mean_gap_s += GAP_EWMA_WEIGHT * (gap_s - self.mean_gap_s);
        self.restart(now);
    }

    fn restart(&mut self, now: Instant) {
        self.silent_since = now;
        self.probe_at = now + self.probe_window();
        self.probe_running = false;
        self.standby_requested = false;
    }

    /// Half of `give_up_after`: the silence before a probe, and the time that
    /// the probe may take.
    fn probe_window(&self) -> Duration {
        self.extend_to_min_gaps(self.policy.give_up_after / 2)
    }

    /// Extends a time from the policy to [`SILENCE_MIN_GAPS`] mean gaps, so that a
    /// slow stream is not taken for a silent one.
    fn extend_to_min_gaps(&self, setting: Duration) -> Duration {
        let gaps = Duration::from_secs_f64(self.mean_gap_s * SILENCE_MIN_GAPS);
        setting.max(gaps.min(GAP_SILENCE_MAX))
    }

    fn standby_at(&self) -> Option<Instant> {
        // Before the first token, silence means that the request is queued or
        // that a long prompt is in prefill; a second attempt would only add load.
        let prepare_after = self.policy.prepare_after.filter(|_| self.has_token())?;
        Some(self.silent_since + self.extend_to_min_gaps(prepare_after))
    }

    fn wake_at(&self, may_open_standby: bool) -> Instant {
        let probe_at = if self.probe_running {
            // While a probe runs, its result normally wakes the attempt before
            // this time. If the silence has already lasted until this time, the
            // attempt polls the probe without a pause.
            self.silent_since + GAP_SILENCE_MAX * STALL_FACTOR
        } else {
            self.probe_at
        };
        match self
            .standby_at()
            .filter(|_| may_open_standby && !self.standby_requested)
        {
            Some(standby_at) => standby_at.min(probe_at),
            None => probe_at,
        }
    }

    fn has_token(&self) -> bool {
        self.mean_gap_s > 0.0
    }

    fn stall_timeout(&self) -> Duration {
        if !self.has_token() {
            return FIRST_TOKEN_TIMEOUT;
        }
        self.extend_to_min_gaps(self.policy.give_up_after) * STALL_FACTOR
    }

    /// Maximum delay of a wake-up; a longer one shows that this process was
    /// paused.
    fn wake_delay_max(&self) -> Duration {
        self.policy.give_up_after / 4
    }

    /// Whether a standby attempt should be opened; true once per silence.
    fn request_standby_if_due(&mut self, now: Instant) -> bool {
        let is_due = !self.standby_requested && self.standby_at().is_some_and(|at| at <= now);
        self.standby_requested |= is_due;
        is_due
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        !self.probe_running && self.probe_at <= now
    }

    fn probe_started(&mut self) {
        self.probe_running = true;
    }

    fn apply_probe_result(&mut self, result: ProbeResult, now: Instant) -> Option<Loss> {
        self.probe_running = false;
        self.probe_at = now + self.probe_window();
        let stall_timeout = self.stall_timeout();
        match result {
            ProbeResult::Gone => Some(Loss::Silence),
            ProbeResult::Alive if now - self.silent_since > stall_timeout => Some(Loss::Stalled),
            ProbeResult::Alive | ProbeResult::Inconclusive => None,
        }
    }
}
