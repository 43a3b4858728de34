//! Finds the request that crashes each runner that runs it.
//!
//! A crash makes every request that was in flight there a suspect. Suspects
//! resume apart from each other, so each further crash points at one of them.
//! Two losses in a row can be bad luck, and must not cost an innocent request
//! its answer; three are held to be its own doing. See `docs/CRASHES.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::id::{Incarnation, RunnerId};

/// Hash of a customer, a model and a prompt.
pub(crate) type Fingerprint = u64;

/// Crashes that convict a request.
const CONVICTING_CRASHES: usize = 3;
/// Crashes that convict a request while runners are lost for other reasons.
const CONVICTING_CRASHES_IN_TROUBLE: usize = 6;
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
    convicted: BTreeMap<Fingerprint, Instant>,
    losses: BTreeMap<RunnerLife, Instant>,
}

/// What a crash means for a request that was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The request is one of several that may be the cause.
    Suspect,
    /// The request is the cause.
    Convicted,
}

impl Suspects {
    /// Notes that a runner's life ended while a request ran there.
    pub(crate) fn note_crash(
        &mut self,
        fingerprint: Fingerprint,
        life: RunnerLife,
        now: Instant,
    ) -> Verdict {
        self.expire(now);
        self.losses.entry(life.clone()).or_insert(now);
        let (crashes, last) = self
            .crashes
            .entry(fingerprint)
            .or_insert_with(|| (BTreeSet::new(), now));
        crashes.insert(life);
        *last = now;
        let crashes = crashes.clone();
        let convicting = if self.is_in_trouble(&crashes) {
            CONVICTING_CRASHES_IN_TROUBLE
        } else {
            CONVICTING_CRASHES
        };
        if crashes.len() < convicting {
            return Verdict::Suspect;
        }
        self.convict(fingerprint, now + CONVICTION_TTL);
        Verdict::Convicted
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

    /// Runners that were lost while the request ran there.
    pub(crate) fn crashed_runners(&self, fingerprint: Fingerprint) -> Vec<RunnerId> {
        let held = self.crashes.get(&fingerprint);
        let lives = held.into_iter().flat_map(|(lives, _)| lives);
        lives.map(|(runner, _)| runner.clone()).collect()
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
    }
}
