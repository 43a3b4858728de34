//! Rollout of a configuration: the time from the confirmation of an intent until
//! its configuration is in force on every node.
//!
//! An intent is what operators want to run: models, customers and services. Once
//! an operator confirms it, a new version of the configuration is made from it,
//! which is in force on a node when the node applies it.

use std::io;
use std::time::{Duration, Instant};

use crate::experiment::deployment::Deployment;
use crate::experiment::local_cluster::{ClusterPlan, LocalCluster};
use crate::observe::report::Report;
use crate::observe::sample::Sample;

/// Numbers of nodes that are measured.
const NODE_COUNTS: [usize; 4] = [7, 21, 42, 84];
/// Confirmations per row.
const CONFIRMATION_COUNT: u32 = 20;
/// Datagrams lost between nodes, per thousand.
const LOSSES_PER_MILLE: [u32; 3] = [0, 50, 300];
/// Time after a confirmation within which users require the configuration to be
/// in force on every node. The column `beyond_bound` counts the configurations
/// that took longer.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Measures each number of nodes at each loss rate.
pub(crate) async fn measure_rollout() -> io::Result<Report> {
    let columns = [
        "nodes",
        "loss_%",
        "confirmations",
        "p50_ms",
        "p99_ms",
        "max_ms",
        "beyond_bound",
    ];
    let mut report = Report::new("configuration in force everywhere", &columns);
    for node_count in NODE_COUNTS {
        let mut plan = ClusterPlan::new(node_count, 1, Deployment::Kestrel.intent()?);
        plan.timing.probe_interval = Duration::from_secs(1);
        let cluster = LocalCluster::start(plan).await?;
        for lost_per_mille in LOSSES_PER_MILLE {
            cluster
                .links
                .iter()
                .for_each(|links| links.lose(lost_per_mille));
            report.push(measure(&cluster, node_count, lost_per_mille).await?);
        }
        cluster.stop().await;
    }
    Ok(report)
}

async fn measure(
    cluster: &LocalCluster,
    node_count: usize,
    lost_per_mille: u32,
) -> io::Result<Vec<String>> {
    let mut times_to_force = Sample::new();
    let mut beyond_bound_count = 0;
    for number in 0..CONFIRMATION_COUNT {
        let operator = cluster.operator(number as usize % node_count);
        let mut intent = Deployment::Kestrel.intent()?;
        // Each intent asks for another number of runners, so that each confirmation
        // changes the configuration.
        if let Some(model) = intent.models.get_mut("steward-chat") {
            model.runner_count = 2 + number + lost_per_mille;
        }
        let plan = operator
            .state_intent(&intent)
            .await
            .map_err(io::Error::other)?;
        let confirmation = operator.confirm(&plan.intent_id, plan.base).await;
        let version = confirmation.map_err(io::Error::other)?.version;
        let confirmed_at = Instant::now();
        let is_in_force_everywhere = || {
            let mut nodes = cluster.nodes.iter().flatten();
            nodes.all(|node| node.config_version() >= version)
        };
        while !is_in_force_everywhere() && confirmed_at.elapsed() < IN_FORCE_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        beyond_bound_count += u32::from(!is_in_force_everywhere());
        times_to_force.add_ms(confirmed_at.elapsed().as_secs_f64() * 1e3);
    }
    Ok(vec![
        node_count.to_string(),
        format!("{}", lost_per_mille / 10),
        CONFIRMATION_COUNT.to_string(),
        times_to_force.quantile(0.5),
        times_to_force.quantile(0.99),
        times_to_force.max(),
        beyond_bound_count.to_string(),
    ])
}
