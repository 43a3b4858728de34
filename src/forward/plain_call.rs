//! Forwards plain calls, whose answer is a single body rather than a stream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::answer_body;
use super::attempt::{Answered, Attempt, AttemptFailure};
use super::forwarder::{Forwarder, NodeContext};
use super::probe::LossReason;
use super::request::Call;
use super::send_history::SendHistory;
use super::upstream::{Upstream, Work};
use crate::http::HttpResponse;
use crate::observe::metrics::{Counter, Span};
use crate::platform::call::UpstreamHeaders;
use crate::policy::failure_response::GiveUpReason;
use crate::policy::placement::choose_for_plain_call;

/// Time-out of a send to one upstream, if the call may be sent to another one
/// afterwards.
const REPEATABLE_SEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of sends that reached no upstream, or another one than intended, after
/// which a call is given up.
const UNDELIVERED_SENDS_MAX: u32 = 4;

/// State of one plain call across its sends.
#[derive(Debug)]
struct PlainCallState {
    tried: Vec<Arc<Upstream>>,
    sends: SendHistory,
    /// The upstream of the next send, if it was chosen before the last send was
    /// abandoned. Its retry is already spent.
    next: Option<Arc<Upstream>>,
    /// The last server error of an upstream, which is passed on if no other
    /// upstream succeeds.
    server_error: Option<HttpResponse>,
    /// Cause to be logged if the call is given up now.
    cause: String,
}

impl PlainCallState {
    fn new() -> Self {
        Self {
            tried: Vec::new(),
            sends: SendHistory::new(),
            next: None,
            server_error: None,
            cause: String::from("no upstream of the service accepts calls"),
        }
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Forwards a plain call and returns its answer.
    pub(crate) async fn forward_plain(self: &Arc<Self>, call: Call) -> HttpResponse {
        let mut state = PlainCallState::new();
        let deadline = call.deadline.into();
        let answered =
            tokio::time::timeout_at(deadline, self.send_until_answered(&call, &mut state)).await;
        let reason = match answered {
            Ok(Some(response)) => {
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
            Ok(None) if state.tried.is_empty() => GiveUpReason::NoUpstream,
            Ok(None) => GiveUpReason::UpstreamsFailed,
            Err(_) => GiveUpReason::TimeOver,
        };
        match state.server_error.take() {
            Some(server_error) => server_error,
            None => self.give_up(&call, reason, state.sends.progress(), &state.cause),
        }
    }

    /// Sends a plain call to one upstream after the other until one answers it.
    /// Returns `None` if the call is to be given up.
    async fn send_until_answered(
        self: &Arc<Self>,
        call: &Call,
        state: &mut PlainCallState,
    ) -> Option<HttpResponse> {
        let kind = call.matched.route.kind;
        loop {
            let upstream = match state.next.take() {
                Some(upstream) => upstream,
                None => self.next_upstream(call, state)?,
            };
            state.tried.push(upstream.clone());
            state.sends.begin();
            let sent_at = Instant::now();
            let result = self.try_upstream(call, &upstream, state).await;
            record_result(&upstream, sent_at, &result);
            match result {
                Ok(response) if response.status().is_server_error() && kind.may_repeat() => {
                    state.cause = format!("{} answered with a server error", upstream.entry.id);
                    state.server_error = Some(response);
                }
                Ok(response) => return Some(response),
                Err(failure) => {
                    self.handle_failure(call, &upstream, &failure);
                    let did_not_run = state.sends.record_failure(&failure);
                    state.cause = format!("{}: {failure}", upstream.entry.id);
                    if matches!(failure, AttemptFailure::MayHaveRun(_)) {
                        self.check_for_crash(call, &upstream);
                    }
                    if !did_not_run && !kind.may_repeat() {
                        return None;
                    }
                }
            }
        }
    }

    /// Chooses the upstream of the next send, and spends a retry unless it is the
    /// first. Returns `None`, with the cause in `state`, if the call must not be sent
    /// any more or no upstream is left.
    fn next_upstream(&self, call: &Call, state: &mut PlainCallState) -> Option<Arc<Upstream>> {
        let sent_count = state.sends.sent_count();
        let is_first = sent_count == 0;
        if !is_first && sent_count >= call.matched.route.attempts_max {
            return None;
        }
        if call.time_for_upstream(Instant::now()).is_none() {
            state.cause = "no time is left for an upstream to answer".to_owned();
            return None;
        }
        if state.sends.undelivered_count() >= UNDELIVERED_SENDS_MAX
            || self.request_crashes.is_poison(call)
        {
            return None;
        }
        let upstream =
            self.choose_upstream(&call.service, &state.tried, None, |candidates, draw| {
                choose_for_plain_call(candidates, &self.data_centre, draw)
            })?;
        (is_first || self.spend_own_retry(call)).then_some(upstream)
    }

    /// Sends a plain call to one upstream. A call that may be repeated is abandoned
    /// after [`REPEATABLE_SEND_TIMEOUT`], but only if its next send is certain: a
    /// silent upstream may still answer.
    async fn try_upstream(
        &self,
        call: &Call,
        upstream: &Arc<Upstream>,
        state: &mut PlainCallState,
    ) -> Result<HttpResponse, AttemptFailure> {
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
        self.metrics.add(Counter::UpstreamSends, 1);
        let work = Work::call(upstream, 0, 0);
        let attempt = Attempt::new(upstream.clone(), work, request);
        let send_and_read = async {
            let answered: Attempt<Answered> = attempt.send(call.headers.call_id.as_ref()).await?;
            let read = answer_body::read(answered).await;
            read.map_err(|error| AttemptFailure::MayHaveRun(error.to_string()))
        };
        if !call.matched.route.kind.may_repeat() {
            return send_and_read.await;
        }
        tokio::pin!(send_and_read);
        loop {
            let answered =
                tokio::time::timeout(REPEATABLE_SEND_TIMEOUT, send_and_read.as_mut()).await;
            if let Ok(result) = answered {
                return result;
            }
            state.next = self.next_upstream(call, state);
            if state.next.is_some() {
                return Err(AttemptFailure::Abandoned(LossReason::NoProgress));
            }
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
        match failure {
            AttemptFailure::Misdirected(actual) => {
                self.directory.remove_misdirected(upstream, now);
                if let Some(actual) = actual {
                    self.find_successor(upstream.entry.clone(), actual.clone());
                }
            }
            AttemptFailure::NotSent(_)
            | AttemptFailure::MayHaveRun(_)
            | AttemptFailure::Abandoned(_) => {
                upstream.avoid(now);
            }
            AttemptFailure::NotExecuted => upstream.mark_full(now),
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
        Err(AttemptFailure::MayHaveRun(_) | AttemptFailure::Abandoned(_)) => true,
        Err(_) => return,
    };
    upstream.record_call(sent_at.elapsed(), is_failed);
}
