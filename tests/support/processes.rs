//! A deployment of separate processes on loopback, which end when it is dropped.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::Value;

pub const ANSWER_TOKENS: u64 = 150;
const TOKEN_INTERVAL_MS: u64 = 20;
const SLOTS_PER_RUNNER: u32 = 32;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const BINARY: &str = env!("CARGO_BIN_EXE_zinniawing");

pub struct Deployment {
    ip: String,
    folder: PathBuf,
    platform: Child,
    service: Child,
    nodes: Vec<Option<Child>>,
    runners: Vec<Option<Child>>,
}

impl Deployment {
    pub fn start(node_count: usize, runner_count: usize) -> Self {
        Self::start_with(
            node_count,
            runner_count,
            TOKEN_INTERVAL_MS,
            SLOTS_PER_RUNNER,
        )
    }

    pub fn start_with(
        node_count: usize,
        runner_count: usize,
        token_ms: u64,
        slot_count: u32,
    ) -> Self {
        let ip = next_loopback_ip();
        let folder = std::env::temp_dir().join(format!("zinniawing-{}", ip.replace('.', "-")));
        fs::create_dir_all(&folder).expect("the folder for settings is created");
        let mut deployment = Self {
            platform: spawn(&platform_args(&ip, &folder, runner_count)),
            service: spawn(&service_args(&ip)),
            nodes: Vec::new(),
            runners: Vec::new(),
            ip,
            folder,
        };
        for number in 0..runner_count {
            let listen = deployment.runner_address(number);
            let args = runner_args(&listen, token_ms, slot_count);
            deployment.runners.push(Some(spawn(&args)));
        }
        for number in 0..node_count {
            let settings = deployment.write_settings(number);
            let args = ["serve".to_owned(), settings.display().to_string()];
            deployment.nodes.push(Some(spawn(&args)));
        }
        // A node answers callers before it reaches the platform, and refuses
        // operators while the platform does not answer.
        wait_until("the stand-in platform answers", || {
            get(&format!("{}:7000", deployment.ip), "/").is_some()
        });
        for number in 0..node_count {
            wait_until("a node answers", || {
                serves_addresses(&deployment.node_address(number, 0))
            });
        }
        deployment
    }

    /// Confirms the example intent and waits until it is in force on all nodes and
    /// runners.
    pub fn confirm_intent(&self) {
        let node = self.node_address(0, 1);
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/kestrel-intent.yaml");
        let operator = ["--node", &node, "--key", "operator-key", "--json"];
        let statement = run_json(&[&["intent"], &operator[..], &[file]].concat());
        let id = statement["intent_id"]
            .as_str()
            .expect("an intent id")
            .to_owned();
        let base = statement["base"].to_string();
        run_json(&[&["confirm"], &operator[..], &["--base", &base, &id]].concat());
        let ready = || {
            let status = run_json(&[&["status"], &operator[..]].concat());
            let runners = status["runners"].as_object().expect("runners");
            let all_ready = runners.values().all(|r| r["ready"] != Value::Array(vec![]));
            let nodes = status["nodes"].as_object().expect("nodes").len();
            status["in_force_everywhere"] == true
                && nodes == self.nodes.len()
                && runners.len() == self.runners.len()
                && all_ready
        };
        wait_until("the intent is in force on all nodes and runners", ready);
    }

    /// Starts a caller process that requests one completion. With `brings_text` it
    /// sends the text received so far when it resumes the answer.
    pub fn begin_call(&self, brings_text: bool) -> Child {
        let tokens = ANSWER_TOKENS.to_string();
        let mut args = vec!["call", "--json", "--key", "federation-key"];
        args.extend([
            "--kind",
            "steward",
            "--model",
            "steward-chat",
            "--tokens",
            &tokens,
        ]);
        if !brings_text {
            args.push("--without-text");
        }
        let nodes: Vec<String> = (0..self.nodes.len())
            .map(|n| self.node_address(n, 0))
            .collect();
        for node in &nodes {
            args.extend(["--node", node]);
        }
        args.push("How much strike pay does striker 17 get this week?");
        Command::new(BINARY)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the caller starts")
    }

    /// Waits until the caller process ends and returns the report that it printed.
    pub fn wait_for_report(caller: Child) -> Value {
        let output = caller.wait_with_output().expect("the caller ends");
        parse(&output)
    }

    pub fn wait_for_tokens(&self, count: u64) {
        wait_until("enough tokens are generated", || {
            self.generated_counts().iter().sum::<u64>() >= count
        });
    }

    /// Kills the runner that has generated the most tokens.
    pub fn kill_busiest_runner(&mut self) {
        let busiest = self.busiest_runner();
        kill(self.runners[busiest].take());
    }

    /// Kills the runner that has generated the most tokens and the node that has
    /// the call in flight, so shortly after each other that the node cannot resume
    /// the call at another runner.
    pub fn kill_busiest_runner_and_serving_node(&mut self) {
        let busiest = self.busiest_runner();
        let serving = self.serving_node();
        kill(self.runners[busiest].take());
        kill(self.nodes[serving].take());
    }

    pub fn kill_serving_node(&mut self) {
        let serving = self.serving_node();
        kill(self.nodes[serving].take());
    }

    pub fn terminate_serving_node(&mut self) -> Child {
        let serving = self.serving_node();
        let node = self.nodes[serving].take().expect("a node");
        signal("-TERM", &node);
        node
    }

    pub fn set_node_frozen(&self, number: usize, is_frozen: bool) {
        let node = self.nodes[number].as_ref().expect("the node runs");
        signal(if is_frozen { "-STOP" } else { "-CONT" }, node);
    }

    pub fn node_pid(&self, number: usize) -> u32 {
        self.nodes[number].as_ref().expect("the node runs").id()
    }

    /// Ids of the streams that a runner holds.
    pub fn runner_streams(&self, number: usize) -> Vec<String> {
        let text = get(&self.runner_address(number), "/stand-in/streams");
        text.and_then(|t| serde_json::from_str(&t).ok())
            .unwrap_or_default()
    }

    pub fn runner_socket(&self, number: usize) -> SocketAddr {
        self.runner_address(number).parse().expect("an address")
    }

    pub fn caller_address(&self, number: usize) -> SocketAddr {
        self.node_address(number, 0).parse().expect("an address")
    }

    /// Sets the faults of the stand-in that listens at `port`.
    pub fn set_faults(&self, port: u16, faults: &str) {
        let address = format!("{}:{port}", self.ip);
        post(&address, "/stand-in/faults", faults).expect("the stand-in accepts the faults");
    }

    pub fn executed_keys(&self) -> Vec<String> {
        let text = get(&format!("{}:9200", self.ip), "/stand-in/ledger").expect("a ledger");
        let ledger: Value = serde_json::from_str(&text).expect("a ledger");
        let calls = ledger.as_array().expect("calls").iter();
        calls
            .map(|call| call["key"].as_str().expect("a key").to_owned())
            .collect()
    }

    /// Whether the process exits with success within this time. A process that is
    /// still running then is killed.
    pub fn exits_cleanly(mut process: Child, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if let Some(status) = process
                .try_wait()
                .expect("the process's status is readable")
            {
                return status.success();
            }
            sleep(POLL_INTERVAL);
        }
        kill(Some(process));
        false
    }

    /// The first running node that has a call in flight.
    fn serving_node(&self) -> usize {
        let in_flight = |number: usize| {
            let node = self.node_address(number, 1);
            let operator = ["--node", &node, "--key", "operator-key", "--json"];
            let status = run_json(&[&["status"], &operator[..]].concat());
            status["nodes"][format!("n{}", number + 1)]["in_flight_count"].as_u64()
        };
        let mut numbers = 0..self.nodes.len();
        let serving = numbers.find(|n| self.nodes[*n].is_some() && in_flight(*n) > Some(0));
        serving.expect("a node has the call in flight")
    }

    fn busiest_runner(&self) -> usize {
        let generated_counts = self.generated_counts();
        (0..generated_counts.len())
            .max_by_key(|n| generated_counts[*n])
            .expect("a runner")
    }

    /// Number of tokens that each runner has generated; 0 for runners that do not
    /// answer.
    fn generated_counts(&self) -> Vec<u64> {
        let numbers = 0..self.runners.len();
        let ledger = |n: usize| get(&self.runner_address(n), "/stand-in/ledger");
        let count =
            |text: String| serde_json::from_str::<Value>(&text).ok()?["token_count"].as_u64();
        numbers
            .map(|n| ledger(n).and_then(count).unwrap_or(0))
            .collect()
    }

    fn write_settings(&self, number: usize) -> PathBuf {
        let address = |offset| self.node_address(number, offset);
        let hash = zinniawing::key_hash("operator-key");
        let text = format!(
            "node: n{}\ndata_centre: tt-south-{}\n\
             listen: {{callers: {}, operators: {}, peers: {}}}\n\
             platform: {}:7000\nseeds: [{}]\noperators: {{ops: {hash}}}\n\
             timing: {{address_keep_ms: 500, probe_interval_ms: 200, watch_interval_ms: 200}}\n",
            number + 1,
            number % 3 + 1,
            address(0),
            address(1),
            address(2),
            self.ip,
            self.node_address(0, 2),
        );
        let path = self.folder.join(format!("n{}.yaml", number + 1));
        fs::write(&path, text).expect("settings are written");
        path
    }

    fn runner_address(&self, number: usize) -> String {
        format!("{}:{}", self.ip, 7200 + number)
    }

    /// Address of one of a node's listeners; `offset` is 0 for callers, 1 for
    /// operators and 2 for peers.
    fn node_address(&self, number: usize, offset: usize) -> String {
        format!("{}:{}", self.ip, 9400 + 3 * number + offset)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in [&mut self.platform, &mut self.service] {
            let _ = process.kill();
            let _ = process.wait();
        }
        for process in self.nodes.drain(..).chain(self.runners.drain(..)) {
            kill(process);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn platform_args(ip: &str, folder: &Path, runner_count: usize) -> Vec<String> {
    let mut vms: Vec<Value> = (0..runner_count)
        .map(|number| {
            serde_json::json!({
                "vm": format!("r{}", number + 1),
                "address": format!("{ip}:{}", 7200 + number),
                "data_centre": format!("tt-south-{}", number % 3 + 1),
                "role": {"runner": {"checks_fence": true}},
                "state": "live",
            })
        })
        .collect();
    vms.push(serde_json::json!({
        "vm": "payments-1",
        "address": format!("{ip}:9200"),
        "data_centre": "tt-south-1",
        "role": {"service": {"service": "payments"}},
        "state": "live",
    }));
    let path = folder.join("vms.yaml");
    fs::write(&path, Value::Array(vms).to_string()).expect("the VM list is written");
    let listen = format!("{ip}:7000");
    let vms = path.display().to_string();
    ["stand-in", "platform", "--listen", &listen, "--vms", &vms]
        .map(str::to_owned)
        .into()
}

fn service_args(ip: &str) -> Vec<String> {
    let listen = format!("{ip}:9200");
    ["stand-in", "service", "--listen", &listen]
        .map(str::to_owned)
        .into()
}

fn runner_args(listen: &str, token_ms: u64, slot_count: u32) -> Vec<String> {
    let token_ms = token_ms.to_string();
    let slots = slot_count.to_string();
    let speed = ["--token-ms", &token_ms, "--slots", &slots];
    let args = [&["stand-in", "runner", "--listen", listen], &speed[..]].concat();
    args.into_iter().map(str::to_owned).collect()
}

fn spawn(args: &[String]) -> Child {
    Command::new(BINARY)
        .args(args)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

fn signal(signal: &str, process: &Child) {
    let sent = Command::new("kill")
        .args([signal, &process.id().to_string()])
        .status();
    assert!(sent.expect("kill runs").success());
}

fn kill(process: Option<Child>) {
    if let Some(mut process) = process {
        let _ = process.kill();
        let _ = process.wait();
    }
}

fn run_json(args: &[&str]) -> Value {
    let output = Command::new(BINARY)
        .args(args)
        .output()
        .expect("the program runs");
    assert!(
        output.status.success(),
        "{args:?}: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    parse(&output)
}

fn parse(output: &Output) -> Value {
    let text = String::from_utf8_lossy(&output.stdout);
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out after {WAIT_TIMEOUT:?}: {what}"
        );
        sleep(POLL_INTERVAL);
    }
}

fn serves_addresses(address: &str) -> bool {
    get(address, "/v1/addresses").is_some()
}

fn get(address: &str, path: &str) -> Option<String> {
    send_request(address, "GET", path, "")
}

fn post(address: &str, path: &str, body: &str) -> Option<String> {
    send_request(address, "POST", path, body)
}

fn send_request(address: &str, method: &str, path: &str, body: &str) -> Option<String> {
    use std::io::{Read, Write};
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = std::net::TcpStream::connect_timeout(&address, POLL_INTERVAL * 10).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let (_, body) = response.split_once("\r\n\r\n")?;
    Some(body.to_owned())
}

/// A loopback address of its own for each deployment, so that deployments of
/// tests that run at the same time can use the same ports.
fn next_loopback_ip() -> String {
    static NEXT_DEPLOYMENT: AtomicU8 = AtomicU8::new(100);
    let number = NEXT_DEPLOYMENT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    format!("127.{}.{}.{number}", 1 + process / 250 % 250, process % 250)
}
