//! Detects poison requests: requests that crash each runner that runs them.
//!
//! A crash makes every request that was in flight at the runner a suspect.
//! Suspects resume on different runners, so that the next crash points at one
//! of them. A harmless request can be in flight at two crashed runners by
//! coincidence, and must not fail for that. After the third crash (the sixth in
//! an outage) a request is quarantined for a short time: if runners keep crashing
//! meanwhile, the request is not the cause. See `docs/CRASHES.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::canary::{CanaryRuns, CrashSummary};
use crate::id::{Fingerprint, Incarnation, RunnerId};

/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Number of crashes after which a request is quarantined during an outage, in
/// which runners are lost for other reasons.
const QUARANTINE_CRASHES_IN_OUTAGE: usize = 6;
/// Duration of a quarantine, after which the request is allowed or marked as
/// poison.
pub(crate) const QUARANTINE_DURATION: Duration = Duration::from_secs(1);
/// Time after its last crash until a request is no longer a suspect.
const SUSPICION_TTL: Duration = Duration::from_secs(600);
/// Time for which a poison request is refused.
pub(crate) const POISON_TTL: Duration = Duration::from_secs(600);
/// Losses of other runners within this time before or after a crash of a
/// request are evidence of an outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(10);
/// Number of losses of other runners within `OUTAGE_WINDOW` that indicate an
/// outage.
const OUTAGE_LOSSES_MIN: usize = 2;

/// Identifies one copy of a request.
pub(crate) type CopyId = u64;

/// One of several generations that run the same request, as when a caller sends
/// it repeatedly or to several nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestCopy {
    /// Identifies the request.
    pub(crate) fingerprint: Fingerprint,
    /// Identifies the generation.
    pub(crate) id: CopyId,
}

/// One incarnation of one runner.
pub(crate) type RunnerIncarnation = (RunnerId, Incarnation);

/// Requests that are suspected of crashing runners, and poison requests.
#[derive(Debug, Default)]
pub(crate) struct SuspectRequests {
    histories: BTreeMap<Fingerprint, CrashHistory>,
    /// Start of each quarantine.
    quarantined: BTreeMap<Fingerprint, Instant>,
    /// End of the refusal of each poison request.
    poison: BTreeMap<Fingerprint, Instant>,
    /// Time at which each recent crash of a runner was first recorded, for all
    /// requests together.
    losses: BTreeMap<RunnerIncarnation, Instant>,
    canaries: CanaryRuns,
}

/// The crashes of runners that happened while they ran one request.
#[derive(Clone, Debug)]
struct CrashHistory {
    crashed: BTreeSet<RunnerIncarnation>,
    copies: BTreeSet<CopyId>,
    first_crash_at: Instant,
    last_crash_at: Instant,
}

impl CrashHistory {
    fn new(now: Instant) -> Self {
        Self {
            crashed: BTreeSet::new(),
            copies: BTreeSet::new(),
            first_crash_at: now,
            last_crash_at: now,
        }
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    /// The request may run.
    Allowed,
    /// The request must wait; the duration is the rest of its quarantine.
    Quarantined(Duration),
    /// The request crashes runners and is refused for this duration.
    Poison(Duration),
}

impl SuspectRequests {
    /// Records that `runner` crashed while it ran the request with `fingerprint`.
    pub(crate) fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        runner: RunnerIncarnation,
        now: Instant,
    ) {
        self.remove_expired(now);
        self.losses.entry(runner.clone()).or_insert(now);
        let history = self.histories.entry(fingerprint);
        let history = history.or_insert_with(|| CrashHistory::new(now));
        history.crashed.insert(runner);
        history.last_crash_at = now;
        if self.reaches_crash_limit(fingerprint) {
            self.quarantined.entry(fingerprint).or_insert(now);
        }
    }

    /// Whether the request with `fingerprint` may run. At the end of its
    /// quarantine it is allowed again if its crashes turn out to be part of an
    /// outage, and is marked as poison otherwise.
    pub(crate) fn status(&mut self, fingerprint: Fingerprint, now: Instant) -> RequestStatus {
        if let Some(remaining) = self.poison_time_left(fingerprint, now) {
            return RequestStatus::Poison(remaining);
        }
        let Some(since) = self.quarantined.get(&fingerprint).copied() else {
            return RequestStatus::Allowed;
        };
        let waited = now.saturating_duration_since(since);
        if waited < QUARANTINE_DURATION {
            return RequestStatus::Quarantined(QUARANTINE_DURATION - waited);
        }
        self.quarantined.remove(&fingerprint);
        if !self.reaches_crash_limit(fingerprint) {
            return RequestStatus::Allowed;
        }
        self.mark_poison(fingerprint, now + POISON_TTL);
        RequestStatus::Poison(POISON_TTL)
    }

    /// Allows `copy` to start, or gives the time after which this method has to
    /// be called again, because another copy's canary run or further crash
    /// reports are awaited. Copies that start together would each crash a runner
    /// before the first crash is known.
    pub(crate) fn try_start(&mut self, copy: RequestCopy, now: Instant) -> Result<(), Duration> {
        let Some(history) = self.histories.get_mut(&copy.fingerprint) else {
            return Ok(());
        };
        history.copies.insert(copy.id);
        let crashes = CrashSummary {
            is_only_copy: history.copies.len() == 1,
            crash_count: history.crashed.len(),
            first_crash_at: history.first_crash_at,
        };
        self.canaries.try_start(copy, crashes, now)
    }

    /// Records that `copy` exists, if its request is a suspect.
    pub(crate) fn record_copy(&mut self, copy: RequestCopy) {
        if let Some(history) = self.histories.get_mut(&copy.fingerprint) {
            history.copies.insert(copy.id);
        }
    }

    /// Records that a copy of the request with `fingerprint` starts at `runner`.
    pub(crate) fn record_start(&mut self, fingerprint: Fingerprint, runner: &str, now: Instant) {
        self.canaries.record_start(fingerprint, runner, now);
    }

    /// Runner at which a copy of the request with `fingerprint` started so
    /// recently that it may still crash. Other copies should start there as well,
    /// so that they put no second runner at risk.
    pub(crate) fn recent_start_runner(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Option<RunnerId> {
        self.canaries.recent_start_runner(fingerprint, now)
    }

    /// Marks the request with `fingerprint` as poison until `until`.
    pub(crate) fn mark_poison(&mut self, fingerprint: Fingerprint, until: Instant) {
        self.poison.insert(fingerprint, until);
    }

    /// Remaining time for which the request with `fingerprint` is refused as
    /// poison.
    pub(crate) fn poison_time_left(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Option<Duration> {
        let until = self.poison.get(&fingerprint)?;
        until.checked_duration_since(now)
    }

    /// Whether a runner crashed within `SUSPICION_TTL` while it ran the request
    /// with `fingerprint`.
    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let history = self.histories.get(&fingerprint);
        history.is_some_and(|h| now.duration_since(h.last_crash_at) < SUSPICION_TTL)
    }

    /// Runner incarnations that crashed while they ran the request with
    /// `fingerprint`.
    pub(crate) fn crashed_incarnations(&self, fingerprint: Fingerprint) -> Vec<RunnerIncarnation> {
        let history = self.histories.get(&fingerprint);
        history
            .map(|history| history.crashed.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Runners that crashed while they ran the request with `fingerprint`.
    pub(crate) fn crashed_runners(&self, fingerprint: Fingerprint) -> Vec<RunnerId> {
        let crashed = self.crashed_incarnations(fingerprint).into_iter();
        crashed.map(|(runner, _)| runner).collect()
    }

    fn reaches_crash_limit(&self, fingerprint: Fingerprint) -> bool {
        let Some(history) = self.histories.get(&fingerprint) else {
            return false;
        };
        let limit = if self.is_outage(&history.crashed) {
            QUARANTINE_CRASHES_IN_OUTAGE
        } else {
            QUARANTINE_CRASHES
        };
        history.crashed.len() >= limit
    }

    /// Whether runners that did not run the request were lost at about the same
    /// time as those that did. The cause is then rather a rack or a switch than
    /// the request.
    fn is_outage(&self, crashes: &BTreeSet<RunnerIncarnation>) -> bool {
        let times: Vec<Instant> = crashes
            .iter()
            .filter_map(|crash| self.losses.get(crash).copied())
            .collect();
        let is_near_crash = |at: Instant| {
            times
                .iter()
                .any(|t| at.max(*t) - at.min(*t) < OUTAGE_WINDOW)
        };
        let others = self
            .losses
            .iter()
            .filter(|(loss, at)| !crashes.contains(*loss) && is_near_crash(**at));
        others.count() >= OUTAGE_LOSSES_MIN
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SUSPICION_TTL;
        self.losses.retain(|_, at| is_recent(at));
        self.histories
            .retain(|_, history| is_recent(&history.last_crash_at));
        self.poison.retain(|_, until| *until > now);
        self.quarantined.retain(|_, at| is_recent(at));
        self.canaries.remove_older_than(now, SUSPICION_TTL);
    }
}
