//! Goodput under overload, through the nodes and for two baselines that call the
//! runners directly.
//!
//! Goodput is the rate of requests whose answer starts within the caller's
//! maximum wait and completes. Half of the requests are quick queries of callers
//! of the kind `steward`, the others are drafts for callers of the kind `clerk`,
//! whose answers are longer and who wait longer.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::client::{Caller, CompletionParams};
use crate::caller::direct_caller::{DirectCaller, Recovery};
use crate::configuration::intent::{Intent, KindIntent, PatienceIntent};
use crate::error::ErrorKind;
use crate::experiment::deployment::Deployment;
use crate::experiment::local_cluster::{ClusterPlan, LocalCluster};
use crate::observe::report::Report;
use crate::observe::sample::Sample;
use crate::stand_in::runner::StandInRunner;

/// Offered load as a multiple of the runners' capacity.
const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 4.0];
/// Time for which each load is offered.
const LOAD_DURATION: Duration = Duration::from_secs(12);
/// Period at the start of a load. Requests that end in it are not counted.
const WARM_UP: Duration = Duration::from_secs(3);
const RUNNER_COUNT: usize = 6;
const SLOT_COUNT: u32 = 8;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
// Tokens of the answers to a quick query and to a draft.
const QUICK_TOKENS: u64 = 20;
const DRAFT_TOKENS: u64 = 100;
// Maximum waits for the first token of these answers.
const QUICK_MAX_WAIT: Duration = Duration::from_millis(800);
const DRAFT_MAX_WAIT: Duration = Duration::from_millis(3000);
/// Number of times that a caller repeats a request that was refused or, at the
/// baselines, did not start in time or did not complete.
const RETRIES_MAX: u32 = 1;
/// Silence after which a baseline counts an attempt as lost and resumes it.
const DIRECT_TIMEOUT: Duration = Duration::from_secs(5);

/// How callers reach the runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPath {
    /// Through the nodes.
    Nodes,
    /// By direct calls to random runners. A runner serves the requests in the
    /// order of their arrival.
    DirectRandom,
    /// By direct calls to the runner with the least load.
    DirectLeastLoaded,
}

impl CallPath {
    const ALL: [Self; 3] = [Self::Nodes, Self::DirectRandom, Self::DirectLeastLoaded];

    fn name(self) -> &'static str {
        match self {
            Self::Nodes => "nodes",
            Self::DirectRandom => "first come",
            Self::DirectLeastLoaded => "least loaded",
        }
    }
}

/// One request of the offered load.
#[derive(Clone, Debug)]
struct Request {
    customer: &'static str,
    key: &'static str,
    /// Whether it is a steward's quick query; otherwise it is a clerk's draft.
    is_quick: bool,
    prompt: String,
}

impl Request {
    fn token_count(&self) -> u64 {
        if self.is_quick {
            QUICK_TOKENS
        } else {
            DRAFT_TOKENS
        }
    }

    fn max_wait(&self) -> Duration {
        if self.is_quick {
            QUICK_MAX_WAIT
        } else {
            DRAFT_MAX_WAIT
        }
    }
}

/// Outcome of one request. If its caller has sent it again, this is the outcome
/// of the last time, apart from `refused_after_ms`.
#[derive(Clone, Copy, Debug, Default)]
struct RequestOutcome {
    /// Whether the answer started within the caller's maximum wait and
    /// completed.
    is_good: bool,
    first_token_ms: Option<f64>,
    /// Time from sending the request until its refusal, for the last time that a
    /// node refused it.
    refused_after_ms: Option<f64>,
    ended_at: Option<Instant>,
}

/// Measures each call path at each load.
pub(crate) async fn measure_overload(seed: u64) -> io::Result<Report> {
    let columns = [
        "way",
        "load",
        "ended_per_s",
        "good_per_s",
        "good_tokens_per_s",
        "federation_share_%",
        "quick_p99_ms",
        "refusals",
        "refusal_p50_ms",
        "refusal_p99_ms",
    ];
    let mut report = Report::new("goodput under overload", &columns);
    for call_path in CallPath::ALL {
        for load in LOADS {
            let cluster = LocalCluster::start(plan()?).await?;
            let outcomes = offer_load(&cluster, call_path, load, seed).await?;
            report.push(table_row(call_path, load, &outcomes));
            cluster.stop().await;
        }
    }
    Ok(report)
}

fn plan() -> io::Result<ClusterPlan> {
    let mut intent = Deployment::Kestrel.intent()?;
    set_max_wait(&mut intent, "steward", QUICK_MAX_WAIT);
    set_max_wait(&mut intent, "clerk", DRAFT_MAX_WAIT);
    let mut plan = ClusterPlan::new(Deployment::Kestrel.node_count(), RUNNER_COUNT, intent);
    plan.runner_profile.slot_count = SLOT_COUNT;
    plan.runner_profile.token_interval = TOKEN_INTERVAL;
    Ok(plan)
}

fn set_max_wait(intent: &mut Intent, kind: &str, max_wait: Duration) {
    let entry = PatienceIntent {
        from: "00:00".to_owned(),
        wait_ms: max_wait.as_millis() as u64,
    };
    let set = |kind: &mut KindIntent| kind.patience = vec![entry];
    intent.kinds.get_mut(kind).map(set);
}

/// Requests per second that all runners together can serve.
fn capacity_per_s() -> f64 {
    let mean_tokens = (QUICK_TOKENS + DRAFT_TOKENS) as f64 / 2.0;
    let service_s = mean_tokens * TOKEN_INTERVAL.as_secs_f64();
    RUNNER_COUNT as f64 * f64::from(SLOT_COUNT) / service_s
}

/// Sends requests at the rate of the load. Returns those that ended between the
/// warm-up and the end of the load, with their outcomes.
async fn offer_load(
    cluster: &LocalCluster,
    call_path: CallPath,
    load: f64,
    seed: u64,
) -> io::Result<Vec<(Request, RequestOutcome)>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mean_gap = Duration::from_secs_f64(1.0 / (capacity_per_s() * load));
    let began_at = Instant::now();
    let mut next_at = began_at;
    let mut requests = Vec::new();
    while began_at.elapsed() < LOAD_DURATION {
        // Exponentially distributed gaps, as from many independent callers.
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        next_at += mean_gap.mul_f64(-uniform.ln());
        tokio::time::sleep_until(next_at.into()).await;
        let request = draw_request(&mut rng);
        let sending = send(cluster, call_path, request.clone());
        requests.push((request, tokio::spawn(sending)));
    }
    let window = began_at + WARM_UP..began_at + LOAD_DURATION;
    let mut outcomes = Vec::new();
    for (request, task) in requests {
        if !task.is_finished() {
            // A request that is still in flight or waits for its retry at the
            // end of the window does not count.
            task.abort();
            continue;
        }
        let outcome = task.await.map_err(io::Error::other)?;
        if outcome.ended_at.is_some_and(|at| window.contains(&at)) {
            outcomes.push((request, outcome));
        }
    }
    Ok(outcomes)
}

fn draw_request(rng: &mut StdRng) -> Request {
    // Both customers send the same load. Their weights, by which nodes divide the
    // capacity when it is short, are 4 to 1.
    let (customer, key) = if rng.random_bool(0.5) {
        ("federation", "federation-key")
    } else {
        ("local-17", "local-17-key")
    };
    Request {
        customer,
        key,
        is_quick: rng.random_bool(0.5),
        prompt: format!("{customer} asks {}", rng.random::<u64>()),
    }
}

fn send(
    cluster: &LocalCluster,
    call_path: CallPath,
    request: Request,
) -> impl Future<Output = RequestOutcome> + use<> {
    let kind = if request.is_quick { "steward" } else { "clerk" };
    let caller = cluster.caller(request.key, kind);
    let engines: Vec<(SocketAddr, Arc<StandInRunner>)> = cluster
        .runners
        .iter()
        .filter_map(|r| Some((r.server.as_ref()?.address(), r.engine.clone())))
        .collect();
    let version = cluster.model_version("steward-chat");
    async move {
        match call_path {
            CallPath::Nodes => send_to_nodes(caller, &request).await,
            CallPath::DirectRandom | CallPath::DirectLeastLoaded => {
                send_direct(call_path, engines, version, &request).await
            }
        }
    }
}

async fn send_to_nodes(caller: Caller, request: &Request) -> RequestOutcome {
    let params = CompletionParams {
        model: "steward-chat".to_owned(),
        prompt: request.prompt.clone(),
        max_tokens: request.token_count(),
        brings_text: true,
    };
    let mut outcome = RequestOutcome::default();
    for _ in 0..=RETRIES_MAX {
        let addresses = caller.addresses().await;
        let began_at = Instant::now();
        let mut refreshed_caller = caller.clone();
        refreshed_caller.nodes = addresses;
        let report = refreshed_caller.complete(&params).await;
        let max_wait_ms = request.max_wait().as_secs_f64() * 1e3;
        let is_in_time = report.first_token_ms.is_some_and(|ms| ms <= max_wait_ms);
        outcome.first_token_ms = report.first_token_ms;
        outcome.is_good = is_in_time && report.ended && report.broken.is_none();
        outcome.ended_at = Some(Instant::now());
        let Some(error) = report.error.filter(|e| e.kind == ErrorKind::Overloaded) else {
            return outcome;
        };
        outcome.refused_after_ms = Some(began_at.elapsed().as_secs_f64() * 1e3);
        let retry_after = Duration::from_millis(error.retry_after_ms.unwrap_or(0));
        tokio::time::sleep(retry_after).await;
    }
    outcome
}

async fn send_direct(
    call_path: CallPath,
    engines: Vec<(SocketAddr, Arc<StandInRunner>)>,
    version: String,
    request: &Request,
) -> RequestOutcome {
    let mut outcome = RequestOutcome::default();
    for _ in 0..=RETRIES_MAX {
        let mut runners: Vec<SocketAddr> = engines.iter().map(|(a, _)| *a).collect();
        if call_path == CallPath::DirectLeastLoaded {
            let least = engines
                .iter()
                .min_by_key(|(_, engine)| engine.demand_count());
            runners = least.map(|(address, _)| *address).into_iter().collect();
        }
        let caller = DirectCaller {
            runners,
            model: ("steward-chat".to_owned(), version.clone()),
            timeout: DIRECT_TIMEOUT,
            recovery: Recovery::Resume,
        };
        let deadline = Instant::now() + request.max_wait();
        let report = caller
            .complete(&request.prompt, request.token_count(), Some(deadline))
            .await;
        outcome.first_token_ms = report.first_token.map(|t| t.as_secs_f64() * 1e3);
        outcome.is_good =
            report.ended && report.first_token.is_some_and(|t| t <= request.max_wait());
        outcome.ended_at = Some(Instant::now());
        if outcome.is_good {
            break;
        }
    }
    outcome
}

fn table_row(
    call_path: CallPath,
    load: f64,
    outcomes: &[(Request, RequestOutcome)],
) -> Vec<String> {
    let counted_s = (LOAD_DURATION - WARM_UP).as_secs_f64();
    let mut quick_first_token = Sample::new();
    let mut refusals = Sample::new();
    let mut good_tokens: BTreeMap<&str, u64> = BTreeMap::new();
    let mut good_count = 0;
    for (request, outcome) in outcomes {
        if let Some(first_token_ms) = outcome.first_token_ms.filter(|_| request.is_quick) {
            quick_first_token.add_ms(first_token_ms);
        }
        if let Some(refused_after_ms) = outcome.refused_after_ms {
            refusals.add_ms(refused_after_ms);
        }
        if outcome.is_good {
            good_count += 1;
            *good_tokens.entry(request.customer).or_default() += request.token_count();
        }
    }
    let good_tokens_total: u64 = good_tokens.values().sum();
    let federation_tokens = good_tokens.get("federation").copied().unwrap_or(0);
    vec![
        call_path.name().to_owned(),
        load.to_string(),
        format!("{:.0}", outcomes.len() as f64 / counted_s),
        format!("{:.1}", f64::from(good_count) / counted_s),
        format!("{:.0}", good_tokens_total as f64 / counted_s),
        format!(
            "{:.0}",
            federation_tokens as f64 * 100.0 / good_tokens_total.max(1) as f64
        ),
        quick_first_token.quantile(0.99),
        refusals.count().to_string(),
        refusals.quantile(0.5),
        refusals.quantile(0.99),
    ]
}
