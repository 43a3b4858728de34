//! A call whose answer is a stream of events, which goes on at another
//! upstream when the first is lost.
//!
//! The caller sees one response: the head of the first upstream, and each
//! event once. `docs/RESUME.md` tells which ways of going on were weighed.

use std::sync::Arc;
use std::time::Instant;

use super::answer_body;
use super::forwarder::{Forwarder, Surroundings};
use super::probe::LossWatch;
use super::request::Call;
use super::run_copy::{CopyPlace, RunCopy, RunName, choose_keeper, lock};
use super::send::{Answered, Attempt, SendOutcome};
use super::sends::Sends;
use super::upstream::{Upstream, Work};
use crate::http::HttpResponse;
use crate::observe::metrics::Counter;
use crate::platform::call::{CopyName, Dispatch};
use crate::policy::failure_response::{GiveUpReason, Progress};
use crate::policy::liveness::StreamPhase;
use crate::policy::placement::choose_engine;

/// Sends that may fail before any byte leaves, until a call is given up.
const UNSENT_TRIES_MAX: u32 = 6;
/// Tokens that a resume from a copy still has to read.
const COPY_REST_TOKENS: u64 = 300;

/// Why no upstream began or went on.
#[derive(Debug)]
pub(super) enum OpenFailure {
    GivenUp(GiveUpReason, String),
    /// An upstream's own final answer, which is no stream.
    Answer(Box<HttpResponse>),
}

/// One stream, from its call to its last event.
pub(super) struct StreamRun<S> {
    pub(super) forwarder: Arc<Forwarder<S>>,
    pub(super) call: Call,
    pub(super) tried: Vec<Arc<Upstream>>,
    pub(super) sends: Sends,
    pub(super) copy: CopyPlace,
    pub(super) last_event: Option<u64>,
    pub(super) event_count: u64,
    /// Whether the upstream that serves now has sent an event.
    pub(super) has_part_begun: bool,
    pub(super) first_event_ms: Option<u128>,
    pub(super) longest_pause_ms: u128,
    pub(super) last_event_at: Option<Instant>,
}

impl<S: Surroundings> Forwarder<S> {
    /// Answers a streaming call.
    pub(crate) async fn stream(self: &Arc<Self>, call: Call) -> HttpResponse {
        let mut run = StreamRun {
            forwarder: self.clone(),
            last_event: call.headers.last_event,
            call,
            tried: Vec::new(),
            sends: Sends::none(),
            copy: CopyPlace::default(),
            event_count: 0,
            has_part_begun: false,
            first_event_ms: None,
            longest_pause_ms: 0,
            last_event_at: None,
        };
        let deadline = run.call.deadline.into();
        let opened = tokio::time::timeout_at(deadline, run.open()).await;
        let timed_out =
            || OpenFailure::GivenUp(GiveUpReason::TimeOver, "no upstream began".to_owned());
        match opened.unwrap_or_else(|_| Err(timed_out())) {
            Ok(attempt) => run.respond(attempt),
            Err(OpenFailure::Answer(answer)) => *answer,
            Err(OpenFailure::GivenUp(given_up, cause)) => {
                self.give_up(&run.call, given_up, run.sends.progress(), &cause)
            }
        }
    }
}

impl<S: Surroundings> StreamRun<S> {
    /// Finds an upstream that begins the stream or goes on with it.
    pub(super) async fn open(&mut self) -> Result<Attempt<Answered>, OpenFailure> {
        loop {
            let (upstream, copy) = self.next_upstream().await?;
            self.tried.push(upstream.clone());
            self.sends.begin();
            self.has_part_begun = false;
            let outcome = match self.send(&upstream, copy).await {
                Ok(attempt) if attempt.state.headers.status.is_success() => return Ok(attempt),
                Ok(attempt) => self.take_answer(attempt).await?,
                Err(outcome) => outcome,
            };
            self.forwarder.note(&self.call, &upstream, &outcome);
            if self.sends.end(&outcome) {
                // A run that never began has no copy either.
                lock(&self.copy).take();
            } else if matches!(outcome, SendOutcome::MayHaveRun(_)) {
                self.broke_before_event(&upstream);
            }
            if self.sends.progress() == Progress::MayHaveRun && !self.may_repeat() {
                let cause = "it may have run and may not run twice".to_owned();
                return Err(OpenFailure::GivenUp(GiveUpReason::UpstreamsFailed, cause));
            }
        }
    }

    /// Holds the loss against the call, unless it had made progress here.
    pub(super) fn broke_before_event(&self, upstream: &Arc<Upstream>) {
        if !self.has_part_begun {
            self.forwarder.check_for_crash(&self.call, upstream);
        }
    }

    pub(super) fn may_repeat(&self) -> bool {
        self.call.admitted.route.kind.may_repeat()
    }

    /// Chooses where the call goes next: to the copy of its run, if there is
    /// one, and to the least busy engine otherwise.
    async fn next_upstream(&mut self) -> Result<(Arc<Upstream>, Option<RunCopy>), OpenFailure> {
        let given_up = |why, cause: &str| OpenFailure::GivenUp(why, cause.to_owned());
        if self.forwarder.request_crashes.is_poison(&self.call) {
            return Err(given_up(GiveUpReason::CrashesUpstreams, "convicted"));
        }
        if self.call.time_for_upstream(Instant::now()).is_none() {
            return Err(given_up(GiveUpReason::TimeOver, "no time is left"));
        }
        let attempts_max = self.call.admitted.route.attempts_max;
        if self.sends.sent_count() >= attempts_max || self.sends.unsent_count() >= UNSENT_TRIES_MAX
        {
            return Err(given_up(
                GiveUpReason::UpstreamsFailed,
                "all attempts are used",
            ));
        }
        let copy = lock(&self.copy)
            .take()
            .filter(|copy| self.is_worth_a_send(copy));
        let forwarder = &self.forwarder;
        let upstream = match &copy {
            Some(copy) => copy.keeper.clone(),
            None => self
                .where_prompt_lies()
                .or_else(|| forwarder.choose(&self.call.service, &self.tried, choose_engine))
                .ok_or_else(|| given_up(GiveUpReason::NoUpstream, "no upstream is ready"))?,
        };
        if self.sends.sent_count() > 0 && !forwarder.may_send_again_or_borrow(&self.call).await {
            return Err(given_up(
                GiveUpReason::UpstreamsFailed,
                "the retry budget is used",
            ));
        }
        Ok((upstream, copy))
    }

    /// Whether the run can go on from its copy: before its first event there is
    /// nothing in it, and the send would be lost from the retry budget.
    fn is_worth_a_send(&self, copy: &RunCopy) -> bool {
        self.has_part_begun && copy.is_usable()
    }

    /// The engine that read this session's prompt a moment ago, if it can be
    /// sent calls.
    fn where_prompt_lies(&self) -> Option<Arc<Upstream>> {
        let now = Instant::now();
        let session = self.call.headers.session.as_ref()?;
        let id = self.forwarder.sessions.cached_at(session, now)?;
        let was_tried = self.tried.iter().any(|tried| tried.entry.id == id);
        let serving = self.forwarder.directory.serving(&self.call.service);
        let holder = serving.into_iter().find(|u| u.entry.id == id)?;
        let is_fit = !was_tried && holder.avoided_until(now).is_none();
        is_fit.then_some(holder)
    }

    pub(super) fn run_name(&self) -> RunName {
        RunName {
            call: self.call.id().to_owned(),
            service: self.call.service.clone(),
            memory_tokens: self.call.memory_tokens(),
        }
    }

    /// Whether the service's engines can keep copies of this run.
    pub(super) fn can_be_copied(&self) -> bool {
        let table = self.forwarder.routing.load();
        let traits = table
            .as_ref()
            .map(|table| table.service(&self.call.service));
        let engine = traits.and_then(|traits| traits.engine);
        self.may_repeat() && engine.is_some_and(|engine| engine.supports_replicas)
    }

    /// Chooses who is sent a copy of the run at `upstream` as it grows.
    fn new_copy(&self, upstream: &Arc<Upstream>) -> Option<RunCopy> {
        if !self.can_be_copied() {
            return None;
        }
        let service = &self.call.service;
        let keeper = choose_keeper(&self.forwarder, service, upstream, &self.tried)?;
        Some(RunCopy::sent_along(keeper, &self.run_name()))
    }

    async fn send(
        &mut self,
        upstream: &Arc<Upstream>,
        copy: Option<RunCopy>,
    ) -> Result<Attempt<Answered>, SendOutcome> {
        let Some(time_left) = self.call.time_for_upstream(Instant::now()) else {
            return Err(SendOutcome::NotSent("no time is left"));
        };
        let has_copy = copy.is_some();
        let next_copy = self.new_copy(upstream);
        let request = self.call.request_to(&Dispatch {
            upstream: &upstream.entry.id,
            customer: self.call.admitted.customer.as_deref(),
            time_left,
            last_event: self.last_event,
            replica: next_copy.as_ref().map(|copy| copy.host),
            copy: copy.as_ref().map(|copy| CopyName {
                host: copy.host,
                name: &copy.name,
            }),
        });
        log::info!(
            "event=stream_sent call={} upstream={} dc={} has_copy={has_copy} keeper={} last_event={:?} own_prompt_tokens={} own_calls={} age_ms={}",
            self.call.id(),
            upstream.entry.id,
            upstream.entry.data_centre,
            next_copy
                .as_ref()
                .map_or("-", |copy| copy.keeper.entry.id.as_str()),
            self.last_event,
            upstream.pending_prompt_tokens(),
            upstream.call_count(),
            self.call.age().as_millis()
        );
        *lock(&self.copy) = next_copy;
        let prompt_tokens = if has_copy {
            COPY_REST_TOKENS
        } else {
            self.call.headers.prompt_tokens
        };
        let work = Work::call(upstream, prompt_tokens, self.call.memory_tokens());
        let attempt = Attempt::new(upstream.clone(), work, request);
        let forwarder = &self.forwarder;
        forwarder.metrics.add(Counter::UpstreamSends, 1);
        let mut watch = LossWatch::new(&forwarder.directory, upstream.clone());
        tokio::select! {
            sent = attempt.send(&self.call) => sent,
            loss = watch.wait_for_loss(&forwarder.directory, StreamPhase::Prefill, &forwarder.metrics) => Err(SendOutcome::Silent(loss)),
        }
    }

    /// Passes on an answer that is no stream, unless another upstream may do better.
    async fn take_answer(
        &mut self,
        attempt: Attempt<Answered>,
    ) -> Result<SendOutcome, OpenFailure> {
        let status = attempt.state.headers.status;
        let attempts_max = self.call.admitted.route.attempts_max;
        let is_retried =
            status.is_server_error() && self.may_repeat() && self.sends.sent_count() < attempts_max;
        if is_retried {
            let cause = format!("answered {}", status.as_u16());
            return Ok(SendOutcome::MayHaveRun(cause));
        }
        match answer_body::read(attempt).await {
            Ok(answer) => Err(OpenFailure::Answer(Box::new(answer))),
            Err(error) => Ok(SendOutcome::MayHaveRun(error.to_string())),
        }
    }
}
