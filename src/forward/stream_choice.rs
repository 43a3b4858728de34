//! Chooses the upstream at which a stream begins or resumes.

use std::sync::Arc;
use std::time::Instant;

use super::forwarder::NodeContext;
use super::request::Call;
use super::resume_queue::ResumeTurn;
use super::run_replica::{RunReplica, lock};
use super::stream_call::{NextUpstream, OpenFailure, StreamRun};
use super::upstream::Upstream;
use super::upstream_permits::{PERMIT_WAIT_MAX, WithoutPermit, pause_before_retry};
use crate::observe::metrics::Counter;
use crate::policy::failure_response::GiveUpReason;
use crate::policy::placement::{choose_engine, knows_speed};
use crate::policy::resume_order::ResumeRank;

impl<N: NodeContext> StreamRun<N> {
    /// Chooses an upstream that has room for the call. A stream that has begun waits for a
    /// moment if none has.
    pub(super) async fn choose_upstream(&self) -> Result<Arc<Upstream>, OpenFailure> {
        let wait_ends_at = Instant::now() + PERMIT_WAIT_MAX;
        let otherwise = match self.origin {
            Some(_) => WithoutPermit::Waits,
            None => WithoutPermit::Leaves,
        };
        loop {
            let choosing = self
                .forwarder
                .choose_permitted(&self.tried, otherwise, |excluded| self.candidate(excluded));
            let wait = match choosing.await {
                Ok(upstream) => return Ok(upstream),
                Err(Some(wait)) => wait,
                Err(None) => {
                    let cause = self.no_upstream_cause();
                    return Err(OpenFailure::given_up(GiveUpReason::NoUpstream, cause));
                }
            };
            let may_wait = otherwise == WithoutPermit::Waits;
            if !may_wait || !pause_before_retry(wait, wait_ends_at).await {
                return Err(OpenFailure::OverLimit(wait.of_caller()));
            }
        }
    }

    /// Waits until those of the node's streams that lost their upstreams and go first have
    /// chosen others. Only where the configuration makes streams differ in what a resumption
    /// costs or in how urgent it is, and only after a send to another upstream.
    pub(super) async fn wait_for_turn(&self) -> Option<ResumeTurn> {
        let priority_class = self.call.priority_class;
        let may_differ = self.can_be_replicated() || priority_class.is_some();
        if self.tried.is_empty() || !may_differ {
            return None;
        }
        let has_replica = lock(&self.replica)
            .as_ref()
            .is_some_and(|replica| self.can_resume_from(replica));
        let rank = ResumeRank::new(has_replica, priority_class);
        Some(self.forwarder.resumes.wait_for_turn(rank).await)
    }

    /// Chooses the holder of the run's replica if there is one, otherwise the
    /// engine that has the prompt cached, otherwise the least busy engine.
    fn candidate(&self, excluded: &[Arc<Upstream>]) -> Option<Arc<Upstream>> {
        let is_over_limit = |upstream: &Arc<Upstream>| {
            let refused = &excluded[self.tried.len()..];
            refused.iter().any(|other| Arc::ptr_eq(other, upstream))
        };
        let holder = lock(&self.replica)
            .as_ref()
            .filter(|replica| self.can_resume_from(replica))
            .map(|replica| replica.holder.clone())
            .filter(|holder| !is_over_limit(holder) && self.is_admitted_by_rollout(holder));
        holder
            .or_else(|| self.upstream_with_cached_prompt(excluded))
            .or_else(|| self.best_engine(excluded))
            .or_else(|| self.choose_again(&excluded[self.tried.len()..]))
    }

    /// Chooses among the upstreams that were tried, except for the last one and those
    /// that have no room. A stream that has begun can't be refused any more, and an
    /// upstream that it left may have gone on since.
    fn choose_again(&self, over_limit: &[Arc<Upstream>]) -> Option<Arc<Upstream>> {
        if self.event_count == 0 {
            return None;
        }
        let last = self.tried.last();
        let excluded: Vec<Arc<Upstream>> = last.into_iter().chain(over_limit).cloned().collect();
        self.best_engine(&excluded)
    }

    /// Chooses the engine at which the call's prompt costs the least time.
    fn best_engine(&self, excluded: &[Arc<Upstream>]) -> Option<Arc<Upstream>> {
        let Call { service, draw, .. } = &self.call;
        let origin = self.origin.as_ref();
        let prompt_tokens = self.call.headers.prompt_tokens;
        self.forwarder
            .choose_upstream(service, excluded, origin, *draw, |candidates, draw| {
                if knows_speed(candidates) {
                    self.forwarder.metrics.add(Counter::PlacedBySpeed, 1);
                }
                choose_engine(candidates, prompt_tokens, draw)
            })
    }

    /// Whether a rollout of the service lets the call go to this upstream.
    fn is_admitted_by_rollout(&self, upstream: &Upstream) -> bool {
        let Call { service, draw, .. } = &self.call;
        let forwarder = &self.forwarder;
        let serving = forwarder.directory.serving(service);
        let (is_retry, origin) = (!self.tried.is_empty(), self.origin.as_ref());
        let admission = forwarder.rollout_admission(service, &serving, is_retry, origin, *draw);
        admission.admits(upstream.software_version(), true)
    }

    /// Takes the run's replica, which is used only if `upstream` holds it.
    pub(super) fn next_at(&self, upstream: Arc<Upstream>) -> NextUpstream {
        let replica = lock(&self.replica).take().filter(|replica| {
            Arc::ptr_eq(&replica.holder, &upstream) && self.can_resume_from(replica)
        });
        NextUpstream { upstream, replica }
    }

    fn no_upstream_cause(&self) -> &'static str {
        match self.origin {
            Some(_) => "no upstream of the version that began the stream accepts calls",
            None => "no upstream of the service accepts calls",
        }
    }

    /// Whether the run can resume from its replica. Before the first event the
    /// replica is empty, and the send would waste retry budget.
    fn can_resume_from(&self, replica: &RunReplica) -> bool {
        self.has_upstream_sent_event && replica.is_usable() && self.admits(&replica.holder)
    }

    /// Whether the upstream has the prompt of the call's session cached.
    pub(super) fn has_cached_prompt(&self, upstream: &Upstream) -> bool {
        let session = self.call.headers.session.as_ref();
        let cached_at = session.and_then(|session| {
            let sessions = &self.forwarder.sessions;
            sessions.cached_at(session, Instant::now())
        });
        cached_at.is_some_and(|id| id == upstream.entry.id)
    }

    /// Returns the engine that has the prompt of the call's session cached,
    /// unless the engine was tried, is draining or is to be avoided.
    pub(super) fn upstream_with_cached_prompt(
        &self,
        excluded: &[Arc<Upstream>],
    ) -> Option<Arc<Upstream>> {
        let now = Instant::now();
        let session = self.call.headers.session.as_ref()?;
        let id = self.forwarder.sessions.cached_at(session, now)?;
        let was_tried = excluded.iter().any(|tried| tried.entry.id == id);
        let serving = self.forwarder.directory.serving(&self.call.service);
        let upstream = serving.into_iter().find(|u| u.entry.id == id)?;
        let is_eligible = !was_tried
            && upstream.avoided_until(now).is_none()
            && self.admits(&upstream)
            && self.is_admitted_by_rollout(&upstream);
        is_eligible.then_some(upstream)
    }
}
