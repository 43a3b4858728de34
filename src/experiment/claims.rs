//! Platform reads and writes per at-most-once call at growing call rates, and
//! the latency of such calls compared with idempotent ones.
//!
//! A claim is a record at the platform that gives one node the right to send a
//! call. A guarded call takes a claim, so that it is executed at most once. An
//! unguarded call goes to a service that the operators' intent declares
//! idempotent, and needs no claim.

use std::io;
use std::time::{Duration, Instant};

use crate::caller::client::{CallReport, Caller};
use crate::experiment::deployment::Deployment;
use crate::experiment::local_cluster::{ClusterPlan, LocalCluster};
use crate::observe::report::Report;
use crate::observe::sample::Sample;

/// Calls that are sent per second.
const RATES_PER_S: [u32; 6] = [1, 10, 50, 100, 250, 500];
/// Time for which calls are sent at each rate.
const RATE_DURATION: Duration = Duration::from_secs(4);
/// Delay of the platform's answers, as the requirements state it.
const PLATFORM_DELAY_MS: u64 = 2;
/// Minimum time between two writes of a claim shard, the object that stores many
/// claims, as in the example settings.
const WRITE_SPACING: Duration = Duration::from_millis(20);

/// Measures guarded and unguarded calls at each rate.
pub(crate) async fn measure_claims() -> io::Result<Report> {
    let columns = [
        "calls_per_s",
        "guarded",
        "calls",
        "answered",
        "runs",
        "writes_per_call",
        "reads_per_call",
        "writes_per_s",
        "p50_ms",
        "p99_ms",
    ];
    let mut report = Report::new("calls that run at most once", &columns);
    for is_guarded in [true, false] {
        let cluster = start_cluster(is_guarded).await?;
        for rate_per_s in RATES_PER_S {
            let row = measure(&cluster, is_guarded, rate_per_s).await?;
            report.push(row);
        }
        cluster.stop().await;
    }
    Ok(report)
}

/// Starts a cluster on which calls of the service `payments` are guarded or
/// unguarded.
async fn start_cluster(is_guarded: bool) -> io::Result<LocalCluster> {
    let kestrel = Deployment::Kestrel;
    let mut intent = kestrel.intent()?;
    if let Some(payments) = intent.services.get_mut("payments") {
        payments.idempotent = !is_guarded;
    }
    let mut plan = ClusterPlan::new(kestrel.node_count(), 1, intent).with_service("payments", 3);
    plan.claims.write_spacing = WRITE_SPACING;
    let cluster = LocalCluster::start(plan).await?;
    cluster
        .platform
        .set_faults(crate::stand_in::platform::PlatformFaults {
            slow_ms: PLATFORM_DELAY_MS,
            ..Default::default()
        });
    Ok(cluster)
}

async fn measure(
    cluster: &LocalCluster,
    is_guarded: bool,
    rate_per_s: u32,
) -> io::Result<Vec<String>> {
    let node_addresses = cluster.caller_addresses();
    let (key, kind, _) = Deployment::Kestrel.caller();
    let caller = cluster.caller(key, kind);
    let counts_before = cluster.platform.counts();
    let executed_before = executed_count(cluster);
    let call_count = rate_per_s * RATE_DURATION.as_secs() as u32;
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate_per_s);
    let mut calls = Vec::new();
    let began_at = Instant::now();
    for number in 0..call_count {
        ticks.tick().await;
        let node = node_addresses[number as usize % node_addresses.len()];
        let name = format!("{is_guarded}-{rate_per_s}-{number}");
        calls.push(tokio::spawn(call_and_time(caller.clone(), node, name)));
    }
    let mut latency = Sample::new();
    let mut answered = 0;
    for call in calls {
        let (was_answered, took_ms) = call.await.map_err(io::Error::other)?;
        answered += u32::from(was_answered);
        latency.add_ms(took_ms);
    }
    let took_s = began_at.elapsed().as_secs_f64();
    let counts_after = cluster.platform.counts();
    let writes = (counts_after.write_count - counts_before.write_count) as f64;
    let reads = (counts_after.read_count - counts_before.read_count) as f64;
    Ok(vec![
        rate_per_s.to_string(),
        is_guarded.to_string(),
        call_count.to_string(),
        answered.to_string(),
        (executed_count(cluster) - executed_before).to_string(),
        format!("{:.2}", writes / f64::from(call_count)),
        format!("{:.2}", reads / f64::from(call_count)),
        format!("{:.0}", writes / took_s),
        latency.quantile(0.5),
        latency.quantile(0.99),
    ])
}

/// Number of calls that all instances of the service have executed.
fn executed_count(cluster: &LocalCluster) -> usize {
    cluster.services.iter().map(|(s, _)| s.ledger().len()).sum()
}

/// Returns whether the call was answered, and its latency in milliseconds.
async fn call_and_time(caller: Caller, node: std::net::SocketAddr, key: String) -> (bool, f64) {
    let began_at = Instant::now();
    let report = caller
        .call_at(node, "payments", "disburse", &key, "{}")
        .await;
    let took_ms = began_at.elapsed().as_secs_f64() * 1e3;
    (matches!(report, CallReport::Answered { .. }), took_ms)
}
