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
use crate::edge_environment::caller::{Caller, read_response};
use crate::kept_request::KeptRequest;
use crate::lost::UnansweredCall;
use crate::node::SoakEnvironment;

const CALLER_COUNT: u64 = 24;
/// Time after its deadline for which a caller still waits for an answer.
const PATIENCE: Duration = Duration::from_secs(1);

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
            let request = KeptRequest::random(&self.nodes[node], &mut self.random);
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
        if request.may_run_once() {
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
        self.log.count_answer(response.status);
        if let Some(fault) = request.fault_of(&response) {
            self.log.record_violation(fault);
        }
        let is_served = usize::from(response.status == 200);
        self.log
            .served_count
            .fetch_add(is_served, Ordering::Relaxed);
        response.header("connection") != Some("close")
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
