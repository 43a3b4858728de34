//! Opens attempts: chooses a runner, confirms that it stays, and asks it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::caller::event_id::AttemptId;
use crate::configuration::config::{CallerPolicy, Config};
use crate::error::{Error, ErrorKind};
use crate::fleet::crash_tracker::{Blocked, CrashTracker};
use crate::fleet::poison::{Fingerprint, RequestCopy};
use crate::fleet::runner::{self, OpenError, RunnerClient, StreamRequest};
use crate::fleet::table::{Candidate, Fleet, RouteQuery};
use crate::generation::attempt::{Attempt, OpenedStream};
use crate::hash::Fnv;
use crate::id::{AttemptNumber, GenerationId, Incarnation, ModelId, RunnerId, TokenIndex};
use crate::observe::metrics::{Counter, Metrics};

/// How long a runner may take to say whether it stays.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a runner may take to accept a stream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Candidates that are tried before a request is turned away.
const CANDIDATES_MAX: usize = 6;
/// Priority of a generation that goes on after a loss.
pub(crate) const RESUME_PRIORITY: u8 = 0;

/// What a caller wants generated; it does not change while it runs.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Name of the generation.
    pub(crate) generation: GenerationId,
    /// Model.
    pub(crate) model: ModelId,
    /// Prompt as quoted JSON.
    pub(crate) prompt: Bytes,
    /// Tokens of the whole answer at most.
    pub(crate) max_tokens: u64,
    /// How the caller is treated.
    pub(crate) policy: CallerPolicy,
    /// Hash of customer and request, from which stream names are made.
    pub(crate) request_hash: [u8; 32],
    /// What the request is known by when runners crash under it.
    pub(crate) fingerprint: Fingerprint,
    /// Hash of the prompt's beginning.
    pub(crate) prefix_hash: u64,
    /// Configuration under which the request was accepted.
    pub(crate) config: Arc<Config>,
}

impl Job {
    /// The generation as one of those that its request may make.
    pub(crate) fn copy(&self) -> RequestCopy {
        RequestCopy {
            fingerprint: self.fingerprint,
            id: Fnv::new().text(&self.generation).finish(),
        }
    }
}

/// How far a generation has come when an attempt is to be opened.
#[derive(Debug)]
pub(crate) struct Progress<'a> {
    /// Number of the attempt.
    pub(crate) number: AttemptNumber,
    /// Index of the next token.
    pub(crate) next_index: TokenIndex,
    /// Text so far, as escaped JSON.
    pub(crate) escaped_text: &'a [u8],
    /// Runners that failed the generation.
    pub(crate) avoid: &'a BTreeSet<RunnerId>,
}

/// Opens attempts.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    fleet: Arc<Fleet>,
    client: RunnerClient,
    crashes: Arc<CrashTracker>,
    metrics: Arc<Metrics>,
    leaving_bound: Duration,
}

/// Why no attempt was opened.
#[derive(Debug)]
pub(crate) enum OpenFailure {
    /// No runner can take the request.
    NoRunner,
    /// The request may not run, because runners crashed under it.
    Blocked(Blocked),
}

impl From<Blocked> for OpenFailure {
    fn from(blocked: Blocked) -> Self {
        Self::Blocked(blocked)
    }
}

impl Dispatcher {
    /// Makes a dispatcher; a runner's word that it stays counts for
    /// `leaving_bound`.
    pub(crate) fn new(
        fleet: Arc<Fleet>,
        client: RunnerClient,
        crashes: Arc<CrashTracker>,
        metrics: Arc<Metrics>,
        leaving_bound: Duration,
    ) -> Self {
        Self {
            fleet,
            client,
            crashes,
            metrics,
            leaving_bound,
        }
    }

    /// Opens an attempt at the best runner that takes it.
    pub(crate) async fn open(
        &self,
        job: &Job,
        progress: &Progress<'_>,
    ) -> Result<Attempt, OpenFailure> {
        self.crashes.wait_for_start(job.copy()).await?;
        let mut tried = progress.avoid.clone();
        // An attempt in a runner's queue, kept while a free runner is sought.
        let mut queued: Option<Attempt> = None;
        for _ in 0..CANDIDATES_MAX {
            let Some((candidate, version)) = self.best(job, &tried) else {
                break;
            };
            tried.insert(candidate.runner.clone());
            if !candidate.has_recent_report && !self.confirm(&candidate).await {
                continue;
            }
            match self.open_at(job, progress, &candidate, &version).await {
                Ok(attempt) if attempt.is_queued() && queued.is_none() => {
                    queued = Some(attempt);
                }
                // Two queues in a row: the first is the one further ahead.
                Ok(attempt) if attempt.is_queued() => {
                    attempt.cancel();
                    break;
                }
                Ok(attempt) => {
                    queued.into_iter().for_each(Attempt::cancel);
                    return Ok(attempt);
                }
                Err(error) => self.after_failure(job, &candidate, error).await?,
            }
        }
        queued.ok_or(OpenFailure::NoRunner)
    }

    /// Notes why a runner gave no stream, and tells whether another may be
    /// asked. What provably was not begun costs nobody anything; the rest
    /// spends from the runner's budget of retries.
    async fn after_failure(
        &self,
        job: &Job,
        candidate: &Candidate,
        error: OpenError,
    ) -> Result<(), OpenFailure> {
        match error {
            OpenError::Unreachable => {
                self.fleet
                    .mark_unreachable(&candidate.runner, Instant::now());
                return Ok(());
            }
            OpenError::NotFound => {
                self.confirm(candidate).await;
                return Ok(());
            }
            OpenError::NoAnswer => {
                let life = (candidate.runner.clone(), candidate.incarnation);
                self.crashes.handle_connection_loss(job.copy(), life).await;
                self.crashes.wait_for_decision(job.copy()).await?;
                self.crashes.wait_for_start(job.copy()).await?;
            }
            OpenError::Refused => {}
        }
        if self.fleet.try_spend_retry(&candidate.runner) {
            Ok(())
        } else {
            Err(OpenFailure::NoRunner)
        }
    }

    /// Follows a stream that another node opened, where it still exists.
    pub(crate) async fn rejoin(
        &self,
        job: &Job,
        attempt: AttemptId,
        next_index: TokenIndex,
    ) -> Option<Attempt> {
        let (address, _) = self.fleet.locate(&attempt.runner)?;
        let key = attempt.stream_key(&job.request_hash);
        let in_flight = self.fleet.track_stream(&attempt.runner, false);
        let resuming = self.client.resume(address, &key, next_index);
        let response = tokio::time::timeout(CONFIRM_TIMEOUT, resuming)
            .await
            .ok()?
            .ok()?;
        let (incarnation, queued) = self.load_hint(&attempt.runner, &response);
        let opened = OpenedStream {
            id: attempt,
            key,
            address,
            incarnation,
            in_flight,
            queued,
            response,
        };
        Some(Attempt::new(opened, self.client.clone(), job.policy))
    }

    /// Notes that an answer ended whole.
    pub(crate) fn succeeded(&self, runner: &str) {
        self.fleet.record_success(runner);
    }

    async fn confirm(&self, candidate: &Candidate) -> bool {
        match self.client.report(candidate.address, CONFIRM_TIMEOUT).await {
            Ok(report) => {
                self.fleet.apply_report(&candidate.runner, &report);
                !report.leaving
            }
            Err(_) => {
                self.fleet
                    .mark_unreachable(&candidate.runner, Instant::now());
                false
            }
        }
    }

    fn best(&self, job: &Job, tried: &BTreeSet<RunnerId>) -> Option<(Candidate, String)> {
        let now = Instant::now();
        let is_suspect = self.crashes.is_suspect(job.fingerprint);
        let mut avoid = tried.clone();
        if is_suspect {
            avoid.extend(self.crashes.crashed_runners(job.fingerprint));
        }
        let prefix_hash = if is_suspect {
            job.fingerprint
        } else {
            job.prefix_hash
        };
        let query = RouteQuery {
            model: &job.model,
            versions: job.config.versions(&job.model),
            prefix_hash,
            avoid: &avoid,
            is_suspect,
            report_max_age: self.leaving_bound,
        };
        let mut candidates = self.fleet.candidates(&query, now);
        let begun_at = self.crashes.recent_start_runner(job.fingerprint);
        let beside = candidates
            .iter()
            .position(|(c, _)| Some(&c.runner) == begun_at.as_ref());
        let at = beside.unwrap_or(0);
        (at < candidates.len()).then(|| candidates.swap_remove(at))
    }

    async fn open_at(
        &self,
        job: &Job,
        progress: &Progress<'_>,
        candidate: &Candidate,
        version: &str,
    ) -> Result<Attempt, OpenError> {
        let id = AttemptId {
            generation: job.generation.clone(),
            number: progress.number,
            salt: rand::random(),
            runner: candidate.runner.clone(),
        };
        let key = id.stream_key(&job.request_hash);
        let prompt = runner::raw_json(&job.prompt).ok_or(OpenError::NotFound)?;
        let resume_text =
            runner::quote_escaped(progress.escaped_text).ok_or(OpenError::NotFound)?;
        let body = StreamRequest {
            model: &job.model,
            version,
            prompt: &prompt,
            max_tokens: job.max_tokens,
            stream: true,
            resume_index: progress.next_index,
            resume_text: &resume_text,
        };
        let priority = if progress.number == 0 {
            job.policy.priority
        } else {
            RESUME_PRIORITY
        };
        let is_suspect = self.crashes.is_suspect(job.fingerprint);
        let in_flight = self.fleet.track_stream(&candidate.runner, is_suspect);
        self.crashes
            .record_start(job.fingerprint, &candidate.runner);
        self.metrics.add(Counter::Attempts, 1);
        let opening = self.client.open(candidate.address, &key, priority, &body);
        let response = tokio::time::timeout(OPEN_TIMEOUT, opening)
            .await
            .unwrap_or(Err(OpenError::NoAnswer))?;
        let (incarnation, queued) = self.load_hint(&candidate.runner, &response);
        let opened = OpenedStream {
            id,
            key,
            address: candidate.address,
            incarnation,
            in_flight,
            queued,
            response,
        };
        Ok(Attempt::new(opened, self.client.clone(), job.policy))
    }

    /// Takes in what an answer tells of its runner: which life answered, and
    /// whether more streams were open there than it has slots.
    fn load_hint<B>(&self, runner: &str, response: &hyper::Response<B>) -> (Incarnation, bool) {
        let Some(hint) = runner::parse_load_headers(response) else {
            return (0, false);
        };
        self.fleet.apply_load_headers(runner, hint);
        (hint.incarnation, hint.running_count > hint.slot_count)
    }
}

impl OpenFailure {
    /// What the caller is told.
    pub(crate) fn into_error(self) -> Error {
        match self {
            Self::NoRunner => Error::new(ErrorKind::NoUpstream, "no runner takes the request now"),
            Self::Blocked(Blocked::Quarantined(left) | Blocked::Poison(left)) => Error::new(
                ErrorKind::CrashesRunners,
                "this request brought down the runners that ran it",
            )
            .with_retry_after(left),
        }
    }
}

/// What a poison request is known by: the same words of the same customer.
pub(crate) fn fingerprint(customer: &str, model: &str, prompt: &[u8]) -> Fingerprint {
    Fnv::new().text(customer).text(model).bytes(prompt).finish()
}
