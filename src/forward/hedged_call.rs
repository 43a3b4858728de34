//! Hedges plain calls: sends them to a second upstream while the first may still answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::forwarder::{Forwarder, NodeContext};
use super::hedges::withheld_counter;
use super::plain_call::{HEDGE_DELAY, PendingSend, PlainCallState};
use super::request::Call;
use super::upstream::Upstream;
use super::upstream_permits::WithoutPermit;
use crate::observe::metrics::{Counter, Span};
use crate::policy::hedging::{HedgePlan, Withheld, choose_target, is_in_same_trouble};

/// A hedge that was sent.
#[derive(Debug)]
pub(super) struct SentHedge {
    first: Arc<Upstream>,
    target: Arc<Upstream>,
}

impl SentHedge {
    /// Whether the hedge was sent to this upstream.
    pub(super) fn is_to(&self, upstream: &Upstream) -> bool {
        std::ptr::eq(upstream, &*self.target)
    }
}

/// What becomes of a call that reached the time of its hedge.
enum HedgeDecision {
    /// It is sent to this upstream as well.
    Send(Arc<Upstream>, HedgePlan),
    /// The answers that arrived in the meantime say that it is due later.
    Postpone(Instant),
    Withhold(Withheld),
}

impl<N: NodeContext> Forwarder<N> {
    /// Time at which the hedge of a call is due that was sent at `sent_at`, or at which it is
    /// looked at again if that can't be told.
    pub(super) fn hedge_due_at(
        &self,
        call: &Call,
        sent_at: Instant,
        otherwise: Duration,
    ) -> Instant {
        let plan = self.hedges.plan(call);
        sent_at + plan.map_or(otherwise, |plan| plan.delay)
    }

    /// Chooses the upstream of a hedge that is due, and spends one of the operators' limit
    /// and one of the retry budget. Sets in `state` when to look at the call again.
    pub(super) async fn next_hedge(
        &self,
        call: &Call,
        state: &mut PlainCallState,
    ) -> Option<Arc<Upstream>> {
        let first = state.only_pending()?;
        let (first, sent_at) = (first.upstream.clone(), first.sent_at);
        let waited = sent_at.elapsed();
        match self.decide_hedge(call, state, sent_at).await {
            HedgeDecision::Send(target, plan) => {
                self.metrics.add(Counter::HedgesSent, 1);
                log_sent(call, &first, &target, &plan, waited);
                state.hedge_check_at = None;
                state.hedge = Some(SentHedge {
                    first,
                    target: target.clone(),
                });
                Some(target)
            }
            HedgeDecision::Postpone(due_at) => {
                state.hedge_check_at = Some(due_at);
                None
            }
            HedgeDecision::Withhold(reason) => {
                if state.withheld.replace(reason) != Some(reason) {
                    self.record_withheld(call, reason, waited);
                }
                let pause = waited.clamp(Duration::from_millis(1), HEDGE_DELAY);
                state.hedge_check_at = Some(Instant::now() + pause);
                None
            }
        }
    }

    fn record_withheld(&self, call: &Call, reason: Withheld, waited: Duration) {
        self.metrics.add(withheld_counter(reason), 1);
        log::info!(
            "event=hedge_withheld call={} cause={reason:?} waited_ms={}",
            call.id(),
            waited.as_millis()
        );
    }

    async fn decide_hedge(
        &self,
        call: &Call,
        state: &mut PlainCallState,
        sent_at: Instant,
    ) -> HedgeDecision {
        let plan = match self.hedges.plan(call) {
            Ok(plan) => plan,
            Err(reason) => return HedgeDecision::Withhold(reason),
        };
        if sent_at.elapsed() < plan.delay {
            return HedgeDecision::Postpone(sent_at + plan.delay);
        }
        if !self.may_hedge(call, state) {
            return HedgeDecision::Withhold(Withheld::NotAllowed);
        }
        if !self.hedges.has_hedge(&call.service) {
            return HedgeDecision::Withhold(Withheld::OverLimit);
        }
        let waited = sent_at.elapsed();
        let tried = state.tried.clone();
        let Some(target) = self.hedge_target(call, tried, &plan, waited).await else {
            return HedgeDecision::Withhold(Withheld::NoTarget);
        };
        let time_left = call.time_for_upstream(Instant::now());
        if time_left.is_none_or(|time_left| time_left < target.latency()) {
            return HedgeDecision::Withhold(Withheld::NotAllowed);
        }
        if !self.spend_retry(&call.service) {
            return HedgeDecision::Withhold(Withheld::OverRetryBudget);
        }
        if !self.hedges.try_spend(&call.service) {
            return HedgeDecision::Withhold(Withheld::OverLimit);
        }
        HedgeDecision::Send(target, plan)
    }

    /// Whether the call may be sent once more. A trial of a suspected request runs once.
    fn may_hedge(&self, call: &Call, state: &PlainCallState) -> bool {
        state.sends.attempt_count() < call.sends_max
            && !call.is_trial
            && !self.is_refused(call, false)
            && !self.should_relay(call, &state.sends)
    }

    async fn hedge_target(
        &self,
        call: &Call,
        tried: Vec<Arc<Upstream>>,
        plan: &HedgePlan,
        waited: Duration,
    ) -> Option<Arc<Upstream>> {
        let mut excluded = tried;
        let upstreams = self.directory.serving(&call.service).into_iter();
        excluded.extend(upstreams.filter(|upstream| is_unfit(upstream, waited)));
        let chosen = self.choose_permitted(&excluded, WithoutPermit::Leaves, |excluded| {
            self.choose_upstream(
                &call.service,
                excluded,
                None,
                call.draw,
                |candidates, draw| {
                    choose_target(candidates, &self.data_centre, plan.remaining, draw)
                },
            )
        });
        chosen.await.ok()
    }

    /// Records how a call ended that could be hedged: `winner` answered it, if one did.
    pub(super) fn finish_hedge(
        &self,
        call: &Call,
        state: &PlainCallState,
        winner: Option<&Upstream>,
    ) {
        if winner.is_some() {
            let span = match state.hedge {
                Some(_) => Span::PlainCallHedged,
                None => Span::PlainCallUnhedged,
            };
            self.metrics.record(span, call.age());
        }
        let Some(hedge) = &state.hedge else {
            return;
        };
        let has_won = winner.is_some_and(|winner| hedge.is_to(winner));
        let counter = if has_won {
            Counter::HedgesWon
        } else {
            Counter::HedgesLost
        };
        self.metrics.add(counter, 1);
        let is_pending = !state.pending.is_empty();
        log::info!(
            "event=hedge_ended call={} first={} hedge={} winner={} loser={} age_ms={}",
            call.id(),
            hedge.first.entry.id,
            hedge.target.entry.id,
            winner.map_or("-", |winner| winner.entry.id.as_str()),
            if is_pending { "cancelled" } else { "failed" },
            call.age().as_millis()
        );
    }

    /// Records the time of the answer to a send that began at `sent_at`, or of the first
    /// send if that would have taken longer.
    pub(super) fn record_answer_time(&self, call: &Call, state: &PlainCallState, sent_at: Instant) {
        let pending = state.pending.iter().map(|send| send.sent_at);
        let earliest = pending.chain([sent_at]).min().unwrap_or(sent_at);
        self.hedges.record_answer(call, earliest.elapsed());
    }

    /// Records the time of the sends that had no answer at the call's deadline.
    pub(super) fn record_time_over(&self, call: &Call, pending: &[PendingSend]) {
        for send in pending {
            self.hedges.record_answer(call, send.sent_at.elapsed());
        }
    }
}

/// Whether no hedge may go to the upstream after a call has waited for `waited`.
fn is_unfit(upstream: &Upstream, waited: Duration) -> bool {
    let time_unanswered = upstream.time_unanswered(Instant::now());
    upstream.is_resting()
        || upstream.is_limited()
        || upstream.has_failed()
        || is_in_same_trouble(time_unanswered, waited)
}

fn log_sent(call: &Call, first: &Upstream, target: &Upstream, plan: &HedgePlan, waited: Duration) {
    log::info!(
        "event=hedge_sent call={} route={} service={} waited_for={} upstream={} percentile={:.1} delay_ms={} waited_ms={} samples={} oldest_sample_ms={}",
        call.id(),
        call.matched.route.name,
        call.service,
        first.entry.id,
        target.entry.id,
        plan.quantile * 100.0,
        plan.delay.as_millis(),
        waited.as_millis(),
        plan.sample_count,
        plan.oldest_age.as_millis()
    );
}
