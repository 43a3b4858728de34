//! The crashes of upstreams, and what the calls that ran there have in common.
//!
//! What may crash an upstream is called a feature of a call here: the request as a
//! whole, or a part of its prompt. An upstream's crash is evidence against the
//! features of the calls at which it was writing; if it was writing none, against
//! those of all calls that it had. A run that began later and went on for longer than a
//! crash took is evidence for its features: it clears them of the crashes known before.
//!
//! Crashes and clearances arrive in any order, and again. Nodes that know the same
//! ones come to the same conclusions. `docs/CRASHES.md` weighs the alternatives.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use super::crash_time::CrashTime;
use crate::id::{Fingerprint, UpstreamId, Version};

/// Lifetime of a crash, and of a clearance, as evidence.
pub(crate) const EVIDENCE_TTL: Duration = Duration::from_secs(1_800);
/// Maximum number of crashes that are kept.
const CRASHES_MAX: usize = 256;
/// Maximum number of clearances that are kept.
const CLEARANCES_MAX: usize = 4_096;
/// Maximum number of parts of one prompt against which a crash is evidence. An announcement of
/// them fits into a datagram.
pub(crate) const SUSPECT_PARTS_MAX: usize = 64;
/// Crashes that become known within this time of each other may have one cause.
const SIMULTANEOUS: Duration = Duration::from_millis(300);
/// Late crashes under one feature that become known within this time of the first of them count
/// as one event, since long streams run wherever a data centre is lost.
const LATE_EVENT_DURATION: Duration = Duration::from_millis(500);

/// One start of an upstream. Upstreams may come back under the ids that they had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Incarnation {
    pub(crate) id: UpstreamId,
    /// Unix milliseconds of the start; zero if unknown.
    pub(crate) born_unix_ms: u64,
}

/// The crash of an upstream, as seen by one call that ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) upstream: Incarnation,
    /// The request as a whole.
    pub(crate) request: Fingerprint,
    /// The most suspicious of the parts of the prompt that other prompts may share.
    pub(crate) parts: Vec<Fingerprint>,
    /// Whether the upstream had begun to write its answer.
    pub(crate) was_writing: bool,
    /// How long it had written the answer.
    pub(crate) time: CrashTime,
    /// Unix milliseconds at the node that saw the crash, or later: see
    /// [`CrashEvidence::next_version`].
    pub(crate) version: Version,
}

/// A crash as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredCrash {
    pub(crate) crash: Crash,
    /// When it became known to the node that wrote it.
    pub(crate) known_unix_ms: u64,
}

/// States that a feature did not cause the crashes up to a version, as far as these came no
/// later in their answers than `longest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Clearance {
    pub(crate) feature: Fingerprint,
    pub(crate) up_to: Version,
    pub(crate) longest: CrashTime,
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
    pub(crate) upstream: Incarnation,
    pub(crate) request: Fingerprint,
    /// The features, each with the event as which the crash counts against it.
    pub(crate) features: BTreeMap<Fingerprint, CrashEventId>,
    pub(crate) time: CrashTime,
    pub(crate) known_at: Instant,
}

/// All crashes and clearances that one node knows.
#[derive(Debug, Default)]
pub(crate) struct CrashEvidence {
    /// Crashes in the order in which they became known.
    crashes: VecDeque<KnownCrash>,
    /// By feature and the longest crash time that is cleared.
    clearances: BTreeMap<(Fingerprint, CrashTime), (Version, Instant)>,
}

impl Crash {
    pub(crate) fn has(&self, feature: Fingerprint) -> bool {
        self.request == feature || self.parts.contains(&feature)
    }

    /// Whether the upstream had just begun to write the answer.
    fn is_at_beginning(&self) -> bool {
        self.was_writing && !self.time.is_late()
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
        mut crash: Crash,
        now: Instant,
        is_needed: impl Fn(&Crash) -> bool,
    ) -> bool {
        self.remove_expired(now);
        self.complete_start(&mut crash.upstream);
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

    /// The version of a crash that this node sees now. It is above all that are known, so that
    /// what was cleared before does not clear it, whatever the clocks of nodes say.
    pub(crate) fn next_version(&self, now_unix_ms: u64) -> Version {
        let crashes = self.crashes.iter().map(|known| known.crash.version);
        let clearances = self.clearances.values().map(|(up_to, _)| *up_to);
        let highest = crashes.chain(clearances).max().unwrap_or(0);
        now_unix_ms.max(highest.saturating_add(1))
    }

    /// Takes the start of an upstream whose start is unknown, as records of earlier builds leave
    /// it, from another crash under its id, so that one crash does not count as two.
    fn complete_start(&mut self, upstream: &mut Incarnation) {
        let known = self
            .crashes
            .iter_mut()
            .map(|known| &mut known.crash.upstream);
        let mut of_id = known.filter(|other| other.id == upstream.id).rev();
        if upstream.born_unix_ms == 0 {
            upstream.born_unix_ms = of_id.next().map_or(0, |other| other.born_unix_ms);
            return;
        }
        of_id
            .filter(|other| other.born_unix_ms == 0)
            .for_each(|other| other.born_unix_ms = upstream.born_unix_ms);
    }

    /// Clears a feature of the crashes up to a version. Returns false if it was
    /// cleared of them before.
    pub(crate) fn add_clearance(&mut self, clearance: Clearance, now: Instant) -> bool {
        let Clearance {
            feature,
            up_to,
            longest,
        } = clearance;
        if self.cleared_up_to(feature, longest) >= up_to {
            return false;
        }
        self.clearances.insert((feature, longest), (up_to, now));
        if self.clearances.len() > CLEARANCES_MAX {
            self.remove_oldest_clearance();
        }
        true
    }

    /// Clears the features of a run that began at `began_at` and went on. `refutes` is the longest
    /// crash time that it refutes for a feature.
    pub(crate) fn add_survival(
        &mut self,
        features: &[Fingerprint],
        began_at: Instant,
        refutes: impl Fn(Fingerprint) -> CrashTime,
        now: Instant,
    ) -> Refutation {
        let mut refutation = Refutation::default();
        for feature in self.suspected_of(features) {
            let longest_refuted = refutes(feature);
            let is_refuted = |known: &&KnownCrash| {
                known.known_at < began_at && known.crash.time <= longest_refuted
            };
            let under_feature = self.crashes.iter().filter(|k| k.crash.has(feature));
            let refuted = under_feature.clone().filter(is_refuted);
            let Some(up_to) = refuted.clone().map(|known| known.crash.version).max() else {
                continue;
            };
            let longest = refuted.map(|known| known.crash.time).max();
            let upstreams: BTreeSet<&Incarnation> =
                under_feature.map(|k| &k.crash.upstream).collect();
            let is_shared = upstreams.len() > 1;
            let clearance = Clearance {
                feature,
                up_to,
                longest: longest.unwrap_or_default(),
            };
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
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.clearances.remove(&key);
        }
    }

    /// The known crashes with their ages, in the order in which they became known.
    pub(crate) fn crashes(&self, now: Instant) -> impl Iterator<Item = (&Crash, Duration)> {
        let age = move |at: Instant| now.saturating_duration_since(at);
        self.crashes
            .iter()
            .map(move |k| (&k.crash, age(k.known_at)))
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

    /// The crashes with the features that were not cleared of them. A call that waited is no
    /// suspect at an upstream that had just begun to write an answer to another one. One whose
    /// answer was under way is, since either may have crashed the upstream.
    fn uncleared(&self) -> Vec<Suspicion> {
        let beginning = self.crashes.iter().filter(|k| k.crash.is_at_beginning());
        let beginning: BTreeSet<&Incarnation> = beginning.map(|k| &k.crash.upstream).collect();
        let is_suspect = |crash: &Crash| crash.was_writing || !beginning.contains(&crash.upstream);
        let suspects = self.crashes.iter().filter(|k| is_suspect(&k.crash));
        let suspicions = suspects.map(|KnownCrash { crash, known_at }| {
            let features = crash.parts.iter().chain([&crash.request]);
            let uncleared =
                features.filter(|f| self.cleared_up_to(**f, crash.time) < crash.version);
            Suspicion {
                upstream: crash.upstream.clone(),
                request: crash.request,
                features: uncleared.map(|feature| (*feature, 0)).collect(),
                time: crash.time,
                known_at: *known_at,
            }
        });
        suspicions.collect()
    }

    /// The version up to which a feature is cleared of crashes with this crash time.
    fn cleared_up_to(&self, feature: Fingerprint, time: CrashTime) -> Version {
        let clearances = self
            .clearances
            .range((feature, time)..=(feature, CrashTime::MAX));
        clearances.map(|(_, (up_to, _))| *up_to).max().unwrap_or(0)
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EVIDENCE_TTL;
        self.crashes.retain(|known| is_recent(known.known_at));
        self.clearances.retain(|_, (_, at)| is_recent(*at));
    }
}

/// Removes features under which one upstream crashed.
fn keep_shared_features(suspicions: &mut [Suspicion]) {
    let mut by_feature: BTreeMap<Fingerprint, BTreeSet<&Incarnation>> = BTreeMap::new();
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
/// centre, and those under the feature count as one event together. Late crashes that come
/// together always do.
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
        let upstreams: BTreeSet<&Incarnation> = counted.map(|other| &other.upstream).collect();
        upstreams.len()
    };
    let near_count = count(&|_| true);
    let of_upstream = all
        .iter()
        .position(|other| other.upstream == suspicion.upstream);
    let event = |feature: &Fingerprint| {
        if suspicion.time.is_late() {
            return late_event(all, at, *feature);
        }
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

/// The event as which a late crash counts against a feature.
fn late_event(all: &[Suspicion], at: usize, feature: Fingerprint) -> Option<CrashEventId> {
    let is_under_feature =
        |other: &Suspicion| other.time.is_late() && other.features.contains_key(&feature);
    let mut event: Option<CrashEventId> = None;
    for (place, other) in all.iter().enumerate().take(at + 1) {
        if !is_under_feature(other) {
            continue;
        }
        let is_same = event.is_some_and(|first| {
            other
                .known_at
                .saturating_duration_since(all[first].known_at)
                <= LATE_EVENT_DURATION
        });
        if !is_same {
            event = Some(place);
        }
    }
    event
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
