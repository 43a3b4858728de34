//! Runners lost to a request that crashes each one, sent again and again.

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

/// Innocent answers under way.
const INNOCENT_COUNT: usize = 100;
/// Times the request is sent, each time through another node.
const SENDINGS: usize = 20;
/// Tokens of an innocent answer.
const TOKEN_COUNT: u64 = 250;
/// Runs, each with a new cluster.
const ROUNDS: u64 = 5;

/// Measures both deployments.
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
        for round in 0..ROUNDS {
            let mut draw = StdRng::seed_from_u64(seed + round);
            report.push(measure(deployment, round, &mut draw).await?);
        }
    }
    Ok(report)
}

async fn measure(deployment: Deployment, round: u64, draw: &mut StdRng) -> io::Result<Vec<String>> {
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
    let innocents: Vec<_> = (0..INNOCENT_COUNT)
        .map(|number| {
            let caller = cluster.caller(key, kind);
            let params = params(
                format!("innocent {number} {}", draw.random::<u64>()),
                TOKEN_COUNT,
            );
            tokio::spawn(async move { caller.complete(&params).await })
        })
        .collect();
    let crashing = params(
        format!("{CRASH_MARK} {}", draw.random::<u64>()),
        TOKEN_COUNT,
    );
    let nodes = cluster.caller_addresses();
    let mut refused = 0;
    let mut first_ms = f64::NAN;
    let mut later = Sample::new();
    for sending in 0..SENDINGS {
        let mut caller = cluster.caller(key, kind);
        caller.nodes = vec![nodes[sending % nodes.len()]];
        let began_at = Instant::now();
        let seen = caller.complete(&crashing).await;
        let took_ms = began_at.elapsed().as_secs_f64() * 1e3;
        let convicted = seen
            .error
            .is_some_and(|e| e.kind == ErrorKind::CrashesRunners);
        refused += usize::from(convicted);
        if sending == 0 {
            first_ms = took_ms;
        } else {
            later.add_ms(took_ms);
        }
    }
    let mut whole = 0;
    let mut wronged = 0;
    for innocent in innocents {
        let seen = innocent.await.map_err(io::Error::other)?;
        whole += usize::from(seen.ended && seen.broken.is_none());
        if let Some(error) = &seen.error {
            log::warn!(
                "an innocent request failed: {}: {}",
                error.kind.name(),
                error.message
            );
        }
        wronged += usize::from(
            seen.error
                .is_some_and(|e| e.kind == ErrorKind::CrashesRunners),
        );
    }
    let lost = cluster
        .runners
        .iter()
        .filter(|r| r.engine.is_dead())
        .count();
    cluster.stop().await;
    Ok(vec![
        deployment.name().to_owned(),
        round.to_string(),
        lost.to_string(),
        INNOCENT_COUNT.to_string(),
        whole.to_string(),
        wronged.to_string(),
        refused.to_string(),
        SENDINGS.to_string(),
        format!("{first_ms:.0}"),
        later.quantile(0.99),
    ])
}
