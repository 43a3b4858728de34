//! Callers that check what they are promised.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use crate::node::Fleet;
use crate::outside::caller::{Caller, Got, exchange, new_call};
use crate::outside::{SAFE_PATH, STREAM_PATH, UNSAFE_PATH};

const CALLERS: u64 = 6;
const EVENTS: u64 = 60;
/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_secs(9);

#[derive(Default)]
struct Book {
    broken: Mutex<Vec<String>>,
    /// Status by call, for calls that may run once.
    unsafe_calls: Mutex<BTreeMap<String, u16>>,
    ended: AtomicBool,
    tried: AtomicUsize,
    served: AtomicUsize,
}

impl Book {
    fn broke(&self, what: String) {
        self.broken.lock().expect("unpoisoned").push(what);
    }
}

pub struct Callers {
    book: Arc<Book>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(fleet: &Fleet, seed: u64) -> Self {
        let book = Arc::new(Book::default());
        let nodes: Vec<Caller> = fleet.nodes.iter().map(|n| n.caller.clone()).collect();
        let tasks = (0..CALLERS).map(|n| {
            let random = StdRng::seed_from_u64(seed * 1_000 + n);
            tokio::spawn(call_on(book.clone(), nodes.clone(), random))
        });
        Self {
            tasks: tasks.collect(),
            book,
        }
    }

    /// Checks that every node serves every kind of call again.
    pub async fn check_recovery(&self, fleet: &Fleet) -> Vec<String> {
        let mut broken = Vec::new();
        for node in &fleet.nodes {
            let name = &node.ports.name;
            let safe = call(&node.caller, "GET", SAFE_PATH, "").await;
            if safe.status != 200 {
                broken.push(format!(
                    "{name} does not serve after the calm: {}",
                    safe.head
                ));
            }
            let usage = "x-zinniawing-token-usage: 800,5\r\n";
            let stream = call(&node.caller, "POST", STREAM_PATH, usage).await;
            if stream.events() != [1, 2, 3, 4, 5] {
                broken.push(format!(
                    "{name} does not stream after the calm: {}",
                    stream.head
                ));
            }
        }
        broken
    }

    /// Ends the callers, compares their book with the upstreams' ledgers, and
    /// tells how much was done.
    pub async fn stop(self, fleet: &Fleet, broken: &mut Vec<String>) -> String {
        self.book.ended.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("callers do not panic");
        }
        broken.append(&mut self.book.broken.lock().expect("unpoisoned"));
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for (service, _) in &fleet.services {
            for run in service.executed() {
                if run.path() == UNSAFE_PATH {
                    let call = run.header("x-zinniawing-attempt-id").unwrap_or("-");
                    *runs.entry(call.to_owned()).or_default() += 1;
                }
            }
        }
        for (call, status) in self.book.unsafe_calls.lock().expect("unpoisoned").iter() {
            let count = runs.get(call).copied().unwrap_or(0);
            let is_promise = [408, 421, 429, 503].contains(status);
            if count > 1 || (is_promise && count > 0) || (*status == 200 && count != 1) {
                broken.push(format!(
                    "{call} ran {count} times and was answered {status}"
                ));
            }
        }
        let tried = self.book.tried.load(Ordering::Relaxed);
        let served = self.book.served.load(Ordering::Relaxed);
        format!("calls {tried}, served {served}")
    }
}

async fn call_on(book: Arc<Book>, nodes: Vec<Caller>, mut random: StdRng) {
    while !book.ended.load(Ordering::Relaxed) {
        let node = &nodes[random.random_range(0..nodes.len())];
        book.tried.fetch_add(1, Ordering::Relaxed);
        let is_served = match random.random_range(0..4) {
            0 => safe(&book, node).await,
            1 => once(&book, node).await,
            _ => stream(&book, &nodes, &mut random).await,
        };
        book.served
            .fetch_add(usize::from(is_served), Ordering::Relaxed);
        let pause = Duration::from_millis(random.random_range(10..80));
        tokio::time::sleep(pause).await;
    }
}

async fn call(node: &Caller, method: &str, path: &str, extra: &str) -> Got {
    let called = tokio::time::timeout(PATIENCE, node.call(method, path, extra));
    called.await.unwrap_or_default()
}

fn check_answer(book: &Book, got: &Got) -> bool {
    if [401, 403, 404, 400, 413].contains(&got.status) {
        book.broke(format!("{} was denied: {}", got.call, got.head));
    }
    let is_served = got.status == 200 && got.is_whole;
    if is_served && got.body != format!("done {}", got.call) {
        book.broke(format!("{} got {:?}", got.call, got.body));
    }
    is_served
}

async fn safe(book: &Book, node: &Caller) -> bool {
    let got = call(node, "GET", SAFE_PATH, "x-zinniawing-deadline-ms: 1500\r\n").await;
    check_answer(book, &got)
}

async fn once(book: &Book, node: &Caller) -> bool {
    let got = call(
        node,
        "POST",
        UNSAFE_PATH,
        "x-zinniawing-deadline-ms: 1500\r\n",
    )
    .await;
    let mut calls = book.unsafe_calls.lock().expect("unpoisoned");
    calls.insert(got.call.clone(), got.status);
    drop(calls);
    check_answer(book, &got)
}

/// Reads a stream to its end, going on at other nodes where one breaks off.
async fn stream(book: &Book, nodes: &[Caller], random: &mut StdRng) -> bool {
    let call = new_call();
    let mut last = 0;
    for _ in 0..4 {
        let node = &nodes[random.random_range(0..nodes.len())];
        let extra = format!(
            "x-zinniawing-deadline-ms: 8000\r\nx-zinniawing-token-usage: 800,{EVENTS}\r\nlast-event-id: {last}\r\n"
        );
        let head = node.head("POST", STREAM_PATH, &call, &extra);
        let request = format!("{head}content-length: 0\r\n\r\n");
        let got = tokio::time::timeout(PATIENCE, exchange(node.address, request.as_bytes()));
        let got = got.await.unwrap_or_default();
        let pieces: Vec<&str> = got
            .body
            .lines()
            .filter_map(|l| l.strip_prefix("data: "))
            .collect();
        for (piece, id) in pieces.iter().zip(last + 1..) {
            if *piece != format!("{call} piece {id}") && got.status == 200 {
                book.broke(format!("{call} got {piece:?} as event {id}"));
                return false;
            }
        }
        if got.status == 200 {
            last += pieces.len() as u64;
        }
        if got.status == 200 && got.is_whole && last != EVENTS {
            book.broke(format!("{call} ended as complete at event {last}"));
            return false;
        }
        if last == EVENTS {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}
