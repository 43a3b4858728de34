//! Resume latency against extra work, with two baselines in the same run.

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

/// Answers under way when the fault comes.
const CALL_COUNT: usize = 60;
/// Tokens of each answer.
const TOKEN_COUNT: u64 = 100;
/// Time between two tokens, near that of a real engine.
const TOKEN_INTERVAL: Duration = Duration::from_millis(25);
/// How long answers run before the fault.
const BEFORE_FAULT: Duration = Duration::from_millis(1200);
/// Faults of each kind.
const ROUNDS: u32 = 2;
/// How much slower a slow runner becomes.
const SLOW_FACTOR: u32 = 10;
/// Time-out of the baseline that has a fixed one.
const FIXED_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time-out of the baseline that starts over.
const START_OVER_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Reset,
    Silence,
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

#[derive(Clone, Debug)]
enum Way {
    /// Through the nodes.
    Nodes,
    /// Straight to the runners.
    Direct(Recovery, Duration),
}

#[derive(Debug)]
struct Outcome {
    resume: Sample,
    lost_count: u64,
    whole_count: usize,
    delivered_count: u64,
    generated_count: u64,
}

/// Measures both deployments and both baselines under each fault.
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
    let ways = [
        ("nodes", Way::Nodes),
        (
            "fixed time-out",
            Way::Direct(Recovery::Resume, FIXED_TIMEOUT),
        ),
        (
            "start over",
            Way::Direct(Recovery::Restart, START_OVER_TIMEOUT),
        ),
    ];
    for deployment in Deployment::ALL {
        for (name, way) in &ways {
            // The faults are brought about in clusters of their own, and leave
            // the machine idle enough to be measured side by side.
            let outcomes = tokio::try_join!(
                measure(deployment, way, Fault::Reset, seed),
                measure(deployment, way, Fault::Silence, seed),
                measure(deployment, way, Fault::Slow, seed),
            )?;
            let outcomes = [outcomes.0, outcomes.1, outcomes.2];
            for (fault, outcome) in Fault::ALL.into_iter().zip(outcomes) {
                report.push(describe(deployment, name, fault, &outcome));
            }
        }
    }
    Ok(report)
}

fn describe(deployment: Deployment, way: &str, fault: Fault, outcome: &Outcome) -> Vec<String> {
    let extra = outcome
        .generated_count
        .saturating_sub(outcome.delivered_count);
    let share = extra as f64 * 100.0 / outcome.delivered_count.max(1) as f64;
    vec![
        deployment.name().to_owned(),
        way.to_owned(),
        fault.name().to_owned(),
        outcome.lost_count.to_string(),
        outcome.resume.quantile(0.5),
        outcome.resume.quantile(0.95),
        outcome.resume.quantile(0.99),
        format!("{share:.2}"),
        outcome.whole_count.to_string(),
        (CALL_COUNT * ROUNDS as usize).to_string(),
    ]
}

async fn measure(
    deployment: Deployment,
    way: &Way,
    fault: Fault,
    seed: u64,
) -> io::Result<Outcome> {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut total = Outcome {
        resume: Sample::new(),
        lost_count: 0,
        whole_count: 0,
        delivered_count: 0,
        generated_count: 0,
    };
    for round in 0..ROUNDS {
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
                    draw.random::<u64>()
                );
                tokio::spawn(call(deployment, way.clone(), &cluster, prompt))
            })
            .collect();
        tokio::time::sleep(BEFORE_FAULT).await;
        bring_about(&mut cluster, fault).await;
        for call in calls {
            let seen = call.await.map_err(io::Error::other)?;
            total.lost_count += seen.resume_ms.len() as u64;
            seen.resume_ms
                .iter()
                .for_each(|ms| total.resume.add_ms(*ms));
            total.whole_count += usize::from(seen.whole);
            total.delivered_count += seen.token_count;
        }
        let runners = cluster.runners.iter();
        total.generated_count += runners.map(|r| r.engine.ledger().token_count).sum::<u64>();
        cluster.stop().await;
    }
    Ok(total)
}

async fn bring_about(cluster: &mut LocalCluster, fault: Fault) {
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

struct Seen {
    resume_ms: Vec<f64>,
    whole: bool,
    token_count: u64,
}

fn call(
    deployment: Deployment,
    way: Way,
    cluster: &LocalCluster,
    prompt: String,
) -> impl Future<Output = Seen> + use<> {
    let (key, kind, model) = deployment.caller();
    let caller = cluster.caller(key, kind);
    let runners: Vec<SocketAddr> = cluster
        .runners
        .iter()
        .filter_map(|runner| runner.server.as_ref().map(|s| s.address()))
        .collect();
    let version = cluster.model_version(model);
    async move {
        match way {
            Way::Nodes => {
                let params = CompletionParams {
                    model: model.to_owned(),
                    prompt,
                    max_tokens: TOKEN_COUNT,
                    brings_text: true,
                };
                let report = caller.complete(&params).await;
                Seen {
                    whole: report.ended && report.broken.is_none(),
                    resume_ms: report.resume_ms,
                    token_count: report.token_count,
                }
            }
            Way::Direct(recovery, timeout) => {
                let caller = DirectCaller {
                    runners,
                    model: (model.to_owned(), version),
                    timeout,
                    recovery,
                };
                let report = caller.complete(&prompt, TOKEN_COUNT, None).await;
                Seen {
                    resume_ms: report.resume_ms,
                    whole: report.ended,
                    token_count: report.token_count,
                }
            }
        }
    }
}
