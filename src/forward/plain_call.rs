//! Forwards plain calls, whose answer is a single body rather than a stream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::stream::FuturesUnordered;
use futures_util::{Stream, StreamExt};

use super::answer_body;
use super::attempt::{Answered, Attempt, AttemptFailure};
use super::forwarder::{Forwarder, NodeContext};
use super::hedged_call::SentHedge;
use super::request::Call;
use super::request_crashes::{AnswerPhase, Permission};
use super::send_history::SendHistory;
use super::send_probe::SendPlan;
use super::upstream::{Upstream, Work};
use super::upstream_permits::{PermitWait, WithoutPermit};
use super::write_signal::WriteSignal;
use crate::http::HttpResponse;
use crate::observe::metrics::Span;
use crate::platform::call::UpstreamHeaders;
use crate::policy::failure_response::{GiveUpReason, Progress};
use crate::policy::hedging::Withheld;
use crate::policy::placement::choose_for_plain_call;

/// Silence after which a call that may run more than once is sent to another
/// upstream as well, if the operators set no limit on hedges of its service.
pub(super) const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Number of sends that reached no upstream, or another one than intended, after
/// which a call is given up.
const UNDELIVERED_SENDS_MAX: u32 = 4;

/// A send that was begun and whose answer has not been received.
#[derive(Debug)]
pub(super) struct PendingSend {
    pub(super) upstream: Arc<Upstream>,
    pub(super) sent_at: Instant,
    /// Time after which the upstream counts as silent if it has sent nothing since.
    patience: Duration,
}

impl PendingSend {
    /// Whether the upstream has sent nothing at all since it got the call, for longer than
    /// an answer takes. One that is only slow answers other calls in the meantime.
    fn is_silent(&self) -> bool {
        self.sent_at.elapsed() >= self.patience && !self.upstream.was_heard_since(self.sent_at)
    }
}

/// How one send ended.
#[derive(Debug)]
struct SendResult {
    upstream: Arc<Upstream>,
    answer: Result<HttpResponse, AttemptFailure>,
}

/// What a plain call in flight does next.
#[derive(Debug)]
enum NextStep {
    /// It is sent to the next upstream.
    Send,
    /// It is hedged, if that is due and allowed.
    Hedge,
    /// It handles the end of a send.
    Handle(SendResult),
    /// It waits on.
    Wait,
    /// No send is in flight.
    Stop,
}

/// State of one plain call across its sends.
#[derive(Debug)]
pub(super) struct PlainCallState {
    pub(super) tried: Vec<Arc<Upstream>>,
    /// Upstreams that were silent when the call was due there. Each may be chosen again once.
    silent: Vec<Arc<Upstream>>,
    /// The sends in flight; more than one only if the call may be repeated.
    pub(super) pending: Vec<PendingSend>,
    pub(super) sends: SendHistory,
    /// Whether the operators set a limit on hedges for the call.
    is_hedgeable: bool,
    /// When to look next whether the call is to be hedged.
    pub(super) hedge_check_at: Option<Instant>,
    /// When to look next whether the upstreams are silent.
    silence_check_at: Instant,
    pub(super) hedge: Option<SentHedge>,
    /// Why the hedge was withheld when the call was looked at last. A call that waits long
    /// is logged and counted once for each change of the reason.
    pub(super) withheld: Option<Withheld>,
    /// The last server error of an upstream, which is passed on if no other
    /// upstream succeeds.
    server_error: Option<HttpResponse>,
    /// Time until an upstream has room again, if all are at their limits.
    over_limit_wait: Option<Duration>,
    /// Cause to be logged if the call is given up now.
    cause: String,
}

impl PlainCallState {
    fn new(is_hedgeable: bool) -> Self {
        Self {
            is_hedgeable,
            hedge_check_at: None,
            silence_check_at: Instant::now(),
            hedge: None,
            withheld: None,
            tried: Vec::new(),
            silent: Vec::new(),
            pending: Vec::new(),
            sends: SendHistory::new(),
            server_error: None,
            over_limit_wait: None,
            cause: String::from("no upstream of the service accepts calls"),
        }
    }

    /// Records the start of a send.
    fn begin_send(&mut self, upstream: &Arc<Upstream>, patience: Duration) -> WriteSignal {
        self.tried.push(upstream.clone());
        let written = self.sends.begin();
        let sent_at = Instant::now();
        self.silence_check_at = sent_at + HEDGE_DELAY;
        self.pending.push(PendingSend {
            upstream: upstream.clone(),
            sent_at,
            patience,
        });
        written
    }

    /// Records the result of a send in the averages of its upstream. Returns when the send
    /// began.
    fn end_send(&mut self, result: &SendResult) -> Option<Instant> {
        let is_ended = |send: &mut PendingSend| Arc::ptr_eq(&send.upstream, &result.upstream);
        let ended: Vec<PendingSend> = self.pending.extract_if(.., is_ended).collect();
        for send in &ended {
            record_result(&send.upstream, send.sent_at, &result.answer);
        }
        ended.last().map(|send| send.sent_at)
    }

    /// The send in flight, if there is just one and the call was not hedged before.
    pub(super) fn only_pending(&self) -> Option<&PendingSend> {
        match self.pending.as_slice() {
            [send] if self.hedge.is_none() => Some(send),
            _ => None,
        }
    }

    /// What to do at a time at which to look whether the call needs another send.
    fn step_at_check(&mut self, now: Instant) -> NextStep {
        if !self.is_hedgeable {
            return NextStep::Send;
        }
        if now >= self.silence_check_at {
            self.silence_check_at = now + HEDGE_DELAY;
            if self.pending.iter().all(PendingSend::is_silent) {
                return NextStep::Send;
            }
        }
        match self.hedge_check_at {
            Some(check_at) if now >= check_at => NextStep::Hedge,
            _ => NextStep::Wait,
        }
    }

    /// When to look whether the call needs another send.
    fn next_check_at(&self, now: Instant) -> Instant {
        if !self.is_hedgeable {
            return now + HEDGE_DELAY;
        }
        let hedge_check_at = self
            .hedge_check_at
            .filter(|_| self.only_pending().is_some());
        hedge_check_at.map_or(self.silence_check_at, |at| at.min(self.silence_check_at))
    }

    /// Allows that the call returns once to an upstream to which nothing was sent.
    fn allow_return(&mut self, upstream: &Arc<Upstream>) {
        let is_same = |other: &Arc<Upstream>| Arc::ptr_eq(other, upstream);
        if !self.silent.iter().any(is_same) {
            self.tried.retain(|other| !is_same(other));
            self.silent.push(upstream.clone());
        }
    }

    /// Avoids the upstreams that have not answered.
    fn avoid_silent_upstreams(&self) {
        let now = Instant::now();
        for send in &self.pending {
            send.upstream.avoid(now);
        }
    }

    /// Records the sends that are cancelled because another upstream answered. The first
    /// send of a hedged call was slow, and has not failed. The hedge was only late, so that
    /// its time says nothing.
    fn cancel_pending(&self) {
        let is_hedge = |send: &PendingSend| {
            let hedge = self.hedge.as_ref();
            hedge.is_some_and(|hedge| hedge.is_to(&send.upstream)) && !send.is_silent()
        };
        for send in &self.pending {
            if is_hedge(send) {
                send.upstream.record_withdrawn(send.sent_at);
                continue;
            }
            let has_failed = !self.is_hedgeable || send.is_silent();
            send.upstream
                .record_call(send.sent_at.elapsed(), has_failed);
        }
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Forwards a plain call and returns its answer.
    pub(crate) async fn forward_plain(self: &Arc<Self>, call: Call) -> HttpResponse {
        let is_hedgeable = self.hedges.covers(&call);
        if is_hedgeable {
            self.hedges.record_call(&call);
        }
        let mut state = PlainCallState::new(is_hedgeable);
        let answered = tokio::select! {
            biased;
            answered = self.send_until_answered(&call, &mut state) => Some(answered),
            () = self.wait_until_relay_due(&call.service, call.may_move_to_peer()) => Some(None),
            () = self.wait_until_answer_due(call.deadline) => None,
        };
        let reason = match answered {
            Some(Some(response)) => {
                self.metrics.record(Span::PlainCall, call.age());
                log::info!(
                    "event=call_done call={} route={} service={} status={} sends={} age_ms={}",
                    call.id(),
                    call.matched.route.name,
                    call.service,
                    response.status().as_u16(),
                    state.sends.sent_count(),
                    call.age().as_millis()
                );
                return response;
            }
            Some(None) if state.tried.is_empty() => GiveUpReason::NoUpstream,
            Some(None) => GiveUpReason::UpstreamsFailed,
            None => GiveUpReason::TimeOver,
        };
        self.record_unanswered(&call, &state);
        if is_hedgeable {
            self.finish_hedge(&call, &state, None);
            if reason == GiveUpReason::TimeOver {
                self.record_time_over(&call, &state.pending);
            }
        }
        if reason != GiveUpReason::TimeOver
            && state.server_error.is_none()
            && let Some(response) = self.relay_after_failures(&call, &state.sends).await
        {
            return response;
        }
        match (state.server_error.take(), state.over_limit_wait) {
            (Some(server_error), _) => server_error,
            (None, Some(wait)) => self.refuse_over_limit(&call, state.sends.progress(), wait),
            (None, None) => self.give_up(&call, reason, state.sends.progress(), &state.cause),
        }
    }

    /// Sends a plain call to one upstream after the other until one answers it.
    /// Returns `None` if the call is to be given up.
    ///
    /// If the call may run more than once and its upstream is silent, another one
    /// gets it as well, and the first answer is taken: the silent upstream may still
    /// answer. If the operators set a limit on hedges, another one gets it as soon as the
    /// answer takes longer than usual, see `docs/design/hedged-requests.md`.
    async fn send_until_answered(
        self: &Arc<Self>,
        call: &Call,
        state: &mut PlainCallState,
    ) -> Option<HttpResponse> {
        let may_repeat = call.matched.route.kind.may_repeat();
        let mut sends = FuturesUnordered::new();
        let mut step = NextStep::Send;
        loop {
            let upstream = match step {
                NextStep::Send => self.next_upstream(call, state).await,
                NextStep::Hedge => self.next_hedge(call, state).await,
                NextStep::Wait => None,
                NextStep::Stop => return None,
                NextStep::Handle(result) => {
                    if let Some(response) = self.end_send(call, state, result) {
                        return Some(response);
                    }
                    let may_have_run = state.sends.progress() == Progress::MayHaveRun;
                    if may_have_run && !may_repeat {
                        return None;
                    }
                    step = NextStep::Send;
                    continue;
                }
            };
            if let Some(upstream) = upstream {
                if !matches!(step, NextStep::Hedge) {
                    state.avoid_silent_upstreams();
                }
                let patience = self.silence_patience(call, state, &upstream);
                let written = state.begin_send(&upstream, patience);
                self.schedule_hedge(call, state);
                let tried = state.tried.clone();
                sends.push(self.send(call, upstream, tried, written));
            }
            step = wait_for_step(state, &mut sends, may_repeat).await;
        }
    }

    /// Time after which the upstream counts as silent.
    fn silence_patience(
        &self,
        call: &Call,
        state: &PlainCallState,
        upstream: &Upstream,
    ) -> Duration {
        if !state.is_hedgeable {
            return HEDGE_DELAY;
        }
        self.hedges.silence_patience(call, upstream.latency())
    }

    /// Sets when the call is due for a hedge, if it may have one and has none yet.
    fn schedule_hedge(&self, call: &Call, state: &mut PlainCallState) {
        if !state.is_hedgeable {
            return;
        }
        let sent_at = state.only_pending().map(|send| send.sent_at);
        state.hedge_check_at = sent_at.map(|at| self.hedge_due_at(call, at, HEDGE_DELAY));
    }

    /// Records the end of one send, and returns the answer for the caller if it has one.
    fn end_send(
        self: &Arc<Self>,
        call: &Call,
        state: &mut PlainCallState,
        result: SendResult,
    ) -> Option<HttpResponse> {
        let sent_at = state.end_send(&result);
        let upstream = result.upstream.clone();
        let response = self.handle_result(call, state, result)?;
        if state.is_hedgeable {
            self.finish_hedge(call, state, Some(&upstream));
            if let Some(sent_at) = sent_at.filter(|_| !response.status().is_server_error()) {
                self.record_answer_time(call, state, sent_at);
            }
        }
        state.cancel_pending();
        self.record_unanswered(call, state);
        Some(response)
    }

    /// Records the sends that are given up, which took at least the time until now.
    fn record_unanswered(&self, call: &Call, state: &PlainCallState) {
        for send in &state.pending {
            let time = send.sent_at.elapsed();
            self.rollouts.record_time(call, &send.upstream, time);
        }
    }

    /// Handles the end of one send, and returns the answer for the caller if it has
    /// one.
    fn handle_result(
        self: &Arc<Self>,
        call: &Call,
        state: &mut PlainCallState,
        result: SendResult,
    ) -> Option<HttpResponse> {
        let SendResult { upstream, answer } = result;
        let may_repeat = call.matched.route.kind.may_repeat();
        if answer.is_ok() {
            self.request_crashes
                .record_whole_answer(call, Instant::now());
        }
        match answer {
            Ok(response) if response.status().is_server_error() && may_repeat => {
                state.cause = format!("{} answered with a server error", upstream.entry.id);
                state.server_error = Some(response);
                None
            }
            Ok(response) => Some(response),
            Err(failure) => {
                self.handle_failure(call, &upstream, &failure);
                state.sends.record_failure(&failure);
                if matches!(failure, AttemptFailure::Silent) {
                    state.allow_return(&upstream);
                }
                state.cause = format!("{}: {failure}", upstream.entry.id);
                if matches!(failure, AttemptFailure::MayHaveRun(_)) {
                    self.check_for_crash(call, &upstream, AnswerPhase::Waiting);
                }
                None
            }
        }
    }

    /// Chooses the upstream of the next send, and spends a retry unless it is the
    /// first. Returns `None`, with the cause in `state`, if the call must not be sent
    /// any more or no upstream is left.
    async fn next_upstream(
        &self,
        call: &Call,
        state: &mut PlainCallState,
    ) -> Option<Arc<Upstream>> {
        let is_first = state.sends.sent_count() == 0;
        let attempt_count = state.sends.attempt_count();
        let has_attempts_left = attempt_count == 0 || attempt_count < call.sends_max;
        if !has_attempts_left || self.should_relay(call, &state.sends) {
            return None;
        }
        if call.time_for_upstream(Instant::now()).is_none() {
            state.cause = "no time is left for an upstream to answer".to_owned();
            return None;
        }
        if state.sends.undelivered_count() >= UNDELIVERED_SENDS_MAX
            || self.is_refused(call, is_first)
        {
            return None;
        }
        let chosen = self.choose_permitted(&state.tried, WithoutPermit::Leaves, |excluded| {
            self.choose_upstream(
                &call.service,
                excluded,
                None,
                call.draw,
                |candidates, draw| choose_for_plain_call(candidates, &self.data_centre, draw),
            )
        });
        let upstream = match chosen.await {
            Ok(upstream) => upstream,
            Err(wait) => {
                state.over_limit_wait = wait.map(PermitWait::of_caller);
                return None;
            }
        };
        (is_first || self.spend_own_retry(call)).then_some(upstream)
    }

    /// Whether calls of this kind crash upstreams. A trial is sent once.
    pub(super) fn is_refused(&self, call: &Call, is_first: bool) -> bool {
        let may_be_sent = call.is_trial && is_first;
        !may_be_sent && matches!(self.permission(call), Permission::Refused(..))
    }

    /// Sends a plain call to one upstream, and reads its answer.
    async fn send(
        self: &Arc<Self>,
        call: &Call,
        upstream: Arc<Upstream>,
        tried: Vec<Arc<Upstream>>,
        written: WriteSignal,
    ) -> SendResult {
        let began_at = Instant::now();
        let answer = self.request_answer(call, &upstream, &tried, &written).await;
        let time = began_at.elapsed();
        self.rollouts.record_answer(call, &upstream, time, &answer);
        SendResult { upstream, answer }
    }

    async fn request_answer(
        self: &Arc<Self>,
        call: &Call,
        upstream: &Arc<Upstream>,
        tried: &[Arc<Upstream>],
        written: &WriteSignal,
    ) -> Result<HttpResponse, AttemptFailure> {
        // A call that waits counts too, or nobody would notice that no upstream is reached.
        let work = Work::call(upstream, 0, 0);
        let plan = SendPlan {
            upstream,
            tried,
            origin: None,
        };
        let clearance = self.clear_send(plan).await?;
        let Some(time_left) = call.time_for_upstream(Instant::now()) else {
            return Err(AttemptFailure::NotSent(
                "no time is left for an upstream to answer",
            ));
        };
        let request = call.request_to(&UpstreamHeaders {
            upstream: &upstream.entry.id,
            customer: call.matched.customer.as_deref(),
            time_left,
            last_event: None,
            replica_holder: None,
            resume_from: None,
        });
        self.record_upstream_send(upstream);
        let attempt = Attempt::new(upstream.clone(), work, request);
        let answered: Attempt<Answered> = attempt
            .send(clearance, written, call.headers.call_id.as_ref())
            .await?;
        self.record_connected(&answered);
        let read = answer_body::read(answered, self, call).await;
        read.map_err(|error| AttemptFailure::MayHaveRun(error.to_string()))
    }

    /// Records that an upstream answered, which shows that it is at its address and, over a
    /// new connection, that it can be reached.
    pub(crate) fn record_connected(&self, answered: &Attempt<Answered>) {
        let Attempt {
            upstream, state, ..
        } = answered;
        self.directory
            .record_present(upstream, state.sent_at, "answered");
        if !answered.state.connection.is_reused() {
            self.reach
                .record_connected(&answered.upstream.entry.service);
        }
    }

    /// Logs why an attempt failed, and updates the state of the upstream: it is
    /// avoided for a while, or removed if its address belongs to another one.
    pub(crate) fn handle_failure(
        self: &Arc<Self>,
        call: &Call,
        upstream: &Upstream,
        failure: &AttemptFailure,
    ) {
        let now = Instant::now();
        let last_contact_ms = upstream
            .time_since_contact(now)
            .map(|silence| silence.as_millis());
        log::info!(
            "event=send_failed call={} upstream={} outcome={failure:?} heard_ms_ago={last_contact_ms:?} age_ms={}",
            call.id(),
            upstream.entry.id,
            call.age().as_millis()
        );
        if failure.suggests_no_path() {
            self.reach.record_failure(upstream);
        }
        match failure {
            AttemptFailure::Misdirected(actual) => {
                let directory = &self.directory;
                directory.remove_misdirected(upstream, actual.as_ref(), now);
                if let Some(actual) = actual {
                    self.find_successor(upstream.entry.clone(), actual.clone());
                }
            }
            AttemptFailure::NotConnected(_)
            | AttemptFailure::NotSent(_)
            | AttemptFailure::MayHaveRun(_)
            | AttemptFailure::Abandoned(_) => {
                upstream.avoid(now);
            }
            AttemptFailure::NotExecuted => upstream.mark_full(now),
            // A probe that waits for its answer ranks a silent upstream behind others.
            AttemptFailure::Silent | AttemptFailure::Resting => {}
        }
    }
}

/// Waits until a send ends, or until it is time to look whether the call needs another one.
async fn wait_for_step(
    state: &mut PlainCallState,
    sends: &mut (impl Stream<Item = SendResult> + Unpin),
    may_repeat: bool,
) -> NextStep {
    let ended = if may_repeat {
        let check_at = state.next_check_at(Instant::now());
        tokio::time::timeout_at(check_at.into(), sends.next()).await
    } else {
        Ok(sends.next().await)
    };
    match ended {
        Ok(Some(result)) => NextStep::Handle(result),
        // Nothing is pending, and no upstream is left.
        Ok(None) => NextStep::Stop,
        Err(_) => state.step_at_check(Instant::now()),
    }
}

/// Updates the upstream's latency and failure rate from the call, unless the call
/// was not sent, was refused or was misdirected.
fn record_result(
    upstream: &Upstream,
    sent_at: Instant,
    result: &Result<HttpResponse, AttemptFailure>,
) {
    let is_failed = match result {
        Ok(response) => response.status().is_server_error(),
        Err(AttemptFailure::MayHaveRun(_)) => true,
        Err(_) => return,
    };
    upstream.record_call(sent_at.elapsed(), is_failed);
}
