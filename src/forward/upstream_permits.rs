//! Permits for sends to upstreams that name a limit on the requests of all nodes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;

use super::forwarder::{Forwarder, NodeContext};
use super::observation::Observation;
use super::upstream::Upstream;
use crate::id::UpstreamId;
use crate::observe::metrics::Counter;
use crate::policy::send_decision::SendDecision;
use crate::policy::upstream_limit::{Grant, Grantor, PermitBucket, PermitDemand};

/// Time after which a bucket that nobody asks is dropped.
const BUCKET_IDLE_MAX: Duration = Duration::from_secs(60);
/// Time until the next request for a permit after no grantor answered.
const NO_GRANTOR_WAIT: Duration = Duration::from_millis(500);

/// Longest time for which a call waits for a permit, where it is not refused at once.
pub(super) const PERMIT_WAIT_MAX: Duration = Duration::from_millis(2_500);
/// Shortest and longest time between two requests for a permit by a call that waits.
const PERMIT_RETRY_MIN: Duration = Duration::from_millis(20);
const PERMIT_RETRY_MAX: Duration = Duration::from_millis(400);

/// What becomes of a call that gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WithoutPermit {
    /// It goes to another upstream, or its caller returns later.
    Leaves,
    /// It waits at this node and asks again. No caller returns for it, so that it neither
    /// counts among the refused ones, nor do the others wait for longer.
    Waits,
}

/// When a call that got no permit may ask again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitWait {
    /// Time until the next permit can be expected.
    next: Duration,
    /// Drawn from the time that the permits for all refused callers take.
    spread: Duration,
}

impl PermitWait {
    /// Time after which a caller may return, so that not all of them do at once.
    pub(crate) fn of_caller(self) -> Duration {
        self.next + self.spread
    }
}

/// The permits that this node grants to all nodes.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPermits {
    buckets: Mutex<BTreeMap<(UpstreamId, Grantor), PermitBucket>>,
}

impl UpstreamPermits {
    /// Grants permits for an upstream as its coordinator or standby.
    pub(crate) fn grant(
        &self,
        upstream: &UpstreamId,
        demand: PermitDemand,
        grantor: Grantor,
    ) -> Grant {
        let now = Instant::now();
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        buckets.retain(|_, bucket| bucket.idle_time(now) < BUCKET_IDLE_MAX);
        let bucket = buckets.entry((upstream.clone(), grantor));
        let bucket = bucket.or_insert_with(|| PermitBucket::new(now));
        bucket.grant(demand, grantor, now)
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Finds out whether one request may be sent to the upstream, and gets a permit if
    /// that needs one.
    pub(crate) async fn acquire_permit(
        &self,
        upstream: &Arc<Upstream>,
        otherwise: WithoutPermit,
    ) -> Result<(), PermitWait> {
        let mut decision = upstream.decide(Instant::now());
        if let SendDecision::Ask(demand) = decision {
            self.announce_limit(upstream);
            let granted = self.node.request_permits(&upstream.entry.id, demand).await;
            let grant = granted.unwrap_or(Grant {
                count: 0,
                wait: NO_GRANTOR_WAIT,
                backlog: Duration::ZERO,
            });
            let draw = match otherwise {
                WithoutPermit::Leaves => rand::rng().random_range(0.0..1.0),
                WithoutPermit::Waits => 0.0,
            };
            decision = upstream.limit().apply_grant(grant, draw, Instant::now());
        }
        match decision {
            SendDecision::Refuse(wait, backlog) => {
                self.metrics.add(Counter::SendsOverLimit, 1);
                if otherwise == WithoutPermit::Waits && !upstream.is_resting() {
                    upstream.limit().take_back_refusal();
                }
                let spread = backlog.mul_f64(rand::rng().random_range(0.0..1.0));
                Err(PermitWait { next: wait, spread })
            }
            SendDecision::Send | SendDecision::Ask(_) => Ok(()),
        }
    }

    /// Waits until one request may be sent to the upstream; false if that would be later than
    /// `wait_ends_at`.
    pub(super) async fn wait_for_permit(
        &self,
        upstream: &Arc<Upstream>,
        wait_ends_at: Instant,
    ) -> bool {
        while let Err(wait) = self.acquire_permit(upstream, WithoutPermit::Waits).await {
            if !pause_before_retry(wait, wait_ends_at).await {
                return false;
            }
        }
        true
    }

    /// Tells the other nodes of a limit that this node read in an answer just now.
    fn announce_limit(&self, upstream: &Upstream) {
        if let Some(rate) = upstream.limit().news(Instant::now()) {
            self.observations.publish(Observation::Limited {
                id: upstream.entry.id.clone(),
                rate,
            });
        }
    }
}

/// Pauses a call that waits for a permit; false at once if none is expected until
/// `wait_ends_at`.
pub(super) async fn pause_before_retry(wait: PermitWait, wait_ends_at: Instant) -> bool {
    let now = Instant::now();
    if now + wait.next.max(PERMIT_RETRY_MIN) > wait_ends_at {
        return false;
    }
    let pause = wait.next.clamp(PERMIT_RETRY_MIN, PERMIT_RETRY_MAX);
    tokio::time::sleep(pause).await;
    true
}
