//! A model engine: it runs prefill, streams events, and holds KV cache replicas.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::asked_rest::AskedRest;
use super::error_answer::ErrorAnswer;
use super::framing::Framing;
use super::free_address;
use super::named_limit::NamedLimit;
use super::process::StandInProcess;
use super::raw::{
    LISTEN_QUEUE, RawRequest, RequestHandler, reply, reset_on_close, serve, wait_for_close,
};
use super::run_log::RunLog;
use super::service::EARLIER_REFUSAL;

/// A part of a prompt that begins with this crashes each engine that begins to write
/// an answer on it, after the number of events that follows in its name.
pub const CRASHING_PART: &str = "dead";
/// Time from the last thing that an engine writes to its crash.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// KV cache replicas of all engines, as the address of the holder and the name of
/// the replica.
pub type HeldReplicas = Arc<Mutex<BTreeSet<(SocketAddr, String)>>>;

/// One run of a request that an engine began.
#[derive(Clone, Debug)]
pub struct EngineRun {
    pub call_id: String,
    pub from_event: u64,
    pub started_at: Instant,
    /// It started from a KV cache replica, without prefill.
    pub had_replica: bool,
    pub request: RawRequest,
}

/// Where and how a stream breaks off.
#[derive(Clone, Copy, Debug)]
pub struct StreamBreak {
    /// Number of whole events that the broken run sends.
    pub after_events: u64,
    /// Sends half of the next event too.
    pub is_inside_event: bool,
    /// Resets the connection instead of closing it.
    pub resets: bool,
}

/// A break at several engines that only the first run to reach it meets.
pub type SharedBreak = Arc<Mutex<Option<StreamBreak>>>;

pub struct Engine {
    pub address: SocketAddr,
    /// Address in its entry in the store; in the soak it is the address of a proxy.
    pub advertised_address: Mutex<SocketAddr>,
    pub data_centre: String,
    pub prefill_time: Mutex<Duration>,
    pub event_interval: Mutex<Duration>,
    /// Bytes that each event has in addition to its text.
    pub event_padding: AtomicUsize,
    /// Answers have neither a length nor chunks, and end with their connections.
    pub is_close_delimited: AtomicBool,
    next_break: Mutex<SharedBreak>,
    /// When prompts with a [crashing part](CRASHING_PART) crashed this engine.
    part_crashes: Mutex<Vec<(String, Instant)>>,
    crashed_at: Mutex<Option<Instant>>,
    /// Falls silent where a crashing part crashes it, and leaves its connections open until it
    /// restarts.
    pub crashes_silently: AtomicBool,
    /// Number of new connections that wait to be accepted, from the next start on.
    pub listen_queue: AtomicU32,
    /// Resets new connections; open ones are served.
    pub refuses_connections: AtomicBool,
    /// Refuses new runs with status 503 and the header that says they did not run.
    pub is_full: AtomicBool,
    /// The limit that its answers name, if any. Probes count as arrivals.
    pub named_limit: NamedLimit,
    /// The rest that it asks of nodes, if any. Probes count, and are turned away too.
    pub asked_rest: AskedRest,
    /// Says in the heads of its streams that it leaves.
    is_leaving: AtomicBool,
    /// Calls that arrived, run or not; probes are left out.
    pub run_log: RunLog,
    /// Runs that this engine began.
    pub work_log: RunLog,
    pub process: StandInProcess,
    /// Answers probes also while it is frozen.
    pub reports_while_frozen: AtomicBool,
    /// Answers the next calls so: those that go on with a stream, or all.
    pub error_answers: Mutex<Vec<ErrorAnswer>>,
    pub fails_first_sends: AtomicBool,
    /// Where the next report is due stands an earlier refusal of a call.
    pub has_earlier_refusal: AtomicBool,
    name: String,
    /// Number of the current process, from which its start time follows.
    incarnation: AtomicU64,
    /// Number in the id under which the current process registered.
    id_number: AtomicU64,
    software_version: Mutex<String>,
    held_replicas: HeldReplicas,
    runs: Mutex<Vec<EngineRun>>,
    replica_requests: AtomicUsize,
    report_requests: AtomicUsize,
    running: AtomicUsize,
    frozen: tokio::sync::watch::Sender<bool>,
    server: Mutex<Option<JoinHandle<()>>>,
}

/// The crashing part of a prompt, and the number of events that an engine sends before
/// the part crashes it; none if the prompt has no crashing part.
fn crashing_part(request: &RawRequest) -> Option<(String, u64)> {
    let parts = request.header("x-zinniawing-prefix-hash")?.split(',');
    let mut names = parts.filter_map(|part| part.split(':').next());
    let name = names.find(|name| name.starts_with(CRASHING_PART))?;
    let mut numbers = name[CRASHING_PART.len()..].split(|c: char| !c.is_ascii_digit());
    Some((name.to_owned(), numbers.next()?.parse().ok()?))
}

struct RunningGuard<'a>(&'a AtomicUsize);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    pub async fn start(
        name: &str,
        data_centre: &str,
        software_version: &str,
        held_replicas: &HeldReplicas,
    ) -> Arc<Self> {
        let address = free_address();
        let engine = Arc::new(Self {
            address,
            advertised_address: Mutex::new(address),
            data_centre: data_centre.to_owned(),
            prefill_time: Mutex::new(Duration::from_millis(30)),
            event_interval: Mutex::new(Duration::from_millis(10)),
            event_padding: AtomicUsize::new(0),
            is_close_delimited: AtomicBool::new(false),
            next_break: Mutex::default(),
            part_crashes: Mutex::default(),
            crashed_at: Mutex::default(),
            crashes_silently: AtomicBool::new(false),
            listen_queue: AtomicU32::new(LISTEN_QUEUE),
            refuses_connections: AtomicBool::new(false),
            is_full: AtomicBool::new(false),
            named_limit: NamedLimit::default(),
            asked_rest: AskedRest::default(),
            is_leaving: AtomicBool::new(false),
            run_log: RunLog::default(),
            work_log: RunLog::default(),
            process: StandInProcess::start(),
            reports_while_frozen: AtomicBool::new(false),
            error_answers: Mutex::default(),
            fails_first_sends: AtomicBool::new(false),
            has_earlier_refusal: AtomicBool::new(false),
            name: name.to_owned(),
            incarnation: AtomicU64::new(1),
            id_number: AtomicU64::new(1),
            software_version: Mutex::new(software_version.to_owned()),
            held_replicas: held_replicas.clone(),
            runs: Mutex::default(),
            replica_requests: AtomicUsize::new(0),
            report_requests: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            frozen: tokio::sync::watch::Sender::new(false),
            server: Mutex::default(),
        });
        engine.clone().listen().await;
        engine
    }

    async fn listen(self: Arc<Self>) {
        self.crashed_at.lock().expect("unpoisoned").take();
        let serving = self.process.spawn(serve(self.address, self.clone()));
        let server = serving.await.expect("no panic");
        *self.server.lock().expect("unpoisoned") = Some(server);
    }

    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.id_number.load(Ordering::Relaxed))
    }

    /// Version of its software, which it also writes into its events.
    pub fn software_version(&self) -> String {
        self.software_version.lock().expect("unpoisoned").clone()
    }

    pub fn entry(&self, state: &str) -> Value {
        json!({ "service": "llm", "address": self.advertised_address().to_string(), "zone": self.data_centre,
                "version": self.software_version(), "slots": 8, "state": state, "sequence": 1,
                "born": 1000 + self.incarnation.load(Ordering::Relaxed) })
    }

    pub fn advertised_address(&self) -> SocketAddr {
        *self.advertised_address.lock().expect("unpoisoned")
    }

    /// Runs that this engine began, ended ones included.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.runs.lock().expect("unpoisoned").clone()
    }

    pub fn running_count(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Number of answered requests to create a KV cache replica of a running stream.
    /// Replicas that a header of the run's own request asks for are not counted.
    pub fn replica_request_count(&self) -> usize {
        self.replica_requests.load(Ordering::Relaxed)
    }

    /// Number of requests for its report, answered or not.
    pub fn report_request_count(&self) -> usize {
        self.report_requests.load(Ordering::Relaxed)
    }

    /// Resets all connections, stops listening, and drops the replicas it holds.
    pub fn crash(&self) {
        *self.crashed_at.lock().expect("unpoisoned") = Some(Instant::now());
        if let Some(server) = self.server.lock().expect("unpoisoned").take() {
            server.abort();
        }
        let mut held_replicas = self.held_replicas.lock().expect("unpoisoned");
        let advertised_address = self.advertised_address();
        held_replicas.retain(|(holder, _)| *holder != advertised_address);
    }

    /// Breaks off the next stream, or the one that runs.
    pub fn break_next_stream(&self, at: StreamBreak) {
        self.share_next_break(&Arc::new(Mutex::new(Some(at))));
    }

    /// Replaces the break of the next stream, or of the one that runs, by one that this engine
    /// has in common with others.
    pub fn share_next_break(&self, shared: &SharedBreak) {
        *self.next_break.lock().expect("unpoisoned") = shared.clone();
    }

    fn shared_break(&self) -> SharedBreak {
        self.next_break.lock().expect("unpoisoned").clone()
    }

    /// Whether no stream was broken off since the last call of [`Self::break_next_stream`] or
    /// [`Self::share_next_break`].
    pub fn has_break_ahead(&self) -> bool {
        self.shared_break().lock().expect("unpoisoned").is_some()
    }

    /// When prompts with a crashing part, whose name begins so, crashed this engine.
    pub fn part_crashes_of(&self, name: &str) -> Vec<Instant> {
        let crashes = self.part_crashes.lock().expect("unpoisoned");
        let of_part = crashes.iter().filter(|(part, _)| part.starts_with(name));
        of_part.map(|(_, at)| *at).collect()
    }

    /// Time since its crash, until it listens again.
    pub fn down_time(&self) -> Option<Duration> {
        let crashed_at = *self.crashed_at.lock().expect("unpoisoned");
        crashed_at.map(|at| at.elapsed())
    }

    /// Listens again, as a new incarnation with a new id.
    pub async fn restart(self: &Arc<Self>) {
        self.id_number.fetch_add(1, Ordering::Relaxed);
        self.restart_under_same_id().await;
    }

    /// Listens again, as a new incarnation with the id that it had.
    pub async fn restart_under_same_id(self: &Arc<Self>) {
        if self.crashes_silently.load(Ordering::Relaxed) {
            self.crash();
            self.set_frozen(false);
        }
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        self.named_limit.record_start();
        self.asked_rest.record_start();
        self.clone().listen().await;
    }

    /// Sets the version of the software that the next incarnation runs.
    pub fn set_software_version(&self, version: &str) {
        *self.software_version.lock().expect("unpoisoned") = version.to_owned();
    }

    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    fn leaving_header(&self) -> &'static str {
        if self.is_leaving.load(Ordering::Relaxed) {
            return "server-leaving: 1\r\n";
        }
        ""
    }

    /// While frozen, it answers no requests and sends no events; its connections stay
    /// open.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.frozen.send_replace(is_frozen);
    }

    async fn wait_until_unfrozen(&self) {
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    async fn run(&self, request: RawRequest, stream: &mut TcpStream) -> bool {
        let call_id = request
            .header("x-zinniawing-attempt-id")
            .unwrap_or("-")
            .to_owned();
        let not_executed =
            format!("x-zinniawing-attempt-id: {call_id}\r\nx-zinniawing-not-executed: 1\r\n");
        if self.is_full.load(Ordering::Relaxed) {
            return reply(stream, 503, &not_executed, b"").await;
        }
        let replica = request.header("kv-from").map(str::to_owned);
        if let Some(replica) = &replica {
            let (_, name) = replica
                .split_once('/')
                .expect("the address of a holder and the name of a replica");
            let key = (self.advertised_address(), name.to_owned());
            if !self.held_replicas.lock().expect("unpoisoned").remove(&key) {
                return reply(stream, 503, &not_executed, b"").await;
            }
        }
        let from_event = request.number("last-event-id").unwrap_or(0);
        let usage = request.header("x-zinniawing-token-usage").unwrap_or("0,0");
        let (_, event_count) = usage
            .split_once(',')
            .expect("prompt tokens and events, separated by a comma");
        let last_event: u64 = event_count.parse().expect("a numeric event count");
        let had_replica = replica.is_some();
        self.runs.lock().expect("unpoisoned").push(EngineRun {
            call_id: call_id.clone(),
            from_event,
            started_at: Instant::now(),
            had_replica,
            request: request.clone(),
        });
        if request.path().contains("poison") {
            self.crash();
            std::future::pending::<()>().await;
        }
        let software_version = self.software_version();
        self.running.fetch_add(1, Ordering::Relaxed);
        let _guard = RunningGuard(&self.running);
        let _work = self.work_log.begin(&call_id);
        if !had_replica {
            let prefill_time = *self.prefill_time.lock().expect("unpoisoned");
            tokio::select! {
                () = tokio::time::sleep(prefill_time) => {}
                () = wait_for_close(stream) => return false,
            }
        }
        tokio::select! {
            () = self.wait_until_unfrozen() => {}
            () = wait_for_close(stream) => return false,
        }
        if let Some(holder) = request.header("x-zinniawing-kv-replica") {
            let holder = holder.parse().expect("an address");
            let mut held_replicas = self.held_replicas.lock().expect("unpoisoned");
            held_replicas.insert((holder, call_id.clone()));
        }
        let framing = Framing::of(self.is_close_delimited.load(Ordering::Relaxed));
        if let Some(error) = self.next_error_answer(from_event) {
            return error.write(stream, framing, &call_id, from_event + 1).await;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}{}{}content-type: text/event-stream\r\n\
             x-zinniawing-attempt-id: {call_id}\r\nx-zinniawing-server-signature: sig-{call_id}\r\n\r\n",
            framing.header(),
            self.named_limit.header(),
            self.leaving_header()
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        let crashing_part = crashing_part(&request);
        for id in from_event + 1..=last_event {
            tokio::select! {
                () = self.wait_until_unfrozen() => {}
                () = wait_for_close(stream) => return false,
            }
            if let Some((part, events)) = &crashing_part
                && id > from_event + events
            {
                self.crash_under_part(part).await;
            }
            let padding = "x".repeat(self.event_padding.load(Ordering::Relaxed));
            let event =
                format!("id: {id}\n: {software_version}\ndata: {call_id} piece {id}{padding}\n\n");
            if let Some(at) = self.take_break(id - from_event) {
                if at.is_inside_event {
                    let half = &event.as_bytes()[..event.len() / 2];
                    let _ = stream.write_all(&framing.frame(half)).await;
                }
                if at.resets {
                    reset_on_close(stream);
                }
                return false;
            }
            if stream
                .write_all(&framing.frame(event.as_bytes()))
                .await
                .is_err()
            {
                return false;
            }
            let event_interval = *self.event_interval.lock().expect("unpoisoned");
            // A caller that disconnects ends the run, as in a real engine.
            let mut byte = [0];
            tokio::select! {
                () = tokio::time::sleep(event_interval) => {}
                _ = stream.read(&mut byte) => return false,
            }
        }
        framing == Framing::Chunked && stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    /// How a call that goes on after `from_event` fails, if it does.
    fn next_error_answer(&self, from_event: u64) -> Option<ErrorAnswer> {
        let is_meant = from_event > 0 || self.fails_first_sends.load(Ordering::Relaxed);
        let mut errors = self.error_answers.lock().expect("unpoisoned");
        is_meant.then(|| errors.pop()).flatten()
    }

    /// The break at the event with this number within its run, if one is due.
    fn take_break(&self, number: u64) -> Option<StreamBreak> {
        let shared = self.shared_break();
        let mut next = shared.lock().expect("unpoisoned");
        next.take_if(|at| number > at.after_events)
    }

    /// Crashes the engine shortly after it began to write an answer.
    async fn crash_under_part(&self, part: &str) {
        tokio::time::sleep(CRASH_DELAY).await;
        self.part_crashes
            .lock()
            .expect("unpoisoned")
            .push((part.to_owned(), Instant::now()));
        if self.crashes_silently.load(Ordering::Relaxed) {
            self.set_frozen(true);
            *self.crashed_at.lock().expect("unpoisoned") = Some(Instant::now());
        } else {
            self.crash();
        }
        std::future::pending().await
    }

    async fn create_replica(&self, request: &RawRequest, stream: &mut TcpStream) -> bool {
        let body: Value = serde_json::from_slice(&request.body).expect("a JSON body");
        let target = body["target"].as_str().and_then(|t| t.parse().ok());
        let handle = format!("h-{}", body["id"].as_str().expect("an id"));
        let key = (target.expect("an address"), handle.clone());
        self.held_replicas.lock().expect("unpoisoned").insert(key);
        let answer = json!({ "transfer-handle": handle, "created": 1 });
        let is_sent = reply(stream, 200, "", answer.to_string().as_bytes()).await;
        self.replica_requests.fetch_add(1, Ordering::Relaxed);
        is_sent
    }
}

impl RequestHandler for Engine {
    fn accepts_connections(&self) -> bool {
        !self.refuses_connections.load(Ordering::Relaxed)
    }

    fn listen_queue(&self) -> u32 {
        self.listen_queue.load(Ordering::Relaxed)
    }

    async fn handle(self: Arc<Self>, request: RawRequest, stream: &mut TcpStream) -> bool {
        self.named_limit.record_arrival();
        self.asked_rest.record_arrival(&request, stream);
        let call_id = request.header("x-zinniawing-attempt-id");
        let _arrival = call_id.map(|call_id| self.run_log.begin(call_id));
        let own_id = call_id.map(|id| format!("x-zinniawing-attempt-id: {id}\r\n"));
        let own_id = own_id.unwrap_or_default();
        let is_probe = request.path() == "/report";
        self.report_requests
            .fetch_add(usize::from(is_probe), Ordering::Relaxed);
        let is_answered_frozen = is_probe && self.reports_while_frozen.load(Ordering::Relaxed);
        if !is_answered_frozen {
            self.wait_until_unfrozen().await;
        }
        let expected = request.header("x-zinniawing-expect-instance");
        if expected.is_some_and(|expected| expected != self.id()) {
            let instance_header = format!("{own_id}x-zinniawing-instance-id: {}\r\n", self.id());
            return reply(stream, 421, &instance_header, b"").await;
        }
        if let Some(refusal) = self.asked_rest.refusal(stream) {
            return reply(stream, 503, &(own_id + &refusal), b"").await;
        }
        match request.path() {
            "/report" if self.has_earlier_refusal.swap(false, Ordering::Relaxed) => {
                reply(stream, 503, EARLIER_REFUSAL, b"").await
            }
            "/report" => {
                let report = json!({
                    "phase": "mixed", "models": [{ "name": "m", "version": 1, "adapters": [] }],
                    "queued": 0, "active": 1, "state": "ready",
                    "born": 1000 + self.incarnation.load(Ordering::Relaxed),
                });
                reply(stream, 200, "", report.to_string().as_bytes()).await
            }
            "/kv-move" => self.create_replica(&request, stream).await,
            path if path.starts_with("/kv-handle/") => reply(stream, 200, "", b"{}").await,
            _ => self.run(request, stream).await,
        }
    }
}
