//! A call whose answer is one body.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::answer_body;
use super::forwarder::{Forwarder, Surroundings};
use super::probe::LossReason;
use super::request::Call;
use super::send::{Answered, Attempt, SendOutcome};
use super::sends::Sends;
use super::upstream::{Upstream, Work};
use crate::http::HttpResponse;
use crate::observe::metrics::{Counter, Span};
use crate::platform::call::Dispatch;
use crate::policy::failure_response::GiveUpReason;
use crate::policy::placement::choose_for_plain_call;

/// How long one upstream may take over a call that may go to another one.
const TRY_TIMEOUT: Duration = Duration::from_millis(200);
/// Sends that may fail before any byte leaves, or at another upstream's
/// address, until a call is given up.
const UNSENT_TRIES_MAX: u32 = 4;

/// How far one plain call has come.
#[derive(Debug)]
struct Course {
    tried: Vec<Arc<Upstream>>,
    sends: Sends,
    /// An upstream's own failure, passed on where nothing better comes.
    failure: Option<HttpResponse>,
    cause: String,
}

impl Course {
    fn new() -> Self {
        Self {
            tried: Vec::new(),
            sends: Sends::none(),
            failure: None,
            cause: String::from("no upstream is ready"),
        }
    }
}

impl<S: Surroundings> Forwarder<S> {
    /// Answers a plain call.
    pub(crate) async fn plain(self: &Arc<Self>, call: Call) -> HttpResponse {
        let mut course = Course::new();
        let deadline = call.deadline.into();
        let served = tokio::time::timeout_at(deadline, self.try_plain(&call, &mut course)).await;
        let given_up = match served {
            Ok(Some(response)) => {
                self.metrics.record(Span::PlainCall, call.age());
                log::info!(
                    "event=call_done call={} route={} service={} status={} sends={} age_ms={}",
                    call.id(),
                    call.admitted.route.name,
                    call.service,
                    response.status().as_u16(),
                    course.sends.sent_count(),
                    call.age().as_millis()
                );
                return response;
            }
            Ok(None) if course.tried.is_empty() => GiveUpReason::NoUpstream,
            Ok(None) => GiveUpReason::UpstreamsFailed,
            Err(_) => GiveUpReason::TimeOver,
        };
        match course.failure.take() {
            Some(failure) => failure,
            None => self.give_up(&call, given_up, course.sends.progress(), &course.cause),
        }
    }

    async fn try_plain(self: &Arc<Self>, call: &Call, course: &mut Course) -> Option<HttpResponse> {
        let kind = call.admitted.route.kind;
        loop {
            let is_first = course.sends.sent_count() == 0;
            if !is_first && course.sends.sent_count() >= call.admitted.route.attempts_max {
                return None;
            }
            if call.time_for_upstream(Instant::now()).is_none() {
                course.cause = "no time is left".to_owned();
                return None;
            }
            if course.sends.unsent_count() >= UNSENT_TRIES_MAX
                || self.request_crashes.is_poison(call)
            {
                return None;
            }
            let upstream = self.choose(&call.service, &course.tried, |candidates, draw| {
                choose_for_plain_call(candidates, &self.data_centre, draw)
            })?;
            if !is_first && !self.may_send_again(call) {
                return None;
            }
            course.tried.push(upstream.clone());
            course.sends.begin();
            let may_move_on =
                kind.may_repeat() && course.sends.sent_count() < call.admitted.route.attempts_max;
            let sent_at = Instant::now();
            let outcome = self.try_upstream(call, &upstream, may_move_on).await;
            learn(&upstream, sent_at, &outcome);
            match outcome {
                Ok(response) if response.status().is_server_error() && kind.may_repeat() => {
                    course.cause = format!("{} failed the call", upstream.entry.id);
                    course.failure = Some(response);
                }
                Ok(response) => return Some(response),
                Err(outcome) => {
                    self.note(call, &upstream, &outcome);
                    let did_not_run = course.sends.end(&outcome);
                    course.cause = format!("{}: {outcome}", upstream.entry.id);
                    if matches!(outcome, SendOutcome::MayHaveRun(_)) {
                        self.check_for_crash(call, &upstream);
                    }
                    if !did_not_run && !kind.may_repeat() {
                        return None;
                    }
                }
            }
        }
    }

    async fn try_upstream(
        &self,
        call: &Call,
        upstream: &Arc<Upstream>,
        may_move_on: bool,
    ) -> Result<HttpResponse, SendOutcome> {
        let Some(time_left) = call.time_for_upstream(Instant::now()) else {
            return Err(SendOutcome::NotSent("no time is left"));
        };
        let request = call.request_to(&Dispatch {
            upstream: &upstream.entry.id,
            customer: call.admitted.customer.as_deref(),
            time_left,
            last_event: None,
            replica: None,
            copy: None,
        });
        self.metrics.add(Counter::UpstreamSends, 1);
        let work = Work::call(upstream, 0, 0);
        let attempt = Attempt::new(upstream.clone(), work, request);
        let exchange = async {
            let answered: Attempt<Answered> = attempt.send(call).await?;
            let read = answer_body::read(answered).await;
            read.map_err(|error| SendOutcome::MayHaveRun(error.to_string()))
        };
        if !may_move_on {
            return exchange.await;
        }
        let in_time = tokio::time::timeout(TRY_TIMEOUT, exchange).await;
        in_time.unwrap_or(Err(SendOutcome::Silent(LossReason::NoProgress)))
    }

    /// Writes down why a send brought no answer, and draws the consequence.
    pub(crate) fn note(self: &Arc<Self>, call: &Call, upstream: &Upstream, outcome: &SendOutcome) {
        let now = Instant::now();
        let heard_ms = upstream
            .time_since_contact(now)
            .map(|silence| silence.as_millis());
        log::info!(
            "event=send_failed call={} upstream={} outcome={outcome:?} heard_ms_ago={heard_ms:?} age_ms={}",
            call.id(),
            upstream.entry.id,
            call.age().as_millis()
        );
        match outcome {
            SendOutcome::Misdirected(actual) => {
                self.directory.remove_misdirected(upstream, now);
                if let Some(actual) = actual {
                    self.look_for(upstream.entry.clone(), actual.clone());
                }
            }
            SendOutcome::NotSent(_) | SendOutcome::MayHaveRun(_) | SendOutcome::Silent(_) => {
                upstream.avoid(now);
            }
            SendOutcome::NotExecuted => upstream.mark_full(now),
        }
    }
}

/// Learns from a call that left this node, whatever became of it.
fn learn(upstream: &Upstream, sent_at: Instant, outcome: &Result<HttpResponse, SendOutcome>) {
    let is_failed = match outcome {
        Ok(response) => response.status().is_server_error(),
        Err(SendOutcome::MayHaveRun(_) | SendOutcome::Silent(_)) => true,
        Err(_) => return,
    };
    upstream.record_call(sent_at.elapsed(), is_failed);
}
