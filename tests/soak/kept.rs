//! Callers that send many requests on one connection, until it is closed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::callers::CallLog;
use crate::config_changes::NewestIdleLimit;
use crate::edge_environment::caller::{Caller, Response, new_call_id, read_response};
use crate::edge_environment::service::ANSWER_TIME_QUERY;
use crate::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, PUBLIC_PATH, SINGLE_RUN_STREAM_PATH, STREAM_PATH,
};
use crate::lost::UnansweredCall;
use crate::node::SoakEnvironment;

const CALLER_COUNT: u64 = 24;
/// Longest body; all configurations allow it.
const BODY_BYTES_MAX: usize = 20_000;
const PLAIN_DEADLINE: Duration = Duration::from_secs(5);
const STREAM_DEADLINE: Duration = Duration::from_secs(9);
/// Time after its deadline for which a caller still waits for an answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// One request, in the pieces in which it is sent.
struct KeptRequest {
    call_id: String,
    kind: &'static str,
    path: &'static str,
    pieces: Vec<Vec<u8>>,
    pause_between_pieces: Duration,
    deadline: Duration,
    /// Number of the last event; zero for plain calls.
    last_event: u64,
}

struct KeptCaller {
    log: Arc<CallLog>,
    nodes: Vec<Caller>,
    idle_limit: NewestIdleLimit,
    random: StdRng,
}

pub fn start(environment: &SoakEnvironment, seed: u64, log: &Arc<CallLog>) -> Vec<JoinHandle<()>> {
    let callers = (0..CALLER_COUNT).map(|n| KeptCaller {
        log: log.clone(),
        nodes: environment.nodes.iter().map(|n| n.caller.clone()).collect(),
        idle_limit: environment.config.idle_limit(),
        random: StdRng::seed_from_u64(seed * 1_000 + 500 + n),
    });
    callers.map(|caller| tokio::spawn(caller.run())).collect()
}

impl KeptCaller {
    async fn run(mut self) {
        while !self.log.is_stopping.load(Ordering::Relaxed) {
            let node = self.random.random_range(0..self.nodes.len());
            match TcpStream::connect(self.nodes[node].address).await {
                Ok(connection) => self.use_connection(node, connection).await,
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// Sends requests until the connection is closed.
    async fn use_connection(&mut self, node: usize, mut connection: TcpStream) {
        let _ = connection.set_nodelay(true);
        let mut is_reused = false;
        while !self.log.is_stopping.load(Ordering::Relaxed) {
            let request = self.random_request(node);
            if !self
                .exchange(node, &mut connection, &request, is_reused)
                .await
            {
                return;
            }
            is_reused = true;
            tokio::time::sleep(self.random_pause()).await;
        }
    }

    /// Sends a request and reads its answer; returns whether the connection can be
    /// used again.
    async fn exchange(
        &mut self,
        node: usize,
        connection: &mut TcpStream,
        request: &KeptRequest,
        is_reused: bool,
    ) -> bool {
        let began_at = Instant::now();
        if send_pieces(connection, request).await.is_err() {
            return false;
        }
        let last_byte_sent_at = Instant::now();
        self.log.call_count.fetch_add(1, Ordering::Relaxed);
        let patience = request.deadline + PATIENCE;
        let response = tokio::time::timeout(patience, read_response(connection)).await;
        let Ok(response) = response else {
            self.log.late_count.fetch_add(1, Ordering::Relaxed);
            return false;
        };
        if request.path == NON_IDEMPOTENT_PATH {
            self.log
                .record_non_idempotent(&request.call_id, response.status);
        }
        if !response.is_complete {
            self.log.record_unanswered(UnansweredCall {
                node,
                call_id: request.call_id.clone(),
                kind: request.kind,
                is_reused_connection: is_reused,
                began_at,
                last_byte_sent_at,
                ended_at: Instant::now(),
                deadline: request.deadline,
                answer_bytes: response.head.len() + response.body.len(),
            });
            return false;
        }
        self.check_answer(request, &response);
        response.header("connection") != Some("close")
    }

    fn check_answer(&self, request: &KeptRequest, response: &Response) {
        let call_id = &request.call_id;
        let may_be_unknown = request.path == PUBLIC_PATH && response.status == 404;
        if [400, 401, 403, 404, 413].contains(&response.status) && !may_be_unknown {
            let head = &response.head;
            self.log
                .record_violation(format!("{call_id} was denied although it is valid: {head}"));
        }
        if response.status != 200 {
            return;
        }
        self.log.served_count.fetch_add(1, Ordering::Relaxed);
        let is_right = if request.last_event == 0 {
            response.body == format!("done {call_id}")
        } else {
            response.event_ids() == (1..=request.last_event).collect::<Vec<u64>>()
        };
        if !is_right {
            let body = &response.body;
            self.log
                .record_violation(format!("{call_id} was answered with {body:?}"));
        }
    }

    fn random_request(&mut self, node: usize) -> KeptRequest {
        let call_id = new_call_id();
        let kind = self.random.random_range(0..6);
        let (name, method, path) = [
            ("GET", "GET", IDEMPOTENT_PATH),
            ("POST", "POST", NON_IDEMPOTENT_PATH),
            ("POST in two parts", "POST", NON_IDEMPOTENT_PATH),
            ("stream", "POST", STREAM_PATH),
            ("run-once stream", "POST", SINGLE_RUN_STREAM_PATH),
            ("GET of a removable route", "GET", PUBLIC_PATH),
        ][kind];
        let is_stream = [STREAM_PATH, SINGLE_RUN_STREAM_PATH].contains(&path);
        let last_event = if is_stream {
            self.random.random_range(20..250)
        } else {
            0
        };
        let deadline = if is_stream {
            STREAM_DEADLINE
        } else {
            PLAIN_DEADLINE
        };
        let body = vec![b'b'; self.random_body_length(method)];
        let answer_ms_max = if self.random.random_bool(0.2) {
            1_500
        } else {
            100
        };
        let answer_ms = self.random.random_range(0..answer_ms_max);
        let target = format!("{path}?{ANSWER_TIME_QUERY}={answer_ms}");
        let headers = format!(
            "x-zinniawing-deadline-ms: {}\r\nx-zinniawing-token-usage: 800,{last_event}\r\n\
             content-length: {}\r\n\r\n",
            deadline.as_millis(),
            body.len()
        );
        let mut head = self.nodes[node].head(method, &target, &call_id, &headers);
        let mut pieces = Vec::new();
        if name == "POST in two parts" {
            let (first, second) = body.split_at(body.len() / 2);
            pieces.push([head.as_bytes(), first].concat());
            pieces.push(second.to_vec());
        } else {
            head.push_str(std::str::from_utf8(&body).expect("text"));
            pieces.push(head.into_bytes());
        }
        KeptRequest {
            call_id,
            kind: name,
            path,
            pieces,
            pause_between_pieces: Duration::from_millis(self.random.random_range(50..400)),
            deadline,
            last_event,
        }
    }

    fn random_body_length(&mut self, method: &str) -> usize {
        if method == "GET" {
            return 0;
        }
        self.random.random_range(2..BODY_BYTES_MAX)
    }

    /// Mostly short; at times up to four fifths of the newest idle limit.
    fn random_pause(&mut self) -> Duration {
        if self.random.random_bool(0.1) {
            let longest = self.idle_limit.get().as_millis() as u64 * 4 / 5;
            return Duration::from_millis(self.random.random_range(0..longest));
        }
        Duration::from_millis(self.random.random_range(1..60))
    }
}

async fn send_pieces(connection: &mut TcpStream, request: &KeptRequest) -> std::io::Result<()> {
    for (number, piece) in request.pieces.iter().enumerate() {
        if number > 0 {
            tokio::time::sleep(request.pause_between_pieces).await;
        }
        connection.write_all(piece).await?;
    }
    Ok(())
}
