//! Opens attempts: chooses a runner, confirms that it stays, and asks it.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::announcement::Announcement;
use crate::attempt::{Attempt, OpenedStream};
use crate::clock::unix_ms;
use crate::config::{Config, Treatment};
use crate::error::{Error, ErrorKind};
use crate::event_id::AttemptId;
use crate::fleet::{Candidate, Fleet, Wish};
use crate::hash::{Fnv, rendezvous_order};
use crate::id::{AttemptNumber, GenerationId, Incarnation, ModelId, RunnerId, TokenIndex};
use crate::membership::Membership;
use crate::message::{CrashRecord, Question, ReplyBody, RunnerLifeRecord};
use crate::metrics::{Counter, Metrics};
use crate::peer::PeerClient;
use crate::runner::{self, OpenError, RunnerClient, StreamRequest};
use crate::suspects::{CONVICTION_TTL, Fingerprint, RunnerLife, Suspects, Verdict};

/// Announcements of crashes that a request was in.
pub(crate) const CRASH_TOPIC: u32 = 1;
/// Announcements of convictions.
pub(crate) const CONVICTION_TOPIC: u32 = 2;

/// How long a runner may take to say whether it stays.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a runner whose connection broke may take to show that it lives.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the node that is asked about a suspect may take.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long a runner may take to accept a stream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Candidates that are tried before a request is turned away.
const CANDIDATES_MAX: usize = 6;
/// Priority of a generation that goes on after a loss.
const RESUME_PRIORITY: u8 = 0;
/// How long news of a crash is told to new nodes.
const CRASH_TTL: Duration = Duration::from_secs(600);

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
    pub(crate) treatment: Treatment,
    /// Hash of customer and request, from which stream names are made.
    pub(crate) request_hash: [u8; 32],
    /// What convictions are about.
    pub(crate) fingerprint: Fingerprint,
    /// Hash of the prompt's beginning.
    pub(crate) prefix_hash: u64,
    /// Configuration under which the request was accepted.
    pub(crate) config: Arc<Config>,
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

/// Opens attempts and keeps what is held against requests.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    fleet: Arc<Fleet>,
    client: RunnerClient,
    suspects: Mutex<Suspects>,
    membership: Membership,
    peers: PeerClient,
    metrics: Arc<Metrics>,
    leaving_bound: Duration,
}

/// Why no attempt was opened.
#[derive(Debug)]
pub(crate) enum OpenFailure {
    /// No runner can take the request.
    NoRunner,
    /// The request is accused of crashing runners; its case is decided soon.
    Accused(Duration),
    /// The request is convicted of crashing runners.
    Convicted(Duration),
}

impl Dispatcher {
    /// Makes a dispatcher; a runner's word that it stays counts for
    /// `leaving_bound`.
    pub(crate) fn new(
        fleet: Arc<Fleet>,
        client: RunnerClient,
        membership: Membership,
        peers: PeerClient,
        metrics: Arc<Metrics>,
        leaving_bound: Duration,
    ) -> Self {
        Self {
            fleet,
            client,
            suspects: Mutex::new(Suspects::default()),
            membership,
            peers,
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
        self.consult(job.fingerprint).await;
        self.check_verdict(job.fingerprint)?;
        let mut tried = progress.avoid.clone();
        for _ in 0..CANDIDATES_MAX {
            let Some((candidate, version)) = self.best(job, &tried) else {
                return Err(OpenFailure::NoRunner);
            };
            tried.insert(candidate.runner.clone());
            if !candidate.confirmed && !self.confirm(&candidate).await {
                continue;
            }
            match self.open_at(job, progress, &candidate, &version).await {
                Ok(attempt) => return Ok(attempt),
                Err(error) => self.after_failure(job, &candidate, error).await?,
            }
        }
        Err(OpenFailure::NoRunner)
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
                self.fleet.unreachable(&candidate.runner, Instant::now());
                return Ok(());
            }
            OpenError::NotHeld => {
                self.confirm(candidate).await;
                return Ok(());
            }
            OpenError::NoAnswer => {
                let life = (candidate.runner.clone(), candidate.incarnation);
                self.lost_at(job, life).await;
                self.await_verdict(job.fingerprint).await?;
            }
            OpenError::Refused => {}
        }
        if self.fleet.may_retry(&candidate.runner) {
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
        let in_flight = self.fleet.begin(&attempt.runner, false);
        let resuming = self.client.resume(address, &key, next_index);
        let response = tokio::time::timeout(CONFIRM_TIMEOUT, resuming)
            .await
            .ok()?
            .ok()?;
        let incarnation = self.glimpse(&attempt.runner, &response);
        let opened = OpenedStream {
            id: attempt,
            key,
            address,
            incarnation,
            in_flight,
            response,
        };
        Some(Attempt::new(opened, self.client.clone(), job.treatment))
    }

    /// Notes a loss, and convicts the request if this proves it the cause.
    pub(crate) async fn lost_at(&self, job: &Job, life: RunnerLife) {
        self.fleet.unreachable(&life.0, Instant::now());
        if !self.has_crashed(&life).await {
            return;
        }
        self.hold_against(job.fingerprint, &life);
        self.consult(job.fingerprint).await;
    }

    /// Exchanges what is held against a suspect with the one node that all
    /// nodes ask about it, so that a caller that goes from node to node finds
    /// the verdict there before it, however slowly news spreads.
    async fn consult(&self, fingerprint: Fingerprint) {
        if !self.suspects().is_suspect(fingerprint, Instant::now()) {
            return;
        }
        let alive = self.membership.alive();
        let names = alive.iter().map(|member| member.node.as_str());
        let judge = rendezvous_order(fingerprint, names).into_iter().next();
        let judge = alive
            .iter()
            .find(|member| Some(member.node.as_str()) == judge);
        let Some(judge) = judge.filter(|j| j.node != self.membership.me().node) else {
            return;
        };
        let question = Question::Crashes(self.crash_record(fingerprint));
        let asked = self
            .peers
            .ask(judge.peer_address, question, CONSULT_TIMEOUT)
            .await;
        if let Ok(ReplyBody::Crashes(record)) = asked {
            self.take_in(&record);
        }
    }

    /// Takes in what another node knows of a request, and tells what is known here.
    pub(crate) fn exchange_crashes(&self, record: &CrashRecord) -> CrashRecord {
        self.take_in(record);
        self.crash_record(record.fingerprint)
    }

    fn take_in(&self, record: &CrashRecord) {
        let now = Instant::now();
        let known = self.suspects().lives(record.fingerprint);
        for life in &record.lives {
            let life = (life.runner.clone(), life.incarnation);
            if !known.contains(&life) {
                self.learn_crash(record.fingerprint, life);
            }
        }
        if record.convicted_ms > 0 {
            let until = now + Duration::from_millis(record.convicted_ms);
            self.suspects().convict(record.fingerprint, until);
        }
    }

    fn crash_record(&self, fingerprint: Fingerprint) -> CrashRecord {
        let suspects = self.suspects();
        let conviction = suspects.conviction(fingerprint, Instant::now());
        let lives = suspects.lives(fingerprint).into_iter();
        CrashRecord {
            fingerprint,
            lives: lives
                .map(|(runner, incarnation)| RunnerLifeRecord {
                    runner,
                    incarnation,
                })
                .collect(),
            convicted_ms: conviction.map_or(0, |left| left.as_millis() as u64),
        }
    }

    fn hold_against(&self, fingerprint: Fingerprint, life: &RunnerLife) {
        self.suspects()
            .note_crash(fingerprint, life.clone(), Instant::now());
        self.membership.announce(Announcement {
            topic: CRASH_TOPIC,
            key: format!("{fingerprint:016x}/{}/{}", life.0, life.1),
            version: 1,
            ttl: CRASH_TTL,
            body: Bytes::new(),
        });
    }

    fn announce_conviction(&self, fingerprint: Fingerprint) {
        log::warn!("request {fingerprint:016x} is convicted of crashing runners");
        self.metrics.add(Counter::Convictions, 1);
        self.membership.announce(Announcement {
            topic: CONVICTION_TOPIC,
            key: format!("{fingerprint:016x}"),
            version: unix_ms(),
            ttl: CONVICTION_TTL,
            body: Bytes::new(),
        });
    }

    /// Takes in what a peer announced.
    pub(crate) fn learn(&self, announcement: &Announcement) {
        let mut parts = announcement.key.splitn(3, '/');
        let fingerprint = parts.next().and_then(|f| u64::from_str_radix(f, 16).ok());
        let Some(fingerprint) = fingerprint else {
            return;
        };
        let now = Instant::now();
        if announcement.topic == CONVICTION_TOPIC {
            self.suspects().convict(fingerprint, now + announcement.ttl);
            return;
        }
        let runner = parts.next();
        let incarnation = parts.next().and_then(|i| i.parse::<Incarnation>().ok());
        let (Some(runner), Some(incarnation)) = (runner, incarnation) else {
            return;
        };
        self.learn_crash(fingerprint, (runner.to_owned(), incarnation));
    }

    fn learn_crash(&self, fingerprint: Fingerprint, life: RunnerLife) {
        self.suspects()
            .note_crash(fingerprint, life, Instant::now());
    }

    /// Refuses a request that is convicted, or about to be.
    pub(crate) fn check_verdict(&self, fingerprint: Fingerprint) -> Result<(), OpenFailure> {
        let mut suspects = self.suspects();
        let known = suspects.conviction(fingerprint, Instant::now()).is_some();
        let verdict = suspects.verdict(fingerprint, Instant::now());
        drop(suspects);
        match verdict {
            Verdict::Open => Ok(()),
            Verdict::Accused(rest) => Err(OpenFailure::Accused(rest)),
            Verdict::Convicted(left) => {
                if !known {
                    self.announce_conviction(fingerprint);
                }
                Err(OpenFailure::Convicted(left))
            }
        }
    }

    /// Waits until the case of a request that has lost a runner is decided.
    pub(crate) async fn await_verdict(&self, fingerprint: Fingerprint) -> Result<(), OpenFailure> {
        loop {
            match self.check_verdict(fingerprint) {
                Err(OpenFailure::Accused(rest)) => tokio::time::sleep(rest).await,
                decided => {
                    if decided.is_err() {
                        // The caller may go to another node with its answer.
                        self.consult(fingerprint).await;
                    }
                    return decided;
                }
            }
        }
    }

    /// Notes that an answer ended whole.
    pub(crate) fn succeeded(&self, runner: &str) {
        self.fleet.succeeded(runner);
    }

    /// Tells whether the life that held a stream is over.
    async fn has_crashed(&self, life: &RunnerLife) -> bool {
        let Some((address, _)) = self.fleet.locate(&life.0) else {
            return true;
        };
        match self.client.report(address, CRASH_CHECK_TIMEOUT).await {
            Ok(report) => {
                self.fleet.reported(&life.0, &report);
                report.incarnation != life.1
            }
            Err(_) => true,
        }
    }

    async fn confirm(&self, candidate: &Candidate) -> bool {
        match self.client.report(candidate.address, CONFIRM_TIMEOUT).await {
            Ok(report) => {
                self.fleet.reported(&candidate.runner, &report);
                !report.leaving
            }
            Err(_) => {
                self.fleet.unreachable(&candidate.runner, Instant::now());
                false
            }
        }
    }

    fn best(&self, job: &Job, tried: &BTreeSet<RunnerId>) -> Option<(Candidate, String)> {
        let now = Instant::now();
        let suspects = self.suspects();
        let is_suspect = suspects.is_suspect(job.fingerprint, now);
        let mut avoid = tried.clone();
        if is_suspect {
            avoid.extend(suspects.crashed_runners(job.fingerprint));
        }
        drop(suspects);
        let prefix_hash = if is_suspect {
            job.fingerprint
        } else {
            job.prefix_hash
        };
        let wish = Wish {
            model: &job.model,
            versions: job.config.versions(&job.model),
            prefix_hash,
            avoid: &avoid,
            is_suspect,
            confirmed_within: self.leaving_bound,
        };
        self.fleet.candidates(&wish, now).into_iter().next()
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
        let prompt = runner::raw_json(&job.prompt).ok_or(OpenError::NotHeld)?;
        let resume_text = runner::quote(progress.escaped_text).ok_or(OpenError::NotHeld)?;
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
            job.treatment.priority
        } else {
            RESUME_PRIORITY
        };
        let is_suspect = self.suspects().is_suspect(job.fingerprint, Instant::now());
        let in_flight = self.fleet.begin(&candidate.runner, is_suspect);
        self.metrics.add(Counter::Attempts, 1);
        let opening = self.client.open(candidate.address, &key, priority, &body);
        let response = tokio::time::timeout(OPEN_TIMEOUT, opening)
            .await
            .unwrap_or(Err(OpenError::NoAnswer))?;
        let incarnation = self.glimpse(&candidate.runner, &response);
        let opened = OpenedStream {
            id,
            key,
            address: candidate.address,
            incarnation,
            in_flight,
            response,
        };
        Ok(Attempt::new(opened, self.client.clone(), job.treatment))
    }

    fn glimpse<B>(&self, runner: &str, response: &hyper::Response<B>) -> Incarnation {
        match runner::glimpse(response) {
            Some(glimpse) => {
                self.fleet.glimpsed(runner, glimpse);
                glimpse.incarnation
            }
            None => 0,
        }
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenFailure {
    /// What the caller is told.
    pub(crate) fn into_error(self) -> Error {
        match self {
            Self::NoRunner => Error::new(ErrorKind::NoUpstream, "no runner takes the request now"),
            Self::Accused(left) | Self::Convicted(left) => Error::new(
                ErrorKind::CrashesRunners,
                "this request brought down the runners that ran it",
            )
            .with_retry_after(left),
        }
    }
}

/// What a conviction is about: the same words of the same customer.
pub(crate) fn fingerprint(customer: &str, model: &str, prompt: &[u8]) -> Fingerprint {
    Fnv::new().text(customer).text(model).bytes(prompt).finish()
}
