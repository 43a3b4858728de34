//! Number of runners that crash when a caller sends a poison request repeatedly.
//!
//! A poison request crashes every runner that executes it. Nodes have to detect
//! it and refuse it, without refusing the harmless requests that were in flight
//! at the same runners.

use std::io;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::client::CompletionParams;
use crate::error::ErrorKind;
use crate::experiment::deployment::Deployment;
use crate::experiment::local_cluster::{ClusterPlan, LocalCluster};
use crate::observe::report::Report;
use crate::observe::sample::Sample;
use crate::stand_in::runner::CRASH_MARK;

/// Harmless requests that are in flight while the poison request is sent.
const HARMLESS_COUNT: usize = 100;
/// Number of times that the poison request is sent, each time through the next
/// node.
const SEND_COUNT: usize = 20;
/// Tokens of an answer.
const TOKEN_COUNT: u64 = 250;
/// Repetitions per deployment, each on a new cluster.
const ROUND_COUNT: u64 = 5;

/// Measures both deployments. Round `n` uses the seed `seed + n`.
pub(crate) async fn measure_crashes(seed: u64) -> io::Result<Report> {
    let columns = [
        "deployment",
        "round",
        "runners_lost",
        "innocents",
        "innocents_whole",
        "innocents_convicted",
        "refused",
        "sendings",
        "first_refusal_ms",
        "later_refusal_p99_ms",
    ];
    let mut report = Report::new("a request that crashes its runners", &columns);
    for deployment in Deployment::ALL {
        for round in 0..ROUND_COUNT {
            let mut rng = StdRng::seed_from_u64(seed + round);
            report.push(measure(deployment, round, &mut rng).await?);
        }
    }
    Ok(report)
}

async fn measure(deployment: Deployment, round: u64, rng: &mut StdRng) -> io::Result<Vec<String>> {
    let plan = ClusterPlan::new(
        deployment.node_count(),
        deployment.runner_count(),
        deployment.intent()?,
    );
    let cluster = LocalCluster::start(plan).await?;
    let (key, kind, model) = deployment.caller();
    let params = |prompt: String, max_tokens| CompletionParams {
        model: model.to_owned(),
        prompt,
        max_tokens,
        brings_text: true,
    };
    let harmless_requests: Vec<_> = (0..HARMLESS_COUNT)
        .map(|number| {
            let caller = cluster.caller(key, kind);
            let params = params(
                format!("innocent {number} {}", rng.random::<u64>()),
                TOKEN_COUNT,
            );
            tokio::spawn(async move { caller.complete(&params).await })
        })
        .collect();
    let poison_params = params(format!("{CRASH_MARK} {}", rng.random::<u64>()), TOKEN_COUNT);
    let node_addresses = cluster.caller_addresses();
    let mut refused_count = 0;
    let mut first_send_ms = f64::NAN;
    let mut later_sends = Sample::new();
    for send_index in 0..SEND_COUNT {
        let mut caller = cluster.caller(key, kind);
        caller.nodes = vec![node_addresses[send_index % node_addresses.len()]];
        let began_at = Instant::now();
        let report = caller.complete(&poison_params).await;
        let took_ms = began_at.elapsed().as_secs_f64() * 1e3;
        let is_refused = report
            .error
            .is_some_and(|e| e.kind == ErrorKind::CrashesRunners);
        refused_count += usize::from(is_refused);
        if send_index == 0 {
            first_send_ms = took_ms;
        } else {
            later_sends.add_ms(took_ms);
        }
    }
    let mut complete_count = 0;
    let mut harmless_refused_count = 0;
    for pending in harmless_requests {
        let report = pending.await.map_err(io::Error::other)?;
        complete_count += usize::from(report.ended && report.broken.is_none());
        if let Some(error) = &report.error {
            log::warn!(
                "a harmless request failed: {}: {}",
                error.kind.name(),
                error.message
            );
        }
        harmless_refused_count += usize::from(
            report
                .error
                .is_some_and(|e| e.kind == ErrorKind::CrashesRunners),
        );
    }
    let lost_runner_count = cluster
        .runners
        .iter()
        .filter(|r| r.engine.is_dead())
        .count();
    cluster.stop().await;
    Ok(vec![
        deployment.name().to_owned(),
        round.to_string(),
        lost_runner_count.to_string(),
        HARMLESS_COUNT.to_string(),
        complete_count.to_string(),
        harmless_refused_count.to_string(),
        refused_count.to_string(),
        SEND_COUNT.to_string(),
        format!("{first_send_ms:.0}"),
        later_sends.quantile(0.99),
    ])
}
