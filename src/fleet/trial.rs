//! Which copy of a suspect may begin to run.
//!
//! Answers this load: a request that crashes runners is sent to several nodes
//! at once, and each copy takes down a runner of its own before the crash of
//! the first is known. See `docs/CRASHES.md`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::poison::{CopyId, Fingerprint, RequestCopy};
use crate::id::RunnerId;

/// How long a suspect's run is watched before other copies of it may begin.
/// A request that crashes runners does so when it begins to run.
pub(crate) const TRIAL: Duration = Duration::from_millis(300);
/// How long the first trial waits where several copies are about, for news of
/// crashes that they caused meanwhile.
pub(crate) const SETTLE: Duration = Duration::from_millis(100);
/// Requests that begin to run are forgotten in batches of this many.
const BEGUN_MAX: usize = 256;

/// What is held against a request when a copy of it wants to begin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// Whether no other copy of it is known.
    pub(crate) is_alone: bool,
    /// Runners that it was in when they crashed.
    pub(crate) crash_count: usize,
    /// When the first of them did.
    pub(crate) first_crash_at: Instant,
}

/// The copy of a suspect that runs while the others wait for how it ends.
#[derive(Clone, Copy, Debug)]
struct Trial {
    copy: CopyId,
    since: Instant,
    crash_count: usize,
}

/// The trials that one node knows of.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    trials: BTreeMap<Fingerprint, Trial>,
    begun: BTreeMap<Fingerprint, (RunnerId, Instant)>,
}

impl Trials {
    /// Lets a copy of a suspect begin, or says how long it is to wait.
    pub(crate) fn begin(
        &mut self,
        copy: RequestCopy,
        standing: Standing,
        now: Instant,
    ) -> Result<(), Duration> {
        let waited_since = |at: Instant| now.saturating_duration_since(at);
        match self.trials.get(&copy.fingerprint) {
            None if !standing.is_alone && waited_since(standing.first_crash_at) < SETTLE => {
                return Err(SETTLE - waited_since(standing.first_crash_at));
            }
            Some(trial) if trial.copy != copy.id && waited_since(trial.since) < TRIAL => {
                return Err(TRIAL - waited_since(trial.since));
            }
            Some(trial) if trial.copy != copy.id && trial.crash_count == standing.crash_count => {
                return Ok(());
            }
            None | Some(_) => {}
        }
        let trial = Trial {
            copy: copy.id,
            since: now,
            crash_count: standing.crash_count,
        };
        self.trials.insert(copy.fingerprint, trial);
        Ok(())
    }

    /// Notes where a copy of a request begins to run.
    pub(crate) fn note_begun(&mut self, fingerprint: Fingerprint, runner: &str, now: Instant) {
        let is_on_trial = |at: &Instant| now.saturating_duration_since(*at) < TRIAL;
        if self.begun.len() >= BEGUN_MAX {
            self.begun.retain(|_, (_, at)| is_on_trial(at));
        }
        let begun = self.begun.entry(fingerprint);
        let (first, at) = begun.or_insert_with(|| (runner.to_owned(), now));
        if !is_on_trial(at) {
            (*first, *at) = (runner.to_owned(), now);
        }
    }

    /// Where a copy began so lately that it is still on trial.
    pub(crate) fn begun_at(&self, fingerprint: Fingerprint, now: Instant) -> Option<RunnerId> {
        let (runner, at) = self.begun.get(&fingerprint)?;
        let is_on_trial = now.saturating_duration_since(*at) < TRIAL;
        is_on_trial.then(|| runner.clone())
    }

    /// Forgets trials that began longer ago than `age`.
    pub(crate) fn forget_before(&mut self, now: Instant, age: Duration) {
        let is_recent = |trial: &Trial| now.saturating_duration_since(trial.since) < age;
        self.trials.retain(|_, trial| is_recent(trial));
    }
}
