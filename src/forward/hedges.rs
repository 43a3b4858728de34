//! What this node needs to hedge plain calls: the operators' limits, the times of recent
//! answers, and the hedges that it may still send.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;

use super::request::Call;
use super::route_table::RouteTable;
use crate::id::ServiceId;
use crate::observe::metrics::Counter;
use crate::policy::hedging::{AnswerTimes, HedgeAllowance, HedgeLimits, HedgePlan, Withheld};

/// Route name and service.
type AnswerSource = (String, ServiceId);

/// The hedging state of a node.
#[derive(Debug, Default)]
pub(crate) struct Hedges {
    limits: HedgeLimits,
    answer_times: Mutex<BTreeMap<AnswerSource, AnswerTimes>>,
    allowances: Mutex<BTreeMap<ServiceId, HedgeAllowance>>,
}

impl Hedges {
    /// Creates the state of a node that starts now.
    pub(crate) fn new(limits: HedgeLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Whether the operators allow hedges of the call. Calls of other nodes are not hedged,
    /// since those may have sent them.
    pub(crate) fn covers(&self, call: &Call) -> bool {
        call.relayed.is_none()
            && call.matched.route.kind.may_repeat()
            && self.limits.share(&call.service) > 0.0
    }

    /// Records that a caller sent a call that may be hedged.
    pub(crate) fn record_call(&self, call: &Call) {
        let share = self.limits.share(&call.service);
        self.with_allowance(&call.service, |allowance| allowance.record_call(share));
    }

    /// Whether the operators' limit leaves a hedge.
    pub(crate) fn has_hedge(&self, service: &ServiceId) -> bool {
        self.with_allowance(service, |allowance| allowance.has_hedge())
    }

    /// Spends one hedge of the operators' limit. Returns false if none is left.
    pub(crate) fn try_spend(&self, service: &ServiceId) -> bool {
        self.with_allowance(service, HedgeAllowance::try_spend)
    }

    /// Records the time of an answer to the call, or of a send that was cancelled because
    /// the hedge answered first.
    pub(crate) fn record_answer(&self, call: &Call, duration: Duration) {
        let now = Instant::now();
        let mut answer_times = lock(&self.answer_times);
        let source = source(call);
        if !answer_times.contains_key(&source) {
            // Routes that a configuration has removed get no answers.
            answer_times.retain(|_, times| !times.is_empty(now));
        }
        let times = answer_times.entry(source).or_default();
        times.record(duration, now);
    }

    /// Plans the hedge of the call by the answers known now.
    pub(crate) fn plan(&self, call: &Call) -> Result<HedgePlan, Withheld> {
        let share = self.limits.share(&call.service);
        let mut answer_times = lock(&self.answer_times);
        let times = answer_times.get_mut(&source(call));
        let times = times.ok_or(Withheld::FewSamples)?;
        times.plan(share, Instant::now())
    }

    /// Time without an answer after which the call leaves an upstream that has sent nothing
    /// in that time, and whose calls take `latency` on average.
    pub(crate) fn silence_patience(&self, call: &Call, latency: Duration) -> Duration {
        let answer_times = lock(&self.answer_times);
        let times = answer_times.get(&source(call));
        let patience = |times: &AnswerTimes| times.silence_patience(latency);
        times.map_or_else(|| patience(&AnswerTimes::default()), patience)
    }

    /// Warns of services with a limit whose calls are never sent twice.
    pub(crate) fn warn_of_single_attempts(&self, table: &RouteTable) {
        for service in self.services_with_single_attempts(table) {
            log::warn!(
                "event=hedging_without_effect service={service} percent={} cause=\"max-attempts is 1 on all its routes\"",
                self.limits.share(&service) * 100.0
            );
        }
    }

    /// The services with a limit whose calls are never sent twice.
    pub(crate) fn services_with_single_attempts(&self, table: &RouteTable) -> Vec<ServiceId> {
        let attempts = table.attempts_by_service().into_iter();
        let single = attempts.filter(|(_, attempts_max)| *attempts_max <= 1);
        single
            .map(|(service, _)| service)
            .filter(|service| self.limits.share(service) > 0.0)
            .collect()
    }

    fn with_allowance<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut HedgeAllowance) -> T,
    ) -> T {
        let mut allowances = lock(&self.allowances);
        let allowance = allowances
            .entry(service.clone())
            .or_insert_with(|| HedgeAllowance::new(rand::rng().random_range(0.0..1.0)));
        act(allowance)
    }
}

/// The counter of hedges that were withheld for this reason.
pub(crate) fn withheld_counter(reason: Withheld) -> Counter {
    match reason {
        Withheld::FewSamples => Counter::HedgesWithheldFewSamples,
        Withheld::AllSlow => Counter::HedgesWithheldAllSlow,
        Withheld::SmallGain => Counter::HedgesWithheldSmallGain,
        Withheld::OverLimit => Counter::HedgesWithheldOverLimit,
        Withheld::OverRetryBudget => Counter::HedgesWithheldOverBudget,
        Withheld::NoTarget => Counter::HedgesWithheldNoTarget,
        Withheld::NotAllowed => Counter::HedgesWithheldNotAllowed,
    }
}

fn source(call: &Call) -> AnswerSource {
    (call.matched.route.name.clone(), call.service.clone())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
