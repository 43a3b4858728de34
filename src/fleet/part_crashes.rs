//! Refuses prompts that share a part with prompts under which runners crashed.
//!
//! The parts of a prompt are its lines. A whole request that comes again is the
//! matter of [`super::poison`]; `docs/CRASHES.md` tells how the two work together.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::poison::RunnerIncarnation;
use crate::clock::unix_ms;
use crate::hash::{Fnv, rendezvous_order};
use crate::id::Fingerprint;
use crate::membership::announcement::Announcement;
use crate::membership::crash_announcement::{from_clearance, from_crash, to_clearance, to_crash};
use crate::membership::gossip::Membership;
use crate::policy::crash_evidence::{Crash, Incarnation};
use crate::policy::crash_time::{CrashTime, SURVIVAL_TIME, Survival};
use crate::policy::poison_detector::{Decision, PoisonDetector};

/// Length below which a line of a prompt is no part: it says too little.
const PART_BYTES_MIN: usize = 16;
/// A line break within a quoted JSON string.
const LINE_BREAK: &[u8] = b"\\n";
/// Time after which a request may return whose part another node tries out.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// A request as far as its parts are concerned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptParts<'a> {
    pub(crate) request: Fingerprint,
    /// The prompt as quoted JSON.
    pub(crate) prompt: &'a [u8],
}

/// How far a runner had got with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// It had sent nothing.
    Waiting,
    /// It had just begun to write the answer.
    Beginning,
    /// It had written for so long that the request does not crash it.
    Surviving,
}

impl RunPhase {
    /// The phase of a run that has sent tokens since `began_at`.
    pub(crate) fn since(began_at: Option<Instant>) -> Self {
        match began_at {
            None => Self::Waiting,
            Some(at) if at.elapsed() < SURVIVAL_TIME => Self::Beginning,
            Some(_) => Self::Surviving,
        }
    }
}

/// The crashes of runners, by the parts of the prompts that they ran.
#[derive(Debug)]
pub(crate) struct PartCrashes {
    detector: Mutex<PoisonDetector>,
    membership: Membership,
}

impl PromptParts<'_> {
    /// The lines of the prompt that are long enough, in their order.
    fn hashes(&self) -> Vec<Fingerprint> {
        let lines = split_lines(self.prompt).into_iter();
        let parts = lines.filter(|line| line.len() >= PART_BYTES_MIN);
        parts.map(|line| Fnv::new().bytes(line).finish()).collect()
    }

    fn features(&self) -> Vec<Fingerprint> {
        let mut features = vec![self.request];
        features.extend(self.hashes());
        features
    }
}

impl PartCrashes {
    /// Creates a record without crashes.
    pub(crate) fn new(membership: Membership) -> Self {
        Self {
            detector: Mutex::default(),
            membership,
        }
    }

    /// Records that a runner crashed while it ran a request.
    pub(crate) fn record_crash(
        &self,
        parts: PromptParts<'_>,
        (runner, incarnation): &RunnerIncarnation,
        phase: RunPhase,
    ) {
        if phase == RunPhase::Surviving {
            return;
        }
        let mut detector = self.lock();
        let crash = Crash {
            upstream: Incarnation {
                id: format!("{runner}@{incarnation}"),
                born_unix_ms: 0,
            },
            request: parts.request,
            parts: detector.suspect_parts(parts.hashes()),
            was_writing: phase == RunPhase::Beginning,
            time: CrashTime::IMMEDIATE,
            version: detector.next_version(unix_ms()),
        };
        let is_new = detector.record_crash(crash.clone(), Instant::now());
        drop(detector);
        if is_new {
            self.membership.announce(from_crash(&crash));
        }
    }

    /// Records that a runner began to write an answer at `began_at` and went on.
    pub(crate) fn record_survival(&self, parts: PromptParts<'_>, began_at: Instant) {
        let mut detector = self.lock();
        detector.record_sound_parts(&parts.hashes(), Instant::now());
        if detector.is_empty() {
            return;
        }
        let survival = Survival {
            began_at,
            refutes: CrashTime::IMMEDIATE,
            refutes_for_unseen_parts: CrashTime::IMMEDIATE,
        };
        let cleared = detector.record_survival(&parts.features(), survival, Instant::now());
        drop(detector);
        for clearance in cleared {
            self.membership.announce(from_clearance(clearance));
        }
    }

    /// Applies a peer's announcement of a crash or a clearance.
    pub(crate) fn apply_announcement(&self, announcement: &Announcement) {
        let now = Instant::now();
        if let Some(crash) = to_crash(announcement) {
            self.lock().record_crash(crash, now);
        } else if let Some(clearance) = to_clearance(announcement) {
            self.lock().apply_clearance(clearance, now);
        }
    }

    /// Checks whether a request may run. Otherwise returns the time after which it
    /// may come again.
    pub(crate) fn check_allowed(&self, parts: PromptParts<'_>) -> Result<(), Duration> {
        let is_assigned = |key| self.is_assigned(key);
        let features = || parts.features();
        match self.lock().decide(features, is_assigned, Instant::now()) {
            // Whole requests are judged by `SuspectRequests`.
            Decision::Send | Decision::SendAsTrial(_) | Decision::RefuseRequest(_) => Ok(()),
            Decision::RefuseFeatures(wait) => Err(wait),
            Decision::AwaitTrial => Err(TRIAL_TIME),
        }
    }

    /// Whether the trial of the conviction with this key is assigned to this node.
    fn is_assigned(&self, key: Fingerprint) -> bool {
        let alive = self.membership.alive();
        let order = rendezvous_order(key, alive.iter().map(|member| member.node.as_str()));
        order
            .first()
            .is_none_or(|first| *first == self.membership.me().node)
    }

    fn lock(&self) -> MutexGuard<'_, PoisonDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn split_lines(prompt: &[u8]) -> Vec<&[u8]> {
    let mut lines = Vec::new();
    let mut rest = prompt;
    while let Some(at) = rest.windows(LINE_BREAK.len()).position(|w| w == LINE_BREAK) {
        lines.push(&rest[..at]);
        rest = &rest[at + LINE_BREAK.len()..];
    }
    lines.push(rest);
    lines
}
