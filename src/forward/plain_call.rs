//! Forwards plain calls, whose answer is a single body rather than a stream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::answer_body;
use super::attempt::{Answered, Attempt, AttemptFailure};
use super::forwarder::{Forwarder, NodeContext};
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
use crate::policy::placement::choose_for_plain_call;

/// Silence after which a call that may run more than once is sent to another
/// upstream as well.
const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Number of sends that reached no upstream, or another one than intended, after
/// which a call is given up.
const UNDELIVERED_SENDS_MAX: u32 = 4;

/// A send that was begun and whose answer has not been received.
#[derive(Debug)]
struct PendingSend {
    upstream: Arc<Upstream>,
    sent_at: Instant,
}

/// How one send ended.
#[derive(Debug)]
struct SendResult {
    upstream: Arc<Upstream>,
    answer: Result<HttpResponse, AttemptFailure>,
}

/// State of one plain call across its sends.
#[derive(Debug)]
struct PlainCallState {
    tried: Vec<Arc<Upstream>>,
    /// Upstreams that were silent when the call was due there. Each may be chosen again once.
    silent: Vec<Arc<Upstream>>,
    /// The sends in flight; more than one only if the call may be repeated.
    pending: Vec<PendingSend>,
    sends: SendHistory,
    /// The last server error of an upstream, which is passed on if no other
    /// upstream succeeds.
    server_error: Option<HttpResponse>,
    /// Time until an upstream has room again, if all are at their limits.
    over_limit_wait: Option<Duration>,
    /// Cause to be logged if the call is given up now.
    cause: String,
}

impl PlainCallState {
    fn new() -> Self {
        Self {
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
    fn begin_send(&mut self, upstream: &Arc<Upstream>) -> WriteSignal {
        self.tried.push(upstream.clone());
        let written = self.sends.begin();
        self.pending.push(PendingSend {
            upstream: upstream.clone(),
            sent_at: Instant::now(),
        });
        written
    }

    /// Records the result of a send in the averages of its upstream.
    fn end_send(&mut self, result: &SendResult) {
        let is_ended = |send: &mut PendingSend| Arc::ptr_eq(&send.upstream, &result.upstream);
        for send in self.pending.extract_if(.., is_ended) {
            record_result(&send.upstream, send.sent_at, &result.answer);
        }
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

    /// Records the sends that are cancelled because another upstream answered.
    fn cancel_pending(&self) {
        for send in &self.pending {
            send.upstream.record_call(send.sent_at.elapsed(), true);
        }
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Forwards a plain call and returns its answer.
    pub(crate) async fn forward_plain(self: &Arc<Self>, call: Call) -> HttpResponse {
        let mut state = PlainCallState::new();
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
    /// answer.
    async fn send_until_answered(
        self: &Arc<Self>,
        call: &Call,
        state: &mut PlainCallState,
    ) -> Option<HttpResponse> {
        let may_repeat = call.matched.route.kind.may_repeat();
        let mut sends = FuturesUnordered::new();
        loop {
            if let Some(upstream) = self.next_upstream(call, state).await {
                state.avoid_silent_upstreams();
                let written = state.begin_send(&upstream);
                let tried = state.tried.clone();
                sends.push(self.send(call, upstream, tried, written));
            }
            let ended = if may_repeat {
                tokio::time::timeout(HEDGE_DELAY, sends.next()).await
            } else {
                Ok(sends.next().await)
            };
            // Without an end, the upstreams are silent.
            let Ok(ended) = ended else {
                continue;
            };
            // Nothing is pending, and no upstream is left.
            let result = ended?;
            state.end_send(&result);
            if let Some(response) = self.handle_result(call, state, result) {
                state.cancel_pending();
                self.record_unanswered(call, state);
                return Some(response);
            }
            let may_have_run = state.sends.progress() == Progress::MayHaveRun;
            if may_have_run && !may_repeat {
                return None;
            }
        }
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
        let sent_count = state.sends.sent_count();
        let is_first = sent_count == 0;
        if !is_first && sent_count >= call.sends_max || self.should_relay(call, &state.sends) {
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
    fn is_refused(&self, call: &Call, is_first: bool) -> bool {
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

    /// Records that an upstream answered, if that shows that it can be reached.
    pub(crate) fn record_connected(&self, answered: &Attempt<Answered>) {
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
                self.directory.remove_misdirected(upstream, now);
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
