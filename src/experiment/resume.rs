//! Resume latency, and tokens generated but not delivered, after runner faults:
//! through the nodes and for two baselines that call the runners directly.
//!
//! Resume latency is the time between the last new token that a caller receives
//! before its stream is resumed and the first new one after that.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::client::CompletionParams;
use crate::caller::direct_caller::{DirectCaller, Recovery};
use crate::experiment::deployment::Deployment;
use crate::experiment::local_cluster::{ClusterPlan, LocalCluster};
use crate::observe::report::Report;
use crate::observe::sample::Sample;
use crate::stand_in::runner_profile::RunnerFaults;

/// Answers in flight when the fault occurs.
const CALL_COUNT: usize = 60;
/// Tokens of each answer.
const TOKEN_COUNT: u64 = 100;
/// Time that a runner takes per token, near that of a real engine.
const TOKEN_INTERVAL: Duration = Duration::from_millis(25);
/// Time from the start of the calls until the fault.
const FAULT_DELAY: Duration = Duration::from_millis(1200);
/// Repetitions per table row, each with one fault on a new cluster.
const ROUND_COUNT: u32 = 2;
/// Factor by which a slow runner becomes slower.
const SLOW_FACTOR: u32 = 10;
/// Silence after which the baseline with [`Recovery::Resume`] gives an attempt
/// up.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1000);
/// Silence after which the baseline with [`Recovery::Restart`] gives an attempt
/// up.
const RESTART_TIMEOUT: Duration = Duration::from_secs(2);

/// Fault that is injected at the runner with the most running streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The runner is killed, which resets its connections.
    Reset,
    /// The runner freezes, and its connections stay open.
    Silence,
    /// The runner generates more slowly.
    Slow,
}

impl Fault {
    const ALL: [Self; 3] = [Self::Reset, Self::Silence, Self::Slow];

    fn name(self) -> &'static str {
        match self {
            Self::Reset => "reset",
            Self::Silence => "silence",
            Self::Slow => "10x slower",
        }
    }
}

/// How callers reach the runners.
#[derive(Clone, Debug)]
enum CallPath {
    /// Through the nodes.
    Nodes,
    /// By direct calls, with the recovery and the time-out of a baseline.
    Direct(Recovery, Duration),
}

/// Results of all rounds of one measurement, which give one row of the table of
/// [`measure_resume`].
#[derive(Debug)]
struct Totals {
    resume_latency: Sample,
    resume_count: u64,
    complete_count: usize,
    delivered_count: u64,
    generated_count: u64,
}

/// Measures the nodes and both baselines under each fault, in both deployments.
pub(crate) async fn measure_resume(seed: u64) -> io::Result<Report> {
    let columns = [
        "deployment",
        "way",
        "fault",
        "resumes",
        "p50_ms",
        "p95_ms",
        "p99_ms",
        "extra_tokens_%",
        "whole",
        "answers",
    ];
    let mut report = Report::new("resume latency and extra work", &columns);
    let call_paths = [
        ("nodes", CallPath::Nodes),
        (
            "fixed time-out",
            CallPath::Direct(Recovery::Resume, RESUME_TIMEOUT),
        ),
        (
            "start over",
            CallPath::Direct(Recovery::Restart, RESTART_TIMEOUT),
        ),
    ];
    for deployment in Deployment::ALL {
        for (name, call_path) in &call_paths {
            // Each fault has a cluster of its own. The three clusters run
            // concurrently, because together they leave the machine idle enough.
            let totals_by_fault = tokio::try_join!(
                measure(deployment, call_path, Fault::Reset, seed),
                measure(deployment, call_path, Fault::Silence, seed),
                measure(deployment, call_path, Fault::Slow, seed),
            )?;
            let totals_by_fault = [totals_by_fault.0, totals_by_fault.1, totals_by_fault.2];
            for (fault, totals) in Fault::ALL.into_iter().zip(totals_by_fault) {
                report.push(table_row(deployment, name, fault, &totals));
            }
        }
    }
    Ok(report)
}

fn table_row(
    deployment: Deployment,
    path_name: &str,
    fault: Fault,
    totals: &Totals,
) -> Vec<String> {
    let extra_count = totals
        .generated_count
        .saturating_sub(totals.delivered_count);
    let extra_percent = extra_count as f64 * 100.0 / totals.delivered_count.max(1) as f64;
    vec![
        deployment.name().to_owned(),
        path_name.to_owned(),
        fault.name().to_owned(),
        totals.resume_count.to_string(),
        totals.resume_latency.quantile(0.5),
        totals.resume_latency.quantile(0.95),
        totals.resume_latency.quantile(0.99),
        format!("{extra_percent:.2}"),
        totals.complete_count.to_string(),
        (CALL_COUNT * ROUND_COUNT as usize).to_string(),
    ]
}

async fn measure(
    deployment: Deployment,
    call_path: &CallPath,
    fault: Fault,
    seed: u64,
) -> io::Result<Totals> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut total = Totals {
        resume_latency: Sample::new(),
        resume_count: 0,
        complete_count: 0,
        delivered_count: 0,
        generated_count: 0,
    };
    for round in 0..ROUND_COUNT {
        let mut plan = ClusterPlan::new(
            deployment.node_count(),
            deployment.runner_count(),
            deployment.intent()?,
        );
        plan.runner_profile.token_interval = TOKEN_INTERVAL;
        let mut cluster = LocalCluster::start(plan).await?;
        let calls: Vec<_> = (0..CALL_COUNT)
            .map(|number| {
                let prompt = format!(
                    "question {number} of round {round}: {}",
                    rng.random::<u64>()
                );
                tokio::spawn(complete_and_measure(
                    deployment,
                    call_path.clone(),
                    &cluster,
                    prompt,
                ))
            })
            .collect();
        tokio::time::sleep(FAULT_DELAY).await;
        inject_fault(&mut cluster, fault).await;
        for call in calls {
            let result = call.await.map_err(io::Error::other)?;
            total.resume_count += result.resume_ms.len() as u64;
            result
                .resume_ms
                .iter()
                .for_each(|ms| total.resume_latency.add_ms(*ms));
            total.complete_count += usize::from(result.is_complete);
            total.delivered_count += result.token_count;
        }
        let runners = cluster.runners.iter();
        total.generated_count += runners.map(|r| r.engine.ledger().token_count).sum::<u64>();
        cluster.stop().await;
    }
    Ok(total)
}

async fn inject_fault(cluster: &mut LocalCluster, fault: Fault) {
    let busiest = cluster.busiest_runner();
    let engine = cluster.runners[busiest].engine.clone();
    match fault {
        Fault::Reset => cluster.kill_runner(busiest).await,
        Fault::Silence => engine.set_faults(RunnerFaults {
            freeze: true,
            ..RunnerFaults::default()
        }),
        Fault::Slow => engine.set_faults(RunnerFaults {
            slow_factor: SLOW_FACTOR,
            ..RunnerFaults::default()
        }),
    }
}

/// What the caller of one answer measured.
struct CallResult {
    resume_ms: Vec<f64>,
    is_complete: bool,
    token_count: u64,
}

fn complete_and_measure(
    deployment: Deployment,
    call_path: CallPath,
    cluster: &LocalCluster,
    prompt: String,
) -> impl Future<Output = CallResult> + use<> {
    let (key, kind, model) = deployment.caller();
    let caller = cluster.caller(key, kind);
    let runners: Vec<SocketAddr> = cluster
        .runners
        .iter()
        .filter_map(|runner| runner.server.as_ref().map(|s| s.address()))
        .collect();
    let version = cluster.model_version(model);
    async move {
        match call_path {
            CallPath::Nodes => {
                let params = CompletionParams {
                    model: model.to_owned(),
                    prompt,
                    max_tokens: TOKEN_COUNT,
                    brings_text: true,
                };
                let report = caller.complete(&params).await;
                CallResult {
                    is_complete: report.ended && report.broken.is_none(),
                    resume_ms: report.resume_ms,
                    token_count: report.token_count,
                }
            }
            CallPath::Direct(recovery, timeout) => {
                let caller = DirectCaller {
                    runners,
                    model: (model.to_owned(), version),
                    timeout,
                    recovery,
                };
                let report = caller.complete(&prompt, TOKEN_COUNT, None).await;
                CallResult {
                    resume_ms: report.resume_ms,
                    is_complete: report.ended,
                    token_count: report.token_count,
                }
            }
        }
    }
}
