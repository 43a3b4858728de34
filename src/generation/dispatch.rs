//! Opens attempts, which are streams of tokens from one runner: chooses the
//! runner, checks that it is not leaving, and asks it for a stream.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;

use crate::caller::event_id::AttemptId;
use crate::configuration::config::{CallerPolicy, Config};
use crate::error::{Error, ErrorKind};
use crate::fleet::crash_tracker::{Blocked, CrashTracker};
use crate::fleet::part_crashes::{PromptParts, RunPhase};
use crate::fleet::poison::RequestCopy;
use crate::fleet::ranking::{Candidate, RouteQuery};
use crate::fleet::runner::{self, OpenError, RunnerClient, StreamRequest};
use crate::fleet::table::Fleet;
use crate::generation::attempt::{Attempt, OpenedStream};
use crate::generation::runner_probe::accepts_connections;
use crate::generation::silence::STANDSTILL_MAX;
use crate::generation::stream_guard::StreamGuard;
use crate::hash::Fnv;
use crate::id::{
    AttemptNumber, Fingerprint, GenerationId, Incarnation, ModelId, RunnerId, TokenIndex,
};
use crate::observe::metrics::{Counter, Metrics};

/// How long a runner may take to report whether it is leaving, or to resume a
/// stream.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a runner may take to accept a stream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of runners that are tried for one attempt.
const CANDIDATES_MAX: usize = 6;
/// Priority of a generation that is resumed after a loss; lower goes first.
pub(crate) const RESUME_PRIORITY: u8 = 0;

/// What a caller wants generated. It does not change during the generation.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) generation: GenerationId,
    pub(crate) model: ModelId,
    /// Prompt as quoted JSON.
    pub(crate) prompt: Bytes,
    /// Maximum number of tokens of the whole answer.
    pub(crate) max_tokens: u64,
    /// Priority and time limits of the caller's kind.
    pub(crate) policy: CallerPolicy,
    /// Hash of customer and request, from which stream keys are derived.
    pub(crate) request_hash: [u8; 32],
    /// Identifies the request when runners crash while they run it.
    pub(crate) fingerprint: Fingerprint,
    /// Hash of the beginning of the prompt, by which requests that share a prompt
    /// prefix go to the same runner.
    pub(crate) prefix_hash: u64,
    /// Configuration under which the request was accepted.
    pub(crate) config: Arc<Config>,
}

impl Job {
    /// Identifies this generation among all generations of the same request.
    pub(crate) fn copy(&self) -> RequestCopy {
        RequestCopy {
            fingerprint: self.fingerprint,
            id: Fnv::new().text(&self.generation).finish(),
        }
    }

    /// The parts of the prompt, by which it may be recognised in other requests.
    pub(crate) fn parts(&self) -> PromptParts<'_> {
        PromptParts {
            request: self.fingerprint,
            prompt: &self.prompt,
        }
    }
}

/// State of a generation for which an attempt is opened.
#[derive(Debug)]
pub(crate) struct Progress<'a> {
    pub(crate) attempt_number: AttemptNumber,
    /// Index of the next token.
    pub(crate) next_index: TokenIndex,
    /// Text so far, as escaped JSON.
    pub(crate) escaped_text: &'a [u8],
    /// Runners that already failed this generation.
    pub(crate) avoid: &'a BTreeSet<RunnerId>,
}

/// Opens attempts at runners.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    fleet: Arc<Fleet>,
    client: RunnerClient,
    crash_tracker: Arc<CrashTracker>,
    metrics: Arc<Metrics>,
    report_max_age: Duration,
}

/// Why no attempt was opened.
#[derive(Debug)]
pub(crate) enum OpenFailure {
    /// No runner can take the request.
    NoRunner,
    /// The request may not run, because runners crashed while they ran it.
    Blocked(Blocked),
}

impl From<Blocked> for OpenFailure {
    fn from(blocked: Blocked) -> Self {
        Self::Blocked(blocked)
    }
}

impl Dispatcher {
    /// Makes a dispatcher. A runner's report that it is not leaving is valid for
    /// `report_max_age`.
    pub(crate) fn new(
        fleet: Arc<Fleet>,
        client: RunnerClient,
        crash_tracker: Arc<CrashTracker>,
        metrics: Arc<Metrics>,
        report_max_age: Duration,
    ) -> Self {
        Self {
            fleet,
            client,
            crash_tracker,
            metrics,
            report_max_age,
        }
    }

    /// Opens an attempt at the best runner that accepts it.
    pub(crate) async fn open(
        &self,
        job: &Job,
        progress: &Progress<'_>,
    ) -> Result<Attempt, OpenFailure> {
        self.crash_tracker.wait_for_start(job.copy()).await?;
        let mut tried = progress.avoid.clone();
        // An attempt that a runner has queued, kept while others are tried
        // for a free slot.
        let mut queued: Option<Attempt> = None;
        for _ in 0..CANDIDATES_MAX {
            let Some((candidate, version)) = self.best_candidate(job, &tried) else {
                break;
            };
            tried.insert(candidate.runner.clone());
            if !candidate.has_recent_report && !self.refresh_availability(&candidate).await {
                continue;
            }
            match self.open_at(job, progress, &candidate, &version).await {
                Ok(attempt) if attempt.is_queued() && queued.is_none() => {
                    queued = Some(attempt);
                }
                // Two runners have no free slot: the attempt that was queued
                // first is kept, because it is further ahead in its queue.
                Ok(attempt) if attempt.is_queued() => {
                    attempt.cancel();
                    break;
                }
                Ok(attempt) => {
                    queued.into_iter().for_each(Attempt::cancel);
                    return Ok(attempt);
                }
                Err(error) => self.handle_open_error(job, &candidate, error).await?,
            }
        }
        queued.ok_or(OpenFailure::NoRunner)
    }

    /// Handles a failure to open a stream. An unreachable runner or one without
    /// the model costs nothing. A refusal or a broken connection takes a retry
    /// from the runner's retry budget. Gives an error, so that no other runner is
    /// tried, if that budget is used up or the request may not run because it
    /// crashes runners.
    async fn handle_open_error(
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
                self.refresh_availability(candidate).await;
                return Ok(());
            }
            OpenError::NoAnswer => {
                let runner = (candidate.runner.clone(), candidate.incarnation);
                self.crash_tracker
                    .handle_connection_loss(job.copy(), job.parts(), runner, RunPhase::Waiting)
                    .await;
                self.crash_tracker.wait_for_decision(job.copy()).await?;
                self.crash_tracker.wait_for_start(job.copy()).await?;
            }
            OpenError::Refused => {}
        }
        if self.fleet.try_spend_retry(&candidate.runner) {
            Ok(())
        } else {
            Err(OpenFailure::NoRunner)
        }
    }

    /// Continues to read a stream that this or another node opened, if its
    /// runner still holds it. The stream of a runner that does not answer is
    /// cancelled, because the generation goes on elsewhere.
    pub(crate) async fn reattach(
        &self,
        job: &Job,
        attempt: AttemptId,
        next_index: TokenIndex,
    ) -> Option<Attempt> {
        let (address, _) = self.fleet.locate(&attempt.runner)?;
        let key = attempt.stream_key(&job.request_hash);
        let in_flight = self.fleet.track_stream(&attempt.runner, false);
        let mut guard = StreamGuard::new(self.client.clone(), address, key.clone());
        guard.release();
        let response = match self.resume(address, &key, next_index).await {
            Ok(response) => response,
            Err(OpenError::NoAnswer) => {
                guard.cancel();
                return None;
            }
            Err(_) => return None,
        };
        let (incarnation, queued) = self.record_load(&attempt.runner, &response);
        let opened = OpenedStream {
            id: attempt,
            guard,
            incarnation,
            in_flight,
            queued,
            response,
        };
        Some(Attempt::new(opened, job.policy))
    }

    /// Asks a runner for the rest of a stream, and waits longer if only its process
    /// seems to stand still.
    async fn resume(
        &self,
        address: SocketAddr,
        key: &str,
        next_index: TokenIndex,
    ) -> Result<Response<Incoming>, OpenError> {
        let resuming = self.client.resume(address, key, next_index);
        tokio::pin!(resuming);
        if let Ok(answer) = tokio::time::timeout(REPORT_TIMEOUT, &mut resuming).await {
            return answer;
        }
        if !accepts_connections(address, REPORT_TIMEOUT).await {
            return Err(OpenError::NoAnswer);
        }
        let answer = tokio::time::timeout(STANDSTILL_MAX, resuming).await;
        answer.unwrap_or(Err(OpenError::NoAnswer))
    }

    /// Records that a runner completed an answer.
    pub(crate) fn record_success(&self, runner: &str) {
        self.fleet.record_success(runner);
    }

    /// Asks a runner for its report, records it, and returns whether the runner
    /// answered and is not leaving.
    async fn refresh_availability(&self, candidate: &Candidate) -> bool {
        match self.client.report(candidate.address, REPORT_TIMEOUT).await {
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

    fn best_candidate(&self, job: &Job, tried: &BTreeSet<RunnerId>) -> Option<(Candidate, String)> {
        let now = Instant::now();
        let is_suspect = self.crash_tracker.is_suspect(job.fingerprint);
        let mut avoid = tried.clone();
        if is_suspect {
            avoid.extend(self.crash_tracker.crashed_runners(job.fingerprint));
        }
        // Suspects are ordered by a hash of the whole request, so that those with
        // the same prompt prefix spread over runners and the next crash points at
        // one of them.
        let prefix_hash = if is_suspect {
            job.fingerprint
        } else {
            job.prefix_hash
        };
        let query = RouteQuery {
            model: &job.model,
            versions: job.config.servable_versions(&job.model),
            prefix_hash,
            avoid: &avoid,
            is_suspect,
            report_max_age: self.report_max_age,
        };
        let mut candidates = self.fleet.candidates(&query, now);
        let recent_runner = self.crash_tracker.recent_start_runner(job.fingerprint);
        // The runner where another copy of the request has just begun goes
        // first, so that a request that crashes runners crashes no second one.
        let preferred = candidates
            .iter()
            .position(|(c, _)| Some(&c.runner) == recent_runner.as_ref());
        let at = preferred.unwrap_or(0);
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
            number: progress.attempt_number,
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
        let priority = if progress.attempt_number == 0 {
            job.policy.priority
        } else {
            RESUME_PRIORITY
        };
        let is_suspect = self.crash_tracker.is_suspect(job.fingerprint);
        let in_flight = self.fleet.track_stream(&candidate.runner, is_suspect);
        self.crash_tracker
            .record_start(job.fingerprint, &candidate.runner);
        self.metrics.add(Counter::Attempts, 1);
        let mut guard = StreamGuard::new(self.client.clone(), candidate.address, key.clone());
        let opening = self.client.open(candidate.address, &key, priority, &body);
        let response = tokio::time::timeout(OPEN_TIMEOUT, opening)
            .await
            .unwrap_or(Err(OpenError::NoAnswer))
            .inspect_err(|error| {
                if *error != OpenError::NoAnswer {
                    guard.release();
                }
            })?;
        let (incarnation, queued) = self.record_load(&candidate.runner, &response);
        let opened = OpenedStream {
            id,
            guard,
            incarnation,
            in_flight,
            queued,
            response,
        };
        Ok(Attempt::new(opened, job.policy))
    }

    /// Records the load that a response reports. Gives the runner's incarnation
    /// (0 if the response reports none), and whether the runner has more streams
    /// than slots, so that the new stream is queued.
    fn record_load<B>(&self, runner: &str, response: &hyper::Response<B>) -> (Incarnation, bool) {
        let Some(load) = runner::parse_load_headers(response) else {
            return (0, false);
        };
        self.fleet.apply_load_headers(runner, load);
        (load.incarnation, load.running_count > load.slot_count)
    }
}

impl OpenFailure {
    /// The error that the caller gets.
    pub(crate) fn into_error(self) -> Error {
        match self {
            Self::NoRunner => Error::new(ErrorKind::NoUpstream, "no runner can take the request"),
            Self::Blocked(Blocked::SharesPart(left)) => Error::new(
                ErrorKind::Quarantined,
                "this request is refused because runners crashed under a part of its prompt",
            )
            .with_retry_after(left),
            Self::Blocked(Blocked::Quarantined(left) | Blocked::Poison(left)) => Error::new(
                ErrorKind::CrashesRunners,
                "this request is refused because runners crashed while they ran it",
            )
            .with_retry_after(left),
        }
    }
}

/// Hash of customer, model and prompt, by which a request that crashes runners
/// is recognised.
pub(crate) fn fingerprint(customer: &str, model: &str, prompt: &[u8]) -> Fingerprint {
    Fnv::new().text(customer).text(model).bytes(prompt).finish()
}
