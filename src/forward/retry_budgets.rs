//! Repeated sends that this node may still spend, by service.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::id::ServiceId;
use crate::policy::spend::{Allowance, Spending};

/// The budgets of one node.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    allowance: Allowance,
    services: Mutex<BTreeMap<ServiceId, Spending>>,
}

impl RetryBudgets {
    /// Starts without calls.
    pub(crate) fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            services: Mutex::default(),
        }
    }

    /// Notes a call of a caller.
    pub(crate) fn call(&self, service: &ServiceId, now: Instant) {
        let mut services = self.lock();
        let spending = services.entry(service.clone()).or_default();
        spending.call(&self.allowance, now);
    }

    /// Spends one repeated send, if there is one.
    pub(crate) fn spend(&self, service: &ServiceId, node_count: usize, now: Instant) -> bool {
        let mut services = self.lock();
        let spending = services.entry(service.clone()).or_default();
        spending.spend(&self.allowance, node_count, now)
    }

    /// Spends one repeated send for another node, if enough is left here.
    pub(crate) fn lend(&self, service: &ServiceId, node_count: usize, now: Instant) -> bool {
        let mut services = self.lock();
        let spending = services.entry(service.clone()).or_default();
        spending.lend(&self.allowance, node_count, now)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, Spending>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
