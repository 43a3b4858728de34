//! Finds the request that crashes each runner that runs it.
//!
//! A crash makes every request that was in flight there a suspect. Suspects
//! resume apart from each other, so each further crash points at one of them.
//! Two losses in a row can be bad luck, and must not cost an innocent request
//! its answer. After the third a request is accused and rests for a moment: if
//! runners go on dying without it, it is not the cause. See `docs/CRASHES.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::id::{Incarnation, RunnerId};

/// Hash of a customer, a model and a prompt.
pub(crate) type Fingerprint = u64;

/// Crashes that accuse a request.
const ACCUSING_CRASHES: usize = 3;
/// Crashes that accuse a request while runners are lost for other reasons.
const ACCUSING_CRASHES_IN_TROUBLE: usize = 6;
/// How long an accused request rests before its case is decided.
pub(crate) const REST: Duration = Duration::from_secs(1);
/// How long a crash counts against a request.
const SUSPICION_TTL: Duration = Duration::from_secs(600);
/// How long a conviction is in force.
pub(crate) const CONVICTION_TTL: Duration = Duration::from_secs(600);
/// Time around a crash in which losses of other runners speak for a request.
const TROUBLE_WINDOW: Duration = Duration::from_secs(10);
/// Losses of other runners within the window that show other trouble.
const TROUBLE_LOSSES: usize = 2;

/// One life of one runner.
pub(crate) type RunnerLife = (RunnerId, Incarnation);

/// What is held against requests.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    crashes: BTreeMap<Fingerprint, (BTreeSet<RunnerLife>, Instant)>,
    accused: BTreeMap<Fingerprint, Instant>,
    convicted: BTreeMap<Fingerprint, Instant>,
    losses: BTreeMap<RunnerLife, Instant>,
}

/// How the case of a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The request may run.
    Open,
    /// The request rests for this long before its case is decided.
    Accused(Duration),
    /// The request is the cause, and is refused for this long.
    Convicted(Duration),
}

impl Suspects {
    /// Notes that a runner's life ended while a request ran there.
    pub(crate) fn note_crash(&mut self, fingerprint: Fingerprint, life: RunnerLife, now: Instant) {
        self.expire(now);
        self.losses.entry(life.clone()).or_insert(now);
        let (crashes, last) = self
            .crashes
            .entry(fingerprint)
            .or_insert_with(|| (BTreeSet::new(), now));
        crashes.insert(life);
        *last = now;
        if self.is_accusable(fingerprint) {
            self.accused.entry(fingerprint).or_insert(now);
        }
    }

    /// How the case of a request stands. A request that has rested is acquitted
    /// for now if runners died without it meanwhile, and convicted otherwise.
    pub(crate) fn verdict(&mut self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        if let Some(left) = self.conviction(fingerprint, now) {
            return Verdict::Convicted(left);
        }
        let Some(accused_at) = self.accused.get(&fingerprint).copied() else {
            return Verdict::Open;
        };
        let rested = now.saturating_duration_since(accused_at);
        if rested < REST {
            return Verdict::Accused(REST - rested);
        }
        self.accused.remove(&fingerprint);
        if !self.is_accusable(fingerprint) {
            return Verdict::Open;
        }
        self.convict(fingerprint, now + CONVICTION_TTL);
        Verdict::Convicted(CONVICTION_TTL)
    }

    /// Takes over a conviction.
    pub(crate) fn convict(&mut self, fingerprint: Fingerprint, until: Instant) {
        self.convicted.insert(fingerprint, until);
    }

    /// How long a request is still refused.
    pub(crate) fn conviction(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.convicted.get(&fingerprint)?;
        until.checked_duration_since(now)
    }

    /// Whether a crash is held against a request.
    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let held = self.crashes.get(&fingerprint);
        held.is_some_and(|(_, last)| now.duration_since(*last) < SUSPICION_TTL)
    }

    /// Runners' lives that ended while the request ran there.
    pub(crate) fn lives(&self, fingerprint: Fingerprint) -> Vec<RunnerLife> {
        let held = self.crashes.get(&fingerprint);
        let lives = held.into_iter().flat_map(|(lives, _)| lives);
        lives.cloned().collect()
    }

    /// Runners that were lost while the request ran there.
    pub(crate) fn crashed_runners(&self, fingerprint: Fingerprint) -> Vec<RunnerId> {
        let lives = self.lives(fingerprint).into_iter();
        lives.map(|(runner, _)| runner).collect()
    }

    fn is_accusable(&self, fingerprint: Fingerprint) -> bool {
        let Some((crashes, _)) = self.crashes.get(&fingerprint) else {
            return false;
        };
        let accusing = if self.is_in_trouble(crashes) {
            ACCUSING_CRASHES_IN_TROUBLE
        } else {
            ACCUSING_CRASHES
        };
        crashes.len() >= accusing
    }

    /// Losses of runners where the request did not run, at about the same
    /// time, speak for a rack or a switch and not for the request.
    fn is_in_trouble(&self, crashes: &BTreeSet<RunnerLife>) -> bool {
        let times: Vec<Instant> = crashes
            .iter()
            .filter_map(|life| self.losses.get(life).copied())
            .collect();
        let near = |at: Instant| {
            times
                .iter()
                .any(|t| at.max(*t) - at.min(*t) < TROUBLE_WINDOW)
        };
        let others = self
            .losses
            .iter()
            .filter(|(life, at)| !crashes.contains(*life) && near(**at));
        others.count() >= TROUBLE_LOSSES
    }

    fn expire(&mut self, now: Instant) {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < SUSPICION_TTL;
        self.losses.retain(|_, at| fresh(at));
        self.crashes.retain(|_, (_, last)| fresh(last));
        self.convicted.retain(|_, until| *until > now);
        self.accused.retain(|_, at| fresh(at));
    }
}
