//! Idle cost of nodes that run all their parts, unlike those of `control`, which
//! run only the membership protocol: requests to the platform, traffic between
//! nodes, processor time and memory.

use std::io;
use std::time::Duration;

use crate::experiment::deployment::Deployment;
use crate::experiment::local_cluster::{ClusterPlan, LocalCluster};
use crate::observe::process_usage::ProcessUsage;
use crate::observe::report::Report;
use crate::stand_in::platform::{PlatformCounts, PlatformFaults};

/// Numbers of nodes that are measured.
const NODE_COUNTS: [usize; 3] = [7, 14, 21];
/// Runners per node, about as at the target scale of 1500 runners and 390 nodes.
const RUNNERS_PER_NODE: usize = 4;
/// Duration of each phase: the start, the idle measurement, and an outage of the
/// platform. The outage takes half of its phase; in the other half the requests
/// to the platform are counted.
const PHASE_DURATION: Duration = Duration::from_secs(10);
/// Interval of membership probes and of runner polls, as in the example
/// settings.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Measures each number of nodes during the start, while idle, and after an
/// outage of the platform.
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
    plan.timing.probe_interval = PROBE_INTERVAL;
    plan.timing.watch_interval = PROBE_INTERVAL;
    let cluster = LocalCluster::start(plan).await?;
    let start_calls = total_calls(cluster.platform.counts());
    // Waits until the runners have executed the orders of the first
    // configuration, so that they do not count as idle load.
    tokio::time::sleep(PHASE_DURATION).await;

    let usage_before = ProcessUsage::now();
    let traffic_before = control_traffic_bytes(&cluster);
    let counts_before = cluster.platform.counts();
    tokio::time::sleep(PHASE_DURATION).await;
    let counts_after = cluster.platform.counts();
    let traffic_after = control_traffic_bytes(&cluster);
    let usage = ProcessUsage::now();

    cluster.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    tokio::time::sleep(PHASE_DURATION / 2).await;
    cluster.platform.set_faults(PlatformFaults::default());
    let calls_before = total_calls(cluster.platform.counts());
    tokio::time::sleep(PHASE_DURATION / 2).await;
    let calls_after_outage = total_calls(cluster.platform.counts()) - calls_before;
    cluster.stop().await;

    let nodes = node_count as f64;
    let phase_s = PHASE_DURATION.as_secs_f64();
    let per_s = |a: u64, b: u64| format!("{:.1}", (a - b) as f64 / phase_s);
    let per_node_s = |a: u64, b: u64| format!("{:.0}", (a - b) as f64 / phase_s / nodes);
    let cpu_share = (usage.cpu - usage_before.cpu).as_secs_f64() / phase_s;
    let memory_growth_bytes = usage.memory_bytes.saturating_sub(memory_before) as f64;
    Ok(vec![
        node_count.to_string(),
        runner_count.to_string(),
        format!("{:.1}", start_calls as f64 / nodes),
        per_s(counts_after.read_count, counts_before.read_count),
        per_s(counts_after.write_count, counts_before.write_count),
        per_s(counts_after.watch_count, counts_before.watch_count),
        format!("{:.1}", calls_after_outage as f64 / (phase_s / 2.0)),
        per_node_s(traffic_after.0, traffic_before.0),
        per_node_s(traffic_after.1, traffic_before.1),
        format!("{:.3}", cpu_share / nodes * 100.0),
        format!("{:.0}", memory_growth_bytes / nodes / 1024.0),
    ])
}

/// Number of requests to the platform: reads, writes and watches.
fn total_calls(counts: PlatformCounts) -> u64 {
    counts.read_count + counts.write_count + counts.watch_count
}

/// Bytes that all nodes together have sent to and received from their peers.
fn control_traffic_bytes(cluster: &LocalCluster) -> (u64, u64) {
    let nodes = cluster.nodes.iter().flatten();
    nodes.fold((0, 0), |(sent, received), node| {
        let traffic = node.control_traffic();
        (sent + traffic.sent_bytes, received + traffic.received_bytes)
    })
}
