//! The shares that this node has of the services' retry budgets.
//!
//! Each service has a retry budget, which bounds the retries that all nodes
//! together send to its upstreams. Each node may spend a share of it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use rand::RngExt;

use crate::id::ServiceId;
use crate::policy::retry_budget_share::{RetryBudgetShare, RetryLimits};

/// One share for each service that was called.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    limits: RetryLimits,
    node_started_at: Instant,
    /// Random and fixed for this node, see [`RetryBudgetShare::new`].
    rounding: f64,
    services: Mutex<BTreeMap<ServiceId, RetryBudgetShare>>,
}

impl RetryBudgets {
    /// Creates the shares of a node that starts now.
    pub(crate) fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            node_started_at: Instant::now(),
            rounding: rand::rng().random_range(0.0..1.0),
            services: Mutex::default(),
        }
    }

    /// Records that a caller sent this node a call to the service.
    pub(crate) fn record_call(&self, service: &ServiceId, now: Instant) {
        self.with_share(service, |share| share.record_call(&self.limits, now));
    }

    /// Spends one retry from the share of a service's budget. Returns false if
    /// the share is used up.
    pub(crate) fn try_spend(&self, service: &ServiceId, node_count: usize, now: Instant) -> bool {
        self.with_share(service, |share| {
            share.try_spend(&self.limits, node_count, now)
        })
    }

    /// Takes back one retry of a service of which no byte left this node.
    pub(crate) fn take_back(&self, service: &ServiceId) {
        self.with_share(service, RetryBudgetShare::take_back);
    }

    fn with_share<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut RetryBudgetShare) -> T,
    ) -> T {
        let mut services = self.lock();
        let share = services
            .entry(service.clone())
            .or_insert_with(|| RetryBudgetShare::new(self.node_started_at, self.rounding));
        act(share)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, RetryBudgetShare>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
