//! Forwards streaming calls, whose answer is a stream of events, and resumes
//! them at another upstream when theirs is lost.
//!
//! The execution of a streaming call across its upstreams is a run. While an
//! engine runs it, a second engine, the holder, has a replica of the run's KV
//! cache, from which the run can resume without another prefill.
//!
//! The caller sees one response: the head of the first upstream's answer, and
//! each event once. `docs/RESUME.md` compares the ways of resuming a stream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::answer_body;
use super::attempt::{Answered, Attempt, AttemptFailure};
use super::forwarder::{Forwarder, NodeContext};
use super::probe::LossWatch;
use super::request::Call;
use super::request_crashes::{AnswerPhase, Permission};
use super::reread_queue::RereadTurn;
use super::run_origin::RunOrigin;
use super::run_replica::{ReplicaSlot, ReplicatedRun, RunReplica, choose_holder, lock};
use super::send_history::SendHistory;
use super::send_probe::SendPlan;
use super::upstream::{Upstream, Work, version_for_log};
use super::write_signal::WriteSignal;
use crate::http::HttpResponse;
use crate::platform::call::{ReplicaRef, UpstreamHeaders};
use crate::policy::failure_response::{GiveUpReason, Progress};
use crate::policy::liveness::StreamPhase;
use crate::policy::reread_queue::{PROMPT_TOKENS_MIN, rereads_max, wait_max};

/// Number of sends that reached no upstream, or another one than intended, after
/// which a call is given up.
const UNDELIVERED_SENDS_MAX: u32 = 6;
/// Number of tokens that an engine still has to prefill when a run resumes from
/// a replica: those that the replica does not hold yet.
const REPLICA_PREFILL_TOKENS: u64 = 300;

/// Why [`StreamRun::open`] found no upstream that began or resumed the stream.
#[derive(Debug)]
pub(super) enum OpenFailure {
    /// The call is given up, for a reason and a cause to be logged.
    GivenUp(GiveUpReason, String),
    /// No upstream has room for the call until this time has passed.
    OverLimit(Duration),
    /// An upstream's final answer, which is not a stream.
    Answer(Box<HttpResponse>),
}

/// The upstream to which a stream is sent next. If this is a retry, the retry
/// budget is already spent.
#[derive(Debug)]
pub(super) struct NextUpstream {
    pub(super) upstream: Arc<Upstream>,
    /// The replica at the upstream from which the run resumes, if there is one.
    pub(super) replica: Option<RunReplica>,
}

/// State of a streaming call across its upstreams.
pub(super) struct StreamRun<N> {
    pub(super) forwarder: Arc<Forwarder<N>>,
    pub(super) call: Call,
    pub(super) tried: Vec<Arc<Upstream>>,
    pub(super) sends: SendHistory,
    pub(super) replica: ReplicaSlot,
    /// Set when the stream was moved away from a silent upstream.
    pub(super) next: Option<NextUpstream>,
    /// When the call was last sent.
    pub(super) sent_at: Instant,
    /// Set when the bytes of the next send begin to leave.
    pub(super) next_write: WriteSignal,
    /// Held until the prompt of a stream that was taken up has been read again.
    pub(super) reread_turn: Option<RereadTurn>,
    /// Index of the last event that the caller has received.
    pub(super) last_event: Option<u64>,
    /// The upstream that sent the first event of the run, if an event was passed
    /// on to the caller, now or in an earlier call that this one resumes.
    pub(super) origin: Option<RunOrigin>,
    /// Whether the origin is recorded at this node or another one.
    pub(super) is_origin_recorded: bool,
    /// The check whether the upstream that was lost last has crashed.
    pub(super) crash_check: Option<JoinHandle<()>>,
    /// Whether an upstream went on with the answer for so long that the call does not crash
    /// upstreams.
    pub(super) has_survived: bool,
    pub(super) event_count: u64,
    /// Whether the present upstream has sent an event that was passed on to the
    /// caller.
    pub(super) has_upstream_sent_event: bool,
    pub(super) first_event_ms: Option<u128>,
    pub(super) longest_pause_ms: u128,
    pub(super) last_event_at: Option<Instant>,
    /// When the present upstream, or the last one, sent its first event.
    pub(super) upstream_began_at: Option<Instant>,
}

impl OpenFailure {
    /// This node reaches no upstream, but a peer may.
    fn no_path() -> Self {
        Self::given_up(
            GiveUpReason::UpstreamsFailed,
            "this node reaches no upstream of the service",
        )
    }

    pub(super) fn given_up(reason: GiveUpReason, cause: &str) -> Self {
        Self::GivenUp(reason, cause.to_owned())
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Forwards a streaming call and returns its answer.
    pub(crate) async fn forward_stream(self: &Arc<Self>, call: Call) -> HttpResponse {
        let mut run = StreamRun {
            forwarder: self.clone(),
            last_event: call.headers.last_event,
            call,
            tried: Vec::new(),
            sends: SendHistory::new(),
            replica: ReplicaSlot::default(),
            origin: None,
            is_origin_recorded: false,
            next: None,
            sent_at: Instant::now(),
            next_write: WriteSignal::default(),
            reread_turn: None,
            crash_check: None,
            has_survived: false,
            event_count: 0,
            has_upstream_sent_event: false,
            first_event_ms: None,
            longest_pause_ms: 0,
            last_event_at: None,
            upstream_began_at: None,
        };
        let deadline = run.call.deadline;
        let (service, may_move) = (run.call.service.clone(), run.call.may_move_to_peer());
        let opened = tokio::select! {
            biased;
            opened = run.open_first() => Some(opened),
            () = self.wait_until_relay_due(&service, may_move) => Some(Err(OpenFailure::no_path())),
            () = self.wait_until_answer_due(deadline) => None,
        };
        let timed_out = || {
            OpenFailure::GivenUp(
                GiveUpReason::TimeOver,
                "no upstream began the stream in time".to_owned(),
            )
        };
        match opened.unwrap_or_else(|| Err(timed_out())) {
            Ok(attempt) => run.respond(attempt),
            Err(OpenFailure::Answer(answer)) => *answer,
            Err(OpenFailure::OverLimit(wait)) => {
                self.refuse_over_limit(&run.call, run.sends.progress(), wait)
            }
            Err(OpenFailure::GivenUp(reason, cause)) => {
                if reason != GiveUpReason::TimeOver
                    && let Some(response) = self.relay_after_failures(&run.call, &run.sends).await
                {
                    return response;
                }
                self.give_up(&run.call, reason, run.sends.progress(), &cause)
            }
        }
    }
}

impl<N: NodeContext> StreamRun<N> {
    async fn open_first(&mut self) -> Result<Attempt<Answered>, OpenFailure> {
        self.find_origin().await?;
        self.wait_for_reread_turn().await;
        self.open().await
    }

    /// Waits in a queue if the call takes up a stream whose prompt has to be read again. Such a
    /// stream has paused for longer than its caller allows, so new prompts go first.
    async fn wait_for_reread_turn(&mut self) {
        let reads_again = self.last_event.is_some()
            && self.call.headers.prompt_tokens >= PROMPT_TOKENS_MIN
            && self.upstream_with_cached_prompt(&[]).is_none();
        if !reads_again {
            return;
        }
        let began_at = Instant::now();
        let engine_count = self.forwarder.directory.serving(&self.call.service).len();
        let (_, node_count) = self.forwarder.node.position();
        let turn = self.forwarder.rereads.wait_for_turn(
            self.call.matched.route.priority,
            rereads_max(engine_count, node_count),
            wait_max(self.call.time_left(began_at)),
        );
        self.reread_turn = Some(turn.await);
        log::info!(
            "event=reread_admitted call={} engines={engine_count} nodes={node_count} waited_ms={}",
            self.call.id(),
            began_at.elapsed().as_millis()
        );
    }

    /// Sends the call to one upstream after the other until one begins or
    /// resumes the stream.
    pub(super) async fn open(&mut self) -> Result<Attempt<Answered>, OpenFailure> {
        loop {
            let next = match self.next.take() {
                Some(next) => next,
                None => self.next_upstream().await?,
            };
            let NextUpstream { upstream, replica } = next;
            self.tried.push(upstream.clone());
            let written = std::mem::take(&mut self.next_write);
            let is_retry = self.sends.sent_count() > 0;
            self.sends.begin_with(&written);
            self.has_upstream_sent_event = false;
            self.sent_at = Instant::now();
            let failure = match self.send(&upstream, replica, &written).await {
                Ok(attempt) if attempt.state.headers.begins_stream() => {
                    self.forwarder.record_connected(&attempt);
                    return Ok(attempt);
                }
                Ok(attempt) => self.handle_non_stream_answer(attempt).await?,
                Err(failure) => failure,
            };
            self.forwarder
                .handle_failure(&self.call, &upstream, &failure);
            let rollouts = &self.forwarder.rollouts;
            rollouts.record_attempt_failure(&self.call, &upstream, &failure);
            if written.written_at().is_none() {
                self.next_write = written;
            }
            if is_retry && failure.is_unsent() {
                self.forwarder.budgets.take_back(&self.call.service);
            }
            if self.sends.record_failure(&failure) {
                // The run did not begin, so no replica of it was streamed.
                lock(&self.replica).take();
            } else if matches!(failure, AttemptFailure::MayHaveRun(_)) {
                self.check_for_crash(&upstream, AnswerPhase::Waiting);
            }
            if self.sends.progress() == Progress::MayHaveRun && !self.may_repeat() {
                let cause =
                    "an upstream may have run the call, which must not run twice".to_owned();
                return Err(OpenFailure::GivenUp(GiveUpReason::UpstreamsFailed, cause));
            }
        }
    }

    /// Checks whether the upstream, which broke off, has crashed.
    pub(super) fn check_for_crash(&mut self, upstream: &Arc<Upstream>, phase: AnswerPhase) {
        let forwarder = &self.forwarder;
        let check = forwarder.check_for_crash(&self.call, upstream, phase);
        self.crash_check = Some(check);
    }

    /// Waits for the last check for a crash, if its result may convict the call.
    async fn await_crash_check(&mut self) {
        let Some(check) = self.crash_check.take() else {
            return;
        };
        if self.forwarder.request_crashes.is_suspect(&self.call) {
            // Fails only if the check panicked.
            let _ = check.await;
        }
    }

    pub(super) fn may_repeat(&self) -> bool {
        self.call.matched.route.kind.may_repeat()
    }

    /// Chooses the next upstream, and spends a retry if the call was sent before.
    async fn next_upstream(&mut self) -> Result<NextUpstream, OpenFailure> {
        self.await_crash_check().await;
        self.check_may_send()?;
        let _turn = self.wait_for_turn().await;
        let upstream = self.choose_upstream().await?;
        self.spend_retry().await?;
        Ok(self.next_at(upstream))
    }

    /// Checks whether the call may be sent to another upstream.
    pub(super) fn check_may_send(&self) -> Result<(), OpenFailure> {
        if let Some(reason) = self.refusal() {
            return Err(OpenFailure::given_up(
                reason,
                "upstreams crashed under such requests",
            ));
        }
        if self.call.time_for_upstream(Instant::now()).is_none() {
            return Err(OpenFailure::given_up(
                GiveUpReason::TimeOver,
                "no time is left for an upstream to answer",
            ));
        }
        if self.forwarder.should_relay(&self.call, &self.sends) {
            return Err(OpenFailure::no_path());
        }
        if self.sends.attempt_count() >= self.call.sends_max
            || self.sends.undelivered_count() >= UNDELIVERED_SENDS_MAX
        {
            return Err(OpenFailure::given_up(
                GiveUpReason::UpstreamsFailed,
                "the maximum number of attempts or of undelivered sends is reached",
            ));
        }
        Ok(())
    }

    /// Why the call may not be sent because of what crashes upstreams. An upstream that
    /// went on with the call's answer showed that the call does not crash it.
    fn refusal(&self) -> Option<GiveUpReason> {
        if self.has_survived || (self.call.is_trial && self.sends.sent_count() == 0) {
            return None;
        }
        match self.forwarder.permission(&self.call) {
            Permission::Refused(reason, _) => Some(reason),
            Permission::Allowed | Permission::Trial => None,
        }
    }

    /// Spends a retry, unless the call has not been sent yet.
    pub(super) async fn spend_retry(&self) -> Result<(), OpenFailure> {
        if self.sends.sent_count() == 0 || self.forwarder.spend_or_borrow_retry(&self.call).await {
            return Ok(());
        }
        Err(OpenFailure::given_up(
            GiveUpReason::UpstreamsFailed,
            "the retry budget is exhausted",
        ))
    }

    /// Software version that began the run, for the log.
    pub(super) fn origin_for_log(&self) -> &str {
        let origin = self.origin.as_ref();
        version_for_log(origin.and_then(|origin| origin.software_version.as_ref()))
    }

    pub(super) fn replicated_run(&self) -> ReplicatedRun {
        ReplicatedRun {
            call_id: self.call.id().to_owned(),
            service: self.call.service.clone(),
            kv_cache_tokens: self.call.kv_cache_tokens(),
        }
    }

    /// Whether the service's engines can hold replicas of this run.
    pub(super) fn can_be_replicated(&self) -> bool {
        let table = self.forwarder.route_table.load();
        let options = table
            .as_ref()
            .map(|table| table.service(&self.call.service));
        let engine = options.and_then(|options| options.engine);
        self.may_repeat() && engine.is_some_and(|engine| engine.supports_replicas)
    }

    /// Chooses the engine to which `upstream` streams a replica of the run's KV
    /// cache, if runs of the service can be replicated.
    fn new_replica(&self, upstream: &Arc<Upstream>) -> Option<RunReplica> {
        if !self.can_be_replicated() {
            return None;
        }
        let service = &self.call.service;
        let holder = choose_holder(&self.forwarder, service, upstream, &self.tried)?;
        Some(RunReplica::streamed(holder, &self.replicated_run()))
    }

    async fn send(
        &mut self,
        upstream: &Arc<Upstream>,
        replica: Option<RunReplica>,
        written: &WriteSignal,
    ) -> Result<Attempt<Answered>, AttemptFailure> {
        let has_replica = replica.is_some();
        // A holder that restarted has no replica and refuses the call itself.
        if self.origin.is_some() && !has_replica {
            self.forwarder.check_incarnation(upstream).await?;
        }
        let (own_prompt_tokens, own_calls) =
            (upstream.pending_prompt_tokens(), upstream.call_count());
        let prompt_tokens = if has_replica {
            REPLICA_PREFILL_TOKENS
        } else {
            self.call.headers.prompt_tokens
        };
        let mut work = Work::call(upstream, prompt_tokens, self.call.kv_cache_tokens());
        if self.has_cached_prompt(upstream) {
            work.skip_measurement();
        }
        let plan = SendPlan {
            upstream,
            tried: &self.tried,
            origin: self.origin.as_ref(),
        };
        let clearance = self.forwarder.clear_send(plan).await?;
        let Some(time_left) = self.call.time_for_upstream(Instant::now()) else {
            return Err(AttemptFailure::NotSent(
                "no time is left for an upstream to answer",
            ));
        };
        let next_replica = self.new_replica(upstream);
        let request = self.call.request_to(&UpstreamHeaders {
            upstream: &upstream.entry.id,
            customer: self.call.matched.customer.as_deref(),
            time_left,
            last_event: self.last_event,
            replica_holder: next_replica.as_ref().map(|next| next.handle_address),
            resume_from: replica.as_ref().map(|replica| ReplicaRef {
                handle_address: replica.handle_address,
                handle: &replica.handle,
            }),
        });
        log::info!(
            "event=stream_sent call={} upstream={} version={} dc={} has_copy={has_replica} keeper={} last_event={:?} resumes={} began_at={} own_prompt_tokens={} own_calls={} priority_class={} {} age_ms={}",
            self.call.id(),
            upstream.entry.id,
            version_for_log(upstream.software_version()),
            upstream.entry.data_centre,
            next_replica
                .as_ref()
                .map_or("-", |next| next.holder.entry.id.as_str()),
            self.last_event,
            self.call.resumed_id().unwrap_or("-"),
            self.origin_for_log(),
            own_prompt_tokens,
            own_calls,
            self.call.priority_class_for_log(),
            upstream.speed(Instant::now()),
            self.call.age().as_millis()
        );
        self.record_sent_to(upstream);
        *lock(&self.replica) = next_replica;
        let attempt = Attempt::new(upstream.clone(), work, request);
        let forwarder = &self.forwarder;
        forwarder.record_upstream_send(upstream);
        let mut loss_watch = LossWatch::new(&forwarder.directory, upstream.clone());
        let call_id = self.call.headers.call_id.clone();
        let sending = attempt.send(clearance, written, call_id.as_ref());
        tokio::pin!(sending);
        loop {
            let forwarder = self.forwarder.clone();
            let loss = tokio::select! {
                biased;
                sent = &mut sending => return sent,
                loss = loss_watch.wait_for_loss(&forwarder.directory, StreamPhase::Prefill, &forwarder.metrics) => loss,
            };
            let is_moved = tokio::select! {
                biased;
                sent = &mut sending => return sent,
                is_moved = self.prepare_move() => is_moved,
            };
            if is_moved {
                return Err(AttemptFailure::Abandoned(loss));
            }
            loss_watch.hold();
        }
    }

    /// Handles an answer that is not a stream. Returns the reason to try another
    /// upstream, or the answer as an error if it is final.
    async fn handle_non_stream_answer(
        &mut self,
        attempt: Attempt<Answered>,
    ) -> Result<AttemptFailure, OpenFailure> {
        let status = attempt.state.headers.status;
        let may_be_sent = self.sends.attempt_count() < self.call.sends_max;
        let is_retried = status.is_server_error() && self.may_repeat() && may_be_sent;
        // The caller would take the body for the next part of its stream.
        let is_no_part = status.is_success() && self.last_event.is_some();
        if is_retried || is_no_part {
            let cause = format!("upstream answered with status {}", status.as_u16());
            return Ok(AttemptFailure::MayHaveRun(cause));
        }
        if status.is_server_error() {
            let rollouts = &self.forwarder.rollouts;
            rollouts.record_failed(&self.call, &attempt.upstream);
        }
        match answer_body::read(attempt, &self.forwarder, &self.call).await {
            Ok(answer) => Err(OpenFailure::Answer(Box::new(answer))),
            Err(error) => Ok(AttemptFailure::MayHaveRun(error.to_string())),
        }
    }
}
