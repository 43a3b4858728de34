//! Finds the request that crashes each runner that runs it.
//!
//! A crash makes every request that was in flight there a suspect. Suspects
//! resume apart from each other, so each further crash points at one of them.
//! Two losses in a row can be bad luck, and must not cost an innocent request
//! its answer. After the third a request is quarantined for a moment: if
//! runners go on dying without it, it is not the cause. See `docs/CRASHES.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::trial::{Standing, Trials};
use crate::id::{Incarnation, RunnerId};

/// Hash of a customer, a model and a prompt.
pub(crate) type Fingerprint = u64;

/// Crashes that quarantine a request.
const QUARANTINE_CRASHES: usize = 3;
/// Crashes that quarantine a request while runners are lost for other reasons.
const QUARANTINE_CRASHES_IN_OUTAGE: usize = 6;
/// How long a request is quarantined before its case is decided.
pub(crate) const QUARANTINE: Duration = Duration::from_secs(1);
/// How long a crash counts against a request.
const SUSPICION_TTL: Duration = Duration::from_secs(600);
/// How long a poison request is refused.
pub(crate) const POISON_TTL: Duration = Duration::from_secs(600);
/// Time around a crash in which losses of other runners speak for a request.
const OUTAGE_WINDOW: Duration = Duration::from_secs(10);
/// Losses of other runners within the window that show an outage.
const OUTAGE_LOSSES: usize = 2;

/// Names one generation among the copies of a request.
pub(crate) type CopyId = u64;

/// One of the generations that are made from the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestCopy {
    /// The request.
    pub(crate) fingerprint: Fingerprint,
    /// The generation.
    pub(crate) id: CopyId,
}

/// One life of one runner.
pub(crate) type RunnerLife = (RunnerId, Incarnation);

/// What is held against requests.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    cases: BTreeMap<Fingerprint, Case>,
    quarantined: BTreeMap<Fingerprint, Instant>,
    poison: BTreeMap<Fingerprint, Instant>,
    losses: BTreeMap<RunnerLife, Instant>,
    trials: Trials,
}

/// What is held against one request.
#[derive(Clone, Debug)]
struct Case {
    lives: BTreeSet<RunnerLife>,
    copies: BTreeSet<CopyId>,
    first_at: Instant,
    last_at: Instant,
}

impl Case {
    fn opened(now: Instant) -> Self {
        Self {
            lives: BTreeSet::new(),
            copies: BTreeSet::new(),
            first_at: now,
            last_at: now,
        }
    }
}

/// How the case of a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestHealth {
    /// The request may run.
    Healthy,
    /// The request may not run for this long, and is then decided on.
    Quarantined(Duration),
    /// The request is the cause of crashes, and is refused for this long.
    Poison(Duration),
}

impl Suspects {
    /// Notes that a runner's life ended while a request ran there.
    pub(crate) fn note_crash(&mut self, fingerprint: Fingerprint, life: RunnerLife, now: Instant) {
        self.expire(now);
        self.losses.entry(life.clone()).or_insert(now);
        let case = self.cases.entry(fingerprint);
        let case = case.or_insert_with(|| Case::opened(now));
        case.lives.insert(life);
        case.last_at = now;
        if self.exceeds_crash_limit(fingerprint) {
            self.quarantined.entry(fingerprint).or_insert(now);
        }
    }

    /// How the case of a request stands. After its quarantine a
    /// request is cleared for now if runners died without it meanwhile, and is
    /// poison otherwise.
    pub(crate) fn health(&mut self, fingerprint: Fingerprint, now: Instant) -> RequestHealth {
        if let Some(left) = self.poison_time_left(fingerprint, now) {
            return RequestHealth::Poison(left);
        }
        let Some(since) = self.quarantined.get(&fingerprint).copied() else {
            return RequestHealth::Healthy;
        };
        let waited = now.saturating_duration_since(since);
        if waited < QUARANTINE {
            return RequestHealth::Quarantined(QUARANTINE - waited);
        }
        self.quarantined.remove(&fingerprint);
        if !self.exceeds_crash_limit(fingerprint) {
            return RequestHealth::Healthy;
        }
        self.mark_poison(fingerprint, now + POISON_TTL);
        RequestHealth::Poison(POISON_TTL)
    }

    /// Lets a copy of a request begin to run, or says how long it is to wait
    /// for another. Copies that begin together would each take down a runner
    /// before the crash of the first is known.
    pub(crate) fn begin(&mut self, copy: RequestCopy, now: Instant) -> Result<(), Duration> {
        let Some(case) = self.cases.get_mut(&copy.fingerprint) else {
            return Ok(());
        };
        case.copies.insert(copy.id);
        let standing = Standing {
            is_alone: case.copies.len() == 1,
            crash_count: case.lives.len(),
            first_crash_at: case.first_at,
        };
        self.trials.begin(copy, standing, now)
    }

    /// Notes that a copy of a suspect is about.
    pub(crate) fn note_copy(&mut self, copy: RequestCopy) {
        if let Some(case) = self.cases.get_mut(&copy.fingerprint) {
            case.copies.insert(copy.id);
        }
    }

    /// Notes where a copy of a request begins to run.
    pub(crate) fn note_begun(&mut self, fingerprint: Fingerprint, runner: &str, now: Instant) {
        self.trials.note_begun(fingerprint, runner, now);
    }

    /// Where a copy began so lately that it has not shown whether it crashes
    /// its runner. Other copies that join it there put no second one at risk.
    pub(crate) fn begun_at(&self, fingerprint: Fingerprint, now: Instant) -> Option<RunnerId> {
        self.trials.begun_at(fingerprint, now)
    }

    /// Notes that a request is poison, as a peer found out.
    pub(crate) fn mark_poison(&mut self, fingerprint: Fingerprint, until: Instant) {
        self.poison.insert(fingerprint, until);
    }

    /// How long a request is still refused.
    pub(crate) fn poison_time_left(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Option<Duration> {
        let until = self.poison.get(&fingerprint)?;
        until.checked_duration_since(now)
    }

    /// Whether a crash is held against a request.
    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let case = self.cases.get(&fingerprint);
        case.is_some_and(|case| now.duration_since(case.last_at) < SUSPICION_TTL)
    }

    /// Runners' lives that ended while the request ran there.
    pub(crate) fn lives(&self, fingerprint: Fingerprint) -> Vec<RunnerLife> {
        let case = self.cases.get(&fingerprint);
        case.map(|case| case.lives.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Runners that were lost while the request ran there.
    pub(crate) fn crashed_runners(&self, fingerprint: Fingerprint) -> Vec<RunnerId> {
        let lives = self.lives(fingerprint).into_iter();
        lives.map(|(runner, _)| runner).collect()
    }

    fn exceeds_crash_limit(&self, fingerprint: Fingerprint) -> bool {
        let Some(case) = self.cases.get(&fingerprint) else {
            return false;
        };
        let limit = if self.is_in_outage(&case.lives) {
            QUARANTINE_CRASHES_IN_OUTAGE
        } else {
            QUARANTINE_CRASHES
        };
        case.lives.len() >= limit
    }

    /// Losses of runners where the request did not run, at about the same
    /// time, speak for a rack or a switch and not for the request.
    fn is_in_outage(&self, crashes: &BTreeSet<RunnerLife>) -> bool {
        let times: Vec<Instant> = crashes
            .iter()
            .filter_map(|life| self.losses.get(life).copied())
            .collect();
        let near = |at: Instant| {
            times
                .iter()
                .any(|t| at.max(*t) - at.min(*t) < OUTAGE_WINDOW)
        };
        let others = self
            .losses
            .iter()
            .filter(|(life, at)| !crashes.contains(*life) && near(**at));
        others.count() >= OUTAGE_LOSSES
    }

    fn expire(&mut self, now: Instant) {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < SUSPICION_TTL;
        self.losses.retain(|_, at| fresh(at));
        self.cases.retain(|_, case| fresh(&case.last_at));
        self.poison.retain(|_, until| *until > now);
        self.quarantined.retain(|_, at| fresh(at));
        self.trials.forget_before(now, SUSPICION_TTL);
    }
}
