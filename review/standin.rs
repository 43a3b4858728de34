//! Small stand-ins for the platform's store, runners and clients, and the scripted cases of
//! this review that start the project's own processes beside them.
//!
//! Usage: `standin CASE FOLDER`, in the root of the repository. `CASE` names one of the
//! functions in `main`. `FOLDER/record.txt` gets what was sent, answered and run. With
//! `TROUBLE=0` in the environment the disruption is left out.
//!
//! Only the standard library is used. All addresses are loopback addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

const KEY: &str = "review-key";
const HOST: &str = "review.example";
/// Time after which a case ends in any event.
const CASE_TIME_MAX: Duration = Duration::from_secs(110);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn sleep(n: u64) {
    thread::sleep(ms(n));
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

/// What was sent, answered and run, with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>6} ms  {text}");
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(n, _)| *n == name);
        found.next().map(|(_, value)| value.to_owned())
    }

    fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a start line and headers.
fn read_head(input: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    if input.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let first = first.trim_end().to_owned();
    Some(Message {
        first,
        headers,
        body: Vec::new(),
    })
}

fn read_request(input: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(input)?;
    let length = message
        .header("content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    message.body = body;
    Some(message)
}

fn reply(out: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} -\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    out.write_all(head.as_bytes())
        .and_then(|()| out.write_all(body))
        .is_ok()
}

// ---------------------------------------------------------------- JSON, as text

fn parts(text: &str) -> Vec<&str> {
    let text = text.trim();
    if text.len() < 2 {
        return Vec::new();
    }
    let inner = &text[1..text.len() - 1];
    let (mut depth, mut in_string, mut escaped, mut start) = (0, false, false, 0);
    let mut found = Vec::new();
    for (at, byte) in inner.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth -= 1,
            b',' if !in_string && depth == 0 => {
                found.push(inner[start..at].trim());
                start = at + 1;
            }
            _ => {}
        }
    }
    found.push(inner[start..].trim());
    found
}

fn member<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let prefix = format!("\"{key}\"");
    let found = parts(object)
        .into_iter()
        .find_map(|part| part.strip_prefix(prefix.as_str()));
    found.map(|rest| rest.trim_start().trim_start_matches(':').trim())
}

fn text_member(object: &str, key: &str) -> Option<String> {
    member(object, key).map(|value| value.trim_matches('"').to_owned())
}

// ---------------------------------------------------------------- the store

#[derive(Clone)]
struct Stored {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    /// Revision, kind, name, spec, whether it was deleted.
    history: Vec<(u64, String, String, String, bool)>,
}

impl StoreState {
    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.get(&key).is_some_and(|held| held.spec == spec) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        self.objects.insert(
            key,
            Stored {
                revision,
                spec: spec.to_owned(),
            },
        );
        self.history.push((
            revision,
            kind.to_owned(),
            name.to_owned(),
            spec.to_owned(),
            false,
        ));
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(held) = self.objects.remove(&key) {
            self.revision += 1;
            let change = (
                self.revision,
                kind.to_owned(),
                name.to_owned(),
                held.spec,
                true,
            );
            self.history.push(change);
        }
    }
}

/// The platform's store.
pub struct Store {
    address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Second address of the store, for one node. Its answers name other addresses.
    view_address: SocketAddr,
    view: Mutex<Vec<(String, String)>>,
    /// While set, no call is done or answered.
    is_silent: AtomicBool,
    /// The next write of this kind is not answered, and is done so much later.
    late_write: Mutex<Option<(String, Duration)>>,
    record: Arc<Record>,
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
         \"finalizers\":[],\"deletion-pending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let view_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            view_address: view_listener.local_addr().expect("an address"),
            view: Mutex::default(),
            state: Mutex::default(),
            changed: Condvar::new(),
            is_silent: AtomicBool::new(false),
            late_write: Mutex::default(),
            record: record.clone(),
        });
        for (listener, is_view) in [(listener, false), (view_listener, true)] {
            let served = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = served.clone();
                    thread::spawn(move || store.serve(stream, is_view));
                }
            });
        }
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.record.line(if is_silent {
            "store: falls silent"
        } else {
            "store: answers again"
        });
        self.is_silent.store(is_silent, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn lose_next_write(&self, kind: &str, done_after: Duration) {
        *self.late_write.lock().unwrap() = Some((kind.to_owned(), done_after));
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, is_view: bool) {
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream.try_clone().expect("a clone"));
        while let Some(request) = read_request(&mut input) {
            if self.is_silent.load(Ordering::SeqCst) {
                // The connection returns nothing further.
                let _ = input.read(&mut [0; 1]);
                return;
            }
            let Some((status, mut body)) = self.answer(&request) else {
                let _ = input.read(&mut [0; 1]);
                return;
            };
            if is_view {
                for (address, path) in self.view.lock().unwrap().iter() {
                    body = body.replace(address, path);
                }
            }
            let headers = "content-type: application/json\r\n";
            if !reply(&mut stream, status, headers, body.as_bytes()) {
                return;
            }
        }
    }

    /// Status and body; none if the answer is lost.
    fn answer(self: &Arc<Self>, request: &Message) -> Option<(u16, String)> {
        let rest = request.path().trim_start_matches("/objects/").to_owned();
        let (kind, name) = rest.split_once('/').unwrap_or((&rest, ""));
        let is_read = request.method() == "GET";
        if !is_read {
            let text = String::from_utf8_lossy(&request.body);
            self.record.line(&format!(
                "store: {} {} {text}",
                request.method(),
                request.target()
            ));
            let mut late = self.late_write.lock().unwrap();
            if let Some((_, after)) = late.take_if(|(of, _)| of == kind) {
                let (store, request) = (self.clone(), request.clone());
                let text = format!("store: this write is not answered, and done {after:?} later");
                self.record.line(&text);
                thread::spawn(move || {
                    thread::sleep(after);
                    let (status, _) = store.write(&request);
                    store
                        .record
                        .line(&format!("store: the late write is done, status {status}"));
                });
                return None;
            }
            drop(late);
            return Some(self.write(request));
        }
        if let Some(after) = request.query("watch").and_then(|n| n.parse().ok()) {
            let wait = request
                .query("wait-ms")
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            return self.watch(kind, after, ms(wait)).map(|body| (200, body));
        }
        let state = self.state.lock().unwrap();
        if !name.is_empty() {
            let held = state.objects.get(&(kind.to_owned(), name.to_owned()));
            return Some(match held {
                Some(held) => (200, object_text(name, held.revision, &held.spec)),
                None => (404, "{}".to_owned()),
            });
        }
        let after = request.query("after").unwrap_or_default();
        let of_kind = state
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && *n > after);
        let entries: Vec<String> = of_kind
            .map(|((_, n), held)| object_text(n, held.revision, &held.spec))
            .collect();
        let (entries, at) = (entries.join(","), state.revision);
        Some((
            200,
            format!("{{\"entries\":[{entries}],\"has-more\":false,\"at\":{at}}}"),
        ))
    }

    fn write(&self, request: &Message) -> (u16, String) {
        let rest = request.path().trim_start_matches("/objects/").to_owned();
        let (kind, name) = rest.split_once('/').unwrap_or((&rest, ""));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = member(&body, "metadata").unwrap_or("{}");
        let named = text_member(metadata, "name").unwrap_or_default();
        let name = if name.is_empty() {
            named
        } else {
            name.to_owned()
        };
        let stated = member(metadata, "revision").map(str::to_owned);
        let stated: Option<u64> = stated
            .or(request.query("revision"))
            .and_then(|n| n.parse().ok());
        let mut state = self.state.lock().unwrap();
        let held = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let is_other = held
            .as_ref()
            .is_some_and(|h| stated.is_some_and(|at| at != h.revision));
        let answer = match (request.method(), held) {
            ("POST", Some(held)) => (409, object_text(&name, held.revision, &held.spec)),
            ("POST", None) => {
                state.put(kind, &name, member(&body, "spec").unwrap_or("{}"));
                (200, "{}".to_owned())
            }
            (_, None) => (404, "{}".to_owned()),
            (_, Some(held)) if is_other => (409, object_text(&name, held.revision, &held.spec)),
            ("PUT", Some(_)) => {
                state.put(kind, &name, member(&body, "spec").unwrap_or("{}"));
                (200, "{}".to_owned())
            }
            (_, Some(_)) => {
                state.delete(kind, &name);
                (200, "{}".to_owned())
            }
        };
        drop(state);
        self.changed.notify_all();
        answer
    }

    /// None if the store falls silent meanwhile.
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<String> {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if self.is_silent.load(Ordering::SeqCst) {
                return None;
            }
            let newer = state
                .history
                .iter()
                .filter(|(at, k, ..)| *at > after && k == kind);
            let events: Vec<String> = newer
                .map(|(at, _, name, spec, deleted)| {
                    let object = object_text(name, *at, spec);
                    format!("{{\"object\":{object},\"deleted\":{deleted}}}")
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return Some(format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            state = self
                .changed
                .wait_timeout(state, left.min(ms(50)))
                .unwrap()
                .0;
        }
    }
}

// ---------------------------------------------------------------- runners

/// A port that stays free while its runner is down: it is below those that the system hands
/// out for connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 41 % 9_000;
    loop {
        let port = 10_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 10_000;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A runner of the service `llm`. One start of it is an incarnation.
pub struct Runner {
    id: String,
    address: SocketAddr,
    /// Second address, at which it listens for one node whose path can be cut.
    cut_path: SocketAddr,
    is_cut: AtomicBool,
    cut_connections: Mutex<Vec<TcpStream>>,
    version: Mutex<String>,
    born: AtomicU64,
    is_up: AtomicBool,
    /// Turns all requests away with 503 and `X-Zinniawing-Not-Executed`.
    is_full: AtomicBool,
    /// The limit that all its answers name, if any.
    limit: Mutex<Option<String>>,
    /// Breaks one of so many answers off after the last event, before its end; zero: none.
    breaks_one_in: AtomicUsize,
    /// Crashes when it has begun to write an answer on a prompt with the part `dead`.
    crashes_under_part: AtomicBool,
    /// When requests with that part reached it, and when they crashed it.
    part_arrivals: Mutex<Vec<Instant>>,
    part_crashes: Mutex<Vec<Instant>>,
    prefill: Duration,
    event_interval: Duration,
    connections: Mutex<Vec<TcpStream>>,
    run_count: AtomicUsize,
    record: Arc<Record>,
}

impl Runner {
    pub fn new(
        id: &str,
        version: &str,
        prefill: u64,
        interval: u64,
        rec: &Arc<Record>,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            address: free_address(),
            cut_path: free_address(),
            is_cut: AtomicBool::new(false),
            cut_connections: Mutex::default(),
            version: Mutex::new(version.to_owned()),
            born: AtomicU64::new(unix_ms()),
            is_up: AtomicBool::new(false),
            is_full: AtomicBool::new(false),
            limit: Mutex::default(),
            breaks_one_in: AtomicUsize::new(0),
            crashes_under_part: AtomicBool::new(false),
            part_arrivals: Mutex::default(),
            part_crashes: Mutex::default(),
            prefill: ms(prefill),
            event_interval: ms(interval),
            connections: Mutex::default(),
            run_count: AtomicUsize::new(0),
            record: rec.clone(),
        })
    }

    pub fn version(&self) -> String {
        self.version.lock().unwrap().clone()
    }

    pub fn entry(&self, state: &str) -> String {
        let (version, born) = (self.version(), self.born.load(Ordering::SeqCst));
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"{version}\",\
             \"slots\":64,\"state\":\"{state}\",\"cold-remaining-ms\":0,\"phase\":\"mixed\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{born}}}",
            self.address
        )
    }

    pub fn start(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => sleep(5),
            }
        };
        listener.set_nonblocking(true).expect("non-blocking");
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.record.line(&format!(
            "runner {}: starts at version {}",
            self.id,
            self.version()
        ));
        let runner = self.clone();
        thread::spawn(move || {
            while runner.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let kept = stream.try_clone().expect("a clone");
                        runner.connections.lock().unwrap().push(kept);
                        let runner = runner.clone();
                        thread::spawn(move || runner.serve(stream));
                    }
                    Err(_) => sleep(1),
                }
            }
        });
    }

    /// Listens at the second address too, until the path is cut.
    pub fn start_cut_path(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.cut_path).expect("a free port");
        listener.set_nonblocking(true).expect("non-blocking");
        let runner = self.clone();
        thread::spawn(move || {
            while !runner.is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let kept = stream.try_clone().expect("a clone");
                        runner.cut_connections.lock().unwrap().push(kept);
                        let runner = runner.clone();
                        thread::spawn(move || runner.serve(stream));
                    }
                    Err(_) => sleep(1),
                }
            }
        });
    }

    /// Cuts the path of one node: its connections end, and new ones are refused.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        sleep(5);
        for connection in self.cut_connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Ends all connections and stops listening.
    pub fn stop(&self) {
        self.record.line(&format!("runner {}: ends", self.id));
        self.is_up.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        sleep(10);
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut input = BufReader::new(stream.try_clone().expect("a clone"));
        while let Some(request) = read_request(&mut input) {
            if !self.handle(&request, &mut stream) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let call = request
            .header("x-zinniawing-attempt-id")
            .unwrap_or("-")
            .to_owned();
        let limit = self.limit.lock().unwrap().clone();
        let limit = limit.map_or(String::new(), |limit| format!("server-limit: {limit}\r\n"));
        let echo = format!("x-zinniawing-attempt-id: {call}\r\n{limit}");
        let born = self.born.load(Ordering::SeqCst);
        match request.path() {
            "/report" => {
                let body = format!(
                    "{{\"phase\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":1,\"queued\":0,\"active\":1,\"kv-used\":100,\
                     \"kv-size\":880000,\"open-handles\":0,\"state\":\"ready\",\"born\":{born}}}"
                );
                self.record.line(&format!("runner {}: reports", self.id));
                let headers = format!("content-type: application/json\r\n{limit}");
                return reply(stream, 200, &headers, body.as_bytes());
            }
            "/healthz" => {
                let id = format!("x-zinniawing-instance-id: {}\r\n{limit}", self.id);
                return reply(stream, 200, &id, b"");
            }
            path if path.starts_with("/kv-") => return reply(stream, 404, "", b"{}"),
            _ => {}
        }
        let expected = request.header("x-zinniawing-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = format!("{echo}x-zinniawing-instance-id: {}\r\n", self.id);
            return reply(stream, 421, &headers, b"");
        }
        if self.is_full.load(Ordering::SeqCst) {
            self.record
                .line(&format!("runner {}: full, does not run {call}", self.id));
            let headers = format!("{echo}x-zinniawing-not-executed: 1\r\n");
            return reply(stream, 503, &headers, b"");
        }
        self.run(request, &call, &limit, stream)
    }

    fn run(&self, request: &Message, call: &str, limit: &str, stream: &mut TcpStream) -> bool {
        let version = self.version();
        let from = request
            .header("last-event-id")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0_u64);
        let usage = request.header("x-zinniawing-token-usage").unwrap_or("0,0");
        let tokens: u64 = usage
            .split(',')
            .nth(1)
            .and_then(|n| n.trim().parse().ok())
            .unwrap_or(0);
        let last = tokens.div_ceil(7);
        let number = self.run_count.fetch_add(1, Ordering::SeqCst) + 1;
        let text = format!(
            "runner {} ({version}): runs {call} from event {}",
            self.id,
            from + 1
        );
        self.record.line(&text);
        thread::sleep(self.prefill);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-zinniawing-attempt-id: {call}\r\nx-zinniawing-weight-versions: 1\r\n\
             x-zinniawing-server-signature: {}.{version}.{call}\r\n{limit}\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let parts = request.header("x-zinniawing-prefix-hash").unwrap_or("");
        let has_part = parts.split(',').any(|part| part.starts_with("dead:"));
        if has_part {
            self.part_arrivals.lock().unwrap().push(Instant::now());
        }
        for id in from + 1..=last {
            if has_part && id > from + 1 && self.crashes_under_part.load(Ordering::SeqCst) {
                self.record
                    .line(&format!("runner {}: crashes under {call}", self.id));
                self.part_crashes.lock().unwrap().push(Instant::now());
                self.stop();
                return false;
            }
            let event = format!("id: {id}\ndata: {version} {} {id}\n\n", self.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                self.record.line(&format!(
                    "runner {}: {call} was closed at event {id}",
                    self.id
                ));
                return false;
            }
            thread::sleep(self.event_interval);
        }
        let one_in = self.breaks_one_in.load(Ordering::SeqCst);
        if one_in > 0 && number % one_in == 0 {
            self.record.line(&format!(
                "runner {}: {call} is broken off before its end",
                self.id
            ));
            return false;
        }
        self.record
            .line(&format!("runner {}: {call} is complete", self.id));
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

// ---------------------------------------------------------------- entry nodes

/// The ports of all nodes, which have addresses of their own.
#[derive(Clone, Copy)]
pub struct Ports {
    base: u16,
}

/// One process of the deploy file.
pub struct Node {
    name: String,
    ip: Ipv4Addr,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Arc<Mutex<Child>>>,
    record: Arc<Record>,
}

/// All processes that were started, so that none outlives the case.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

fn kill_all() {
    for child in STARTED.lock().unwrap().drain(..) {
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Node {
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.ports.base))
    }

    /// Starts the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new("target/release/zinniawing")
            .args(["edge", "--metrics-port", "9464"])
            .env("ZINNIAWING_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a clone")))
            .stderr(Stdio::from(log))
            .spawn();
        match child {
            Ok(child) => {
                let child = Arc::new(Mutex::new(child));
                STARTED.lock().unwrap().push(child.clone());
                self.child = Some(child);
            }
            Err(error) => give_up(&format!("the program does not start: {error}")),
        }
        self.record.line(&format!("node {}: started", self.name));
    }

    pub fn wait_until_ready(&self) {
        let address = SocketAddr::from((self.ip, self.ports.base + 1));
        let deadline = Instant::now() + ms(20_000);
        while Instant::now() < deadline {
            if plain_get(address, "/readyz").is_some_and(|status| status == 200) {
                self.record.line(&format!("node {}: ready", self.name));
                return;
            }
            sleep(20);
        }
        give_up(&format!("node {} does not become ready", self.name));
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            self.record.line(&format!("node {}: killed", self.name));
            let mut child = child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, as the platform sends it to restart or replace a machine's process.
    pub fn terminate(&self) {
        let Some(child) = &self.child else { return };
        let id = child.lock().unwrap().id().to_string();
        self.record.line(&format!("node {}: SIGTERM", self.name));
        let sent = Command::new("sh")
            .args(["-c", "kill -TERM \"$0\"", &id])
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            give_up("the signal could not be sent");
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn plain_get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, ms(500)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_head(&mut BufReader::new(stream)).map(|head| head.status())
}

/// Ends the case with the code for one that could not run.
pub fn give_up(cause: &str) -> ! {
    eprintln!("could not run: {cause}");
    kill_all();
    exit(2);
}

fn settings_text(
    name: &str,
    ip: Ipv4Addr,
    ports: Ports,
    seed: Ipv4Addr,
    store: SocketAddr,
) -> String {
    let base = ports.base;
    let (ready, control, directory) = (base + 1, base + 2, base + 3);
    let (first, last) = (base + 4, base + 15);
    format!(
        "node-name: \"{name}\"\nrole: \"entry\"\nmachine-class: \"edge\"\n\
         serves:\n  - \"edge\"\n  - \"control\"\n  - \"registry\"\n\
         ip: \"{ip}\"\nzone: \"z-a\"\nregion: \"r-a\"\nzones:\n  z-a: \"r-a\"\n\
         listen:\n  frontend: \"{ip}:{base}\"\n  readiness-addr: \"{ip}:{ready}\"\n  \
         control-plane: \"{ip}:{control}\"\n  directory-addr: \"{ip}:{directory}\"\n\
         internal-port-range:\n  - {first}\n  - {last}\n\
         seed-nodes:\n  - \"{seed}:{control}\"\n\
         bootstrap: true\ncounts-as-loss: false\n\
         limits:\n  cpu-fraction: 0.25\n  cpu-cores: 1\n  memory-mb: 110\n  max-fds: 4100\n  \
         link-mbps: 1000.0\n  disk-mb: 0\n\
         data-dir: null\ndiscovery: \"platform\"\nentry-type: \"registry\"\nheartbeat-ms: 1200\n\
         fault-tolerance:\n  machine-count: 2\n  zones: 0\n  region-count: 0\n\
         bounds:\n  seed-lag-s: 3\n  reuse-delay-s: 2\n  contact-ms: 3000\n  ack-timeout-ms: 4000\n  \
         catch-up-s: 4\n  drain-timeout-ms: 2000\n  grace-period-s: 8\n  loss-slack-ms: 200\n  \
         config-apply-ms: 2000\n  rollback-slack-ms: 250\n  max-skew-ms: 5000\n  \
         retry-budget-ratio: 0.8\n  retry-window-s: 10\n  budget-slack: 150\n  recovery-s: 12\n  \
         iteration-ms: 120\n  retry-after-s: 5.9\n  ttl_max_s: 5\n\
         platform:\n  address: \"{store}\"\n  form: \"objects\"\n  writes-per-s: 400\n  \
         reads-per-s: 2000\n  retention-s: 20\n  value-bytes: 1048576\n  min-ttl-ms: 1000\n"
    )
}

/// Starts `count` nodes that know each other.
pub fn start_nodes(count: u8, store: &Store, folder: &PathBuf, record: &Arc<Record>) -> Vec<Node> {
    start_nodes_at(&vec![store.address; count.into()], folder, record)
}

/// Starts one node for each address of the store.
pub fn start_nodes_at(stores: &[SocketAddr], folder: &PathBuf, record: &Arc<Record>) -> Vec<Node> {
    let draw = std::process::id() ^ unix_ms() as u32;
    let net = [127, 20 + (draw % 200) as u8, 1 + (draw / 200 % 250) as u8];
    let ip = |n: u8| Ipv4Addr::new(net[0], net[1], net[2], 10 + n);
    let ports = Ports {
        base: 21_000 + (draw % 9_000) as u16,
    };
    let mut nodes = Vec::new();
    for (n, store) in (0..).zip(stores) {
        let name = format!("edge-z-a-{}", n + 1);
        let settings = folder.join(format!("{name}.yaml"));
        let text = settings_text(&name, ip(n), ports, ip(0), *store);
        fs::write(&settings, text).expect("a temporary file");
        let log = folder.join(format!("{name}.log"));
        let mut node = Node {
            name,
            ip: ip(n),
            ports,
            settings,
            log,
            child: None,
            record: record.clone(),
        };
        node.start();
        nodes.push(node);
    }
    nodes.iter().for_each(Node::wait_until_ready);
    nodes
}

// ---------------------------------------------------------------- clients

/// What a client got for one attempt.
#[derive(Clone, Debug, Default)]
pub struct Got {
    id: String,
    status: u16,
    /// Index and software version of each event.
    events: Vec<(u64, String)>,
    /// The answer ended as one that is whole.
    is_complete: bool,
    error: String,
}

impl Got {
    fn versions(&self) -> BTreeSet<String> {
        self.events
            .iter()
            .map(|(_, version)| version.clone())
            .collect()
    }

    fn last_event(&self) -> Option<u64> {
        self.events.last().map(|(id, _)| *id)
    }
}

/// A client with one connection, which it keeps.
pub struct Client {
    address: SocketAddr,
    /// The parts of its prompts that others share.
    parts: String,
    connection: Option<BufReader<TcpStream>>,
    record: Arc<Record>,
}

/// The stream that an attempt takes up.
pub struct TakenUp {
    last_event: u64,
    resumes: String,
}

impl Client {
    pub fn new(address: SocketAddr, record: &Arc<Record>) -> Self {
        let parts = "aa01:200,".to_owned();
        Self {
            address,
            parts,
            connection: None,
            record: record.clone(),
        }
    }

    /// Sends one attempt and reads its answer, of which `on_event` sees each event and may
    /// have the client leave.
    pub fn stream(
        &mut self,
        id: &str,
        tokens: u64,
        taken_up: Option<&TakenUp>,
        mut on_event: impl FnMut(u64) -> bool,
    ) -> Got {
        let mut got = Got {
            id: id.to_owned(),
            ..Got::default()
        };
        let result = self.exchange(&mut got, tokens, taken_up, &mut on_event);
        if let Err(error) = result {
            got.error = error;
            self.connection = None;
        }
        self.record.line(&format!(
            "client: {id} got status {} events {}..{:?} of {:?} whole {} {}",
            got.status,
            got.events.first().map_or(0, |(at, _)| *at),
            got.last_event(),
            got.versions(),
            got.is_complete,
            got.error
        ));
        got
    }

    fn exchange(
        &mut self,
        got: &mut Got,
        tokens: u64,
        taken_up: Option<&TakenUp>,
        on_event: &mut impl FnMut(u64) -> bool,
    ) -> Result<(), String> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, ms(1_000));
            let stream = stream.map_err(|e| format!("not connected: {e}"))?;
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(ms(26_000)));
            self.connection = Some(BufReader::new(stream));
        }
        let input = self.connection.as_mut().expect("a connection");
        let mut request = format!(
            "POST /gen/{0} HTTP/1.1\r\nhost: {HOST}\r\nx-zinniawing-attempt-id: {0}\r\n\
             x-zinniawing-model: m\r\nx-zinniawing-token-usage: 800,{tokens}\r\n\
             x-zinniawing-prefix-hash: {2}{1:x}:600\r\n\
             x-zinniawing-deadline-ms: 25000\r\napi-key: {KEY}\r\ncontent-length: 6\r\n",
            got.id,
            got.id
                .bytes()
                .fold(7_u64, |h, b| h.wrapping_mul(31).wrapping_add(b.into())),
            self.parts
        );
        if let Some(part) = taken_up {
            request += &format!(
                "last-event-id: {}\r\nresumes: {}\r\n",
                part.last_event, part.resumes
            );
        }
        request += "\r\nprompt";
        self.record
            .line(&format!("client: sends {} to {}", got.id, self.address));
        input
            .get_mut()
            .write_all(request.as_bytes())
            .map_err(|e| e.to_string())?;
        let head = read_head(input).ok_or("closed without an answer")?;
        got.status = head.status();
        let closes = head
            .header("connection")
            .is_some_and(|v| v.contains("close"));
        if head.header("transfer-encoding").is_none() {
            let length = head
                .header("content-length")
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            input.read_exact(&mut body).map_err(|e| e.to_string())?;
            got.is_complete = true;
        } else {
            let mut text = Vec::new();
            loop {
                let mut size = String::new();
                let read = input.read_line(&mut size).map_err(|e| e.to_string())?;
                let size = usize::from_str_radix(size.trim(), 16);
                let Ok(size) = size else {
                    return Err(format!("broken off ({read} bytes for a chunk's size)"));
                };
                let mut chunk = vec![0; size + 2];
                input.read_exact(&mut chunk).map_err(|e| e.to_string())?;
                if size == 0 {
                    got.is_complete = true;
                    break;
                }
                text.extend_from_slice(&chunk[..size]);
                while let Some(end) = text.windows(2).position(|w| w == b"\n\n") {
                    let event: Vec<u8> = text.drain(..end + 2).collect();
                    let event = String::from_utf8_lossy(&event).into_owned();
                    let field = |name: &str| {
                        let mut lines = event.lines();
                        lines.find_map(|line| line.strip_prefix(name).map(str::to_owned))
                    };
                    let at = field("id: ").and_then(|n| n.parse().ok()).unwrap_or(0);
                    let version = field("data: ").unwrap_or_default();
                    let version = version.split(' ').next().unwrap_or("").to_owned();
                    got.events.push((at, version));
                    if !on_event(at) {
                        return Err("the client leaves".to_owned());
                    }
                }
            }
        }
        if closes {
            self.connection = None;
        }
        Ok(())
    }
}

// ---------------------------------------------------------------- a case

/// The parts that all cases share.
pub struct Scene {
    record: Arc<Record>,
    store: Arc<Store>,
    /// Temporary folder of settings and logs.
    folder: PathBuf,
    /// False if the disruption is to be left out.
    trouble: bool,
}

impl Drop for Scene {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The first configuration: one resumable route to the service `llm`.
pub fn config_text(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-gen\",\"hostname\":\"{HOST}\",\
         \"path-prefix\":\"/gen/\",\"type\":\"streaming\",\"timeout-ms\":25000,\
         \"target-latency-ms\":4500,\"priority\":1,\"service\":\"llm\",\"max-attempts\":5,\
         \"public\":false,\"session-affinity\":true,\"resumable\":true,\"target-gap-ms\":700}}],\
         \"services\":[{{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-connections\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv-capacity\":880000,\
         \"kv-bytes\":18432,\"link-mbps\":370000.0,\"migrations\":false,\"replicas\":false,\
         \"stride\":7,\"most\":12,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"t-1\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

impl Scene {
    fn new(out: &PathBuf) -> Self {
        let file = File::create(out.join("record.txt")).expect("a record");
        let record = Arc::new(Record {
            file: Mutex::new(file),
            start: Instant::now(),
        });
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start(&record);
        store.put("config", "main", &config_text(1));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("trouble: {trouble}"));
        Self {
            record,
            store,
            folder,
            trouble,
        }
    }

    fn register(&self, runner: &Arc<Runner>) {
        self.store
            .put("servers", &runner.id, &runner.entry("ready"));
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, out] = args.as_slice() else {
        give_up("usage: standin CASE FOLDER")
    };
    let out = PathBuf::from(out);
    thread::spawn(|| {
        thread::sleep(CASE_TIME_MAX);
        give_up("the case takes too long");
    });
    let scene = Scene::new(&out);
    let is_broken = match case.as_str() {
        "restart-at-another-version" => cases::restart_at_another_version(&scene),
        "correction-while-store-is-away" => cases::correction_while_store_is_away(&scene),
        "streams-of-limited-runners" => cases::streams_of_limited_runners(&scene),
        "broken-off-before-the-end" => cases::broken_off_before_the_end(&scene),
        "crashing-part-of-a-long-chat" => cases::crashing_part_of_a_long_chat(&scene),
        "two-records-of-a-relayed-stream" => cases::two_records_of_a_relayed_stream(&scene),
        "late-write-of-origins" => cases::late_write_of_origins(&scene),
        _ => give_up("no such case"),
    };
    drop(scene);
    println!(
        "{}",
        if is_broken {
            "the rule was broken"
        } else {
            "the rule held"
        }
    );
    exit(i32::from(is_broken));
}
