//! What this node knows of rollouts, what it may send to their targets, and what it counted.
//!
//! `docs/design/rollouts.md` describes the rules, and `crate::policy::rollout` decides.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;

use super::attempt::AttemptFailure;
use super::forwarder::{Forwarder, NodeContext};
use super::request::Call;
use super::run_origin::RunOrigin;
use super::upstream::Upstream;
use crate::http::HttpResponse;
use crate::id::ServiceId;
use crate::observe::metrics::Counter;
use crate::policy::rollout::{NodeRollout, Rollout, RolloutBounds, SendContext, VersionAdmission};
use crate::policy::rollout_evidence::{Evidence, Outcome, Side};

/// The rollouts of all services.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// `None` if the deployment does not ask for rollouts.
    bounds: Option<RolloutBounds>,
    /// Whether there is a rollout, which spares other calls the lock.
    has_any: AtomicBool,
    services: Mutex<BTreeMap<ServiceId, Followed>>,
}

#[derive(Debug)]
struct Followed {
    rollout: NodeRollout,
    /// Whether the target failed since the last report.
    has_new_failure: bool,
    reported_at: Option<Instant>,
}

/// What this node tells the owner of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DueReport {
    pub(crate) rollout: Rollout,
    /// Time since the request.
    pub(crate) age: Duration,
    pub(crate) evidence: Evidence,
}

impl Rollouts {
    /// Creates an empty table, which stays empty without `bounds`.
    pub(crate) fn new(bounds: Option<RolloutBounds>) -> Self {
        Self {
            bounds,
            has_any: AtomicBool::new(false),
            services: Mutex::default(),
        }
    }

    /// Limits on what a bad version may receive, if the deployment asks for rollouts.
    pub(crate) fn bounds(&self) -> Option<RolloutBounds> {
        self.bounds
    }

    /// Applies a rollout of which this node learned, which is at least `age` old.
    pub(crate) fn apply(&self, rollout: &Rollout, age: Duration, node_count: usize, now: Instant) {
        let Some(bounds) = self.bounds else {
            return;
        };
        let mut services = self.lock();
        if let Some(known) = services.get_mut(&rollout.service)
            && known.rollout.update(rollout)
        {
            return known.rollout.learn_age(age, now);
        }
        let draw = rand::rng().random();
        let mut new = NodeRollout::new(rollout.clone(), age, &bounds, node_count, draw, now);
        if let Some(earlier) = services.get(&rollout.service) {
            new.deny_reverted(&earlier.rollout);
        }
        let followed = Followed {
            rollout: new,
            has_new_failure: false,
            reported_at: None,
        };
        services.insert(rollout.service.clone(), followed);
        self.has_any.store(true, Ordering::Relaxed);
    }

    /// Forgets the rollout of a service, whose object was deleted.
    pub(crate) fn remove(&self, service: &str) {
        let mut services = self.lock();
        services.remove(service);
        self.has_any.store(!services.is_empty(), Ordering::Relaxed);
    }

    /// The unfinished rollouts.
    pub(crate) fn unfinished(&self) -> Vec<Rollout> {
        let services = self.lock();
        let rollouts = services.values().map(|followed| &followed.rollout.rollout);
        rollouts
            .filter(|rollout| !rollout.state.is_settled())
            .cloned()
            .collect()
    }

    /// Changes the state of the rollout of a service, if there is one.
    pub(crate) fn with<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut NodeRollout) -> T,
    ) -> Option<T> {
        if !self.has_any.load(Ordering::Relaxed) {
            return None;
        }
        let mut services = self.lock();
        let followed = services.get_mut(service)?;
        Some(change(&mut followed.rollout))
    }

    /// The reports that are due, at intervals or because a target failed.
    pub(crate) fn take_due_reports(&self, interval: Duration, now: Instant) -> Vec<DueReport> {
        let mut services = self.lock();
        let due = services.values_mut().filter(|followed| {
            let reported_at = followed.reported_at;
            let is_due = reported_at.is_none_or(|at| now.saturating_duration_since(at) >= interval);
            let is_settled = followed.rollout.rollout.state.is_settled();
            !is_settled && (is_due || followed.has_new_failure)
        });
        due.map(|followed| {
            followed.has_new_failure = false;
            followed.reported_at = Some(now);
            DueReport {
                rollout: followed.rollout.rollout.clone(),
                age: followed.rollout.age(now),
                evidence: followed.rollout.evidence.clone(),
            }
        })
        .collect()
    }

    /// Counts something about an upstream's version, while its service has an unfinished
    /// rollout.
    fn count(&self, upstream: &Upstream, count: impl FnOnce(&mut NodeRollout, Side)) {
        if !self.has_any.load(Ordering::Relaxed) {
            return;
        }
        let mut services = self.lock();
        let Some(followed) = services.get_mut(&upstream.entry.service) else {
            return;
        };
        if followed.rollout.rollout.state.is_settled() {
            return;
        }
        let side = followed.rollout.side(upstream.software_version());
        count(&mut followed.rollout, side);
    }

    fn record_failure(&self, upstream: &Upstream, record: impl FnOnce(&mut Evidence, Side)) {
        let mut is_target = false;
        self.count(upstream, |rollout, side| {
            record(&mut rollout.evidence, side);
            is_target = side == Side::Target;
        });
        if is_target && let Some(followed) = self.lock().get_mut(&upstream.entry.service) {
            followed.has_new_failure = true;
        }
    }

    /// Records the time of an answer or of the first event of a stream.
    pub(crate) fn record_time(&self, call: &Call, upstream: &Upstream, time: Duration) {
        let route = &call.matched.route.name;
        self.count(upstream, |rollout, side| {
            let outcome = Outcome::Answered(time);
            rollout.evidence.record(route, side, outcome);
        });
    }

    /// Records a server error, or an answer that broke off.
    pub(crate) fn record_failed(&self, call: &Call, upstream: &Upstream) {
        let route = &call.matched.route.name;
        self.record_failure(upstream, |evidence, side| {
            evidence.record(route, side, Outcome::Failed);
        });
    }

    /// Records that a stream broke off after its first event.
    pub(crate) fn record_broken(&self, call: &Call, upstream: &Upstream) {
        let route = &call.matched.route.name;
        self.record_failure(upstream, |evidence, side| {
            evidence.record_broken(route, side)
        });
    }

    /// Records the mean time between the first events of a stream.
    pub(crate) fn record_gap(&self, call: &Call, upstream: &Upstream, gap: Duration) {
        let route = &call.matched.route.name;
        self.count(upstream, |rollout, side| {
            rollout.evidence.record_gap(route, side, gap);
        });
    }

    /// Records how a send of a plain call ended.
    pub(crate) fn record_answer(
        &self,
        call: &Call,
        upstream: &Upstream,
        time: Duration,
        answer: &Result<HttpResponse, AttemptFailure>,
    ) {
        match answer {
            Ok(response) if response.status().is_server_error() => {
                self.record_failed(call, upstream);
            }
            Ok(_) => self.record_time(call, upstream, time),
            Err(failure) => self.record_attempt_failure(call, upstream, failure),
        }
    }

    /// Records that a send failed, unless the call did not run.
    pub(crate) fn record_attempt_failure(
        &self,
        call: &Call,
        upstream: &Upstream,
        failure: &AttemptFailure,
    ) {
        if matches!(
            failure,
            AttemptFailure::MayHaveRun(_) | AttemptFailure::Abandoned(_)
        ) {
            self.record_failed(call, upstream);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, Followed>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Records that a call is sent to an upstream, whose version may be the target of a
    /// rollout.
    pub(crate) fn record_upstream_send(&self, upstream: &Upstream) {
        self.metrics.add(Counter::UpstreamSends, 1);
        self.rollouts.count(upstream, |rollout, side| {
            rollout.record_send(side);
            if side == Side::Target {
                self.metrics.add(Counter::RolloutTargetSends, 1);
            }
        });
    }

    /// Which of the service's upstreams a send may go to.
    pub(crate) fn rollout_admission(
        &self,
        service: &str,
        upstreams: &[Arc<Upstream>],
        is_retry: bool,
        origin: Option<&RunOrigin>,
        call_draw: f64,
    ) -> VersionAdmission {
        let admission = self.rollouts.with(service, |rollout| {
            let of_target = |upstream: &&Arc<Upstream>| {
                rollout.side(upstream.software_version()) == Side::Target
            };
            let send = SendContext {
                draw: call_draw,
                is_pinned: origin.is_some(),
                is_retry,
                target_count: upstreams.iter().filter(of_target).count(),
            };
            rollout.admission(&send, Instant::now())
        });
        admission.unwrap_or(VersionAdmission::All)
    }
}
