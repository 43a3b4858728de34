//! Local clusters with an example intent, and callers that request completions
//! from them.

use std::time::Duration;

use zinniawing::{
    Caller, ClusterPlan, CompletionParams, CompletionReport, Intent, LocalCluster, RunnerFaults,
};

pub const CUSTOMER_KEY: &str = "federation-key";
pub const OTHER_KEY: &str = "local-17-key";
pub const MODEL: &str = "steward-chat";

pub fn kestrel_intent() -> Intent {
    serde_saphyr::from_str(include_str!("../../examples/kestrel-intent.yaml"))
        .expect("a valid intent")
}

pub fn cluster_plan(node_count: usize, runner_count: usize) -> ClusterPlan {
    let mut plan = ClusterPlan::new(node_count, runner_count, kestrel_intent());
    plan.runner_profile.token_interval = Duration::from_millis(10);
    plan
}

pub async fn start(plan: ClusterPlan) -> LocalCluster {
    LocalCluster::start(plan).await.expect("the cluster starts")
}

/// Kills a running node and starts it again.
pub async fn restart_node(cluster: &mut LocalCluster, number: usize) {
    let node = cluster.nodes[number].take().expect("the node runs");
    node.kill().await;
    let started = cluster.start_node(number).await;
    started.expect("the node starts again");
}

pub fn params(prompt: &str, max_tokens: u64) -> CompletionParams {
    CompletionParams {
        model: MODEL.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        brings_text: true,
    }
}

pub fn steward_caller(cluster: &LocalCluster) -> Caller {
    cluster.caller(CUSTOMER_KEY, "steward")
}

pub async fn wait_for_tokens(cluster: &LocalCluster, count: u64) {
    let generated = |c: &LocalCluster| -> u64 {
        c.runners
            .iter()
            .map(|r| r.engine.ledger().token_count)
            .sum()
    };
    let waited = cluster.wait_for("tokens", |c| generated(c) >= count);
    waited.await.expect("tokens are generated");
}

pub fn spawn_completion(
    caller: &Caller,
    params: CompletionParams,
) -> tokio::task::JoinHandle<CompletionReport> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.complete(&params).await })
}

pub fn set_frozen(cluster: &LocalCluster, runner: usize, is_frozen: bool) {
    let faults = RunnerFaults {
        freeze: is_frozen,
        ..RunnerFaults::default()
    };
    cluster.runners[runner].engine.set_faults(faults);
}

pub fn slow_down(cluster: &LocalCluster, runner: usize, factor: u32) {
    let faults = RunnerFaults {
        slow_factor: factor,
        ..RunnerFaults::default()
    };
    cluster.runners[runner].engine.set_faults(faults);
}

pub fn assert_complete(report: &CompletionReport, token_count: u64) {
    assert_eq!(report.broken, None, "{report:?}");
    assert!(report.ended, "{report:?}");
    assert_eq!(report.token_count, token_count, "{report:?}");
}

pub fn generating_runner(cluster: &LocalCluster) -> usize {
    let mut runners = cluster.runners.iter().enumerate();
    let running = runners.find(|(_, r)| r.engine.running_count() > 0);
    running.expect("a runner runs the generation").0
}

/// Number of streams that runners have opened, over all runners.
pub fn opened_count(cluster: &LocalCluster) -> u64 {
    let runners = cluster.runners.iter();
    runners.map(|r| r.engine.ledger().opened_count).sum()
}
