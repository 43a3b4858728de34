//! Finds out what crashes upstreams: requests that are sent again and again, and
//! parts of prompts that many requests share.
//!
//! A feature against which three crashes count, and which no later run cleared, is
//! convicted together with what nearly always stood beside it: a request is refused
//! only if it has all features of a conviction. Requests that have some of them are
//! sent, and how they end tells the cause from what merely accompanied it.
//!
//! A conviction that bars other requests takes effect after a delay, in which sound
//! runs may clear it. It ends when a trial succeeds: one request is let through,
//! at longer and longer intervals.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::crash_evidence::{
    Clearance, Crash, CrashEventId, CrashEvidence, Incarnation, SUSPECT_PARTS_MAX, Suspicion,
    events_by_feature,
};
use super::crash_time::Survival;
use super::sound_parts::SoundParts;
use crate::hash::Fnv;
use crate::id::{Fingerprint, Version};

/// Number of crashes that must count against a feature to convict it.
const CONVICTION_CRASHES_MIN: usize = 3;
/// Share of the crashes under a feature, in quarters, which another feature must
/// have accompanied to be convicted together with it.
const ACCOMPANIED_QUARTERS_MIN: usize = 3;
/// Time from the crash that convicts until requests other than those that crashed
/// upstreams are refused.
const CONVICTION_DELAY: Duration = Duration::from_secs(1);
/// Maximum time by which a conviction takes effect later because its crashes took long: sound
/// runs need longer to refute these.
const LATE_CONVICTION_DELAY_MAX: Duration = Duration::from_secs(1);
/// Time from the last crash to the first trial.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(6);
/// Factor by which the time to the next trial grows with each that fails.
const TRIAL_BACKOFF_FACTOR: u32 = 8;
/// Longest time to the next trial.
const TRIAL_DELAY_MAX: Duration = Duration::from_secs(450);
/// Time without a crash after which the next one counts as a failed trial.
const TRIAL_GAP: Duration = Duration::from_secs(4);
/// Time after which a trial that ended in neither way is repeated.
const TRIAL_DURATION_MAX: Duration = Duration::from_secs(15);
/// Maximum number of convictions that are kept in the store.
const STORED_CONVICTIONS_MAX: usize = 16;
/// Maximum number of crashes of one conviction that are kept in the store.
const STORED_CRASHES_MAX: usize = 24;
/// Number of known crashes above which the evidence is evaluated at intervals only.
const EVALUATED_AT_ONCE_MAX: usize = 24;
/// Shortest time between two evaluations of many crashes.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Features that crash upstreams together, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Conviction {
    features: BTreeSet<Fingerprint>,
    effective_at: Instant,
    trial_at: Instant,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Allowed,
    /// The request may be sent by the node that the conviction with this key is
    /// assigned to.
    TrialDue(Fingerprint),
    /// The request itself crashed upstreams.
    CrashesUpstreams(Duration),
    /// The request has what crashed upstreams in others. The duration is the time to
    /// the next trial.
    SharesFeatures(Duration),
}

/// What this node does with a request, by its [`Verdict`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    Send,
    /// The request is sent as the trial of the conviction with this key, which has
    /// begun.
    SendAsTrial(Fingerprint),
    /// Another node sends a request as the trial that is due.
    AwaitTrial,
    /// The request is refused, because it crashed upstreams itself.
    RefuseRequest(Duration),
    /// The request is refused for what it shares with others that crashed upstreams.
    RefuseFeatures(Duration),
}

/// The evidence that one node knows, and its conclusions.
#[derive(Debug, Default)]
pub(crate) struct PoisonDetector {
    evidence: CrashEvidence,
    convictions: Vec<Conviction>,
    /// Number of crashes that count against each feature.
    crash_counts: BTreeMap<Fingerprint, usize>,
    /// Start of this node's last trial of each conviction.
    trials: BTreeMap<Fingerprint, Instant>,
    sound_parts: SoundParts,
    /// Whether the evidence changed since it was evaluated.
    is_outdated: bool,
    evaluated_at: Option<Instant>,
}

impl Conviction {
    /// Identifies the conviction at all nodes.
    fn key(&self) -> Fingerprint {
        let features = self.features.iter();
        features
            .fold(Fnv::new(), |hash, feature| hash.number(*feature))
            .finish()
    }

    fn rests_on(&self, crash: &Crash) -> bool {
        self.features.iter().all(|feature| crash.has(*feature))
    }

    /// The crash with no parts but those that are convicted.
    fn reduce(&self, crash: &Crash) -> Crash {
        let parts = crash.parts.iter().copied();
        Crash {
            parts: parts.filter(|part| self.features.contains(part)).collect(),
            ..crash.clone()
        }
    }

    fn applies_to(&self, features: &[Fingerprint], now: Instant) -> bool {
        now >= self.effective_at && self.features.iter().all(|f| features.contains(f))
    }
}

impl PoisonDetector {
    /// Records a crash. Returns false if it was known. The loss of many upstreams at
    /// once does not displace the crashes on which convictions rest.
    pub(crate) fn record_crash(&mut self, crash: Crash, now: Instant) -> bool {
        let convictions = &self.convictions;
        let is_needed = |known: &Crash| convictions.iter().any(|c| c.rests_on(known));
        let is_new = self.evidence.add_crash(crash, now, is_needed);
        self.is_outdated |= is_new;
        is_new
    }

    /// The version of a crash that this node sees now.
    pub(crate) fn next_version(&self, now_unix_ms: u64) -> Version {
        self.evidence.next_version(now_unix_ms)
    }

    /// Chooses the parts of a prompt against which the crash of its upstream is evidence.
    pub(crate) fn suspect_parts(&self, parts: Vec<Fingerprint>) -> Vec<Fingerprint> {
        let mut suspects = self.sound_parts.rank_suspects(parts);
        suspects.truncate(SUSPECT_PARTS_MAX);
        suspects
    }

    /// Records the parts of a prompt under which an upstream went on.
    pub(crate) fn record_sound_parts(&mut self, parts: &[Fingerprint], now: Instant) {
        self.sound_parts.add(parts, now);
    }

    /// Records that a run with these features went on. Returns the clearances that other nodes
    /// need.
    pub(crate) fn record_survival(
        &mut self,
        features: &[Fingerprint],
        survival: Survival,
        now: Instant,
    ) -> Vec<Clearance> {
        let request = features.first();
        let refutes = |feature| {
            if request == Some(&feature) || self.sound_parts.contains(feature) {
                survival.refutes
            } else {
                survival.refutes_for_unseen_parts
            }
        };
        let refutation = self
            .evidence
            .add_survival(features, survival.began_at, refutes, now);
        self.is_outdated |= refutation.has_cleared;
        refutation.needed_by_peers
    }

    /// Applies a clearance that another node found.
    pub(crate) fn apply_clearance(&mut self, clearance: Clearance, now: Instant) {
        self.is_outdated |= self.evidence.add_clearance(clearance, now);
    }

    /// The last crashes on which the present convictions rest, each with its age. Between them no
    /// crash is left out, since a pause counts as a trial that failed.
    pub(crate) fn convicting_crashes(&mut self, now: Instant) -> Vec<(Crash, Duration)> {
        self.evaluate(now);
        let convictions = self.convictions.iter().take(STORED_CONVICTIONS_MAX);
        let of_conviction = |conviction: &Conviction| {
            let known = self.evidence.crashes(now);
            let resting = known.filter(|(crash, _)| conviction.rests_on(crash));
            let mut crashes: Vec<(Crash, Duration)> = resting
                .map(|(crash, age)| (conviction.reduce(crash), age))
                .collect();
            crashes.split_off(crashes.len().saturating_sub(STORED_CRASHES_MAX))
        };
        convictions.flat_map(of_conviction).collect()
    }

    /// Number of convictions. Without one, no request is refused.
    pub(crate) fn conviction_count(&mut self, now: Instant) -> usize {
        self.evaluate(now);
        self.convictions.len()
    }

    /// Decides about a request with these features, and begins the trial that this
    /// node is assigned to. `is_assigned` tells whether the trial of a conviction,
    /// given by its key, is.
    pub(crate) fn decide(
        &mut self,
        features: impl FnOnce() -> Vec<Fingerprint>,
        is_assigned: impl FnOnce(Fingerprint) -> bool,
        now: Instant,
    ) -> Decision {
        if self.conviction_count(now) == 0 {
            return Decision::Send;
        }
        match self.verdict(&features(), now) {
            Verdict::Allowed => Decision::Send,
            Verdict::TrialDue(key) if is_assigned(key) => {
                self.begin_trial(key, now);
                Decision::SendAsTrial(key)
            }
            Verdict::TrialDue(_) => Decision::AwaitTrial,
            Verdict::CrashesUpstreams(wait) => Decision::RefuseRequest(wait),
            Verdict::SharesFeatures(wait) => Decision::RefuseFeatures(wait),
        }
    }

    /// Whether a request with these features may be sent; the first is the request
    /// as a whole.
    pub(crate) fn verdict(&mut self, features: &[Fingerprint], now: Instant) -> Verdict {
        self.evaluate(now);
        let mut applying = self.convictions.iter();
        let Some(conviction) = applying.find(|c| c.applies_to(features, now)) else {
            return Verdict::Allowed;
        };
        let time_to_trial = conviction.trial_at.saturating_duration_since(now);
        let key = conviction.key();
        let is_under_trial = self
            .trials
            .get(&key)
            .is_some_and(|at| now.saturating_duration_since(*at) < TRIAL_DURATION_MAX);
        if time_to_trial.is_zero() && !is_under_trial {
            return Verdict::TrialDue(key);
        }
        if features
            .first()
            .is_some_and(|f| conviction.features.contains(f))
        {
            Verdict::CrashesUpstreams(time_to_trial)
        } else {
            Verdict::SharesFeatures(time_to_trial)
        }
    }

    /// Records that this node begins a trial of the conviction with this key.
    pub(crate) fn begin_trial(&mut self, key: Fingerprint, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < TRIAL_DURATION_MAX;
        self.trials.retain(|_, at| is_recent(at));
        self.trials.insert(key, now);
    }

    /// Whether one more crash may convict a request with these features.
    pub(crate) fn is_suspect(&mut self, features: &[Fingerprint], now: Instant) -> bool {
        self.evaluate(now);
        let counts = features.iter().filter_map(|f| self.crash_counts.get(f));
        counts.max().copied().unwrap_or(0) + 1 >= CONVICTION_CRASHES_MIN
    }

    /// Whether no crash is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.evidence.crash_count() == 0
    }

    fn evaluate(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_due = self.evidence.crash_count() <= EVALUATED_AT_ONCE_MAX
            || self
                .evaluated_at
                .is_none_or(|at| age(at) >= EVALUATION_INTERVAL);
        if !self.is_outdated || !is_due {
            return;
        }
        let mut suspicions = self.evidence.suspicions();
        self.crash_counts = count_events(&suspicions);
        self.convictions.clear();
        while let Some(conviction) = convict(&suspicions, &self.sound_parts) {
            remove_explained(&mut suspicions, &conviction.features);
            self.convictions.push(conviction);
        }
        self.is_outdated = false;
        self.evaluated_at = Some(now);
    }
}

fn count_events(suspicions: &[Suspicion]) -> BTreeMap<Fingerprint, usize> {
    let by_feature = events_by_feature(suspicions).into_iter();
    by_feature
        .map(|(feature, events)| (feature, events.len()))
        .collect()
}

/// Convicts the feature that explains most crashes, with what accompanied it. Features under
/// which no upstream went on lately come first: a part that many sound prompts have stands in
/// the crashes of most upstreams, and would explain those of the part that causes them.
fn convict(suspicions: &[Suspicion], sound_parts: &SoundParts) -> Option<Conviction> {
    let mut counts = count_events(suspicions);
    counts.retain(|_, count| *count >= CONVICTION_CRASHES_MIN);
    let is_unseen = |feature: &Fingerprint| !sound_parts.contains(*feature);
    let (cause, event_count) = counts
        .into_iter()
        .max_by_key(|(feature, count)| (is_unseen(feature), *count))?;
    let is_under_cause = |s: &&Suspicion| s.features.contains_key(&cause);
    let under_cause: Vec<&Suspicion> = suspicions.iter().filter(is_under_cause).collect();
    let features = accompanying_features(&under_cause, cause, event_count);
    let crash_times = event_times(&under_cause, cause);
    let convicted_at = crash_times[CONVICTION_CRASHES_MIN - 1];
    let bars_only_one_request = under_cause.iter().any(|s| features.contains(&s.request));
    let delay = if bars_only_one_request {
        Duration::ZERO
    } else {
        CONVICTION_DELAY + late_delay(&under_cause)
    };
    Some(Conviction {
        features,
        effective_at: convicted_at + delay,
        trial_at: next_trial(&crash_times),
    })
}

/// How much longer than after immediate crashes sound runs have to refute these.
fn late_delay(under_cause: &[&Suspicion]) -> Duration {
    let longest = under_cause.iter().map(|s| s.time).max();
    longest
        .unwrap_or_default()
        .as_duration()
        .min(LATE_CONVICTION_DELAY_MAX)
}

/// The cause, and the features that stood beside it in most events.
fn accompanying_features(
    under_cause: &[&Suspicion],
    cause: Fingerprint,
    event_count: usize,
) -> BTreeSet<Fingerprint> {
    let mut events: BTreeMap<Fingerprint, BTreeSet<CrashEventId>> = BTreeMap::new();
    for suspicion in under_cause {
        let event = suspicion.features[&cause];
        for feature in suspicion.features.keys() {
            events.entry(*feature).or_default().insert(event);
        }
    }
    events.retain(|_, events| 4 * events.len() >= ACCOMPANIED_QUARTERS_MIN * event_count);
    let features: BTreeSet<Fingerprint> = events.into_keys().collect();
    if under_cause.iter().any(|s| s.has_all(&features)) {
        return features;
    }
    // Each accompanied the cause often, but never all of them together.
    BTreeSet::from([cause])
}

/// When each event under a feature became known, in order.
fn event_times(under_feature: &[&Suspicion], feature: Fingerprint) -> Vec<Instant> {
    let mut by_event: BTreeMap<CrashEventId, Instant> = BTreeMap::new();
    for suspicion in under_feature {
        let first = by_event.entry(suspicion.features[&feature]);
        first.or_insert(suspicion.known_at);
    }
    let mut times: Vec<Instant> = by_event.into_values().collect();
    times.sort();
    times
}

/// Time of the next trial, which is later the more trials have failed.
fn next_trial(crash_times: &[Instant]) -> Instant {
    let gaps = crash_times
        .windows(2)
        .filter(|pair| pair[1] - pair[0] >= TRIAL_GAP);
    let failed_trials = u32::try_from(gaps.count()).unwrap_or(u32::MAX);
    let growth = TRIAL_BACKOFF_FACTOR.saturating_pow(failed_trials);
    let delay = FIRST_TRIAL_DELAY
        .saturating_mul(growth)
        .min(TRIAL_DELAY_MAX);
    crash_times[crash_times.len() - 1] + delay
}

/// Removes the crashes of all upstreams at which a call had all these features.
fn remove_explained(suspicions: &mut Vec<Suspicion>, features: &BTreeSet<Fingerprint>) {
    let explained = suspicions.iter().filter(|s| s.has_all(features));
    let explained: BTreeSet<Incarnation> = explained.map(|s| s.upstream.clone()).collect();
    suspicions.retain(|s| !explained.contains(&s.upstream));
}
