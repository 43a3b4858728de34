//! The demonstration on a local cluster: a completion whose runner is killed
//! before its end, and a payment call that is sent twice and executed once.

use std::fmt;
use std::io;
use std::time::Duration;

use serde::Serialize;

use crate::caller::client::{CallReport, CompletionParams, CompletionReport};
use crate::configuration::intent::Intent;
use crate::experiment::local_cluster::{ClusterPlan, LocalCluster};

/// Intent (the models, customers and services that operators want) of the
/// demonstration's cluster, in YAML.
const INTENT: &str = include_str!("../../examples/kestrel-intent.yaml");
/// Key of a customer in that intent.
const CUSTOMER_KEY: &str = "federation-key";
/// The runner is killed after `token_count / KILL_AFTER_DIVISOR` tokens.
const KILL_AFTER_DIVISOR: u32 = 3;
/// Longest wait for these tokens; the runner is killed then in any case.
const KILL_WAIT_MAX: Duration = Duration::from_secs(10);

/// Parameters of the demonstration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemoOptions {
    /// Number of tokens of the answer.
    pub token_count: u64,
    /// Time that a runner takes per token.
    pub token_interval: Duration,
}

/// Runs the demonstration with the given options.
#[derive(Clone, Copy, Debug)]
pub struct Demo {
    options: DemoOptions,
}

/// Results of the demonstration.
#[derive(Clone, Debug, Serialize)]
pub struct DemoReport {
    /// What the caller of the completion received and measured.
    pub completion: CompletionReport,
    /// Name of the runner that was killed.
    pub killed_runner: String,
    /// Number of tokens that all runners together generated.
    pub generated_count: u64,
    /// Tokens generated but not delivered, as a share of the delivered tokens.
    pub extra_share: f64,
    /// Answers to a disbursement call and to its repetition with the same
    /// idempotency key.
    pub disbursements: [String; 2],
    /// How often the payments service executed the disbursement.
    pub executed_count: usize,
}

impl Demo {
    /// Creates a demonstration.
    pub fn new(options: DemoOptions) -> Self {
        Self { options }
    }

    /// Runs the demonstration on a new local cluster.
    pub async fn run(self) -> io::Result<DemoReport> {
        let intent: Intent = serde_saphyr::from_str(INTENT).map_err(io::Error::other)?;
        let mut plan = ClusterPlan::new(2, 3, intent).with_service("payments", 2);
        plan.runner_profile.token_interval = self.options.token_interval;
        let mut cluster = LocalCluster::start(plan).await?;
        let caller = cluster.caller(CUSTOMER_KEY, "steward");
        let params = CompletionParams {
            model: "steward-chat".into(),
            prompt: "Summarise this week's picket roll for the hardship committee.".into(),
            max_tokens: self.options.token_count,
            brings_text: true,
        };
        let completing = tokio::spawn(async move { caller.complete(&params).await });
        let killed_name = self.kill_runner_mid_answer(&mut cluster).await;
        let completion = completing.await.map_err(io::Error::other)?;
        let generated_count = generated_token_count(&cluster);
        let delivered_count = completion.token_count.max(1);
        let extra_count = generated_count.saturating_sub(delivered_count);
        let disbursements = [disburse(&cluster).await, disburse(&cluster).await];
        let executed_total = cluster.services.iter().map(|(s, _)| s.ledger().len()).sum();
        Ok(DemoReport {
            killed_runner: killed_name,
            generated_count,
            extra_share: extra_count as f64 / delivered_count as f64,
            completion,
            disbursements,
            executed_count: executed_total,
        })
    }

    async fn kill_runner_mid_answer(&self, cluster: &mut LocalCluster) -> String {
        let kill_at_count = self.options.token_count / u64::from(KILL_AFTER_DIVISOR);
        let poll_interval = Duration::from_millis(5);
        let poll_count_max = KILL_WAIT_MAX.as_millis() / poll_interval.as_millis();
        for _ in 0..poll_count_max {
            if generated_token_count(cluster) >= kill_at_count {
                break;
            }
            tokio::time::sleep(poll_interval).await;
        }
        let busiest = cluster.busiest_runner();
        cluster.kill_runner(busiest).await;
        cluster.runners[busiest].name.clone()
    }
}

fn generated_token_count(cluster: &LocalCluster) -> u64 {
    let runners = cluster.runners.iter();
    runners
        .map(|runner| runner.engine.ledger().token_count)
        .sum()
}

async fn disburse(cluster: &LocalCluster) -> String {
    let caller = cluster.caller(CUSTOMER_KEY, "steward");
    let node = cluster.caller_addresses()[0];
    let body = r#"{"striker":"s-17","cents":15000}"#;
    let report = caller.call_at(node, "payments", "disburse", "week-49-s-17", body);
    match report.await {
        CallReport::Answered { status, body } => {
            format!("{status} {}", String::from_utf8_lossy(&body))
        }
        CallReport::Failed(error) => format!("{}: {}", error.kind.name(), error.message),
        CallReport::NoAnswer => "no answer".into(),
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let completion = &self.completion;
        let is_complete = completion.ended && completion.broken.is_none();
        writeln!(f, "killed runner       {}", self.killed_runner)?;
        writeln!(f, "answer whole        {is_complete}")?;
        if let Some(broken) = &completion.broken {
            writeln!(f, "broken              {broken}")?;
        }
        if let Some(error) = &completion.error {
            writeln!(
                f,
                "error               {}: {}",
                error.kind.name(),
                error.message
            )?;
        }
        writeln!(f, "tokens              {}", completion.token_count)?;
        writeln!(f, "attempts            {}", completion.attempt_count)?;
        writeln!(f, "connections         {}", completion.connection_count)?;
        let first_ms = completion.first_token_ms.unwrap_or(f64::NAN);
        writeln!(f, "first token         {first_ms:.1} ms")?;
        for resume_ms in &completion.resume_ms {
            writeln!(f, "resumed after       {resume_ms:.1} ms")?;
        }
        writeln!(f, "tokens generated    {}", self.generated_count)?;
        writeln!(f, "extra work          {:.1} %", self.extra_share * 100.0)?;
        writeln!(f, "disbursement        {}", self.disbursements[0])?;
        writeln!(f, "sent again          {}", self.disbursements[1])?;
        write!(f, "executed            {} time(s)", self.executed_count)
    }
}
