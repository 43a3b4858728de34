//! A model engine: prompts are read, events come, copies are kept.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::free_address;
use super::raw::{Answer, RawRequest, reply, serve};

/// Copies that engines keep, as keeper and name.
pub type Fleet = Arc<Mutex<BTreeSet<(SocketAddr, String)>>>;

/// One run that an engine began.
#[derive(Clone, Debug)]
pub struct Run {
    pub call: String,
    pub from_event: u64,
    pub at: std::time::Instant,
    pub had_copy: bool,
    pub request: RawRequest,
}

pub struct Engine {
    pub address: SocketAddr,
    /// Where nodes reach it, which is a proxy's address in the soak.
    pub public: Mutex<SocketAddr>,
    pub data_centre: String,
    pub reading: Mutex<Duration>,
    pub pause: Mutex<Duration>,
    /// Ends its next run in the middle of an event.
    pub tears: AtomicBool,
    name: String,
    life: AtomicU64,
    fleet: Fleet,
    runs: Mutex<Vec<Run>>,
    moves: AtomicUsize,
    running: AtomicUsize,
    frozen: tokio::sync::watch::Sender<bool>,
    server: Mutex<Option<JoinHandle<()>>>,
}

struct Running<'a>(&'a AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    pub async fn start(name: &str, data_centre: &str, fleet: &Fleet) -> Arc<Self> {
        let address = free_address();
        let engine = Arc::new(Self {
            address,
            public: Mutex::new(address),
            data_centre: data_centre.to_owned(),
            reading: Mutex::new(Duration::from_millis(30)),
            pause: Mutex::new(Duration::from_millis(10)),
            tears: AtomicBool::new(false),
            name: name.to_owned(),
            life: AtomicU64::new(1),
            fleet: fleet.clone(),
            runs: Mutex::default(),
            moves: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            frozen: tokio::sync::watch::Sender::new(false),
            server: Mutex::default(),
        });
        engine.clone().listen().await;
        engine
    }

    async fn listen(self: Arc<Self>) {
        let server = serve(self.address, self.clone()).await;
        *self.server.lock().expect("unpoisoned") = Some(server);
    }

    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.life.load(Ordering::Relaxed))
    }

    pub fn entry(&self, state: &str) -> Value {
        json!({ "service": "llm", "address": self.public().to_string(), "zone": self.data_centre,
                "version": "v1", "slots": 8, "state": state, "sequence": 1,
                "born": 1000 + self.life.load(Ordering::Relaxed) })
    }

    pub fn public(&self) -> SocketAddr {
        *self.public.lock().expect("unpoisoned")
    }

    /// Runs that it began.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("unpoisoned").clone()
    }

    pub fn running_count(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Copies that it was asked to make.
    pub fn move_count(&self) -> usize {
        self.moves.load(Ordering::Relaxed)
    }

    /// Resets all connections and forgets what it kept.
    pub fn crash(&self) {
        if let Some(server) = self.server.lock().expect("unpoisoned").take() {
            server.abort();
        }
        let mut fleet = self.fleet.lock().expect("unpoisoned");
        let public = self.public();
        fleet.retain(|(keeper, _)| *keeper != public);
    }

    /// Starts again as another instance.
    pub async fn restart(self: &Arc<Self>) {
        self.life.fetch_add(1, Ordering::Relaxed);
        self.clone().listen().await;
    }

    /// Says nothing any more, or speaks again.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    async fn thaw(&self) {
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    async fn run(&self, request: RawRequest, stream: &mut TcpStream) -> bool {
        let call = request
            .header("x-zinniawing-attempt-id")
            .unwrap_or("-")
            .to_owned();
        let copy = request.header("kv-from").map(str::to_owned);
        if let Some(copy) = &copy {
            let (_, name) = copy.split_once('/').expect("an address and a name");
            let key = (self.public(), name.to_owned());
            if !self.fleet.lock().expect("unpoisoned").remove(&key) {
                return reply(stream, 503, "x-zinniawing-not-executed: 1\r\n", b"").await;
            }
        }
        let from_event = request.number("last-event-id").unwrap_or(0);
        let usage = request.header("x-zinniawing-token-usage").unwrap_or("0,0");
        let (_, events) = usage.split_once(',').expect("two numbers");
        let last: u64 = events.parse().expect("a number");
        let had_copy = copy.is_some();
        self.runs.lock().expect("unpoisoned").push(Run {
            call: call.clone(),
            from_event,
            at: std::time::Instant::now(),
            had_copy,
            request: request.clone(),
        });
        if request.path().contains("poison") {
            self.crash();
            std::future::pending::<()>().await;
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let _running = Running(&self.running);
        if !had_copy {
            let reading = *self.reading.lock().expect("unpoisoned");
            tokio::time::sleep(reading).await;
        }
        self.thaw().await;
        if let Some(keeper) = request.header("x-zinniawing-kv-replica") {
            let keeper = keeper.parse().expect("an address");
            let mut fleet = self.fleet.lock().expect("unpoisoned");
            fleet.insert((keeper, call.clone()));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n\
             x-zinniawing-attempt-id: {call}\r\nx-zinniawing-server-signature: sig-{call}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for id in from_event + 1..=last {
            self.thaw().await;
            let event = format!("id: {id}\ndata: {call} piece {id}\n\n");
            let tears = self.tears.swap(false, Ordering::Relaxed);
            let sent = if tears {
                &event[..event.len() / 2]
            } else {
                &event
            };
            let chunk = format!("{:x}\r\n{sent}\r\n", sent.len());
            let written = stream.write_all(chunk.as_bytes()).await;
            if written.is_err() || tears {
                return false;
            }
            let pause = *self.pause.lock().expect("unpoisoned");
            // A caller that goes away ends the run, as in a real engine.
            let mut byte = [0];
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stream.read(&mut byte) => return false,
            }
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    async fn copy(&self, request: &RawRequest, stream: &mut TcpStream) -> bool {
        self.moves.fetch_add(1, Ordering::Relaxed);
        let body: Value = serde_json::from_slice(&request.body).expect("a JSON body");
        let target = body["target"].as_str().and_then(|t| t.parse().ok());
        let handle = format!("h-{}", body["id"].as_str().expect("an id"));
        let key = (target.expect("an address"), handle.clone());
        self.fleet.lock().expect("unpoisoned").insert(key);
        let made = json!({ "transfer-handle": handle, "created": 1 });
        reply(stream, 200, "", made.to_string().as_bytes()).await
    }
}

impl Answer for Engine {
    async fn answer(self: Arc<Self>, request: RawRequest, stream: &mut TcpStream) -> bool {
        self.thaw().await;
        let expected = request.header("x-zinniawing-expect-instance");
        if expected.is_some_and(|expected| expected != self.id()) {
            let own = format!("x-zinniawing-instance-id: {}\r\n", self.id());
            return reply(stream, 421, &own, b"").await;
        }
        match request.path() {
            "/report" => {
                let report = json!({
                    "phase": "mixed", "models": [{ "name": "m", "version": 1, "adapters": [] }],
                    "queued": 0, "active": 1, "state": "ready",
                    "born": 1000 + self.life.load(Ordering::Relaxed),
                });
                reply(stream, 200, "", report.to_string().as_bytes()).await
            }
            "/kv-move" => self.copy(&request, stream).await,
            path if path.starts_with("/kv-handle/") => reply(stream, 200, "", b"{}").await,
            _ => self.run(request, stream).await,
        }
    }
}
