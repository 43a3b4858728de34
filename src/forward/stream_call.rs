//! A call whose answer is a stream of events, which goes on at another
//! upstream when the first is lost.
//!
//! The caller sees one response: the head of the first upstream, and each
//! event once. `docs/RESUME.md` tells which ways of going on were weighed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use tokio::sync::{mpsc, watch};

use super::answer_body;
use super::connection::Connection;
use super::forwarder::{Forwarder, Surroundings};
use super::probe::{Loss, wait_for_loss};
use super::request::Call;
use super::run_copy::{CopyPlace, RunCopy, RunName, choose_keeper, free, guard, lock};
use super::send::{Answered, Attempt, SendOutcome};
use super::upstream::{Upstream, Work};
use crate::caller::sse::EventBuffer;
use crate::http::{BrokenOff, HttpResponse};
use crate::observe::metrics::{Counter, Span};
use crate::platform::call::{CopyName, Dispatch, strip_hop_headers};
use crate::policy::placement::choose_engine;
use crate::policy::refusal::{GivenUp, Progress};
use crate::policy::silence::Phase;

/// Events that may wait for a slow caller.
const UNSENT_EVENTS: usize = 8;
/// Sends that may fail before any byte leaves, until a call is given up.
const UNSENT_TRIES_MAX: u32 = 6;
/// Tokens that a resume from a copy still has to read.
const COPY_REST_TOKENS: u64 = 300;

/// One upstream's part of the answer.
#[derive(Debug)]
struct Part {
    upstream: Arc<Upstream>,
    work: Work,
    connection: Connection,
    body: Incoming,
    reuse: Option<Option<Duration>>,
    losses: watch::Receiver<u64>,
}

/// Why no upstream began or went on.
#[derive(Debug)]
enum OpenFailure {
    GivenUp(GivenUp, String),
    /// An upstream's own final answer, which is no stream.
    Answer(Box<HttpResponse>),
}

/// How one upstream's part ended.
#[derive(Debug)]
enum PartEnd {
    Complete,
    Lost(String),
    CallerGone,
    TimeOver,
}

type EventSender = mpsc::Sender<Result<Frame<Bytes>, BrokenOff>>;

/// One stream, from its call to its last event.
struct StreamRun<S> {
    forwarder: Arc<Forwarder<S>>,
    call: Call,
    tried: Vec<Arc<Upstream>>,
    sent_count: u32,
    unsent_count: u32,
    progress: Progress,
    copy: CopyPlace,
    last_event: Option<u64>,
    event_count: u64,
    /// Whether the upstream that serves now has sent an event.
    has_part_begun: bool,
    first_event_ms: Option<u128>,
    longest_pause_ms: u128,
    last_event_at: Option<Instant>,
}

impl<S: Surroundings> Forwarder<S> {
    /// Answers a streaming call.
    pub(crate) async fn stream(self: &Arc<Self>, call: Call) -> HttpResponse {
        let mut run = StreamRun {
            forwarder: self.clone(),
            last_event: call.headers.last_event,
            call,
            tried: Vec::new(),
            sent_count: 0,
            unsent_count: 0,
            progress: Progress::NotRun,
            copy: CopyPlace::default(),
            event_count: 0,
            has_part_begun: false,
            first_event_ms: None,
            longest_pause_ms: 0,
            last_event_at: None,
        };
        let deadline = run.call.deadline.into();
        let opened = tokio::time::timeout_at(deadline, run.open()).await;
        let timed_out = || OpenFailure::GivenUp(GivenUp::TimeOver, "no upstream began".to_owned());
        match opened.unwrap_or_else(|_| Err(timed_out())) {
            Ok(attempt) => run.respond(attempt),
            Err(OpenFailure::Answer(answer)) => *answer,
            Err(OpenFailure::GivenUp(given_up, cause)) => {
                self.give_up(&run.call, given_up, run.progress, &cause)
            }
        }
    }
}

impl<S: Surroundings> StreamRun<S> {
    /// Finds an upstream that begins the stream or goes on with it.
    async fn open(&mut self) -> Result<Attempt<Answered>, OpenFailure> {
        loop {
            let (upstream, copy) = self.next_upstream()?;
            self.tried.push(upstream.clone());
            let before = self.progress;
            self.progress = Progress::MayHaveRun;
            self.sent_count += 1;
            self.has_part_begun = false;
            let outcome = match self.send(&upstream, copy).await {
                Ok(attempt) if attempt.state.headers.status.is_success() => return Ok(attempt),
                Ok(attempt) => self.take_answer(attempt).await?,
                Err(outcome) => outcome,
            };
            self.forwarder.note(&self.call, &upstream, &outcome);
            match outcome {
                SendOutcome::NotSent(_) => {
                    self.did_not_run(before);
                    self.sent_count -= 1;
                    self.unsent_count += 1;
                }
                SendOutcome::Misdirected(_) => {
                    self.did_not_run(before);
                    self.unsent_count += 1;
                }
                SendOutcome::NotExecuted => self.did_not_run(before),
                SendOutcome::MayHaveRun(_) => self.broke_before_event(&upstream),
                SendOutcome::Silent(_) => {}
            }
            if self.progress == Progress::MayHaveRun && !self.may_repeat() {
                let cause = "it may have run and may not run twice".to_owned();
                return Err(OpenFailure::GivenUp(GivenUp::UpstreamsFailed, cause));
            }
        }
    }

    /// Holds the loss against the call, unless it had made progress here.
    fn broke_before_event(&self, upstream: &Arc<Upstream>) {
        if !self.has_part_begun {
            self.forwarder.suspect(&self.call, upstream);
        }
    }

    /// A run that never began has no copy either.
    fn did_not_run(&mut self, before: Progress) {
        self.progress = before;
        lock(&self.copy).take();
    }

    fn may_repeat(&self) -> bool {
        self.call.admitted.route.kind.may_repeat()
    }

    /// Chooses where the call goes next: to the copy of its run, if there is
    /// one, and to the least busy engine otherwise.
    fn next_upstream(&mut self) -> Result<(Arc<Upstream>, Option<RunCopy>), OpenFailure> {
        let given_up = |why, cause: &str| OpenFailure::GivenUp(why, cause.to_owned());
        if self.forwarder.crashes.is_convicted(&self.call) {
            return Err(given_up(GivenUp::CrashesUpstreams, "convicted"));
        }
        if self.call.time_for_upstream(Instant::now()).is_none() {
            return Err(given_up(GivenUp::TimeOver, "no time is left"));
        }
        let attempts_max = self.call.admitted.route.attempts_max;
        if self.sent_count >= attempts_max || self.unsent_count >= UNSENT_TRIES_MAX {
            return Err(given_up(GivenUp::UpstreamsFailed, "all attempts are used"));
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
                .ok_or_else(|| given_up(GivenUp::NoUpstream, "no upstream is ready"))?,
        };
        if self.sent_count > 0 && !forwarder.may_send_again(&self.call) {
            return Err(given_up(
                GivenUp::UpstreamsFailed,
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
        let id = self.forwarder.sessions.place(session, now)?;
        let was_tried = self.tried.iter().any(|tried| tried.entry.id == id);
        let serving = self.forwarder.directory.serving(&self.call.service);
        let holder = serving.into_iter().find(|u| u.entry.id == id)?;
        let is_fit = !was_tried && holder.avoided_until(now).is_none();
        is_fit.then_some(holder)
    }

    fn run_name(&self) -> RunName {
        RunName {
            call: self.call.id().to_owned(),
            service: self.call.service.clone(),
            memory_tokens: self.call.memory_tokens(),
        }
    }

    /// Whether the service's engines can keep copies of this run.
    fn can_be_copied(&self) -> bool {
        let table = self.forwarder.routing.load();
        let traits = table
            .as_ref()
            .map(|table| table.service(&self.call.service));
        let engine = traits.and_then(|traits| traits.engine);
        self.may_repeat() && engine.is_some_and(|engine| engine.keeps_replicas)
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
            upstream.prompt_tokens(),
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
        let mut losses = upstream.losses();
        tokio::select! {
            sent = attempt.send(&self.call) => sent,
            loss = wait_for_loss(
                &forwarder.directory,
                upstream,
                &mut losses,
                Phase::Reading,
                &forwarder.metrics,
            ) => Err(SendOutcome::Silent(loss)),
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
            status.is_server_error() && self.may_repeat() && self.sent_count < attempts_max;
        if is_retried {
            let cause = format!("answered {}", status.as_u16());
            return Ok(SendOutcome::MayHaveRun(cause));
        }
        match answer_body::read(attempt).await {
            Ok(answer) => Err(OpenFailure::Answer(Box::new(answer))),
            Err(error) => Ok(SendOutcome::MayHaveRun(error.to_string())),
        }
    }

    /// Gives the caller the head, and relays events from now on.
    fn respond(self, attempt: Attempt<Answered>) -> HttpResponse {
        let (mut parts, part) = Part::new(attempt);
        strip_hop_headers(&mut parts.headers);
        // How long the whole gets is not known where it may go on elsewhere.
        parts.headers.remove(CONTENT_LENGTH);
        let (sender, mut receiver) = mpsc::channel(UNSENT_EVENTS);
        tokio::spawn(self.relay(part, sender));
        let events = stream::poll_fn(move |cx| receiver.poll_recv(cx));
        HttpResponse::from_parts(parts, StreamBody::new(events).boxed_unsync())
    }

    async fn relay(mut self, mut part: Part, sender: EventSender) {
        loop {
            let upstream = part.upstream.clone();
            let cause = match self.relay_part(part, &sender).await {
                PartEnd::Lost(cause) => cause,
                end => return self.finish(&end, &sender).await,
            };
            let lost_at = Instant::now();
            self.forwarder.metrics.add(Counter::StreamsLost, 1);
            log::info!(
                "event=stream_lost call={} upstream={} cause={cause:?} last_event={:?} age_ms={}",
                self.call.id(),
                upstream.entry.id,
                self.last_event,
                self.call.age().as_millis()
            );
            if !self.may_repeat() {
                return self.finish(&PartEnd::Lost(cause), &sender).await;
            }
            let deadline = self.call.deadline.into();
            let opened = tokio::select! {
                opened = tokio::time::timeout_at(deadline, self.open()) => opened,
                () = sender.closed() => return self.finish(&PartEnd::CallerGone, &sender).await,
            };
            part = match opened {
                Ok(Ok(attempt)) => Part::new(attempt).1,
                Ok(Err(failure)) => {
                    let cause = format!("{failure:?}");
                    return self.finish(&PartEnd::Lost(cause), &sender).await;
                }
                Err(_) => return self.finish(&PartEnd::TimeOver, &sender).await,
            };
            let metrics = &self.forwarder.metrics;
            metrics.add(Counter::StreamsResumed, 1);
            metrics.record(Span::Resume, lost_at.elapsed());
            log::info!(
                "event=stream_resumed call={} upstream={} after_ms={}",
                self.call.id(),
                part.upstream.entry.id,
                lost_at.elapsed().as_millis()
            );
        }
    }

    /// Relays what one upstream sends until it ends or is lost.
    async fn relay_part(&mut self, part: Part, sender: &EventSender) -> PartEnd {
        let Part {
            upstream,
            mut work,
            connection,
            mut body,
            reuse,
            mut losses,
        } = part;
        let forwarder = self.forwarder.clone();
        let mut events = EventBuffer::default();
        let mut phase = Phase::Reading;
        let mut _guard = None;
        let deadline = self.call.deadline.into();
        let mut is_handed_over = false;
        loop {
            let frame = tokio::select! {
                () = forwarder.node.cut_is_near(), if !is_handed_over => {
                    is_handed_over = true;
                    if let Some(session) = &self.call.headers.session {
                        forwarder.sessions.hand_over(session, &upstream.entry.id);
                    }
                    continue;
                }
                frame = body.frame() => frame,
                loss = wait_for_loss(
                    &forwarder.directory,
                    &upstream,
                    &mut losses,
                    phase,
                    &forwarder.metrics,
                ) => {
                    if loss == Loss::NoProgress {
                        upstream.avoid(Instant::now());
                    }
                    return PartEnd::Lost(format!("{loss:?}"));
                }
                () = sender.closed() => {
                    self.free_copy(&upstream);
                    return PartEnd::CallerGone;
                }
                () = tokio::time::sleep_until(deadline) => return PartEnd::TimeOver,
            };
            let data = match frame {
                None if events.is_empty() => {
                    if let Some(idle_timeout) = reuse {
                        upstream.pool.put(connection, idle_timeout);
                    }
                    self.free_copy(&upstream);
                    return PartEnd::Complete;
                }
                None => return PartEnd::Lost("ended inside an event".to_owned()),
                Some(Err(error)) => {
                    upstream.avoid(Instant::now());
                    self.broke_before_event(&upstream);
                    self.forwarder.confirm_loss(&upstream);
                    return PartEnd::Lost(error.to_string());
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            upstream.heard(Instant::now());
            if events.push(&data).is_err() {
                return PartEnd::Lost("an event without end".to_owned());
            }
            while let Some(event) = events.next_raw() {
                if phase == Phase::Reading {
                    forwarder.crashes.ran(&self.call);
                    if let Some(session) = &self.call.headers.session {
                        let now = Instant::now();
                        forwarder.sessions.read_at(session, &upstream.entry.id, now);
                    }
                }
                if phase == Phase::Reading && self.can_be_copied() {
                    let copy = self.copy.clone();
                    _guard = Some(guard(&forwarder, self.run_name(), upstream.clone(), copy));
                }
                phase = Phase::Running;
                work.prompt_is_read();
                if let Err(end) = self.relay_event(event.bytes, event.index, sender).await {
                    return end;
                }
            }
        }
    }

    fn free_copy(&self, upstream: &Arc<Upstream>) {
        if let Some(copy) = lock(&self.copy).take() {
            free(upstream.clone(), copy);
        }
    }

    /// Relays one event, unless the caller has it.
    async fn relay_event(
        &mut self,
        bytes: Bytes,
        index: Option<u64>,
        sender: &EventSender,
    ) -> Result<(), PartEnd> {
        if let (Some(index), Some(last)) = (index, self.last_event) {
            if index <= last {
                return Ok(());
            }
            if index > last + 1 {
                return Err(PartEnd::Lost(format!("event {index} follows {last}")));
            }
        }
        let deadline = self.call.deadline.into();
        let sent = tokio::time::timeout_at(deadline, sender.send(Ok(Frame::data(bytes)))).await;
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(PartEnd::CallerGone),
            Err(_) => return Err(PartEnd::TimeOver),
        }
        self.last_event = index.or(self.last_event);
        self.has_part_begun = true;
        self.count_event();
        Ok(())
    }

    fn count_event(&mut self) {
        let now = Instant::now();
        if let Some(earlier) = self.last_event_at.replace(now) {
            let pause_ms = now.saturating_duration_since(earlier).as_millis();
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(self.call.age().as_millis());
            let metrics = &self.forwarder.metrics;
            metrics.record(Span::FirstEvent, self.call.age());
        }
        self.event_count += 1;
    }

    /// Ends the response, so that an incomplete one does not look complete.
    async fn finish(&self, end: &PartEnd, sender: &EventSender) {
        let pause = Duration::from_millis(self.longest_pause_ms as u64);
        self.forwarder.metrics.record(Span::LongestPause, pause);
        log::info!(
            "event=stream_done call={} route={} end={end:?} events={} sends={} first_event_ms={:?} longest_pause_ms={} age_ms={}",
            self.call.id(),
            self.call.admitted.route.name,
            self.event_count,
            self.sent_count,
            self.first_event_ms,
            self.longest_pause_ms,
            self.call.age().as_millis()
        );
        if matches!(end, PartEnd::Complete) {
            return;
        }
        self.forwarder.metrics.add(Counter::StreamsBrokenOff, 1);
        // The caller may be gone already.
        let _ = sender.send(Err(BrokenOff)).await;
    }
}

impl Part {
    fn new(attempt: Attempt<Answered>) -> (hyper::http::response::Parts, Self) {
        let reuse = attempt.state.reuse();
        let losses = attempt.upstream.losses();
        let (parts, body) = attempt.state.response.into_parts();
        let part = Self {
            upstream: attempt.upstream,
            work: attempt.work,
            connection: attempt.state.connection,
            body,
            reuse,
            losses,
        };
        (parts, part)
    }
}
