//! Detection of streams that fall silent.

use std::time::{Duration, Instant};

use crate::configuration::config::CallerPolicy;
use crate::generation::attempt::{Loss, StandbyState};
use crate::generation::runner_probe::ProbeResult;

/// Weight of the newest gap between tokens in the moving average of the gaps.
const GAP_EWMA_WEIGHT: f64 = 0.1;
/// A stream counts as silent after this many mean gaps between tokens at the
/// earliest, even if the caller's policy sets a shorter time.
const SILENCE_MIN_GAPS: f64 = 4.0;
/// Upper limit of the silence that is derived from the mean gap.
const GAP_SILENCE_MAX: Duration = Duration::from_secs(5);
/// While a runner answers probes, its silent stream counts as lost only after
/// this many times the silence that is allowed if the runner does not answer.
const STALL_FACTOR: u32 = 10;
/// How long a runner may stand still while its host accepts connections. Its
/// process may go on, and must not work on a stream that another runner took over.
pub(crate) const STANDSTILL_MAX: Duration = Duration::from_secs(3);
/// How long a runner that answers probes may take to send the first token,
/// including the time in its queue.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(60);

/// Decides when the silence of one stream calls for a standby attempt or a
/// probe, and when the stream is lost.
#[derive(Debug)]
pub(crate) struct SilenceDetector {
    policy: CallerPolicy,
    mean_gap_s: f64,
    silent_since: Instant,
    probe_at: Instant,
    probe_running: bool,
    standby_requested: bool,
}

impl SilenceDetector {
    pub(crate) fn new(policy: CallerPolicy, now: Instant) -> Self {
        let mut detector = Self {
            policy,
            mean_gap_s: 0.0,
            silent_since: now,
            probe_at: now,
            probe_running: false,
            standby_requested: false,
        };
        detector.restart(now);
        detector
    }

    /// Records that the stream sent a token.
    pub(crate) fn token_received(&mut self, now: Instant) {
        let gap_s = (now - self.silent_since).as_secs_f64();
        self.mean_gap_s += GAP_EWMA_WEIGHT * (gap_s - self.mean_gap_s);
        self.restart(now);
    }

    /// Measures the silence from now on.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.silent_since = now;
        self.probe_at = now + self.probe_window();
        self.probe_running = false;
        self.standby_requested = false;
    }

    /// Half of `give_up_after`: the silence before a probe, and the time that
    /// the probe may take.
    pub(crate) fn probe_window(&self) -> Duration {
        self.extend_to_min_gaps(self.policy.give_up_after / 2)
    }

    /// Extends a time from the policy to [`SILENCE_MIN_GAPS`] mean gaps, so that a
    /// slow stream is not taken for a silent one.
    fn extend_to_min_gaps(&self, setting: Duration) -> Duration {
        let gaps = Duration::from_secs_f64(self.mean_gap_s * SILENCE_MIN_GAPS);
        setting.max(gaps.min(GAP_SILENCE_MAX))
    }

    fn standby_at(&self) -> Option<Instant> {
        // Before the first token, silence means that the request is queued or
        // that a long prompt is in prefill; a second attempt would only add load.
        let prepare_after = self.policy.prepare_after.filter(|_| self.has_token())?;
        Some(self.silent_since + self.extend_to_min_gaps(prepare_after))
    }

    /// When the attempt has to check the stream if nothing arrives before. `None`
    /// while only the result of a probe is awaited, which comes within
    /// [`Self::probe_window`].
    pub(crate) fn wake_at(&self, standby: StandbyState) -> Option<Instant> {
        let probe_at = (!self.probe_running).then_some(self.probe_at);
        let may_open_standby = standby == StandbyState::Allowed && !self.standby_requested;
        let standby_at = self.standby_at().filter(|_| may_open_standby);
        probe_at.into_iter().chain(standby_at).min()
    }

    fn has_token(&self) -> bool {
        self.mean_gap_s > 0.0
    }

    fn stall_timeout(&self) -> Duration {
        if !self.has_token() {
            return FIRST_TOKEN_TIMEOUT;
        }
        self.extend_to_min_gaps(self.policy.give_up_after) * STALL_FACTOR
    }

    fn standstill_timeout(&self, standby: StandbyState) -> Duration {
        let give_up_after = self.extend_to_min_gaps(self.policy.give_up_after);
        match standby {
            // The caller's policy lets two runners work on the answer.
            StandbyState::Open => give_up_after,
            StandbyState::Allowed | StandbyState::Forbidden => give_up_after.max(STANDSTILL_MAX),
        }
    }

    /// Maximum delay of a wake-up; a longer one shows that this process was
    /// paused.
    pub(crate) fn wake_delay_max(&self) -> Duration {
        self.policy.give_up_after / 4
    }

    /// Whether a standby attempt should be opened; true once per silence.
    pub(crate) fn request_standby_if_due(&mut self, now: Instant) -> bool {
        let is_due = !self.standby_requested && self.standby_at().is_some_and(|at| at <= now);
        self.standby_requested |= is_due;
        is_due
    }

    /// Whether the stream has been silent for so long that its runner is to be probed.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        !self.probe_running && self.probe_at <= now
    }

    pub(crate) fn probe_started(&mut self) {
        self.probe_running = true;
    }

    /// Applies the result of a probe; the loss that it shows, if any.
    pub(crate) fn apply_probe_result(
        &mut self,
        result: ProbeResult,
        standby: StandbyState,
        now: Instant,
    ) -> Option<Loss> {
        self.probe_running = false;
        self.probe_at = now + self.probe_window();
        let silence = now - self.silent_since;
        let stall_timeout = self.stall_timeout();
        let standstill_timeout = self.standstill_timeout(standby);
        match result {
            ProbeResult::Gone => Some(Loss::Silence),
            ProbeResult::Unresponsive if silence >= standstill_timeout => Some(Loss::Silence),
            ProbeResult::Alive if silence > stall_timeout => Some(Loss::Stalled),
            ProbeResult::Alive | ProbeResult::Unresponsive | ProbeResult::Inconclusive => None,
        }
    }
}
