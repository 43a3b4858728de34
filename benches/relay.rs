//! Latency that a node adds to each token, and its processor time and memory
//! per relayed token and stream.
//!
//! One stream is read through the node and, at the same time, by two direct
//! readers from its runner. The added latency is the difference between the arrival
//! times of the same token; the difference between the two direct readers is
//! the noise of the measurement. Processor time and memory are those of the
//! node's process.

#[allow(dead_code, reason = "the tests use the other items")]
#[path = "../tests/support/processes.rs"]
mod processes;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use processes::Deployment;
use zinniawing::{Caller, CompletionParams, Report};

/// Numbers of concurrent streams that are measured, including the one whose
/// latency is measured.
const STREAM_COUNTS: [usize; 3] = [1, 100, 600];
const RUNNER_COUNT: usize = 4;
const SLOT_COUNT: u32 = 400;
const CUSTOMER_KEY: &str = "federation-key";
const CALLER_KIND: &str = "steward";
const MODEL: &str = "steward-chat";
/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Bytes per page in `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;

/// Generation speed of the runners and length of the answers.
struct StreamProfile {
    token_ms: u64,
    token_count: u64,
}

const STREAM_PROFILES: [StreamProfile; 2] = [
    StreamProfile {
        token_ms: 20,
        token_count: 300,
    },
    StreamProfile {
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
    for profile in STREAM_PROFILES {
        for stream_count in STREAM_COUNTS {
            report.push(measure(&profile, stream_count));
        }
    }
    println!("{report}");
}

fn measure(profile: &StreamProfile, stream_count: usize) -> Vec<String> {
    let deployment = Deployment::start_with(1, RUNNER_COUNT, profile.token_ms, SLOT_COUNT);
    deployment.confirm_intent();
    let node = deployment.caller_address(0);
    let process = deployment.node_pid(0);
    let idle_memory_bytes = memory_bytes(process);

    let node_reader = {
        let token_count = profile.token_count;
        std::thread::spawn(move || read_through_node(node, token_count))
    };
    let (key, runner) = find_stream(&deployment);
    let direct_readers: Vec<_> = (0..2)
        .map(|_| {
            let key = key.clone();
            std::thread::spawn(move || read_directly(runner, &key))
        })
        .collect();
    let cpu_before = cpu_s(process);
    let began_at = Instant::now();
    let (load_tokens, busy_memory_bytes) = run_load(node, process, profile, stream_count - 1);
    let node_times = node_reader
        .join()
        .expect("the reader through the node panicked");
    let took_s = began_at.elapsed().as_secs_f64();
    let cpu_time_s = cpu_s(process) - cpu_before;
    let mut direct_times = direct_readers
        .into_iter()
        .map(|reader| reader.join().expect("a direct reader panicked"));
    let first_times = direct_times.next().expect("there are two direct readers");
    let second_times = direct_times.next().expect("there are two direct readers");
    let tokens = load_tokens + profile.token_count;
    let added_ms = differences_ms(&node_times, &first_times);
    let noise_ms = differences_ms(&second_times, &first_times);
    vec![
        profile.token_ms.to_string(),
        stream_count.to_string(),
        format!("{:.0}", tokens as f64 / took_s),
        format!("{:.1}", cpu_time_s / took_s * 100.0),
        format!("{:.0}", tokens as f64 / cpu_time_s.max(1.0 / TICKS_PER_S)),
        format!(
            "{:.1}",
            busy_memory_bytes.saturating_sub(idle_memory_bytes) as f64
                / 1024.0
                / stream_count as f64
        ),
        format!("{:.3}", quantile(&added_ms, 0.5)),
        format!("{:.3}", quantile(&added_ms, 0.99)),
        format!("{:.3}", quantile(&noise_ms, 0.99)),
    ]
}

/// Runs the streams that only load the node. Returns the number of their tokens,
/// and the memory of the node's process in bytes halfway through the streams.
fn run_load(
    node: SocketAddr,
    process: u32,
    profile: &StreamProfile,
    stream_count: usize,
) -> (u64, u64) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("cannot start the Tokio runtime");
    runtime.block_on(async {
        let calls: Vec<_> = (0..stream_count)
            .map(|number| {
                let caller = Caller::new(vec![node], CUSTOMER_KEY, CALLER_KIND);
                let params = CompletionParams {
                    model: MODEL.to_owned(),
                    prompt: format!("stream {number}"),
                    max_tokens: profile.token_count,
                    brings_text: true,
                };
                tokio::spawn(async move { caller.complete(&params).await })
            })
            .collect();
        let halfway = Duration::from_millis(profile.token_ms * profile.token_count / 2);
        tokio::time::sleep(halfway).await;
        let busy_memory_bytes = memory_bytes(process);
        let mut tokens = 0;
        for call in calls {
            let report = call.await.expect("the caller's task panicked");
            assert_eq!(report.broken, None, "{:?}", report.error);
            tokens += report.token_count;
        }
        (tokens, busy_memory_bytes)
    })
}

/// Waits until one of the runners has a stream, and returns the stream's key and
/// the runner's address.
fn find_stream(deployment: &Deployment) -> (String, SocketAddr) {
    loop {
        for runner in 0..RUNNER_COUNT {
            if let Some(key) = deployment.runner_streams(runner).into_iter().next() {
                return (key, deployment.runner_socket(runner));
            }
        }
    }
}

/// Requests the measured stream through the node, and returns the arrival time
/// of each token by its index.
fn read_through_node(node: SocketAddr, token_count: u64) -> BTreeMap<u64, Instant> {
    let body = format!(
        r#"{{"model":"{MODEL}","prompt":"the probe","max_tokens":{token_count},"stream":true}}"#
    );
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         x-caller-kind: {CALLER_KIND}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    read_times(node, &head)
}

/// Reads a stream from its first token at its runner, and returns the arrival
/// time of each token by its index.
fn read_directly(runner: SocketAddr, key: &str) -> BTreeMap<u64, Instant> {
    let head = format!(
        "POST /v1/streams/{key}/resume?from=0 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-length: 0\r\n\r\n"
    );
    read_times(runner, &head)
}

/// Sends a request, and returns the arrival time of each token by its index.
fn read_times(address: SocketAddr, head: &str) -> BTreeMap<u64, Instant> {
    let mut stream = TcpStream::connect(address).expect("cannot connect to the server");
    stream.set_nodelay(true).expect("cannot set TCP_NODELAY");
    stream
        .write_all(head.as_bytes())
        .expect("cannot send the request");
    let mut times = BTreeMap::new();
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { break };
        if let Some(id) = line.strip_prefix("id: ") {
            let index = id.rsplit('.').next().and_then(|i| i.parse().ok());
            times.insert(
                index.expect("the event id has no token index"),
                Instant::now(),
            );
        }
    }
    times
}

/// For each token in both maps except the first `SKIPPED_TOKENS`, the time by
/// which it arrived later in `later` than in `earlier`, or zero if it arrived
/// earlier; sorted.
fn differences_ms(later: &BTreeMap<u64, Instant>, earlier: &BTreeMap<u64, Instant>) -> Vec<f64> {
    // The runner had generated the first tokens before the direct readers
    // connected.
    const SKIPPED_TOKENS: u64 = 20;
    let pairs = later.iter().filter(|(index, _)| **index >= SKIPPED_TOKENS);
    let mut delays_ms: Vec<f64> = pairs
        .filter_map(|(index, at)| {
            let earlier_at = earlier.get(index)?;
            Some(at.saturating_duration_since(*earlier_at).as_secs_f64() * 1e3)
        })
        .collect();
    delays_ms.sort_by(f64::total_cmp);
    delays_ms
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let position = (sorted.len() as f64 * fraction) as usize;
    sorted
        .get(position.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Processor time of a process so far, user and system.
fn cpu_s(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))
        .expect("cannot read /proc/PID/stat");
    let (_, fields) = stat
        .rsplit_once(')')
        .expect("/proc/PID/stat has no process name in brackets");
    let field = |n: usize| -> f64 {
        fields
            .split_whitespace()
            .nth(n)
            .and_then(|f| f.parse().ok())
            .unwrap_or(0.0)
    };
    // Counted from zero after the name, fields 11 and 12 (14 and 15 in proc(5))
    // are the user and the system time in ticks.
    (field(11) + field(12)) / TICKS_PER_S
}

/// Resident memory of a process.
fn memory_bytes(process: u32) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{process}/statm"))
        .expect("cannot read /proc/PID/statm");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
