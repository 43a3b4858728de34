//! The background tasks of a node: they apply what arrives from the platform and
//! from peers, watch runners and give orders.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;

use crate::configuration::config::Config;
use crate::configuration::document_sync::DocumentSync;
use crate::fleet::crash_tracker::{CRASH_TOPIC, POISON_TOPIC};
use crate::fleet::runner::{RunnerClient, RunnerReport};
use crate::fleet::runner_watch::{RUNNER_TOPIC, RunnerWatch};
use crate::hash::rendezvous_order;
use crate::http::HttpClient;
use crate::id::Version;
use crate::json_parts;
use crate::membership::crash_announcement;
use crate::membership::gossip::MembershipEvent;
use crate::node::slot_shares::update_slot_shares;
use crate::node_state::NodeState;
use crate::observe::metrics::Counter;
use crate::orders::reconciler::OrderReconciler;
use crate::shutdown::Shutdown;
use crate::store::object_api::{CONFIG_KEY, VMS_KEY, Vm};

/// Time between two checks whether runners must be ordered to load other models.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The background tasks of a node, which run until the node is aborted.
pub(super) struct BackgroundTasks {
    pub(super) state: Arc<NodeState>,
    pub(super) config_changed: watch::Receiver<Version>,
    pub(super) vms_changed: watch::Receiver<Version>,
}

impl BackgroundTasks {
    pub(super) fn start(self, vms_sync: DocumentSync, shutdown: &Shutdown) {
        let state = self.state;
        let spawn = |task| spawn_until_aborted(shutdown, task);
        spawn(Box::pin(state.config_sync.clone().run()));
        spawn(Box::pin(vms_sync.run()));
        spawn(Box::pin(apply_config(state.clone(), self.config_changed)));
        spawn(Box::pin(apply_vms(state.clone(), self.vms_changed)));
        spawn(Box::pin(follow_announcements(state.clone())));
        spawn(Box::pin(watch_runners(state.clone())));
        spawn(Box::pin(reconcile_orders(state.clone())));
        spawn(Box::pin(update_slot_shares(state.clone())));
        if let Some(collector) = state.settings.metrics {
            let metrics = state.metrics.clone();
            spawn(Box::pin(async move {
                if let Err(error) = metrics.deliver(collector).await {
                    log::error!(
                        "cannot send metrics to the StatsD collector at {collector}: {error}"
                    );
                }
            }));
        }
    }
}

type BackgroundTask = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

fn spawn_until_aborted(shutdown: &Shutdown, task: BackgroundTask) {
    let abort_token = shutdown.abort_token();
    tokio::spawn(async move {
        abort_token.run_until_cancelled(task).await;
    });
}

async fn apply_config(state: Arc<NodeState>, mut changed: watch::Receiver<Version>) {
    while changed.changed().await.is_ok() {
        let Some(object) = state.documents.get(CONFIG_KEY) else {
            continue;
        };
        let in_force = state.config.load().as_ref().map_or(0, |c| c.version);
        if object.version <= in_force {
            state.metrics.add(Counter::StaleConfigs, 1);
            continue;
        }
        match Config::from_object(&object) {
            Some(config) => {
                log::info!("configuration {} is in force", config.version);
                state.metrics.add(Counter::Configs, 1);
                state.config.store(Some(Arc::new(config)));
            }
            None => log::error!(
                "configuration {} cannot be parsed; the previous one stays in force",
                object.version
            ),
        }
    }
}

async fn apply_vms(state: Arc<NodeState>, mut changed: watch::Receiver<Version>) {
    while changed.changed().await.is_ok() {
        let Some(object) = state.documents.get(VMS_KEY) else {
            continue;
        };
        match read_vms(&object.body) {
            Some(vms) => state.fleet.replace_vms(&vms),
            None => log::error!("the VM list cannot be parsed; the previous one stays in use"),
        }
        // A report that arrived before its runner was on the VM list was
        // ignored, so the latest reports are applied once more.
        for announcement in state.membership.announcements(RUNNER_TOPIC) {
            apply_report(&state, &announcement.key, &announcement.body);
        }
    }
}

/// Parses the list of VMs. An entry that can't be read names no VM to use, and costs no
/// other one.
pub(super) fn read_vms(list: &[u8]) -> Option<Vec<Vm>> {
    let text = json_parts::decode(list);
    let entries = json_parts::elements(&text)?;
    let vms = entries.into_iter().filter_map(|entry| {
        let vm = serde_json::from_str(entry);
        vm.inspect_err(|error| log::warn!("an entry of the VM list cannot be parsed: {error}"))
            .ok()
    });
    Some(vms.collect())
}

async fn follow_announcements(state: Arc<NodeState>) {
    let mut events = state.membership.subscribe();
    loop {
        match events.recv().await {
            Ok(MembershipEvent::Announced(announcement)) => match announcement.topic {
                CRASH_TOPIC | POISON_TOPIC => state.crash_tracker.apply_announcement(&announcement),
                topic if is_part_topic(topic) => {
                    state.crash_tracker.parts.apply_announcement(&announcement);
                }
                RUNNER_TOPIC => apply_report(&state, &announcement.key, &announcement.body),
                _ => {}
            },
            Ok(MembershipEvent::Document { .. }) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

/// Whether the topic is about the parts of prompts that crash runners.
fn is_part_topic(topic: u32) -> bool {
    topic == crash_announcement::CRASH_TOPIC || crash_announcement::is_clearance_topic(topic)
}

fn apply_report(state: &NodeState, runner: &str, body: &[u8]) {
    if let Ok(report) = serde_json::from_slice::<RunnerReport>(body) {
        state.fleet.apply_announced_report(runner, &report);
    }
}

async fn watch_runners(state: Arc<NodeState>) {
    let client = RunnerClient::new(HttpClient::new());
    let mut watch = RunnerWatch::new(state.fleet.clone(), client, state.membership.clone());
    let interval = state.settings.timing.watch_interval;
    loop {
        let next = tokio::time::sleep(interval);
        watch.poll(interval).await;
        next.await;
    }
}

async fn reconcile_orders(state: Arc<NodeState>) {
    let mut reconciler = OrderReconciler::new(
        state.platform.clone(),
        &state.membership.me().claimant(),
        state.settings.timing.order_lease,
        state.fleet.clone(),
        RunnerClient::new(HttpClient::new()),
        state.metrics.clone(),
        state.settings.load_spacing,
    );
    loop {
        tokio::time::sleep(ORDER_CHECK_INTERVAL).await;
        let Some(config) = state.config.load_full() else {
            continue;
        };
        if is_order_candidate(&state) {
            reconciler.reconcile(&config).await;
        }
    }
}

/// Whether this node is the one that tries to acquire the lease under which
/// orders (which models a runner must load) are sent. The choice only keeps nodes
/// from competing for the lease: two nodes may both consider themselves chosen,
/// and the lease keeps them from both sending orders.
fn is_order_candidate(state: &NodeState) -> bool {
    let alive = state.membership.alive();
    let candidates = alive.iter().filter(|member| !member.leaving);
    let order = rendezvous_order(0, candidates.map(|member| member.node.as_str()));
    order.first() == Some(&state.settings.node.as_str())
}
