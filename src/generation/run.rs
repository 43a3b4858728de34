//! One answer to one caller, made by successive attempts.
//!
//! The node that serves a generation is the only one that appends to it, and
//! it reads one attempt at a time; what comes from any other attempt reaches
//! nobody. See `docs/RESUME.md`.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::channel::Sender;

use crate::caller::admission::Admitted;
use crate::error::{Error, ErrorKind};
use crate::fleet::crash_tracker::{Blocked, CrashTracker};
use crate::generation::attempt::{Attempt, Delivery, Loss, Step};
use crate::generation::dispatch::{Dispatcher, Job, OpenFailure, Progress};
use crate::id::{AttemptNumber, RunnerId, TokenIndex};
use crate::observe::metrics::{Counter, Metrics};

/// How long a generation looks for a runner to go on at.
const RESUME_PATIENCE: Duration = Duration::from_secs(10);
/// Pause before runners are looked for again.
const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// Losses after which a generation is given up.
const LOSSES_MAX: u32 = 16;
/// How long a caller may leave tokens unread.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a hand-over to the caller counts as no delay.
const PROMPT_HANDOVER: Duration = Duration::from_millis(20);

/// Where the tokens of a generation go.
#[derive(Debug)]
pub(crate) enum Sink {
    /// Events, as they come.
    Events(Sender<Bytes>),
    /// Nowhere; the whole text is wanted at the end.
    Whole,
}

/// Where a generation starts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Start {
    /// Number of the first attempt.
    pub(crate) number: AttemptNumber,
    /// Index of the first token.
    pub(crate) index: TokenIndex,
    /// Text before it, as escaped JSON.
    pub(crate) escaped_text: BytesMut,
    /// Whether the text before it is at hand. Without it only the runner that
    /// holds the stream can go on.
    pub(crate) has_text: bool,
}

/// One answer on its way.
#[derive(Debug)]
pub(crate) struct Generation {
    job: Job,
    dispatcher: Arc<Dispatcher>,
    crashes: Arc<CrashTracker>,
    metrics: Arc<Metrics>,
    delivery: Delivery,
    has_text: bool,
    next_number: AttemptNumber,
    loss_count: u32,
    avoid: BTreeSet<RunnerId>,
    lost_at: Option<Instant>,
    last_token_at: Instant,
    counted_index: TokenIndex,
    _admitted: Option<Admitted>,
}

/// Why a generation stopped before its end.
#[derive(Debug)]
enum Stop {
    /// The caller went away.
    CallerGone,
    /// The generation cannot go on.
    Failed(Error),
}

impl Generation {
    /// Makes a generation that has not begun.
    pub(crate) fn new(
        job: Job,
        dispatcher: Arc<Dispatcher>,
        crashes: Arc<CrashTracker>,
        metrics: Arc<Metrics>,
        start: Start,
        admitted: Option<Admitted>,
    ) -> Self {
        Self {
            job,
            dispatcher,
            crashes,
            metrics,
            delivery: Delivery {
                next_index: start.index,
                escaped_text: start.escaped_text,
                ..Delivery::default()
            },
            has_text: start.has_text,
            next_number: start.number,
            loss_count: 0,
            avoid: BTreeSet::new(),
            lost_at: None,
            last_token_at: Instant::now(),
            counted_index: start.index,
            _admitted: admitted,
        }
    }

    /// Name of the generation.
    pub(crate) fn id(&self) -> &str {
        &self.job.generation
    }

    /// Index of the next token.
    pub(crate) fn next_index(&self) -> TokenIndex {
        self.delivery.next_index
    }

    /// Opens the next attempt.
    pub(crate) async fn open(&mut self) -> Result<Attempt, OpenFailure> {
        let progress = Progress {
            number: self.next_number,
            next_index: self.delivery.next_index,
            escaped_text: &self.delivery.escaped_text,
            avoid: &self.avoid,
        };
        let attempt = self.dispatcher.open(&self.job, &progress).await?;
        self.next_number += 1;
        Ok(attempt)
    }

    /// Delivers the answer to its end, or to a final error.
    pub(crate) async fn run(mut self, first: Attempt, mut sink: Sink) -> Result<Bytes, Error> {
        let ended = self.deliver(first, &mut sink).await;
        match ended {
            Ok(()) => {
                if let Sink::Events(sender) = &mut sink {
                    let _ = sender
                        .send_data(Bytes::from_static(b"data: [DONE]\n\n"))
                        .await;
                }
                Ok(self.delivery.escaped_text.freeze())
            }
            Err(Stop::CallerGone) => Err(Error::new(ErrorKind::BadRequest, "the caller left")),
            Err(Stop::Failed(error)) => {
                self.metrics.add(Counter::GenerationsLost, 1);
                if let Sink::Events(sender) = &mut sink {
                    let _ = sender.send_data(error_event(&error)).await;
                }
                Err(error)
            }
        }
    }

    async fn deliver(&mut self, first: Attempt, sink: &mut Sink) -> Result<(), Stop> {
        let mut attempt = first;
        let mut standby: Option<Attempt> = None;
        loop {
            let may_prepare = standby.is_none() && self.has_text;
            match attempt.next(&mut self.delivery, may_prepare).await {
                Step::Tokens => {
                    // The attempt moves again, so its text is the one that counts.
                    if let Some(unwanted) = standby.take() {
                        unwanted.cancel();
                    }
                    self.note_resumed();
                    self.hand_over(&mut attempt, sink).await?;
                }
                Step::Ended => {
                    self.dispatcher.succeeded(&attempt.id().runner);
                    return Ok(());
                }
                Step::Prepare => {
                    self.avoid.insert(attempt.id().runner.clone());
                    standby = self.open().await.ok();
                    self.avoid.remove(&attempt.id().runner);
                    let opened = u64::from(standby.is_some());
                    self.metrics.add(Counter::Standbys, opened);
                }
                Step::Lost(loss) => {
                    self.note_loss(&attempt, loss).await?;
                    attempt.cancel();
                    attempt = match standby.take() {
                        Some(ready) => ready,
                        None => self.reopen().await?,
                    };
                }
            }
        }
    }

    async fn hand_over(&mut self, attempt: &mut Attempt, sink: &mut Sink) -> Result<(), Stop> {
        let now = Instant::now();
        self.last_token_at = now;
        let token_count = self.delivery.next_index - self.counted_index;
        self.counted_index = self.delivery.next_index;
        self.metrics.add(Counter::Tokens, token_count);
        let events = self.delivery.unsent.split().freeze();
        let Sink::Events(sender) = sink else {
            return Ok(());
        };
        let sent = tokio::time::timeout(CALLER_TIMEOUT, sender.send_data(events)).await;
        match sent {
            Ok(Ok(())) => {
                if now.elapsed() > PROMPT_HANDOVER {
                    attempt.was_held_up();
                }
                Ok(())
            }
            _ => Err(Stop::CallerGone),
        }
    }

    async fn note_loss(&mut self, attempt: &Attempt, loss: Loss) -> Result<(), Stop> {
        let life = attempt.runner_life();
        log::debug!("attempt {} lost by {loss:?}", attempt.id());
        let counter = match loss {
            Loss::Reset | Loss::Protocol => Counter::LostByReset,
            Loss::Silence | Loss::Stuck => Counter::LostBySilence,
        };
        self.metrics.add(counter, 1);
        self.lost_at.get_or_insert(self.last_token_at);
        self.loss_count += 1;
        self.avoid.insert(life.0.clone());
        let copy = self.job.copy();
        if loss == Loss::Reset {
            self.crashes.handle_connection_loss(copy, life).await;
        }
        let decided = self.crashes.wait_for_decision(copy).await;
        decided.map_err(|blocked| Stop::Failed(OpenFailure::from(blocked).into_error()))?;
        if self.loss_count > LOSSES_MAX || !self.has_text {
            return Err(Stop::Failed(lost_error()));
        }
        Ok(())
    }

    /// Finds a runner to go on at, and waits a little where there is none.
    async fn reopen(&mut self) -> Result<Attempt, Stop> {
        let give_up_at = Instant::now() + RESUME_PATIENCE;
        loop {
            match self.open().await {
                Ok(attempt) => return Ok(attempt),
                Err(OpenFailure::Blocked(Blocked::Quarantined(left))) => {
                    tokio::time::sleep(left).await;
                }
                Err(failure @ OpenFailure::Blocked(Blocked::Poison(_))) => {
                    return Err(Stop::Failed(failure.into_error()));
                }
                Err(OpenFailure::NoRunner) if Instant::now() < give_up_at => {
                    // A runner that failed once may be the only one left.
                    self.avoid.clear();
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
                Err(OpenFailure::NoRunner) => return Err(Stop::Failed(lost_error())),
            }
        }
    }

    fn note_resumed(&mut self) {
        let repeated = std::mem::take(&mut self.delivery.repeated_count);
        self.metrics.add(Counter::RepeatedTokens, repeated);
        if let Some(lost_at) = self.lost_at.take() {
            self.metrics.add(Counter::Resumes, 1);
            let resume_ms = lost_at.elapsed().as_millis() as u64;
            self.metrics.add(Counter::ResumeMs, resume_ms);
            self.avoid.clear();
        }
    }
}

fn lost_error() -> Error {
    Error::new(
        ErrorKind::GenerationLost,
        "the generation was lost and no runner could go on with it",
    )
}

fn error_event(error: &Error) -> Bytes {
    let body = serde_json::to_string(&error.body()).unwrap_or_default();
    format!("event: error\ndata: {body}\n\n").into()
}
