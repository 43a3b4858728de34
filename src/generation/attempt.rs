//! One attempt of a generation: a stream of tokens from one runner.
//!
//! An attempt ends whole or is lost. A broken connection is a loss at once;
//! silence is one when the runner itself no longer answers, because a slow
//! runner must not be mistaken for a dead one. See `docs/RESUME.md`.

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

/// Weight of the newest gap between tokens in the mean.
const GAP_WEIGHT: f64 = 0.1;
/// Silence counts from this many mean gaps, however short the setting.
const GAPS_OF_SILENCE: f64 = 4.0;
/// Longest silence without a probe.
const SILENCE_MAX: Duration = Duration::from_secs(5);
/// A stream whose runner answers probes is given up after this many times the
/// silence that would have given up a mute one.
const STUCK_FACTOR: u32 = 10;

/// How long a live runner may take over the first token, its queue included.
const FIRST_TOKEN_MAX: Duration = Duration::from_secs(60);

/// What an attempt did next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Tokens were added to what is to be delivered.
    Tokens,
    /// The answer is whole.
    Ended,
    /// The attempt has gone silent for so long that a second is worth opening.
    Prepare,
    /// The attempt is lost.
    Lost(Loss),
}

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The connection broke, as it does when the runner dies.
    Reset,
    /// Neither the stream nor the runner gave any sign.
    Silence,
    /// The runner answers, but the stream does not move.
    Stuck,
    /// The runner left out a token or sent what is no event.
    Protocol,
}

/// The tokens of one generation on their way to the caller.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// Index of the next token.
    pub(crate) next_index: TokenIndex,
    /// Text of all tokens before it, as escaped JSON.
    pub(crate) escaped_text: BytesMut,
    /// Events that are yet to be sent.
    pub(crate) unsent: BytesMut,
    /// Tokens that came twice and were dropped.
    pub(crate) repeated_count: u64,
}

/// An open attempt.
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
    probe: Option<JoinHandle<Probe>>,
}

/// What is needed to follow a stream that a runner has opened.
pub(crate) struct OpenedStream {
    /// The attempt.
    pub(crate) id: AttemptId,
    /// Name of the stream at the runner.
    pub(crate) key: StreamKey,
    /// Where the runner listens.
    pub(crate) address: SocketAddr,
    /// The life of the runner that opened it.
    pub(crate) incarnation: Incarnation,
    /// Counts the stream.
    pub(crate) in_flight: InFlightStream,
    /// Whether the runner had no free slot for it.
    pub(crate) queued: bool,
    /// The runner's answer.
    pub(crate) response: Response<Incoming>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    Alive,
    Mute,
    Inconclusive,
}

impl Attempt {
    /// Follows a stream that a runner has opened.
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

    /// The attempt's name.
    pub(crate) fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Whether the runner had no free slot for the attempt.
    pub(crate) fn is_queued(&self) -> bool {
        self.queued
    }

    /// The life of the runner that carries the attempt.
    pub(crate) fn runner_life(&self) -> (String, Incarnation) {
        (self.id.runner.clone(), self.incarnation)
    }

    /// Waits for what the attempt does next.
    pub(crate) async fn next(&mut self, delivery: &mut Delivery, may_prepare: bool) -> Step {
        loop {
            match self.drain(delivery) {
                Drained::Nothing => {}
                Drained::Tokens => return Step::Tokens,
                Drained::Ended => return Step::Ended,
                Drained::Broken => return Step::Lost(Loss::Protocol),
            }
            let armed_at = Instant::now();
            let wake_at = self.silence.wake_at(may_prepare).max(armed_at);
            tokio::select! {
                biased;
                frame = self.body.frame() => {
                    let Some(Ok(frame)) = frame else {
                        return Step::Lost(Loss::Reset);
                    };
                    if self.take_frames(frame.into_data().ok()).is_err() {
                        return Step::Lost(Loss::Protocol);
                    }
                }
                probe = joined(&mut self.probe) => {
                    self.probe = None;
                    if let Some(loss) = self.silence.probed(probe, Instant::now()) {
                        return Step::Lost(loss);
                    }
                }
                () = tokio::time::sleep_until(wake_at.into()) => {
                    let now = Instant::now();
                    if now - wake_at > self.silence.lag_max() {
                        // This process was paused, so the silence is its own.
                        self.silence.restart(now);
                        continue;
                    }
                    if may_prepare && self.silence.wants_standby(now) {
                        return Step::Prepare;
                    }
                    self.probe_if_due(now);
                }
            }
        }
    }

    /// Notes that the caller took long over earlier tokens, during which this
    /// stream was not read.
    pub(crate) fn was_held_up(&mut self) {
        self.silence.restart(Instant::now());
    }

    /// Tells the runner that nobody wants the attempt any more.
    pub(crate) fn cancel(self) {
        tokio::spawn(async move { self.client.cancel(self.address, &self.key).await });
    }

    fn take_frames(
        &mut self,
        first: Option<Bytes>,
    ) -> Result<(), crate::caller::sse::EventTooLarge> {
        let mut data = first;
        loop {
            if let Some(data) = data {
                self.buffer.push(&data)?;
            }
            // What has arrived meanwhile goes to the caller in the same write.
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
                // Tokens before the end are delivered first.
                if drained == Drained::Tokens {
                    self.buffer.put_back_done();
                    break;
                }
                return Drained::Ended;
            }
            match delivery.add(&event, &self.id_prefix) {
                Added::Token => drained = Drained::Tokens,
                Added::Repeated => {}
                Added::Broken => return Drained::Broken,
            }
        }
        if drained == Drained::Tokens {
            let now = Instant::now();
            self.silence.token_came(now);
            self.in_flight.record_token(now);
            self.probe = None;
        }
        drained
    }

    fn probe_if_due(&mut self, now: Instant) {
        if self.probe.is_some() || !self.silence.is_probe_due(now) {
            return;
        }
        let window = self.silence.probe_time();
        if self.in_flight.runner_silence(now) < window / 2 {
            // Other streams of the runner move, so it is alive. Streams that
            // fell silent together had their last tokens a little apart.
            self.silence.probed(Probe::Alive, now);
            return;
        }
        let client = self.client.clone();
        let address = self.address;
        let incarnation = self.incarnation;
        self.silence.probe_begins();
        self.probe = Some(tokio::spawn(async move {
            probe(client, address, incarnation, window).await
        }));
    }
}

/// Asks a runner for a sign of life within `window`.
async fn probe(
    client: RunnerClient,
    address: SocketAddr,
    incarnation: Incarnation,
    window: Duration,
) -> Probe {
    let asked_at = Instant::now();
    let report = client.report(address, window).await;
    match report {
        Ok(report) if report.incarnation == incarnation || incarnation == 0 => Probe::Alive,
        // The runner lives again, but not the life that held the stream.
        Ok(_) => Probe::Mute,
        Err(_) if asked_at.elapsed() > window * 2 => Probe::Inconclusive,
        Err(_) => Probe::Mute,
    }
}

async fn joined(probe: &mut Option<JoinHandle<Probe>>) -> Probe {
    match probe {
        Some(handle) => handle.await.unwrap_or(Probe::Inconclusive),
        None => std::future::pending().await,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drained {
    Nothing,
    Tokens,
    Ended,
    Broken,
}

enum Added {
    Token,
    Repeated,
    Broken,
}

impl Delivery {
    fn add(&mut self, event: &Event, id_prefix: &str) -> Added {
        let Some(index) = parse_index(&event.id) else {
            return Added::Broken;
        };
        if index < self.next_index {
            self.repeated_count += 1;
            return Added::Repeated;
        }
        if index > self.next_index {
            return Added::Broken;
        }
        let Some(text) = escaped_text(&event.data) else {
            return Added::Broken;
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

/// Decides when the silence of one stream is worth acting on.
#[derive(Debug)]
struct SilenceDetector {
    policy: CallerPolicy,
    mean_gap_s: f64,
    silent_since: Instant,
    probe_at: Instant,
    probing: bool,
    prepared: bool,
}

impl SilenceDetector {
    fn new(policy: CallerPolicy, now: Instant) -> Self {
        let mut watch = Self {
            policy,
            mean_gap_s: 0.0,
            silent_since: now,
            probe_at: now,
            probing: false,
            prepared: false,
        };
        watch.restart(now);
        watch
    }

    fn token_came(&mut self, now: Instant) {
        let gap_s = (now - self.silent_since).as_secs_f64();
        self.mean_gap_s += GAP_WEIGHT * (gap_s - self.mean_gap_s);
        self.restart(now);
    }

    fn restart(&mut self, now: Instant) {
        self.silent_since = now;
        self.probe_at = now + self.probe_time();
        self.probing = false;
        self.prepared = false;
    }

    /// Half of the time to give up is silence, the other half a probe.
    fn probe_time(&self) -> Duration {
        self.at_least_some_gaps(self.policy.give_up_after / 2)
    }

    fn at_least_some_gaps(&self, setting: Duration) -> Duration {
        let gaps = Duration::from_secs_f64(self.mean_gap_s * GAPS_OF_SILENCE);
        setting.max(gaps.min(SILENCE_MAX))
    }

    fn prepare_at(&self) -> Option<Instant> {
        // Before the first token silence means a queue or a long prompt, and a
        // second attempt would only add to it.
        let prepare_after = self.policy.prepare_after.filter(|_| self.has_token())?;
        Some(self.silent_since + self.at_least_some_gaps(prepare_after))
    }

    fn wake_at(&self, may_prepare: bool) -> Instant {
        let probe_at = if self.probing {
            self.silent_since + SILENCE_MAX * STUCK_FACTOR
        } else {
            self.probe_at
        };
        match self.prepare_at().filter(|_| may_prepare && !self.prepared) {
            Some(prepare_at) => prepare_at.min(probe_at),
            None => probe_at,
        }
    }

    fn has_token(&self) -> bool {
        self.mean_gap_s > 0.0
    }

    fn stuck_after(&self) -> Duration {
        if !self.has_token() {
            return FIRST_TOKEN_MAX;
        }
        self.at_least_some_gaps(self.policy.give_up_after) * STUCK_FACTOR
    }

    fn lag_max(&self) -> Duration {
        self.policy.give_up_after / 4
    }

    fn wants_standby(&mut self, now: Instant) -> bool {
        let wanted = !self.prepared && self.prepare_at().is_some_and(|at| at <= now);
        self.prepared |= wanted;
        wanted
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        !self.probing && self.probe_at <= now
    }

    fn probe_begins(&mut self) {
        self.probing = true;
    }

    fn probed(&mut self, probe: Probe, now: Instant) -> Option<Loss> {
        self.probing = false;
        self.probe_at = now + self.probe_time();
        let stuck_after = self.stuck_after();
        match probe {
            Probe::Mute => Some(Loss::Silence),
            Probe::Alive if now - self.silent_since > stuck_after => Some(Loss::Stuck),
            Probe::Alive | Probe::Inconclusive => None,
        }
    }
}
