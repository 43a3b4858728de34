//! How an upstream answered this node recently, and until when it is avoided.

use std::sync::atomic::Ordering;
use std::sync::{MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::Upstream;
use crate::policy::liveness::{SILENT_PROBE_INTERVAL, SOUND_SILENCE_MAX};
use crate::policy::send_probe::answer_patience;

/// Shortest time for which an upstream that failed is avoided.
const AVOID_MIN: Duration = Duration::from_millis(400);
/// Longest time for which an upstream that failed is avoided.
const AVOID_MAX: Duration = Duration::from_millis(3_200);

/// Weight of one call in the moving averages of latency and failures.
const MOVING_AVERAGE_WEIGHT: f64 = 0.15;
/// Time for which an upstream that refused a call for lack of capacity is avoided.
const AVOID_FULL_DURATION: Duration = Duration::from_millis(150);

/// How an upstream answered this node recently.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    contacted_at: Option<Instant>,
    avoided_until: Option<Instant>,
    /// Until when calls go to others first because a later entry names its address.
    disputed_until: Option<Instant>,
    /// Start of the first send since the last answer or event, whether or not its
    /// caller still waits.
    unanswered_since: Option<Instant>,
    /// Start of the last probe while the upstream was silent.
    probe_began_at: Option<Instant>,
    /// When a probe last met silence, if nothing arrived since.
    silent_probe_at: Option<Instant>,
    /// Whether its host completed no handshake when it was probed last, and nothing
    /// arrived since.
    is_unreachable: bool,
    /// Number of failures since the last answer or event.
    failure_count: u32,
    latency: Duration,
    failure_share: f64,
}

impl Upstream {
    /// Records that an answer or event of the upstream arrived, and stops
    /// avoiding it.
    pub(crate) fn record_contact(&self, now: Instant) {
        let mut health = self.health();
        health.contacted_at = Some(now);
        health.avoided_until = None;
        health.disputed_until = None;
        health.unanswered_since = None;
        health.silent_probe_at = None;
        health.is_unreachable = false;
        health.failure_count = 0;
        drop(health);
        self.send_probe.notify_heard();
    }

    /// Records that the upstream answered a request that is no call. Whether it serves calls
    /// is not known, so one that is avoided because calls failed stays so.
    pub(crate) fn record_alive(&self, now: Instant) {
        let mut health = self.health();
        health.contacted_at = Some(now);
        health.is_unreachable = false;
        if health.silent_probe_at.take().is_some() {
            // It was avoided for its silence.
            health.avoided_until = None;
        }
        drop(health);
        self.send_probe.notify_heard();
    }

    /// Whether anything of the upstream arrived at or after `since`.
    pub(crate) fn was_heard_since(&self, since: Instant) -> bool {
        self.health().contacted_at.is_some_and(|at| at >= since)
    }

    /// Records that a probe met silence. The upstream may be lost, or may go on. It is
    /// avoided until something arrives, or until it may be probed again.
    pub(crate) fn mark_silent(&self, now: Instant) {
        self.avoid(now);
        let mut health = self.health();
        health.silent_probe_at = Some(now);
        // Its host completed a handshake.
        health.is_unreachable = false;
        let until = now + SOUND_SILENCE_MAX;
        health.avoided_until = health.avoided_until.max(Some(until));
    }

    /// Records that the host of the upstream completed no handshake.
    pub(crate) fn mark_unreachable(&self) {
        self.health().is_unreachable = true;
    }

    /// Whether the upstream can't be told anything, as far as is known: its host
    /// completed no handshake, and nothing arrived since.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.health().is_unreachable
    }

    /// Whether a probe met silence within [`SOUND_SILENCE_MAX`], and nothing arrived
    /// since. Nobody may probe an upstream at which this node runs nothing, so an older
    /// probe says nothing of it.
    pub(crate) fn has_silent_probe(&self, now: Instant) -> bool {
        let probed_at = self.health().silent_probe_at;
        probed_at.is_some_and(|at| now.saturating_duration_since(at) < SOUND_SILENCE_MAX)
    }

    /// Whether the report that a probe requested may still come, because the upstream has
    /// not been silent for longer than a sound one.
    pub(crate) fn is_report_awaited(&self, now: Instant) -> bool {
        let silence = self.time_since_contact(now);
        self.has_silent_probe(now) && silence.is_none_or(|silence| silence < SOUND_SILENCE_MAX)
    }

    /// Begins a probe of the upstream, which is silent or may be lost. Returns false if
    /// another one began within [`SILENT_PROBE_INTERVAL`].
    pub(crate) fn begin_probe(&self, now: Instant) -> bool {
        let mut health = self.health();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SILENT_PROBE_INTERVAL;
        if health.probe_began_at.is_some_and(is_recent) {
            return false;
        }
        health.probe_began_at = Some(now);
        true
    }

    /// Time since the last answer or event of the upstream arrived.
    pub(crate) fn time_since_contact(&self, now: Instant) -> Option<Duration> {
        let contacted_at = self.health().contacted_at?;
        Some(now.saturating_duration_since(contacted_at))
    }

    /// Avoids the upstream after a failure, with exponential backoff.
    pub(crate) fn avoid(&self, now: Instant) {
        self.has_broken.store(true, Ordering::Relaxed);
        let mut health = self.health();
        let doublings = health.failure_count.min(8);
        let duration = AVOID_MIN.saturating_mul(1 << doublings).min(AVOID_MAX);
        health.failure_count += 1;
        health.unanswered_since = None;
        health.avoided_until = Some(now + duration);
    }

    /// Records that a call is being sent. One that goes to an upstream that has sent
    /// nothing since it failed is a trial: until it is answered, others go elsewhere.
    pub(crate) fn record_send(&self, now: Instant) {
        if self.has_failed() {
            self.avoid(now);
        }
        self.health().unanswered_since.get_or_insert(now);
    }

    /// Records that a send that began at or after `sent_at` was cancelled before its answer
    /// was due, so that it says nothing of the upstream.
    pub(crate) fn record_withdrawn(&self, sent_at: Instant) {
        let mut health = self.health();
        let is_withdrawn = |since: &mut Instant| *since >= sent_at;
        health.unanswered_since.take_if(is_withdrawn);
    }

    /// Whether the upstream failed and has sent nothing since.
    pub(crate) fn has_failed(&self) -> bool {
        self.health().failure_count > 0
    }

    /// Time since the first send that has no answer, if nothing has arrived since then.
    pub(crate) fn time_unanswered(&self, now: Instant) -> Duration {
        let since = self.health().unanswered_since;
        since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Avoids an upstream of plain calls that has sent nothing at all for much longer
    /// than an answer takes. One that is only slow answers other calls in the meantime.
    pub(crate) fn avoid_if_overdue(&self, now: Instant) {
        let health = *self.health();
        let Some(since) = health.unanswered_since else {
            return;
        };
        let is_known = !health.latency.is_zero();
        let silence = now.saturating_duration_since(since);
        if is_known && silence >= answer_patience(health.latency) {
            self.avoid(now);
        }
    }

    /// Whether a probe that precedes calls has had no answer for longer than an answer
    /// takes, and nothing else has arrived either.
    pub(crate) fn has_overdue_probe(&self, now: Instant) -> bool {
        let patience = answer_patience(self.latency());
        let is_open = self.send_probe.time_open(now);
        let is_overdue = is_open.is_some_and(|time| time >= patience);
        let silence = self.time_since_contact(now);
        is_overdue && silence.is_none_or(|silence| silence >= patience)
    }

    /// Updates the moving averages of latency and failures with a call that
    /// ended, answered or not.
    pub(crate) fn record_call(&self, duration: Duration, has_failed: bool) {
        let mut health = self.health();
        let is_first = health.latency.is_zero();
        let weight = if is_first { 1.0 } else { MOVING_AVERAGE_WEIGHT };
        health.latency = health.latency.mul_f64(1.0 - weight) + duration.mul_f64(weight);
        let failed = f64::from(u8::from(has_failed));
        health.failure_share += MOVING_AVERAGE_WEIGHT * (failed - health.failure_share);
    }

    /// Moving average of the time that calls took.
    pub(crate) fn latency(&self) -> Duration {
        self.health().latency
    }

    /// Moving average of the share of calls that failed.
    pub(crate) fn failure_share(&self) -> f64 {
        self.health().failure_share
    }

    /// Avoids the upstream for a moment after it refused a call for lack of
    /// capacity.
    pub(crate) fn mark_full(&self, now: Instant) {
        let mut health = self.health();
        let until = now + AVOID_FULL_DURATION;
        health.avoided_until = Some(health.avoided_until.map_or(until, |at| at.max(until)));
    }

    /// Uses the upstream behind others until it is heard, at the longest until `until`.
    pub(super) fn dispute_until(&self, until: Instant) {
        self.health().disputed_until = Some(until);
    }

    /// Uses the upstream like others again.
    pub(super) fn end_dispute(&self) {
        self.health().disputed_until = None;
    }

    /// Time until which the upstream is avoided, if it is.
    pub(crate) fn avoided_until(&self, now: Instant) -> Option<Instant> {
        let health = *self.health();
        let until = health.avoided_until.max(health.disputed_until);
        until.filter(|until| *until > now)
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
