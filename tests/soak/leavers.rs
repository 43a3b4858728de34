//! Callers that leave before they are answered, and which of their calls reach upstreams
//! long after that.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use crate::callers::CallLog;
use crate::edge_environment::caller::{Caller, new_call_id, send_request};
use crate::edge_environment::{IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH};
use crate::history::{Occurrence, UpstreamAt};
use crate::lost::{CONTACT_TIME, arrivals};
use crate::node::SoakEnvironment;

const CALLER_COUNT: u64 = 6;
/// Times after which callers leave.
const PATIENCES: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(300),
    Duration::from_millis(600),
];
/// Time after which no call of a caller that left may reach an upstream.
const LATE_ARRIVAL_AGE: Duration = Duration::from_millis(500);

/// A call whose caller left before it was answered.
pub struct LeftCall {
    node: usize,
    call_id: String,
    left_at: Instant,
}

pub fn start(environment: &SoakEnvironment, seed: u64, log: &Arc<CallLog>) -> Vec<JoinHandle<()>> {
    let nodes: Vec<Caller> = environment.nodes.iter().map(|n| n.caller.clone()).collect();
    let tasks = (0..CALLER_COUNT).map(|n| {
        let random = StdRng::seed_from_u64(seed * 1_000 + 700 + n);
        tokio::spawn(run_caller(log.clone(), nodes.clone(), random))
    });
    tasks.collect()
}

async fn run_caller(log: Arc<CallLog>, nodes: Vec<Caller>, mut random: StdRng) {
    while !log.is_stopping.load(Ordering::Relaxed) {
        let node = random.random_range(0..nodes.len());
        let patience = PATIENCES[random.random_range(0..PATIENCES.len())];
        let (method, path) = match random.random_range(0..3) {
            0 => ("GET", IDEMPOTENT_PATH),
            1 => ("POST", NON_IDEMPOTENT_PATH),
            _ => ("POST", STREAM_PATH),
        };
        if let Some(left_call) = call_and_leave(&nodes, node, (method, path), patience).await {
            log.record_left(left_call);
        }
        let pause = Duration::from_millis(random.random_range(10..80));
        tokio::time::sleep(pause).await;
    }
}

/// Returns none if the call was answered before its caller left.
async fn call_and_leave(
    nodes: &[Caller],
    node: usize,
    (method, path): (&str, &str),
    patience: Duration,
) -> Option<LeftCall> {
    let call_id = new_call_id();
    let headers = "x-zinniawing-deadline-ms: 3000\r\nx-zinniawing-token-usage: 800,100\r\n";
    let head = nodes[node].head(method, path, &call_id, headers);
    let request = format!("{head}content-length: 0\r\n\r\n");
    let answer = send_request(nodes[node].address, request.as_bytes());
    let answered = tokio::time::timeout(patience, answer).await;
    answered.is_err().then(|| LeftCall {
        node,
        call_id,
        left_at: Instant::now(),
    })
}

/// Descriptions of the arrivals long after the callers left, unless the node or the
/// upstream was disturbed.
pub fn late_arrivals(calls: &[LeftCall], environment: &SoakEnvironment) -> Vec<String> {
    let mut late = Vec::new();
    for call in calls {
        for (at, arrival) in arrivals(&call.call_id, environment) {
            let age = arrival.arrived_at.saturating_duration_since(call.left_at);
            if age > LATE_ARRIVAL_AGE && !is_excused(call, at, arrival.arrived_at, environment) {
                late.push(format!("{} at {at:?} after {age:?}", call.call_id));
            }
        }
    }
    late
}

fn is_excused(
    call: &LeftCall,
    upstream: UpstreamAt,
    arrived_at: Instant,
    environment: &SoakEnvironment,
) -> bool {
    let is_disturbed = |what| match what {
        Occurrence::UpstreamDisturbed(at) | Occurrence::LinkMuted(at) => at == upstream,
        Occurrence::NodeDisturbed { node } => node == call.node,
        _ => false,
    };
    let from = call.left_at - CONTACT_TIME;
    let entries = environment.history.entries();
    let mut disturbances = entries.iter().filter(|entry| is_disturbed(entry.what));
    disturbances.any(|entry| entry.overlaps(from, arrived_at))
}
