//! One incarnation of an upstream: one start of it, with its registration, its
//! recent health, and the load that this node puts on it.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::connection::ConnectionPool;
use super::reported_start::ReportedStart;
use super::send_probe::SendProbe;
pub(crate) use super::upstream_entry::{
    SoftwareVersion, UpstreamEntry, UpstreamStart, version_for_log,
};
use crate::id::UpstreamId;
use crate::platform::answer::{AnswerHeaders, StatedLimit};
use crate::policy::engine_speed::{EngineSpeed, SpeedEstimate};
use crate::policy::liveness::{SILENT_PROBE_INTERVAL, SOUND_SILENCE_MAX};
use crate::policy::send_decision::{self, SendDecision};
use crate::policy::send_probe::answer_patience;
use crate::policy::upstream_limit::UpstreamLimit;
use crate::policy::upstream_notices::UpstreamNotices;

/// The notices of one incarnation, which outlive its entry.
pub(crate) type SharedNotices = Arc<Mutex<UpstreamNotices>>;

/// Size of the smallest prompt whose prefill shows the speed of an engine. That of a shorter
/// one takes less time than the call's way there and back.
const MEASURED_PROMPT_TOKENS_MIN: u64 = 500;

/// What is known of the speed at one address, which outlives the incarnation there.
pub(crate) type SharedSpeed = Arc<Mutex<EngineSpeed>>;

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
struct Health {
    contacted_at: Option<Instant>,
    avoided_until: Option<Instant>,
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

/// One incarnation of an upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) entry: UpstreamEntry,
    pub(crate) pool: ConnectionPool,
    /// Whether the upstream is draining now; `entry` holds the state at which it
    /// became known.
    draining: AtomicBool,
    /// Version of its software, which may become known later than the upstream.
    software_version: OnceLock<SoftwareVersion>,
    pending_prompt_tokens: AtomicU64,
    kv_cache_tokens: AtomicU64,
    call_count: AtomicU32,
    health: Mutex<Health>,
    speed: SharedSpeed,
    limit: Mutex<UpstreamLimit>,
    notices: SharedNotices,
    /// The probe that precedes calls where one is needed.
    pub(crate) send_probe: SendProbe,
    /// Whether a call or connection of this node failed here since the upstream became known, or
    /// since its last report showed the incarnation of its entry.
    has_broken: AtomicBool,
    /// Its last report on itself.
    reported_start: Mutex<Option<ReportedStart>>,
    /// Number of times that the upstream was marked as lost.
    losses: watch::Sender<u64>,
}

impl Upstream {
    /// Creates an upstream without calls, of which nothing is known.
    pub(crate) fn new(entry: UpstreamEntry) -> Self {
        Self::with_history(entry, SharedNotices::default(), SharedSpeed::default())
    }

    /// Creates an upstream without calls, which may have stated these notices before, and of
    /// whose address this speed is known.
    pub(crate) fn with_history(
        entry: UpstreamEntry,
        notices: SharedNotices,
        speed: SharedSpeed,
    ) -> Self {
        let software_version = OnceLock::new();
        if let Some(version) = entry.software_version.clone() {
            software_version.get_or_init(|| version);
        }
        Self {
            pool: ConnectionPool::new(entry.address),
            software_version,
            draining: AtomicBool::new(entry.draining),
            pending_prompt_tokens: AtomicU64::new(0),
            kv_cache_tokens: AtomicU64::new(0),
            call_count: AtomicU32::new(0),
            health: Mutex::default(),
            speed,
            limit: Mutex::default(),
            notices,
            send_probe: SendProbe::default(),
            has_broken: AtomicBool::new(false),
            reported_start: Mutex::default(),
            losses: watch::Sender::new(0),
            entry,
        }
    }

    /// Whether `entry` describes this incarnation.
    pub(crate) fn is_same_incarnation(&self, entry: &UpstreamEntry) -> bool {
        let versions = (self.software_version(), &entry.software_version);
        let has_other_version = matches!(versions, (Some(known), Some(stated)) if known != stated);
        !has_other_version
            && self.entry.is_same_start(entry)
            && self.entry.address == entry.address
            && self.entry.service == entry.service
    }

    /// Version of the upstream's software, if it is known.
    pub(crate) fn software_version(&self) -> Option<&SoftwareVersion> {
        self.software_version.get()
    }

    /// Sets the version of the upstream's software if it was unknown so far.
    pub(crate) fn learn_software_version(&self, version: SoftwareVersion) {
        self.software_version.get_or_init(|| version);
    }

    /// Whether the upstream is draining, by its entry or its answers: it accepts no new
    /// calls.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed) || self.notices().is_leaving()
    }

    /// Sets what the upstream's entry says, and returns whether that is new.
    pub(crate) fn set_draining(&self, draining: bool) -> bool {
        self.draining.swap(draining, Ordering::Relaxed) != draining
    }

    /// Records that an answer or event of the upstream arrived, and stops
    /// avoiding it.
    pub(crate) fn record_contact(&self, now: Instant) {
        let mut health = self.health();
        health.contacted_at = Some(now);
        health.avoided_until = None;
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

    /// Records what an answer to a request sent at `sent_at` says of what may be sent to
    /// the upstream.
    pub(crate) fn record_statements(&self, headers: &AnswerHeaders, sent_at: Instant) {
        self.record_limit(headers.limit, sent_at);
        match headers.rest {
            Some(rest) => self.record_rest(rest),
            None => self.notices().rest.record_answered(sent_at),
        }
        if headers.is_leaving {
            self.record_leaving();
        }
    }

    fn record_limit(&self, stated: StatedLimit, sent_at: Instant) {
        let now = Instant::now();
        let id = &self.entry.id;
        match stated {
            StatedLimit::None => {
                if self.limit().record_unlimited(sent_at, now) {
                    log::info!("event=limit_ended upstream={id}");
                }
            }
            StatedLimit::Named(rate) => {
                if self.limit().record_named(rate, now) {
                    let per_s = rate.per_second();
                    log::info!("event=limit_named upstream={id} per_s={per_s}");
                }
            }
            StatedLimit::Unreadable => {}
        }
    }

    /// Records the rest that the upstream asks of this node in an answer.
    pub(crate) fn record_rest(&self, rest: Duration) {
        self.notices().rest.record_asked(rest, Instant::now());
        let (id, rest_ms) = (&self.entry.id, rest.as_millis());
        log::info!("event=upstream_rests upstream={id} rest_ms={rest_ms}");
    }

    /// Records that the upstream says that it leaves. No entry takes that back.
    fn record_leaving(&self) {
        if self.notices().record_leaving() {
            log_leaving(&self.entry.id);
        }
    }

    /// What this incarnation asked of this node.
    pub(crate) fn notices(&self) -> MutexGuard<'_, UpstreamNotices> {
        lock_notices(&self.notices)
    }

    /// The notices, which a later entry of this incarnation shares.
    pub(crate) fn shared_notices(&self) -> SharedNotices {
        self.notices.clone()
    }

    /// Whether the upstream wants no request at all from this node now.
    pub(crate) fn is_resting(&self) -> bool {
        self.notices().rest.is_resting(Instant::now())
    }

    /// Decides whether a call may be sent to the upstream now.
    pub(crate) fn decide(&self, now: Instant) -> SendDecision {
        send_decision::decide(&self.notices().rest, &mut self.limit(), now)
    }

    /// Whether a request that is no call would cost the upstream what it wants to spare.
    pub(crate) fn counts_probes(&self) -> bool {
        self.is_resting() || self.is_limited()
    }

    /// Whether the upstream limits what is sent to it.
    pub(crate) fn is_limited(&self) -> bool {
        self.limit().is_limited(Instant::now())
    }

    /// What is known of the upstream's limit.
    pub(crate) fn limit(&self) -> MutexGuard<'_, UpstreamLimit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether something of this node broke here, after which another incarnation may run at
    /// the upstream's address.
    pub(crate) fn has_broken(&self) -> bool {
        self.has_broken.load(Ordering::Relaxed)
    }

    /// Records that the upstream reported the start that its entry states.
    pub(crate) fn record_same_start(&self) {
        self.has_broken.store(false, Ordering::Relaxed);
    }

    /// Records a report of the upstream on itself.
    pub(crate) fn record_reported_start(&self, reported: ReportedStart) {
        *self.lock_reported_start() = Some(reported);
    }

    /// Start, in Unix milliseconds, of the incarnation that runs at the upstream's address;
    /// `None` if no recent report shows it.
    pub(crate) fn reported_start(&self, now: Instant) -> Option<u64> {
        self.lock_reported_start().as_ref()?.get(now)
    }

    fn lock_reported_start(&self) -> MutexGuard<'_, Option<ReportedStart>> {
        let reported = self.reported_start.lock();
        reported.unwrap_or_else(PoisonError::into_inner)
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

    /// What this node learned of the speed of the upstream, which is an engine.
    pub(crate) fn speed(&self, now: Instant) -> SpeedEstimate {
        self.lock_speed().estimate(now)
    }

    /// Applies what a stream shows of the speed of the upstream.
    pub(crate) fn learn_speed(&self, learn: impl FnOnce(&mut EngineSpeed)) {
        learn(&mut self.lock_speed());
    }

    /// The speed, which a later incarnation at the address shares.
    pub(crate) fn shared_speed(&self) -> SharedSpeed {
        self.speed.clone()
    }

    fn lock_speed(&self) -> MutexGuard<'_, EngineSpeed> {
        self.speed.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Time until which the upstream is avoided, if it is.
    pub(crate) fn avoided_until(&self, now: Instant) -> Option<Instant> {
        self.health().avoided_until.filter(|until| *until > now)
    }

    /// Informs all calls that run at this incarnation, and all runs that have a
    /// replica at it, that it has ended or is unreachable.
    pub(crate) fn mark_lost(&self, now: Instant) {
        self.avoid(now);
        self.pool.clear();
        self.losses.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that changes whenever the upstream is marked as lost
    /// from now on.
    pub(crate) fn subscribe_losses(&self) -> watch::Receiver<u64> {
        self.losses.subscribe()
    }

    /// Prompt tokens that this node sent to the upstream and whose prefill is not
    /// finished.
    pub(crate) fn pending_prompt_tokens(&self) -> u64 {
        self.pending_prompt_tokens.load(Ordering::Relaxed)
    }

    /// Tokens of KV cache that this node's streams, and the replicas of its
    /// streams, take at the upstream.
    pub(crate) fn kv_cache_tokens(&self) -> u64 {
        self.kv_cache_tokens.load(Ordering::Relaxed)
    }

    /// Calls that this node has in flight at the upstream.
    pub(crate) fn call_count(&self) -> u32 {
        self.call_count.load(Ordering::Relaxed)
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(crate) fn lock_notices(notices: &SharedNotices) -> MutexGuard<'_, UpstreamNotices> {
    notices.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Logs that an upstream says that it leaves.
pub(crate) fn log_leaving(id: &UpstreamId) {
    log::info!("event=upstream_leaves upstream={id}");
}

/// Load that is counted at an upstream until this is dropped.
#[derive(Debug)]
pub(crate) struct Work {
    /// When the call was counted, just before it was sent.
    began_at: Instant,
    /// Prompt tokens whose prefill shows the speed of the upstream. Zero if this node had
    /// other prompts pending there, whose prefill comes first.
    measured_prompt_tokens: u64,
    upstream: Arc<Upstream>,
    pending_prompt_tokens: u64,
    kv_cache_tokens: u64,
    call_count: u32,
}

impl Work {
    /// Counts a call in flight, its prompt tokens until their prefill is finished,
    /// and the tokens of KV cache that it needs at its end.
    pub(crate) fn call(
        upstream: &Arc<Upstream>,
        pending_prompt_tokens: u64,
        kv_cache_tokens: u64,
    ) -> Self {
        Self::count(upstream, pending_prompt_tokens, kv_cache_tokens, 1)
    }

    /// Counts a KV cache replica of a stream.
    pub(crate) fn replica(upstream: &Arc<Upstream>, kv_cache_tokens: u64) -> Self {
        Self::count(upstream, 0, kv_cache_tokens, 0)
    }

    fn count(
        upstream: &Arc<Upstream>,
        pending_prompt_tokens: u64,
        kv_cache_tokens: u64,
        call_count: u32,
    ) -> Self {
        let already_pending = upstream
            .pending_prompt_tokens
            .fetch_add(pending_prompt_tokens, Ordering::Relaxed);
        upstream
            .kv_cache_tokens
            .fetch_add(kv_cache_tokens, Ordering::Relaxed);
        upstream.call_count.fetch_add(call_count, Ordering::Relaxed);
        Self {
            began_at: Instant::now(),
            measured_prompt_tokens: if already_pending == 0 {
                pending_prompt_tokens
            } else {
                0
            },
            upstream: upstream.clone(),
            pending_prompt_tokens,
            kv_cache_tokens,
            call_count,
        }
    }

    /// Keeps the call from being taken for a measure of the speed of the upstream, which has
    /// its prompt cached.
    pub(crate) fn skip_measurement(&mut self) {
        self.measured_prompt_tokens = 0;
    }

    /// Records that the first event of the call arrived, which shows the speed of the
    /// upstream, and stops counting the prompt.
    pub(crate) fn first_event_arrived(&mut self, now: Instant) {
        let tokens = std::mem::take(&mut self.measured_prompt_tokens);
        let elapsed = now.saturating_duration_since(self.began_at);
        if tokens >= MEASURED_PROMPT_TOKENS_MIN {
            self.upstream
                .learn_speed(|speed| speed.record_prefill(tokens, elapsed, now));
        }
        self.prefill_done();
    }

    /// Stops counting the prompt, whose prefill is finished.
    fn prefill_done(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prompt_tokens);
        self.upstream
            .pending_prompt_tokens
            .fetch_sub(tokens, Ordering::Relaxed);
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.prefill_done();
        let upstream = &self.upstream;
        upstream
            .kv_cache_tokens
            .fetch_sub(self.kv_cache_tokens, Ordering::Relaxed);
        upstream
            .call_count
            .fetch_sub(self.call_count, Ordering::Relaxed);
    }
}
