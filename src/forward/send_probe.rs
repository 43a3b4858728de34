//! Probes an upstream before a call is sent to it, where the call might be read after its
//! caller has left.
//!
//! All calls of the node that wait for one upstream share a probe. A call whose upstream
//! does not answer goes to another one, and is not sent to the first. If there is no other,
//! it waits, and is dropped unsent when its caller leaves.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Limited};
use hyper::Uri;
use hyper::header::HOST;
use tokio::sync::Notify;

use super::attempt::AttemptFailure;
use super::connection::SendFailure;
use super::forwarder::{Forwarder, NodeContext, is_avoided};
use super::probe::control_request;
use super::run_origin::RunOrigin;
use super::upstream::Upstream;
use super::upstream_permits::WithoutPermit;
use crate::observe::metrics::Counter;
use crate::platform::answer::{self, AnswerOwner};
use crate::platform::engine::REPORT_PATH;
use crate::policy::liveness::SOUND_SILENCE_MAX;
use crate::policy::send_probe::{SendConditions, answer_patience};

/// Largest answer to a probe.
const ANSWER_MAX_BYTES: usize = 256 * 1024;

/// Shows that an upstream may be sent a call now. [`Forwarder::clear_send`] alone makes it,
/// right before the send.
#[derive(Debug)]
pub(crate) struct SendClearance(());

/// The probe of one upstream that precedes its calls.
#[derive(Debug, Default)]
pub(crate) struct SendProbe {
    state: Mutex<State>,
    /// Notified when the upstream was heard and when the probe ended.
    changed: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Start of the probe that has not ended.
    began_at: Option<Instant>,
    /// End of the last probe whose connection could not be opened or broke, and why.
    failure: Option<(Instant, ProbeBreak)>,
}

/// How the connection of a probe failed.
#[derive(Clone, Copy, Debug)]
enum ProbeBreak {
    NotConnected(&'static str),
    Broken,
}

/// A call about to be sent, and the other upstreams that it may go to.
pub(crate) struct SendPlan<'a> {
    pub(crate) upstream: &'a Arc<Upstream>,
    /// Upstreams that the call was sent to, or is not to be sent to.
    pub(crate) tried: &'a [Arc<Upstream>],
    /// The origin that the upstream of the call must have.
    pub(crate) origin: Option<&'a RunOrigin>,
}

impl SendProbe {
    /// Wakes the calls that wait for the upstream, which was heard.
    pub(crate) fn notify_heard(&self) {
        self.changed.notify_waiters();
    }

    /// Time since the start of the probe that has not ended.
    pub(crate) fn time_open(&self, now: Instant) -> Option<Duration> {
        let began_at = self.lock().began_at?;
        Some(now.saturating_duration_since(began_at))
    }

    /// Begins a probe, unless one has not ended.
    fn begin(&self, now: Instant) -> bool {
        let mut state = self.lock();
        let is_free = state.began_at.is_none();
        state.began_at.get_or_insert(now);
        is_free
    }

    fn end(&self, failure: Option<ProbeBreak>, now: Instant) {
        let mut state = self.lock();
        state.began_at = None;
        state.failure = failure.map(|failure| (now, failure));
        drop(state);
        self.changed.notify_waiters();
    }

    /// How the last probe failed, if it ended later than `since`.
    fn failure_since(&self, since: Instant) -> Option<ProbeBreak> {
        let (at, failure) = self.lock().failure?;
        (at >= since).then_some(failure)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<ProbeBreak> for AttemptFailure {
    fn from(failure: ProbeBreak) -> Self {
        match failure {
            ProbeBreak::NotConnected(cause) => Self::NotConnected(cause),
            ProbeBreak::Broken => Self::NotConnected("a probe broke off"),
        }
    }
}

/// When a call that begins to wait now takes the upstream for silent. The time for which
/// the probe has been open counts.
fn end_of_patience(upstream: &Upstream) -> Instant {
    let now = Instant::now();
    let time_open = upstream.send_probe.time_open(now).unwrap_or_default();
    now + answer_patience(upstream.latency()).saturating_sub(time_open)
}

impl<N: NodeContext> Forwarder<N> {
    /// Waits until a call may be sent to its upstream: at once, or after the upstream has
    /// answered a probe. Fails if the upstream can't be reached, or is silent while the
    /// call may go to another one.
    ///
    /// What held when the upstream was chosen may have changed in a long wait, and is
    /// checked again.
    pub(crate) async fn clear_send(
        self: &Arc<Self>,
        plan: SendPlan<'_>,
    ) -> Result<SendClearance, AttemptFailure> {
        let upstream = plan.upstream;
        let started_at = Instant::now();
        let was_limited = upstream.is_limited();
        let mut patience_ends_at = None;
        loop {
            // Enabled before the checks, so that no change between them and the wait is missed.
            let changed = upstream.send_probe.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !self.needs_probe(upstream, started_at) {
                break;
            }
            if let Some(failure) = upstream.send_probe.failure_since(started_at) {
                return Err(failure.into());
            }
            if !self.begin_send_probe(upstream) {
                // The upstream has nothing that could be probed.
                break;
            }
            let ends_at = *patience_ends_at.get_or_insert_with(|| end_of_patience(upstream));
            let waited = tokio::time::timeout_at(ends_at.into(), changed).await;
            if waited.is_err() && self.has_other(&plan) {
                return Err(AttemptFailure::Silent);
            }
            if waited.is_err() {
                patience_ends_at = Some(Instant::now() + answer_patience(upstream.latency()));
            }
        }
        self.check_still_accepts(upstream, was_limited).await?;
        Ok(SendClearance(()))
    }

    /// Checks that the upstream still takes calls, and gets a permit if it began to limit
    /// them after it was chosen.
    async fn check_still_accepts(
        &self,
        upstream: &Arc<Upstream>,
        was_limited: bool,
    ) -> Result<(), AttemptFailure> {
        let known = self.directory.get(&upstream.entry.id);
        let is_known = known.is_some_and(|known| Arc::ptr_eq(&known, upstream));
        if upstream.is_draining() || !is_known {
            return Err(AttemptFailure::NotSent("the upstream leaves"));
        }
        if !was_limited && upstream.is_limited() {
            let permit = self.acquire_permit(upstream, WithoutPermit::Leaves).await;
            return permit.map_err(|_| AttemptFailure::Resting);
        }
        Ok(())
    }

    /// Whether the upstream must answer a probe first. Any sign of life since the wait began
    /// is as good as an answer.
    fn needs_probe(&self, upstream: &Upstream, started_at: Instant) -> bool {
        let now = Instant::now();
        let conditions = SendConditions {
            silence: upstream.time_since_contact(now),
            has_failed: upstream.has_failed(),
            counts_probes: upstream.counts_probes(),
            time_since_departure: self.departures.time_since_last(now),
        };
        conditions.need_probe() && !upstream.was_heard_since(started_at)
    }

    /// Whether the call may go to another upstream, which is not avoided.
    fn has_other(&self, plan: &SendPlan<'_>) -> bool {
        let now = Instant::now();
        let is_excluded =
            |other: &Arc<Upstream>| plan.tried.iter().any(|t| t.entry.id == other.entry.id);
        let others = self.directory.serving(&plan.upstream.entry.service);
        let suspected = self.directory.suspected_outages(now);
        others.iter().any(|other| {
            other.entry.id != plan.upstream.entry.id
                && !is_excluded(other)
                && plan.origin.is_none_or(|origin| origin.admits(other))
                && !other.counts_probes()
                && !is_avoided(other, &suspected, now)
        })
    }

    /// Begins a probe, unless one has not ended. Returns false if nothing is known that the
    /// upstream answers at once.
    fn begin_send_probe(self: &Arc<Self>, upstream: &Arc<Upstream>) -> bool {
        let Some(path) = self.probe_path(upstream) else {
            return false;
        };
        let now = Instant::now();
        // The answer to the probe that met silence is awaited, and wakes the calls.
        if !upstream.has_silent_probe(now) && upstream.send_probe.begin(now) {
            self.metrics.add(Counter::SendProbes, 1);
            tokio::spawn(probe(upstream.clone(), path));
        }
        true
    }

    /// Path that the upstream answers without a call, if one is known.
    pub(super) fn probe_path(&self, upstream: &Upstream) -> Option<String> {
        let table = self.route_table.load();
        let options = table.as_ref()?.service(&upstream.entry.service);
        if options.engine.is_some() {
            return Some(REPORT_PATH.to_owned());
        }
        let is_valid = |path: &String| path.parse::<Uri>().is_ok();
        options.health_path.filter(is_valid)
    }
}

/// Requests the path from the upstream. Any answer shows that it works.
async fn probe(upstream: Arc<Upstream>, path: String) {
    let began_at = Instant::now();
    let answered = tokio::time::timeout(SOUND_SILENCE_MAX, request(&upstream, &path)).await;
    let failure = match answered {
        Ok(Ok(())) => None,
        Ok(Err(SendFailure::NotConnected(cause))) => Some(ProbeBreak::NotConnected(cause)),
        Ok(Err(_)) => Some(ProbeBreak::Broken),
        Err(_) => None,
    };
    let time = began_at.elapsed();
    if time >= answer_patience(upstream.latency()) || failure.is_some() {
        log::info!(
            "event=send_probe_ended upstream={} is_answered={} failure={failure:?} after_ms={}",
            upstream.entry.id,
            matches!(answered, Ok(Ok(()))),
            time.as_millis()
        );
    }
    match &answered {
        Ok(Ok(())) => upstream.record_alive(Instant::now()),
        Ok(Err(_)) => {}
        // Beyond what a sound upstream's silence lasts.
        Err(_) => upstream.avoid(Instant::now()),
    }
    upstream.send_probe.end(failure, Instant::now());
}

/// Sends the request, and returns its connection to the pool for the calls that wait.
async fn request(upstream: &Upstream, path: &str) -> Result<(), SendFailure> {
    let invalid = || SendFailure::NotSent("no valid request");
    let mut request = control_request(path).ok_or_else(invalid)?;
    let host = upstream.entry.address.to_string();
    let host = host.parse().map_err(|_| invalid())?;
    request.headers_mut().insert(HOST, host);
    let sent_at = Instant::now();
    let may_send = || !upstream.counts_probes();
    let (connection, response) = upstream.pool.send_if(request, may_send).await?;
    let headers = answer::read(response.status(), response.headers(), None);
    if headers.owner == AnswerOwner::AnotherCall {
        return Err(SendFailure::NotSent(
            "the connection brought another answer",
        ));
    }
    upstream.record_statements(&headers, sent_at);
    let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES);
    let is_complete = body.collect().await.is_ok();
    if is_complete && !headers.closes_connection {
        upstream.pool.put(connection, headers.idle_timeout);
    }
    Ok(())
}
