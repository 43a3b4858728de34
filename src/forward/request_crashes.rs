//! Refuses requests that crash the upstreams which begin to run them, or that share
//! a part of their prompts with such requests.
//!
//! This node reports to its peers which upstreams crashed under its calls, and which
//! suspicions its sound runs refute; `policy::poison_detector` draws the conclusions.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::task::{AbortHandle, JoinHandle};

use super::forwarder::{Forwarder, NodeContext};
use super::observation::{Observation, Observations};
use super::request::Call;
use super::upstream::Upstream;
use crate::clock::unix_ms;
use crate::id::Fingerprint;
use crate::policy::crash_evidence::{Clearance, Crash, EVIDENCE_TTL, Incarnation, StoredCrash};
use crate::policy::crash_time::{CrashTime, SURVIVAL_TIME, Survival};
use crate::policy::failure_response::GiveUpReason;
use crate::policy::poison_detector::{Decision, PoisonDetector};

/// Time after a crash until the upstream's port refuses connections.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(20);
/// Time for which a node waits for a later start of an upstream that it lost.
const LATER_START_WAIT_MAX: Duration = Duration::from_secs(10);
/// Interval at which it looks for that start.
const LATER_START_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    Allowed,
    /// The call may be sent once, to find out whether its kind still crashes
    /// upstreams.
    Trial,
    /// The call is refused for a reason, and may return after this time.
    Refused(GiveUpReason, Duration),
}

/// How far an upstream had got with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerPhase {
    /// It had sent nothing.
    Waiting,
    /// It had written the answer for this time, which is zero before the first event.
    Writing(Duration),
}

/// A call under which an upstream may have crashed, as far as the evidence needs it. It holds
/// neither the call's body nor its place among the calls in flight.
#[derive(Clone, Debug)]
struct SuspectCall {
    call_id: String,
    request: Fingerprint,
    shared_parts: Vec<Fingerprint>,
    parts_for_log: String,
    upstream: Arc<Upstream>,
    phase: AnswerPhase,
}

/// The crashes of upstreams under the calls of this node and of its peers.
#[derive(Debug)]
pub(crate) struct RequestCrashes {
    detector: Mutex<PoisonDetector>,
    observations: Observations,
}

impl SuspectCall {
    fn new(call: &Call, upstream: &Arc<Upstream>, phase: AnswerPhase) -> Self {
        Self {
            call_id: call.id().to_owned(),
            request: call.fingerprint(),
            shared_parts: call.shared_parts(),
            parts_for_log: call.shared_parts_for_log(),
            upstream: upstream.clone(),
            phase,
        }
    }

    fn features(&self) -> Vec<Fingerprint> {
        [&[self.request], self.shared_parts.as_slice()].concat()
    }
}

impl RequestCrashes {
    /// Creates a record without crashes, which publishes what this node sees to
    /// `observations`.
    pub(crate) fn new(observations: Observations) -> Self {
        Self {
            detector: Mutex::default(),
            observations,
        }
    }

    /// Whether the call may be sent. `is_assigned` tells whether the trial of a
    /// conviction, given by its key, is assigned to this node.
    pub(crate) fn permission(
        &self,
        call: &Call,
        is_assigned: impl FnOnce(u64) -> bool,
    ) -> Permission {
        let features = || call.features();
        let decision = self.lock().decide(features, is_assigned, Instant::now());
        match decision {
            Decision::Send => Permission::Allowed,
            Decision::SendAsTrial(key) => {
                log::info!("event=trial_begun call={} conviction={key:016x}", call.id());
                Permission::Trial
            }
            Decision::AwaitTrial => {
                Permission::Refused(GiveUpReason::SharesCrashingPart, SURVIVAL_TIME)
            }
            Decision::RefuseFeatures(wait) => {
                Permission::Refused(GiveUpReason::SharesCrashingPart, wait)
            }
            Decision::RefuseRequest(wait) => {
                Permission::Refused(GiveUpReason::CrashesUpstreams, wait)
            }
        }
    }

    /// Records that an upstream wrote the call's whole answer from `began_at` on.
    pub(crate) fn record_whole_answer(&self, call: &Call, began_at: Instant) {
        let now = Instant::now();
        self.lock().record_sound_parts(&call.shared_parts(), now);
        self.record_survival(call, Survival::of_whole_answer(began_at, now));
    }

    /// Records that an upstream wrote the rest of the call's resumed answer from `began_at` on.
    /// The parts of the prompt don't count as sound: other upstreams may have crashed under them.
    pub(crate) fn record_rest(&self, call: &Call, began_at: Instant) {
        self.record_survival(call, Survival::of_rest(began_at, Instant::now()));
    }

    /// Records that an upstream goes on with the call's answer.
    pub(crate) fn record_survival(&self, call: &Call, survival: Survival) {
        let mut detector = self.lock();
        if detector.is_empty() {
            return;
        }
        let cleared = detector.record_survival(&call.features(), survival, Instant::now());
        drop(detector);
        for clearance in cleared {
            log::info!(
                "event=suspicion_cleared call={} feature={:016x} up_to={} longest_ms={} ran_ms={}",
                call.id(),
                clearance.feature,
                clearance.up_to,
                clearance.longest.as_ms(),
                survival.began_at.elapsed().as_millis()
            );
            self.observations.publish(Observation::Cleared(clearance));
        }
    }

    /// Applies a crash that a peer saw.
    pub(crate) fn apply_crash(&self, crash: Crash) {
        self.lock().record_crash(crash, Instant::now());
    }

    /// Applies a crash from the store that became known so long ago.
    pub(crate) fn apply_stored_crash(&self, crash: Crash, age: Duration) {
        let now = Instant::now();
        if age < EVIDENCE_TTL {
            let known_at = now.checked_sub(age).unwrap_or(now);
            self.lock().record_crash(crash, known_at);
        }
    }

    /// The crashes on which the present convictions rest.
    pub(crate) fn convicting_crashes(&self) -> Vec<StoredCrash> {
        let mut detector = self.lock();
        if detector.is_empty() {
            return Vec::new();
        }
        let crashes = detector.convicting_crashes(Instant::now()).into_iter();
        let now_unix_ms = unix_ms();
        let stored = crashes.map(|(crash, age)| StoredCrash {
            crash,
            known_unix_ms: now_unix_ms.saturating_sub(age.as_millis() as u64),
        });
        stored.collect()
    }

    /// Applies a clearance that a peer found.
    pub(crate) fn apply_clearance(&self, clearance: Clearance) {
        self.lock().apply_clearance(clearance, Instant::now());
    }

    /// Whether one more crash may convict the call.
    pub(crate) fn is_suspect(&self, call: &Call) -> bool {
        let mut detector = self.lock();
        !detector.is_empty() && detector.is_suspect(&call.features(), Instant::now())
    }

    /// Records that the upstream crashed under the call. `proof` names what showed it, for the
    /// log.
    fn record_crash(&self, suspect: &SuspectCall, proof: &str) {
        let upstream = &suspect.upstream;
        let (was_writing, written) = match suspect.phase {
            AnswerPhase::Waiting => (false, Duration::ZERO),
            AnswerPhase::Writing(written) => (true, written),
        };
        let now = Instant::now();
        let mut detector = self.lock();
        let crash = Crash {
            upstream: Incarnation {
                id: upstream.entry.id.clone(),
                born_unix_ms: upstream.entry.born_unix_ms,
            },
            request: suspect.request,
            parts: detector.suspect_parts(suspect.shared_parts.clone()),
            was_writing,
            time: CrashTime::of(written),
            version: detector.next_version(unix_ms()),
        };
        let is_new = detector.record_crash(crash.clone(), now);
        let verdict = detector.verdict(&suspect.features(), now);
        let conviction_count = detector.conviction_count(now);
        drop(detector);
        log::warn!(
            "event=crash_suspected call={} request={:016x} parts={} upstream={} born={} version={} writing={was_writing} wrote_ms={} proof={proof} verdict={verdict:?} convictions={conviction_count}",
            suspect.call_id,
            crash.request,
            suspect.parts_for_log,
            crash.upstream.id,
            crash.upstream.born_unix_ms,
            crash.version,
            written.as_millis()
        );
        if is_new {
            self.observations.publish(Observation::Crash(crash));
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoisonDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Whether the call may be sent, as far as is known of what crashes upstreams.
    pub(crate) fn permission(&self, call: &Call) -> Permission {
        let is_assigned = |key| self.node.is_assigned(key);
        self.request_crashes.permission(call, is_assigned)
    }

    /// Connects to the upstream again, after it broke off, to check whether it has
    /// crashed. If it cannot be reached, but another one can, counts the crash
    /// against the call. Otherwise the paths of this node may have been lost, or the upstream
    /// is back already, and the crash counts once a later start of it is known.
    /// `phase` tells how far it had got with the answer.
    pub(crate) fn check_for_crash(
        self: &Arc<Self>,
        call: &Call,
        upstream: &Arc<Upstream>,
        phase: AnswerPhase,
    ) -> JoinHandle<()> {
        let forwarder = self.clone();
        let suspect = SuspectCall::new(call, upstream, phase);
        tokio::spawn(async move {
            tokio::time::sleep(PORT_CLOSE_DELAY).await;
            let is_reached = suspect.upstream.pool.keeps_connection().await;
            if !is_reached && forwarder.reaches_another(&suspect.upstream).await {
                forwarder
                    .request_crashes
                    .record_crash(&suspect, "unreachable");
            } else {
                tokio::spawn(forwarder.await_later_start(suspect));
            }
        })
    }

    /// Counts a crash against the call, whose upstream is silent, if a later start of the upstream
    /// becomes known in time. The caller aborts the wait if the upstream goes on.
    pub(crate) fn check_for_later_start(
        self: &Arc<Self>,
        call: &Call,
        upstream: &Arc<Upstream>,
        phase: AnswerPhase,
    ) -> AbortHandle {
        let suspect = SuspectCall::new(call, upstream, phase);
        tokio::spawn(self.clone().await_later_start(suspect)).abort_handle()
    }

    /// Counts a crash against the call if a later start of its upstream becomes known in time.
    async fn await_later_start(self: Arc<Self>, suspect: SuspectCall) {
        let began_at = Instant::now();
        while began_at.elapsed() < LATER_START_WAIT_MAX {
            if self.has_later_start(&suspect.upstream).await {
                self.request_crashes.record_crash(&suspect, "later_start");
                return;
            }
            tokio::time::sleep(LATER_START_CHECK_INTERVAL).await;
        }
    }
}
