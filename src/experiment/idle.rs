//! Whole nodes without callers: what their upkeep costs them and the platform.

use std::io;
use std::time::Duration;

use crate::experiment::deployment::Deployment;
use crate::experiment::local_cluster::{ClusterPlan, LocalCluster};
use crate::observe::process_usage::ProcessUsage;
use crate::observe::report::Report;
use crate::stand_in::platform::{PlatformCounts, PlatformFaults};

/// Sizes of the fleet.
const NODE_COUNTS: [usize; 3] = [7, 14, 21];
/// Runners for each node, as at the users' target.
const RUNNERS_PER_NODE: usize = 4;
/// How long each phase lasts.
const PHASE: Duration = Duration::from_secs(10);
/// Time between probes and between looks at a runner, as in the examples.
const INTERVAL: Duration = Duration::from_secs(1);

/// Measures each size: start, idle, platform away, and back.
pub(crate) async fn measure_idle() -> io::Result<Report> {
    let columns = [
        "nodes",
        "runners",
        "start_calls_per_node",
        "idle_reads_per_s",
        "idle_writes_per_s",
        "idle_watches_per_s",
        "after_outage_calls_per_s",
        "sent_B_per_s",
        "received_B_per_s",
        "cpu_%_of_core",
        "memory_KB",
    ];
    let mut report = Report::new("whole nodes without callers", &columns);
    for node_count in NODE_COUNTS {
        report.push(measure(node_count).await?);
    }
    Ok(report)
}

async fn measure(node_count: usize) -> io::Result<Vec<String>> {
    let runner_count = node_count * RUNNERS_PER_NODE;
    let memory_before = ProcessUsage::now().memory_bytes;
    let mut plan = ClusterPlan::new(node_count, runner_count, Deployment::Kestrel.intent()?);
    plan.timing.probe_interval = INTERVAL;
    plan.timing.watch_interval = INTERVAL;
    let cluster = LocalCluster::start(plan).await?;
    let at_start = calls(cluster.platform.counts());
    // Orders of the first configuration are carried out meanwhile.
    tokio::time::sleep(PHASE).await;

    let usage_before = ProcessUsage::now();
    let traffic_before = traffic(&cluster);
    let before = cluster.platform.counts();
    tokio::time::sleep(PHASE).await;
    let after = cluster.platform.counts();
    let traffic_after = traffic(&cluster);
    let usage = ProcessUsage::now();

    cluster.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    tokio::time::sleep(PHASE / 2).await;
    cluster.platform.set_faults(PlatformFaults::default());
    let back = calls(cluster.platform.counts());
    tokio::time::sleep(PHASE / 2).await;
    let after_outage = calls(cluster.platform.counts()) - back;
    cluster.stop().await;

    let nodes = node_count as f64;
    let phase_s = PHASE.as_secs_f64();
    let per_s = |a: u64, b: u64| format!("{:.1}", (a - b) as f64 / phase_s);
    let per_node_s = |a: u64, b: u64| format!("{:.0}", (a - b) as f64 / phase_s / nodes);
    let cpu = (usage.cpu - usage_before.cpu).as_secs_f64() / phase_s;
    let memory = usage.memory_bytes.saturating_sub(memory_before) as f64;
    Ok(vec![
        node_count.to_string(),
        runner_count.to_string(),
        format!("{:.1}", at_start as f64 / nodes),
        per_s(after.read_count, before.read_count),
        per_s(after.write_count, before.write_count),
        per_s(after.watch_count, before.watch_count),
        format!("{:.1}", after_outage as f64 / (phase_s / 2.0)),
        per_node_s(traffic_after.0, traffic_before.0),
        per_node_s(traffic_after.1, traffic_before.1),
        format!("{:.3}", cpu / nodes * 100.0),
        format!("{:.0}", memory / nodes / 1024.0),
    ])
}

fn calls(counts: PlatformCounts) -> u64 {
    counts.read_count + counts.write_count + counts.watch_count
}

/// Bytes sent and received between nodes.
fn traffic(cluster: &LocalCluster) -> (u64, u64) {
    let nodes = cluster.nodes.iter().flatten();
    nodes.fold((0, 0), |(sent, received), node| {
        let traffic = node.control_traffic();
        (sent + traffic.sent_bytes, received + traffic.received_bytes)
    })
}
