//! Callers that send calls to random nodes and check their answers.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use crate::cut_nodes::{self, FirstTry};
use crate::double_runs;
use crate::edge_environment::caller::{Caller, Response, new_call_id, send_request};
use crate::edge_environment::{IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH};
use crate::kept;
use crate::leavers::{self, LeftCall};
use crate::lost::{self, UnansweredCall, Verdict};
use crate::node::SoakEnvironment;

const CALLER_COUNT: u64 = 6;
const EVENTS_PER_STREAM: u64 = 60;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(9);

/// What all callers of a seed record.
#[derive(Default)]
pub struct CallLog {
    violations: Mutex<Vec<String>>,
    /// Status of the answer by call id, for calls that may run at most once; 0 if
    /// there was no answer. Calls that reached `ANSWER_TIMEOUT` share one entry with
    /// an empty id, so their runs are not checked.
    non_idempotent_calls: Mutex<BTreeMap<String, u16>>,
    /// Number of complete answers to kept callers, by status.
    answer_counts: Mutex<BTreeMap<u16, usize>>,
    unanswered_calls: Mutex<Vec<UnansweredCall>>,
    left_calls: Mutex<Vec<LeftCall>>,
    first_tries: Mutex<Vec<FirstTry>>,
    pub is_stopping: AtomicBool,
    pub call_count: AtomicUsize,
    pub served_count: AtomicUsize,
    /// Calls on kept connections whose callers gave up after their deadlines.
    pub late_count: AtomicUsize,
}

impl CallLog {
    pub fn record_violation(&self, what: String) {
        self.violations.lock().expect("unpoisoned").push(what);
    }

    pub fn record_non_idempotent(&self, call_id: &str, status: u16) {
        let mut calls = self.non_idempotent_calls.lock().expect("unpoisoned");
        calls.insert(call_id.to_owned(), status);
    }

    pub fn count_answer(&self, status: u16) {
        let mut counts = self.answer_counts.lock().expect("unpoisoned");
        *counts.entry(status).or_default() += 1;
    }

    pub fn record_unanswered(&self, call: UnansweredCall) {
        let mut calls = self.unanswered_calls.lock().expect("unpoisoned");
        calls.push(call);
    }

    pub fn record_left(&self, call: LeftCall) {
        self.left_calls.lock().expect("unpoisoned").push(call);
    }

    pub fn record_first_try(&self, first_try: FirstTry) {
        let mut tries = self.first_tries.lock().expect("unpoisoned");
        tries.push(first_try);
    }

    /// Adds the lost calls to the violations, prints the others that a reader may
    /// want to trace, and returns the number of calls by verdict.
    fn judge_unanswered(&self, environment: &SoakEnvironment) -> BTreeMap<Verdict, usize> {
        let mut counts = BTreeMap::new();
        for call in self.unanswered_calls.lock().expect("unpoisoned").iter() {
            let (verdict, text) = lost::judge(call, environment);
            *counts.entry(verdict).or_default() += 1;
            if [Verdict::Lost, Verdict::OutsideWindows].contains(&verdict) {
                println!("{text}");
            }
            if verdict == Verdict::Lost {
                self.record_violation(text);
            }
        }
        counts
    }
}

pub struct Callers {
    log: Arc<CallLog>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(environment: &SoakEnvironment, seed: u64) -> Self {
        let log = Arc::new(CallLog::default());
        let nodes: Vec<Caller> = environment.nodes.iter().map(|n| n.caller.clone()).collect();
        let tasks = (0..CALLER_COUNT).map(|n| {
            let random = StdRng::seed_from_u64(seed * 1_000 + n);
            tokio::spawn(run_caller(log.clone(), nodes.clone(), random))
        });
        let mut tasks: Vec<JoinHandle<()>> = tasks.collect();
        tasks.extend(kept::start(environment, seed, &log));
        tasks.extend(leavers::start(environment, seed, &log));
        tasks.extend(cut_nodes::start_tries(environment, &log));
        Self { tasks, log }
    }

    /// Checks that every node serves plain calls and streams again.
    pub async fn check_recovery(&self, environment: &SoakEnvironment) -> Vec<String> {
        let mut violations = Vec::new();
        for node in &environment.nodes {
            let name = &node.spec.name;
            let plain = call_with_timeout(&node.caller, "GET", IDEMPOTENT_PATH, "").await;
            if plain.status != 200 {
                violations.push(format!(
                    "{name} does not serve calls after the recovery time: {}",
                    plain.head
                ));
            }
            let headers = "x-zinniawing-token-usage: 800,5\r\n";
            let stream = call_with_timeout(&node.caller, "POST", STREAM_PATH, headers).await;
            if stream.event_ids() != [1, 2, 3, 4, 5] {
                violations.push(format!(
                    "{name} does not serve streams after the recovery time: {}",
                    stream.head
                ));
            }
        }
        violations
    }

    /// Calls that reached upstreams long after their callers left.
    pub fn late_arrivals(&self, environment: &SoakEnvironment) -> Vec<String> {
        let left_calls = self.log.left_calls.lock().expect("unpoisoned");
        leavers::late_arrivals(&left_calls, environment)
    }

    /// Stops the callers, compares the answers to calls that may run at most once
    /// with the executions at the services, and returns how many calls were made
    /// and served.
    pub async fn stop(self, environment: &SoakEnvironment, violations: &mut Vec<String>) -> String {
        self.log.is_stopping.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("callers do not panic");
        }
        let unanswered = self.log.judge_unanswered(environment);
        violations.extend(double_runs::violations(environment));
        let first_tries = self.log.first_tries.lock().expect("unpoisoned");
        violations.extend(cut_nodes::violation(&first_tries, environment));
        violations.append(&mut self.log.violations.lock().expect("unpoisoned"));
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for (service, _) in &environment.services {
            for run in service.executed() {
                if run.path() == NON_IDEMPOTENT_PATH {
                    let call_id = run.header("x-zinniawing-attempt-id").unwrap_or("-");
                    *runs.entry(call_id.to_owned()).or_default() += 1;
                }
            }
        }
        for (call_id, status) in self
            .log
            .non_idempotent_calls
            .lock()
            .expect("unpoisoned")
            .iter()
        {
            let count = runs.get(call_id).copied().unwrap_or(0);
            let says_not_executed = [408, 421, 429, 503].contains(status);
            if count > 1 || (says_not_executed && count > 0) || (*status == 200 && count != 1) {
                violations.push(format!(
                    "{call_id} ran {count} times and was answered {status}"
                ));
            }
        }
        let call_count = self.log.call_count.load(Ordering::Relaxed);
        let served_count = self.log.served_count.load(Ordering::Relaxed);
        let answer_counts = self.log.answer_counts.lock().expect("unpoisoned");
        let late_count = self.log.late_count.load(Ordering::Relaxed);
        format!(
            "calls {call_count}, served {served_count}, late {late_count}, \
             answers {answer_counts:?}, unanswered {unanswered:?}, left {}",
            self.log.left_calls.lock().expect("unpoisoned").len()
        )
    }
}

async fn run_caller(log: Arc<CallLog>, nodes: Vec<Caller>, mut random: StdRng) {
    while !log.is_stopping.load(Ordering::Relaxed) {
        let node = &nodes[random.random_range(0..nodes.len())];
        log.call_count.fetch_add(1, Ordering::Relaxed);
        let is_served = match random.random_range(0..4) {
            0 => call_idempotent(&log, node).await,
            1 => call_non_idempotent(&log, node).await,
            _ => read_stream(&log, &nodes, &mut random).await,
        };
        log.served_count
            .fetch_add(usize::from(is_served), Ordering::Relaxed);
        let pause = Duration::from_millis(random.random_range(10..80));
        tokio::time::sleep(pause).await;
    }
}

async fn call_with_timeout(
    node: &Caller,
    method: &str,
    path: &str,
    extra_headers: &str,
) -> Response {
    let response = tokio::time::timeout(ANSWER_TIMEOUT, node.call(method, path, extra_headers));
    response.await.unwrap_or_default()
}

fn check_answer(log: &CallLog, response: &Response) -> bool {
    if [401, 403, 404, 400, 413].contains(&response.status) {
        log.record_violation(format!(
            "{} was denied although it is valid: {}",
            response.call_id, response.head
        ));
    }
    let is_served = response.status == 200 && response.is_complete;
    if is_served && response.body != format!("done {}", response.call_id) {
        log.record_violation(format!(
            "{} was answered with the wrong body {:?}",
            response.call_id, response.body
        ));
    }
    is_served
}

pub async fn call_idempotent(log: &CallLog, node: &Caller) -> bool {
    let response = call_with_timeout(
        node,
        "GET",
        IDEMPOTENT_PATH,
        "x-zinniawing-deadline-ms: 1500\r\n",
    )
    .await;
    check_answer(log, &response)
}

pub async fn call_non_idempotent(log: &CallLog, node: &Caller) -> bool {
    let response = call_with_timeout(
        node,
        "POST",
        NON_IDEMPOTENT_PATH,
        "x-zinniawing-deadline-ms: 1500\r\n",
    )
    .await;
    log.record_non_idempotent(&response.call_id, response.status);
    check_answer(log, &response)
}

/// Reads a stream to its end. If it breaks off, resumes it at a random node, up to
/// three times.
async fn read_stream(log: &CallLog, nodes: &[Caller], random: &mut StdRng) -> bool {
    let call_id = new_call_id();
    let mut last_event = 0;
    for _ in 0..4 {
        let node = &nodes[random.random_range(0..nodes.len())];
        let extra_headers = format!(
            "x-zinniawing-deadline-ms: 8000\r\nx-zinniawing-token-usage: 800,{EVENTS_PER_STREAM}\r\nlast-event-id: {last_event}\r\n"
        );
        let head = node.head("POST", STREAM_PATH, &call_id, &extra_headers);
        let request = format!("{head}content-length: 0\r\n\r\n");
        let response = tokio::time::timeout(
            ANSWER_TIMEOUT,
            send_request(node.address, request.as_bytes()),
        );
        let response = response.await.unwrap_or_default();
        let pieces: Vec<&str> = response
            .body
            .lines()
            .filter_map(|l| l.strip_prefix("data: "))
            .collect();
        for (piece, id) in pieces.iter().zip(last_event + 1..) {
            if *piece != format!("{call_id} piece {id}") && response.status == 200 {
                log.record_violation(format!("{call_id} got {piece:?} as event {id}"));
                return false;
            }
        }
        if response.status == 200 {
            last_event += pieces.len() as u64;
        }
        if response.status == 200 && response.is_complete && last_event != EVENTS_PER_STREAM {
            log.record_violation(format!(
                "{call_id} ended as complete after event {last_event}"
            ));
            return false;
        }
        if last_event == EVENTS_PER_STREAM {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}
