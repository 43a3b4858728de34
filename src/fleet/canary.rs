//! Canary runs of requests that may crash their runner.
//!
//! A request is a suspect after a runner crashed while it ran the request. If
//! several copies of a suspect are sent, perhaps to several nodes, each copy
//! could crash another runner before the first crash is known. One copy
//! therefore runs alone for a short time, the canary run, while the other
//! copies wait for its outcome. See `docs/CRASHES.md`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::poison::{CopyId, RequestCopy};
use crate::id::{Fingerprint, RunnerId};

/// Time for which a copy of a suspect runs alone before other copies may start.
/// Requests that crash their runner do so right after they start.
pub(crate) const CANARY_DURATION: Duration = Duration::from_millis(300);
/// Delay between the first crash and the first canary run if several copies are
/// known. Reports of crashes that the other copies caused arrive meanwhile.
pub(crate) const CANARY_DELAY: Duration = Duration::from_millis(100);
/// Number of recorded starts at which those older than `CANARY_DURATION` begin
/// to be removed.
const STARTS_CLEANUP_MIN: usize = 256;

/// The crashes of a suspect at the time one of its copies asks to start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashSummary {
    /// Whether no other copy of the request is known.
    pub(crate) is_only_copy: bool,
    /// Number of runner incarnations that crashed while running the request.
    pub(crate) crash_count: usize,
    /// Time of the first crash.
    pub(crate) first_crash_at: Instant,
}

/// The copy of a suspect that runs while the other copies wait.
#[derive(Clone, Copy, Debug)]
struct CanaryRun {
    copy: CopyId,
    started_at: Instant,
    /// Number of crashes known when the canary run started.
    crash_count: usize,
}

/// The canary runs and recent starts that one node knows of.
#[derive(Debug, Default)]
pub(crate) struct CanaryRuns {
    runs: BTreeMap<Fingerprint, CanaryRun>,
    /// Runner and time of a recent start of each request, suspect or not.
    starts: BTreeMap<Fingerprint, (RunnerId, Instant)>,
}

impl CanaryRuns {
    /// Allows `copy`, whose request is a suspect, to start, or gives the time
    /// after which this method has to be called again.
    pub(crate) fn try_start(
        &mut self,
        copy: RequestCopy,
        crashes: CrashSummary,
        now: Instant,
    ) -> Result<(), Duration> {
        let time_since = |at: Instant| now.saturating_duration_since(at);
        match self.runs.get(&copy.fingerprint) {
            None if !crashes.is_only_copy && time_since(crashes.first_crash_at) < CANARY_DELAY => {
                return Err(CANARY_DELAY - time_since(crashes.first_crash_at));
            }
            Some(run) if run.copy != copy.id && time_since(run.started_at) < CANARY_DURATION => {
                return Err(CANARY_DURATION - time_since(run.started_at));
            }
            // The canary run of another copy is over and caused no crash.
            Some(run) if run.copy != copy.id && run.crash_count == crashes.crash_count => {
                return Ok(());
            }
            None | Some(_) => {}
        }
        let run = CanaryRun {
            copy: copy.id,
            started_at: now,
            crash_count: crashes.crash_count,
        };
        self.runs.insert(copy.fingerprint, run);
        Ok(())
    }

    /// Records that a copy of the request with `fingerprint` starts at `runner`,
    /// unless another copy started within `CANARY_DURATION`.
    pub(crate) fn record_start(&mut self, fingerprint: Fingerprint, runner: &str, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CANARY_DURATION;
        if self.starts.len() >= STARTS_CLEANUP_MIN {
            self.starts.retain(|_, (_, at)| is_recent(at));
        }
        let start = self.starts.entry(fingerprint);
        let (first, at) = start.or_insert_with(|| (runner.to_owned(), now));
        if !is_recent(at) {
            (*first, *at) = (runner.to_owned(), now);
        }
    }

    /// Runner at which a copy of the request with `fingerprint` started within
    /// `CANARY_DURATION`.
    pub(crate) fn recent_start_runner(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Option<RunnerId> {
        let (runner, at) = self.starts.get(&fingerprint)?;
        let is_recent = now.saturating_duration_since(*at) < CANARY_DURATION;
        is_recent.then(|| runner.clone())
    }

    /// Removes canary runs that started longer than `max_age` ago.
    pub(crate) fn remove_older_than(&mut self, now: Instant, max_age: Duration) {
        let is_recent = |run: &CanaryRun| now.saturating_duration_since(run.started_at) < max_age;
        self.runs.retain(|_, run| is_recent(run));
    }
}
