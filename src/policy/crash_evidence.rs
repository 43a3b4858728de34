//! The crashes of upstreams, and what the calls that ran there have in common.
//!
//! What may crash an upstream is called a feature of a call here: the request as a
//! whole, or a part of its prompt. An upstream's crash is evidence against the
//! features of the calls at which it was writing; if it was writing none, against
//! those of all calls that it had. A run that began later and went on is evidence
//! for its features: it clears them of the crashes known before.
//!
//! Crashes and clearances arrive in any order, and again. Nodes that know the same
//! ones come to the same conclusions. `docs/CRASHES.md` weighs the alternatives.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::id::{Fingerprint, UpstreamId, Version};

/// Lifetime of a crash, and of a clearance, as evidence.
pub(crate) const EVIDENCE_TTL: Duration = Duration::from_secs(1_800);
/// Time for which an upstream must go on with an answer to show that the call does
/// not crash it.
pub(crate) const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// Maximum number of crashes that are kept.
const CRASHES_MAX: usize = 256;
/// Maximum number of clearances that are kept.
const CLEARANCES_MAX: usize = 4_096;
/// Maximum number of parts of one prompt against which a crash is evidence. An announcement of
/// them fits into a datagram.
pub(crate) const SUSPECT_PARTS_MAX: usize = 64;
/// Crashes that become known within this time of each other may have one cause.
const SIMULTANEOUS: Duration = Duration::from_millis(300);

/// The crash of an upstream, as seen by one call that ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) upstream: UpstreamId,
    /// The request as a whole.
    pub(crate) request: Fingerprint,
    /// The most suspicious of the parts of the prompt that other prompts may share.
    pub(crate) parts: Vec<Fingerprint>,
    /// Whether the upstream had begun to write its answer.
    pub(crate) was_writing: bool,
    /// Unix milliseconds at the node that saw the crash.
    pub(crate) version: Version,
}

/// States that a feature did not cause the crashes up to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Clearance {
    pub(crate) feature: Fingerprint,
    pub(crate) up_to: Version,
}

/// What a sound run refuted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Refutation {
    /// Whether a feature was cleared that was not before.
    pub(crate) has_cleared: bool,
    /// The clearances that other nodes need: those of features under which several
    /// upstreams crashed.
    pub(crate) needed_by_peers: Vec<Clearance>,
}

#[derive(Debug)]
struct KnownCrash {
    crash: Crash,
    known_at: Instant,
}

/// Crashes that may have one cause, and count once. Identified by the place of the
/// first of them among the suspicions.
pub(crate) type CrashEventId = usize;

/// A crash with the features that may have caused it.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) upstream: UpstreamId,
    pub(crate) request: Fingerprint,
    /// The features, each with the event as which the crash counts against it.
    pub(crate) features: BTreeMap<Fingerprint, CrashEventId>,
    pub(crate) known_at: Instant,
}

/// All crashes and clearances that one node knows.
#[derive(Debug, Default)]
pub(crate) struct CrashEvidence {
    /// Crashes in the order in which they became known.
    crashes: VecDeque<KnownCrash>,
    clearances: BTreeMap<Fingerprint, (Version, Instant)>,
}

impl Crash {
    pub(crate) fn has(&self, feature: Fingerprint) -> bool {
        self.request == feature || self.parts.contains(&feature)
    }
}

impl Suspicion {
    /// Whether all these features may have caused the crash.
    pub(crate) fn has_all(&self, features: &BTreeSet<Fingerprint>) -> bool {
        features.iter().all(|f| self.features.contains_key(f))
    }
}

impl CrashEvidence {
    /// Adds a crash. Returns false if it was known. If too many are known, the oldest
    /// one that is not needed is dropped.
    pub(crate) fn add_crash(
        &mut self,
        crash: Crash,
        now: Instant,
        is_needed: impl Fn(&Crash) -> bool,
    ) -> bool {
        self.remove_expired(now);
        let is_same =
            |known: &Crash| known.upstream == crash.upstream && known.request == crash.request;
        if self.crashes.iter().any(|known| is_same(&known.crash)) {
            return false;
        }
        if self.crashes.len() >= CRASHES_MAX {
            let unneeded = self.crashes.iter().position(|k| !is_needed(&k.crash));
            self.crashes.remove(unneeded.unwrap_or(0));
        }
        self.crashes.push_back(KnownCrash {
            crash,
            known_at: now,
        });
        true
    }

    /// Clears a feature of the crashes up to a version. Returns false if it was
    /// cleared of them before.
    pub(crate) fn add_clearance(&mut self, clearance: Clearance, now: Instant) -> bool {
        let Clearance { feature, up_to } = clearance;
        if self.cleared_up_to(feature) >= up_to {
            return false;
        }
        self.clearances.insert(feature, (up_to, now));
        if self.clearances.len() > CLEARANCES_MAX {
            self.remove_oldest_clearance();
        }
        true
    }

    /// Clears the features of a run that began to write its answer at `began_at` and
    /// went on.
    pub(crate) fn add_survival(
        &mut self,
        features: &[Fingerprint],
        began_at: Instant,
        now: Instant,
    ) -> Refutation {
        let mut refutation = Refutation::default();
        for feature in self.suspected_of(features) {
            let under_feature = self.crashes.iter().filter(|k| k.crash.has(feature));
            let known_before = under_feature.clone().filter(|k| k.known_at < began_at);
            let Some(up_to) = known_before.map(|known| known.crash.version).max() else {
                continue;
            };
            let upstreams: BTreeSet<&str> =
                under_feature.map(|k| k.crash.upstream.as_str()).collect();
            let is_shared = upstreams.len() > 1;
            let clearance = Clearance { feature, up_to };
            if self.add_clearance(clearance, now) {
                refutation.has_cleared = true;
                refutation
                    .needed_by_peers
                    .extend(is_shared.then_some(clearance));
            }
        }
        refutation
    }

    /// Those of the features under which an upstream crashed.
    fn suspected_of(&self, features: &[Fingerprint]) -> BTreeSet<Fingerprint> {
        let features: BTreeSet<Fingerprint> = features.iter().copied().collect();
        let crashes = self.crashes.iter().map(|known| &known.crash);
        let suspected = crashes.flat_map(|crash| crash.parts.iter().chain([&crash.request]));
        suspected
            .copied()
            .filter(|feature| features.contains(feature))
            .collect()
    }

    fn remove_oldest_clearance(&mut self) {
        let oldest = self.clearances.iter().min_by_key(|(_, (_, at))| *at);
        if let Some(feature) = oldest.map(|(feature, _)| *feature) {
            self.clearances.remove(&feature);
        }
    }

    pub(crate) fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// The crashes with the features that may have caused them, as far as more than
    /// one upstream crashed under these.
    pub(crate) fn suspicions(&self) -> Vec<Suspicion> {
        let mut suspicions = self.uncleared();
        keep_shared_features(&mut suspicions);
        let events: Vec<BTreeMap<Fingerprint, CrashEventId>> = (0..suspicions.len())
            .map(|at| events(&suspicions, at))
            .collect();
        for (suspicion, events) in suspicions.iter_mut().zip(events) {
            suspicion.features = events;
        }
        suspicions.retain(|suspicion| !suspicion.features.is_empty());
        suspicions
    }

    /// The crashes with the features that were not cleared of them. A call that waited
    /// is no suspect at an upstream that was writing an answer to another one.
    fn uncleared(&self) -> Vec<Suspicion> {
        let writing = self.crashes.iter().filter(|k| k.crash.was_writing);
        let writing: BTreeSet<&str> = writing.map(|k| k.crash.upstream.as_str()).collect();
        let is_suspect =
            |crash: &Crash| crash.was_writing || !writing.contains(crash.upstream.as_str());
        let suspects = self.crashes.iter().filter(|k| is_suspect(&k.crash));
        let suspicions = suspects.map(|KnownCrash { crash, known_at }| {
            let features = crash.parts.iter().chain([&crash.request]);
            let uncleared = features.filter(|f| self.cleared_up_to(**f) < crash.version);
            Suspicion {
                upstream: crash.upstream.clone(),
                request: crash.request,
                features: uncleared.map(|feature| (*feature, 0)).collect(),
                known_at: *known_at,
            }
        });
        suspicions.collect()
    }

    fn cleared_up_to(&self, feature: Fingerprint) -> Version {
        self.clearances.get(&feature).map_or(0, |(up_to, _)| *up_to)
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EVIDENCE_TTL;
        self.crashes.retain(|known| is_recent(known.known_at));
        self.clearances.retain(|_, (_, at)| is_recent(*at));
    }
}

/// Removes features under which one upstream crashed.
fn keep_shared_features(suspicions: &mut [Suspicion]) {
    let mut by_feature: BTreeMap<Fingerprint, BTreeSet<&UpstreamId>> = BTreeMap::new();
    for suspicion in suspicions.iter() {
        for feature in suspicion.features.keys() {
            let upstreams = by_feature.entry(*feature).or_default();
            upstreams.insert(&suspicion.upstream);
        }
    }
    by_feature.retain(|_, upstreams| upstreams.len() > 1);
    let shared: BTreeSet<Fingerprint> = by_feature.into_keys().collect();
    for suspicion in suspicions {
        suspicion
            .features
            .retain(|feature, _| shared.contains(feature));
    }
}

/// The features of one crash, each with the event as which the crash counts. Usually
/// that is the crash of its upstream. If most of the crashes at about the same time
/// are not under the feature, they have another cause, such as the loss of a data
/// centre, and those under the feature count as one event together.
fn events(all: &[Suspicion], at: usize) -> BTreeMap<Fingerprint, CrashEventId> {
    let suspicion = &all[at];
    if suspicion.features.is_empty() {
        return BTreeMap::new();
    }
    let is_near = |other: &Suspicion| {
        let (earlier, later) = (other.known_at, suspicion.known_at);
        earlier.max(later) - earlier.min(later) <= SIMULTANEOUS
    };
    let near: Vec<&Suspicion> = all.iter().filter(|other| is_near(other)).collect();
    let count = |is_counted: &dyn Fn(&Suspicion) -> bool| {
        let counted = near.iter().filter(|other| is_counted(other));
        let upstreams: BTreeSet<&UpstreamId> = counted.map(|other| &other.upstream).collect();
        upstreams.len()
    };
    let near_count = count(&|_| true);
    let of_upstream = all
        .iter()
        .position(|other| other.upstream == suspicion.upstream);
    let event = |feature: &Fingerprint| {
        let has_feature = |other: &Suspicion| other.features.contains_key(feature);
        if 2 * count(&has_feature) >= near_count {
            return of_upstream;
        }
        all.iter()
            .position(|other| has_feature(other) && is_near(other))
    };
    let features = suspicion.features.keys();
    features
        .map(|feature| (*feature, event(feature).unwrap_or(at)))
        .collect()
}

/// Events under each feature.
pub(crate) fn events_by_feature(
    suspicions: &[Suspicion],
) -> BTreeMap<Fingerprint, BTreeSet<CrashEventId>> {
    let mut events: BTreeMap<Fingerprint, BTreeSet<CrashEventId>> = BTreeMap::new();
    for suspicion in suspicions {
        for (feature, event) in &suspicion.features {
            events.entry(*feature).or_default().insert(*event);
        }
    }
    events
}
