//! Orders to runners: which models each one must have loaded.
//!
//! One node at a time holds the lease on orders. It compares the placement that
//! the configuration requires (which models on which runners) with the models
//! that the runners report as loaded. An order names the complete list of models,
//! so it can be repeated. It carries the fence of the lease, which rises with
//! each holder, so that a runner can refuse the orders of a previous holder. If a
//! runner that does not check fences carried out such an order, the next
//! reconciliation corrects it. See `docs/ORDERS.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configuration::config::Config;
use crate::fleet::runner::{ModelVersion, Order, RunnerClient};
use crate::fleet::table::{Fleet, RunnerView};
use crate::hash::{Fnv, rendezvous_order};
use crate::id::{Fence, RunnerId};
use crate::observe::audit::{AuditOutcome, AuditRecord};
use crate::observe::metrics::{Counter, Metrics};
use crate::orders::lease::Lease;
use crate::store::object_store::ObjectStore;

/// Object key of the lease on orders.
const LEASE_KEY: &str = "lease/orders";
/// Time for a runner to carry out an order before the order is sent again.
const ORDER_REPEAT_DELAY: Duration = Duration::from_secs(5);
/// Time-out of asking a runner for its report before it is sent an order.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends orders to runners while this node holds the lease.
#[derive(Debug)]
pub(crate) struct OrderReconciler<S> {
    store: S,
    /// Name under which this process holds the lease.
    claimant: String,
    lease: Lease<S>,
    fleet: Arc<Fleet>,
    client: RunnerClient,
    metrics: Arc<Metrics>,
    /// Minimum time between two orders that make a runner load a model.
    load_spacing: Duration,
    /// Time before which no order may make a runner load a model.
    next_load_at: Option<Instant>,
    /// Fence of the lease at the last reconciliation, if this node held it.
    held_fence: Option<Fence>,
    /// Models in the last order to each runner, and when it was sent.
    last_orders: BTreeMap<RunnerId, (Vec<ModelVersion>, Instant)>,
}

impl<S: ObjectStore> OrderReconciler<S> {
    /// Makes a reconciler, which does not hold the lease yet.
    pub(crate) fn new(
        store: S,
        claimant: &str,
        lease_time: Duration,
        fleet: Arc<Fleet>,
        client: RunnerClient,
        metrics: Arc<Metrics>,
        load_spacing: Duration,
    ) -> Self {
        let lease = Lease::new(store.clone(), LEASE_KEY, claimant, lease_time);
        Self {
            store,
            claimant: claimant.to_owned(),
            lease,
            fleet,
            client,
            metrics,
            load_spacing,
            next_load_at: None,
            held_fence: None,
            last_orders: BTreeMap::new(),
        }
    }

    /// Renews or acquires the lease and sends the orders that are due.
    pub(crate) async fn reconcile(&mut self, config: &Config) {
        let Some(fence) = self.lease.acquire_or_renew().await else {
            self.held_fence = None;
            return;
        };
        if self.held_fence != Some(fence) {
            log::info!("this node now holds the lease on orders, fence {fence}");
            self.held_fence = Some(fence);
            self.last_orders.clear();
            // The previous holder may have ordered a load a moment ago, which the
            // spacing of loads has to take into account.
            self.next_load_at = Some(Instant::now() + self.load_spacing);
        }
        let views = self.fleet.views();
        let wanted = placement(config, &views);
        for view in &views {
            let models = wanted.get(&view.runner).cloned().unwrap_or_default();
            self.order_if_due(view, models).await;
        }
    }

    async fn order_if_due(&mut self, view: &RunnerView, models: Vec<ModelVersion>) {
        if view.leaving || same_models(&view.ready, &models) {
            return;
        }
        let is_in_progress = self
            .last_orders
            .get(&view.runner)
            .is_some_and(|(last, at)| *last == models && at.elapsed() < ORDER_REPEAT_DELAY);
        if is_in_progress {
            return;
        }
        let Ok(report) = self.client.report(view.address, REPORT_TIMEOUT).await else {
            return;
        };
        self.fleet.apply_report(&view.runner, &report);
        if same_models(&report.ready, &models) {
            return;
        }
        let needs_load = models.iter().any(|m| !report.ready.contains(m));
        if needs_load && self.next_load_at.is_some_and(|at| at > Instant::now()) {
            return;
        }
        self.send_order(view, models, needs_load).await;
    }

    async fn send_order(&mut self, view: &RunnerView, models: Vec<ModelVersion>, needs_load: bool) {
        // If this process was paused and lost the lease, the renewal fails and no
        // order is sent.
        let Some(fence) = self.lease.acquire_or_renew().await else {
            return;
        };
        let order = Order { fence, models };
        let audit = AuditRecord::now(&self.claimant, "order holder", "order", &view.runner)
            .with_detail(serde_json::to_string(&order).unwrap_or_default());
        if audit.write(&self.store).await.is_err() || self.lease.fence().is_none() {
            return;
        }
        if needs_load {
            self.next_load_at = Some(Instant::now() + self.load_spacing);
        }
        self.metrics.add(Counter::Orders, 1);
        let result = self.client.order(view.address, &order).await;
        let outcome = match result {
            Ok(true) => AuditOutcome::Done,
            Ok(false) => AuditOutcome::Refused,
            Err(_) => AuditOutcome::Unknown,
        };
        if outcome == AuditOutcome::Refused {
            self.metrics.add(Counter::OrdersRefused, 1);
        }
        let ordered = (order.models, Instant::now());
        self.last_orders.insert(view.runner.clone(), ordered);
        let _ = audit.with_outcome(outcome).write(&self.store).await;
    }
}

fn same_models(a: &[ModelVersion], b: &[ModelVersion]) -> bool {
    let a: BTreeSet<&ModelVersion> = a.iter().collect();
    let b: BTreeSet<&ModelVersion> = b.iter().collect();
    a == b
}

/// The models that each runner must have loaded, by runner.
///
/// Other versions of a model stay loaded where they are until enough runners
/// report the wanted version as ready, so that the model stays available all the
/// time.
pub(crate) fn placement(
    config: &Config,
    views: &[RunnerView],
) -> BTreeMap<RunnerId, Vec<ModelVersion>> {
    let mut wanted: BTreeMap<RunnerId, Vec<ModelVersion>> = BTreeMap::new();
    let available: Vec<&RunnerView> = views.iter().filter(|view| !view.leaving).collect();
    for (name, model) in &config.intent().models {
        let Some(version) = config.wanted_version(name) else {
            continue;
        };
        let key = Fnv::new().text(name).finish();
        let order = rendezvous_order(key, available.iter().map(|v| v.runner.as_str()));
        let chosen = order.into_iter().take(model.runner_count as usize);
        for runner in chosen {
            let models = wanted.entry(runner.to_owned()).or_default();
            models.push(version.clone());
        }
        let has_loaded = |view: &&&RunnerView| view.ready.contains(&version);
        let ready_count = available.iter().filter(has_loaded).count();
        let required_count = (model.runner_count as usize).min(available.len());
        if ready_count < required_count {
            keep_other_versions(name, &version, &available, &mut wanted);
        }
    }
    wanted
}

fn keep_other_versions(
    model: &str,
    version: &ModelVersion,
    available: &[&RunnerView],
    wanted: &mut BTreeMap<RunnerId, Vec<ModelVersion>>,
) {
    for view in available {
        let others = view
            .ready
            .iter()
            .filter(|held| held.model == model && *held != version);
        let models = wanted.entry(view.runner.clone()).or_default();
        models.extend(others.cloned());
    }
}
