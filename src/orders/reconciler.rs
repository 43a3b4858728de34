//! Orders to runners: which models each one holds.
//!
//! One node holds the lease and compares what the configuration wants with
//! what runners report. Orders name the end state, so giving one twice changes
//! nothing, and a runner that ignores fences is brought back by the next look.
//! See `docs/ORDERS.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configuration::config::Config;
use crate::fleet::runner::{ModelVersion, Order, RunnerClient};
use crate::fleet::table::{Fleet, RunnerView};
use crate::hash::{Fnv, rendezvous_order};
use crate::id::{Fence, NodeId, RunnerId};
use crate::observe::audit::{AuditOutcome, AuditRecord};
use crate::observe::metrics::{Counter, Metrics};
use crate::orders::lease::Lease;
use crate::store::object_store::ObjectStore;

/// Key of the lease on orders.
const LEASE_KEY: &str = "lease/orders";
/// How long a runner is given to carry out an order before it gets it again.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// How long a runner may take to report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Gives orders while this node holds the lease.
#[derive(Debug)]
pub(crate) struct OrderReconciler<S> {
    store: S,
    node: NodeId,
    lease: Lease<S>,
    fleet: Arc<Fleet>,
    client: RunnerClient,
    metrics: Arc<Metrics>,
    load_spacing: Duration,
    next_load: Option<Instant>,
    held_fence: Option<Fence>,
    ordered_at: BTreeMap<RunnerId, (Vec<ModelVersion>, Instant)>,
}

impl<S: ObjectStore> OrderReconciler<S> {
    /// Makes an order giver that does not hold the lease yet.
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
            node: claimant.to_owned(),
            lease,
            fleet,
            client,
            metrics,
            load_spacing,
            next_load: None,
            held_fence: None,
            ordered_at: BTreeMap::new(),
        }
    }

    /// Renews the lease and gives what orders are due.
    pub(crate) async fn look(&mut self, config: &Config) {
        let Some(fence) = self.lease.keep().await else {
            self.held_fence = None;
            return;
        };
        if self.held_fence != Some(fence) {
            log::info!("holds the lease on orders with fence {fence}");
            self.held_fence = Some(fence);
            self.ordered_at.clear();
            // The holder before may have loaded a moment ago.
            self.next_load = Some(Instant::now() + self.load_spacing);
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
        let settling = self
            .ordered_at
            .get(&view.runner)
            .is_some_and(|(last, at)| *last == models && at.elapsed() < SETTLE_TIME);
        if settling {
            return;
        }
        let Ok(report) = self.client.report(view.address, REPORT_TIMEOUT).await else {
            return;
        };
        self.fleet.apply_report(&view.runner, &report);
        if same_models(&report.ready, &models) {
            return;
        }
        let loads = models.iter().any(|m| !report.ready.contains(m));
        if loads && self.next_load.is_some_and(|at| at > Instant::now()) {
            return;
        }
        self.give(view, models, loads).await;
    }

    async fn give(&mut self, view: &RunnerView, models: Vec<ModelVersion>, loads: bool) {
        // Renewing first makes the platform refuse a holder that was paused.
        let Some(fence) = self.lease.keep().await else {
            return;
        };
        let order = Order { fence, models };
        let audit = AuditRecord::now(&self.node, "order holder", "order", &view.runner)
            .with_detail(serde_json::to_string(&order).unwrap_or_default());
        if audit.write(&self.store).await.is_err() || self.lease.fence().is_none() {
            return;
        }
        if loads {
            self.next_load = Some(Instant::now() + self.load_spacing);
        }
        self.metrics.add(Counter::Orders, 1);
        let given = self.client.order(view.address, &order).await;
        let outcome = match given {
            Ok(true) => AuditOutcome::Done,
            Ok(false) => AuditOutcome::Refused,
            Err(_) => AuditOutcome::Unknown,
        };
        if outcome == AuditOutcome::Refused {
            self.metrics.add(Counter::OrdersRefused, 1);
        }
        let ordered = (order.models, Instant::now());
        self.ordered_at.insert(view.runner.clone(), ordered);
        let _ = audit.with_outcome(outcome).write(&self.store).await;
    }
}

fn same_models(a: &[ModelVersion], b: &[ModelVersion]) -> bool {
    let a: BTreeSet<&ModelVersion> = a.iter().collect();
    let b: BTreeSet<&ModelVersion> = b.iter().collect();
    a == b
}

/// Which models each runner is to hold.
///
/// The version before stays where it is until enough runners report the
/// wanted one ready, so that no customer is without a place.
pub(crate) fn placement(
    config: &Config,
    views: &[RunnerView],
) -> BTreeMap<RunnerId, Vec<ModelVersion>> {
    let mut wanted: BTreeMap<RunnerId, Vec<ModelVersion>> = BTreeMap::new();
    let staying: Vec<&RunnerView> = views.iter().filter(|view| !view.leaving).collect();
    for (name, model) in &config.intent().models {
        let Some(version) = config.wanted(name) else {
            continue;
        };
        let key = Fnv::new().text(name).finish();
        let order = rendezvous_order(key, staying.iter().map(|v| v.runner.as_str()));
        let chosen = order.into_iter().take(model.runner_count as usize);
        for runner in chosen {
            let models = wanted.entry(runner.to_owned()).or_default();
            models.push(version.clone());
        }
        let holds = |view: &&&RunnerView| view.ready.contains(&version);
        let ready_count = staying.iter().filter(holds).count();
        let enough = (model.runner_count as usize).min(staying.len());
        if ready_count < enough {
            keep_other_versions(name, &version, &staying, &mut wanted);
        }
    }
    wanted
}

fn keep_other_versions(
    model: &str,
    version: &ModelVersion,
    staying: &[&RunnerView],
    wanted: &mut BTreeMap<RunnerId, Vec<ModelVersion>>,
) {
    for view in staying {
        let others = view
            .ready
            .iter()
            .filter(|held| held.model == model && *held != version);
        let models = wanted.entry(view.runner.clone()).or_default();
        models.extend(others.cloned());
    }
}
