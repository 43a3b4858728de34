//! Offered load beyond capacity: what still begins in time and ends whole.

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

/// Offered load as a multiple of capacity.
const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 4.0];
/// How long each load lasts.
const DURATION: Duration = Duration::from_secs(12);
/// Part at the start that is not counted.
const WARM_UP: Duration = Duration::from_secs(3);
const RUNNER_COUNT: usize = 6;
const SLOT_COUNT: u32 = 8;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Tokens of a quick query and of a draft.
const QUICK_TOKENS: u64 = 20;
const DRAFT_TOKENS: u64 = 100;
/// Patience of those who send them.
const QUICK_PATIENCE: Duration = Duration::from_millis(800);
const DRAFT_PATIENCE: Duration = Duration::from_millis(3000);
/// Times a caller that was refused comes back.
const RETURNS: u32 = 1;
/// Time-out of direct callers between tokens.
const DIRECT_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Nodes,
    FirstCome,
    LeastLoaded,
}

impl Way {
    const ALL: [Self; 3] = [Self::Nodes, Self::FirstCome, Self::LeastLoaded];

    fn name(self) -> &'static str {
        match self {
            Self::Nodes => "nodes",
            Self::FirstCome => "first come",
            Self::LeastLoaded => "least loaded",
        }
    }
}

/// One request of the occupancy.
#[derive(Clone, Debug)]
struct Request {
    customer: &'static str,
    key: &'static str,
    is_quick: bool,
    prompt: String,
}

impl Request {
    fn tokens(&self) -> u64 {
        if self.is_quick {
            QUICK_TOKENS
        } else {
            DRAFT_TOKENS
        }
    }

    fn patience(&self) -> Duration {
        if self.is_quick {
            QUICK_PATIENCE
        } else {
            DRAFT_PATIENCE
        }
    }
}

/// How one request ended.
#[derive(Clone, Copy, Debug, Default)]
struct End {
    good: bool,
    first_ms: Option<f64>,
    refused_ms: Option<f64>,
    ended_at: Option<Instant>,
}

/// Measures each way at each load.
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
    for way in Way::ALL {
        for load in LOADS {
            let cluster = LocalCluster::start(plan()?).await?;
            let ends = offer(&cluster, way, load, seed).await?;
            report.push(describe(way, load, &ends));
            cluster.stop().await;
        }
    }
    Ok(report)
}

fn plan() -> io::Result<ClusterPlan> {
    let mut intent = Deployment::Kestrel.intent()?;
    set_patience(&mut intent, "steward", QUICK_PATIENCE);
    set_patience(&mut intent, "clerk", DRAFT_PATIENCE);
    let mut plan = ClusterPlan::new(Deployment::Kestrel.node_count(), RUNNER_COUNT, intent);
    plan.runner_profile.slot_count = SLOT_COUNT;
    plan.runner_profile.token_interval = TOKEN_INTERVAL;
    Ok(plan)
}

fn set_patience(intent: &mut Intent, kind: &str, patience: Duration) {
    let entry = PatienceIntent {
        from: "00:00".to_owned(),
        wait_ms: patience.as_millis() as u64,
    };
    let set = |kind: &mut KindIntent| kind.patience = vec![entry];
    intent.kinds.get_mut(kind).map(set);
}

/// Requests a second that the runners can serve.
fn capacity_per_s() -> f64 {
    let mean_tokens = (QUICK_TOKENS + DRAFT_TOKENS) as f64 / 2.0;
    let service_s = mean_tokens * TOKEN_INTERVAL.as_secs_f64();
    RUNNER_COUNT as f64 * f64::from(SLOT_COUNT) / service_s
}

async fn offer(
    cluster: &LocalCluster,
    way: Way,
    load: f64,
    seed: u64,
) -> io::Result<Vec<(Request, End)>> {
    let mut draw = StdRng::seed_from_u64(seed);
    let gap = Duration::from_secs_f64(1.0 / (capacity_per_s() * load));
    let began_at = Instant::now();
    let mut next_at = began_at;
    let mut running = Vec::new();
    while began_at.elapsed() < DURATION {
        // Exponential gaps, as from many callers that know nothing of each other.
        let part: f64 = draw.random_range(f64::EPSILON..1.0);
        next_at += gap.mul_f64(-part.ln());
        tokio::time::sleep_until(next_at.into()).await;
        let request = draw_request(&mut draw);
        let ending = send(cluster, way, request.clone());
        running.push((request, tokio::spawn(ending)));
    }
    let window = began_at + WARM_UP..began_at + DURATION;
    let mut ends = Vec::new();
    for (request, end) in running {
        if !end.is_finished() {
            // Callers that are to come back after the window do not count.
            end.abort();
            continue;
        }
        let end = end.await.map_err(io::Error::other)?;
        if end.ended_at.is_some_and(|at| window.contains(&at)) {
            ends.push((request, end));
        }
    }
    Ok(ends)
}

fn draw_request(draw: &mut StdRng) -> Request {
    // Both customers offer the same; their weights are four to one.
    let (customer, key) = if draw.random_bool(0.5) {
        ("federation", "federation-key")
    } else {
        ("local-17", "local-17-key")
    };
    Request {
        customer,
        key,
        is_quick: draw.random_bool(0.5),
        prompt: format!("{customer} asks {}", draw.random::<u64>()),
    }
}

fn send(cluster: &LocalCluster, way: Way, request: Request) -> impl Future<Output = End> + use<> {
    let kind = if request.is_quick { "steward" } else { "clerk" };
    let caller = cluster.caller(request.key, kind);
    let engines: Vec<(SocketAddr, Arc<StandInRunner>)> = cluster
        .runners
        .iter()
        .filter_map(|r| Some((r.server.as_ref()?.address(), r.engine.clone())))
        .collect();
    let version = cluster.model_version("steward-chat");
    async move {
        match way {
            Way::Nodes => send_to_nodes(caller, &request).await,
            Way::FirstCome | Way::LeastLoaded => send_direct(way, engines, version, &request).await,
        }
    }
}

async fn send_to_nodes(caller: Caller, request: &Request) -> End {
    let params = CompletionParams {
        model: "steward-chat".to_owned(),
        prompt: request.prompt.clone(),
        max_tokens: request.tokens(),
        brings_text: true,
    };
    let mut end = End::default();
    for _ in 0..=RETURNS {
        let addresses = caller.addresses().await;
        let began_at = Instant::now();
        let mut at = caller.clone();
        at.nodes = addresses;
        let report = at.complete(&params).await;
        let patience_ms = request.patience().as_secs_f64() * 1e3;
        let in_time = report.first_token_ms.is_some_and(|ms| ms <= patience_ms);
        end.first_ms = report.first_token_ms;
        end.good = in_time && report.ended && report.broken.is_none();
        end.ended_at = Some(Instant::now());
        let Some(error) = report.error.filter(|e| e.kind == ErrorKind::Overloaded) else {
            return end;
        };
        end.refused_ms = Some(began_at.elapsed().as_secs_f64() * 1e3);
        let retry_after = Duration::from_millis(error.retry_after_ms.unwrap_or(0));
        tokio::time::sleep(retry_after).await;
    }
    end
}

async fn send_direct(
    way: Way,
    engines: Vec<(SocketAddr, Arc<StandInRunner>)>,
    version: String,
    request: &Request,
) -> End {
    let mut end = End::default();
    for _ in 0..=RETURNS {
        let mut runners: Vec<SocketAddr> = engines.iter().map(|(a, _)| *a).collect();
        if way == Way::LeastLoaded {
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
        let deadline = Instant::now() + request.patience();
        let report = caller
            .complete(&request.prompt, request.tokens(), Some(deadline))
            .await;
        end.first_ms = report.first_token.map(|t| t.as_secs_f64() * 1e3);
        end.good = report.ended && report.first_token.is_some_and(|t| t <= request.patience());
        end.ended_at = Some(Instant::now());
        if end.good {
            break;
        }
    }
    end
}

fn describe(way: Way, load: f64, ends: &[(Request, End)]) -> Vec<String> {
    let counted_s = (DURATION - WARM_UP).as_secs_f64();
    let mut quick = Sample::new();
    let mut refusals = Sample::new();
    let mut tokens: BTreeMap<&str, u64> = BTreeMap::new();
    let mut good = 0;
    for (request, end) in ends {
        if let Some(first_ms) = end.first_ms.filter(|_| request.is_quick) {
            quick.add_ms(first_ms);
        }
        if let Some(refused_ms) = end.refused_ms {
            refusals.add_ms(refused_ms);
        }
        if end.good {
            good += 1;
            *tokens.entry(request.customer).or_default() += request.tokens();
        }
    }
    let all_tokens: u64 = tokens.values().sum();
    let federation = tokens.get("federation").copied().unwrap_or(0);
    vec![
        way.name().to_owned(),
        load.to_string(),
        format!("{:.0}", ends.len() as f64 / counted_s),
        format!("{:.1}", f64::from(good) / counted_s),
        format!("{:.0}", all_tokens as f64 / counted_s),
        format!(
            "{:.0}",
            federation as f64 * 100.0 / all_tokens.max(1) as f64
        ),
        quick.quantile(0.99),
        refusals.count().to_string(),
        refusals.quantile(0.5),
        refusals.quantile(0.99),
    ]
}
