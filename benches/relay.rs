//! What a node adds to each token, as ratios in one run.
//!
//! The same stream is read twice at the same time, through the node and
//! straight from the runner, so both see the same tokens. Processor time and
//! memory are those of the node's process.

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/support/processes.rs"]
mod processes;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use processes::Deployment;
use zinniawing::{Caller, CompletionParams, Report};

const STREAM_COUNTS: [usize; 3] = [1, 100, 600];
const RUNNER_COUNT: usize = 4;
const SLOT_COUNT: u32 = 400;
const KEY: &str = "federation-key";
const KIND: &str = "steward";
const MODEL: &str = "steward-chat";
const TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;

/// How fast runners generate, and for how many tokens.
struct Pace {
    token_ms: u64,
    token_count: u64,
}

const PACES: [Pace; 2] = [
    Pace {
        token_ms: 20,
        token_count: 300,
    },
    Pace {
        token_ms: 2,
        token_count: 2000,
    },
];

fn main() {
    let columns = [
        "token_ms",
        "streams",
        "tokens_per_s",
        "node_cpu_%",
        "tokens_per_core_s",
        "KB_per_stream",
        "added_p50_ms",
        "added_p99_ms",
        "direct_noise_p99_ms",
    ];
    let mut report = Report::new("a node between caller and runner", &columns);
    for pace in PACES {
        for stream_count in STREAM_COUNTS {
            report.push(measure(&pace, stream_count));
        }
    }
    println!("{report}");
}

fn measure(pace: &Pace, stream_count: usize) -> Vec<String> {
    let deployment = Deployment::start_with(1, RUNNER_COUNT, pace.token_ms, SLOT_COUNT);
    deployment.confirm_intent();
    let node = deployment.caller_address(0);
    let process = deployment.node_pid(0);
    let idle = memory_bytes(process);

    let probe = {
        let token_count = pace.token_count;
        std::thread::spawn(move || read_through_node(node, token_count))
    };
    let (key, runner) = find_stream(&deployment);
    let direct: Vec<_> = (0..2)
        .map(|_| {
            let key = key.clone();
            std::thread::spawn(move || read_directly(runner, &key))
        })
        .collect();
    let cpu_before = cpu_s(process);
    let began_at = Instant::now();
    let (token_total, busy) = run_load(node, process, pace, stream_count - 1);
    let through_node = probe.join().expect("the probe ends");
    let took_s = began_at.elapsed().as_secs_f64();
    let cpu = cpu_s(process) - cpu_before;
    let mut direct = direct
        .into_iter()
        .map(|d| d.join().expect("the direct reader ends"));
    let first = direct.next().expect("a direct reader");
    let second = direct.next().expect("a direct reader");
    let tokens = token_total + pace.token_count;
    let added = differences_ms(&through_node, &first);
    let noise = differences_ms(&second, &first);
    vec![
        pace.token_ms.to_string(),
        stream_count.to_string(),
        format!("{:.0}", tokens as f64 / took_s),
        format!("{:.1}", cpu / took_s * 100.0),
        format!("{:.0}", tokens as f64 / cpu.max(1.0 / TICKS_PER_S)),
        format!(
            "{:.1}",
            busy.saturating_sub(idle) as f64 / 1024.0 / stream_count as f64
        ),
        format!("{:.3}", quantile(&added, 0.5)),
        format!("{:.3}", quantile(&added, 0.99)),
        format!("{:.3}", quantile(&noise, 0.99)),
    ]
}

/// Runs the other streams, and gives their tokens and the node's peak memory.
fn run_load(node: SocketAddr, process: u32, pace: &Pace, stream_count: usize) -> (u64, u64) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let calls: Vec<_> = (0..stream_count)
            .map(|number| {
                let caller = Caller::new(vec![node], KEY, KIND);
                let params = CompletionParams {
                    model: MODEL.to_owned(),
                    prompt: format!("stream {number}"),
                    max_tokens: pace.token_count,
                    brings_text: true,
                };
                tokio::spawn(async move { caller.complete(&params).await })
            })
            .collect();
        let halfway = Duration::from_millis(pace.token_ms * pace.token_count / 2);
        tokio::time::sleep(halfway).await;
        let busy = memory_bytes(process);
        let mut tokens = 0;
        for call in calls {
            let report = call.await.expect("the call ends");
            assert_eq!(report.broken, None, "{:?}", report.error);
            tokens += report.token_count;
        }
        (tokens, busy)
    })
}

fn find_stream(deployment: &Deployment) -> (String, SocketAddr) {
    loop {
        for runner in 0..RUNNER_COUNT {
            if let Some(key) = deployment.runner_streams(runner).into_iter().next() {
                return (key, deployment.runner_socket(runner));
            }
        }
    }
}

fn read_through_node(node: SocketAddr, token_count: u64) -> BTreeMap<u64, Instant> {
    let body = format!(
        r#"{{"model":"{MODEL}","prompt":"the probe","max_tokens":{token_count},"stream":true}}"#
    );
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         x-caller-kind: {KIND}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    read_times(node, &head)
}

fn read_directly(runner: SocketAddr, key: &str) -> BTreeMap<u64, Instant> {
    let head = format!(
        "POST /v1/streams/{key}/resume?from=0 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-length: 0\r\n\r\n"
    );
    read_times(runner, &head)
}

/// When each token's event came, by its index.
fn read_times(address: SocketAddr, head: &str) -> BTreeMap<u64, Instant> {
    let mut stream = TcpStream::connect(address).expect("it accepts");
    stream.set_nodelay(true).expect("no delay");
    stream
        .write_all(head.as_bytes())
        .expect("it takes the request");
    let mut times = BTreeMap::new();
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { break };
        if let Some(id) = line.strip_prefix("id: ") {
            let index = id.rsplit('.').next().and_then(|i| i.parse().ok());
            times.insert(index.expect("an index"), Instant::now());
        }
    }
    times
}

fn differences_ms(later: &BTreeMap<u64, Instant>, earlier: &BTreeMap<u64, Instant>) -> Vec<f64> {
    // The first tokens came before the direct readers joined.
    const JOINING: u64 = 20;
    let pairs = later.iter().filter(|(index, _)| **index >= JOINING);
    let mut all: Vec<f64> = pairs
        .filter_map(|(index, at)| {
            let direct = earlier.get(index)?;
            Some(at.saturating_duration_since(*direct).as_secs_f64() * 1e3)
        })
        .collect();
    all.sort_by(f64::total_cmp);
    all
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let position = (sorted.len() as f64 * part) as usize;
    sorted
        .get(position.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

fn cpu_s(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("accounting");
    let (_, fields) = stat.rsplit_once(')').expect("a name in brackets");
    let field = |n: usize| -> f64 {
        fields
            .split_whitespace()
            .nth(n)
            .and_then(|f| f.parse().ok())
            .unwrap_or(0.0)
    };
    (field(11) + field(12)) / TICKS_PER_S
}

fn memory_bytes(process: u32) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{process}/statm")).expect("accounting");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
