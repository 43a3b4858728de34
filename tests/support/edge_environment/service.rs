//! A service with plain calls. It records the calls that it received and
//! executed, and fails calls as the test demands.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::asked_rest::AskedRest;
use super::named_limit::NamedLimit;
use super::process::StandInProcess;
use super::raw::{RawRequest, RequestHandler, reply, reset_on_close, serve, wait_for_close};
use super::run_log::RunLog;
use super::{HEALTH_PATH, free_address};

/// Name of the query field that sets a call's answer time in milliseconds.
pub const ANSWER_TIME_QUERY: &str = "answer-ms";
/// Name of the query field that makes an answer this many bytes long and adds a
/// pause of the answer time in its middle.
pub const ANSWER_BYTES_QUERY: &str = "answer-bytes";

/// Time from the last byte of a broken answer to the reset, within which the byte
/// arrives.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Header lines of a refusal of another call, with all that an upstream may state in one.
pub const EARLIER_REFUSAL: &str = "x-zinniawing-attempt-id: earlier\r\n\
    x-zinniawing-not-executed: 1\r\nretry-after: 60\r\nserver-leaving: 1\r\n\
    server-limit: 0.01\r\nkeep-alive: timeout=5\r\n";

/// A fault in the handling of one of the next calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextFault {
    /// The call is executed and answered with status 500.
    ServerError,
    /// The call is refused with status 503 and the header that says it was not
    /// executed.
    NotExecuted,
    /// The call is refused with status 421: the address belongs to another
    /// upstream.
    Misdirected,
    /// The call is executed, and the connection is reset before the answer.
    Reset,
    /// The call is executed, and the connection is closed in the middle of the
    /// answer.
    TruncatedAnswer,
    /// The call is executed, and the connection stays open without an answer.
    NoAnswer,
    /// The call is executed, and the answer carries the id of another call.
    WrongCallId,
    /// The call is executed, and a second answer follows the first.
    DuplicateAnswer,
    /// The call is executed, and the answer has no length and ends with its
    /// connection.
    CloseDelimited,
    /// Like `CloseDelimited`, but the connection is reset in the middle of the
    /// answer.
    CloseDelimitedReset,
    /// The call is executed, and bytes that are no answer follow without end.
    EndlessHead,
    /// The call is executed, and the body of the answer has no end.
    EndlessBody,
    /// The call is executed, and where its answer is due stands an earlier refusal, with the
    /// id of the call that was refused.
    EarlierRefusal,
    /// Like `EarlierRefusal`, with status 421.
    EarlierMisdirection,
    /// The call is refused as by `NotExecuted`, by an answer without its id.
    UnnamedRefusal,
}

impl NextFault {
    /// Refusals that are not those of the call.
    pub const EARLIER: [Self; 2] = [Self::EarlierRefusal, Self::EarlierMisdirection];
    /// All faults but those that concern whose answer it is.
    pub const ALL: [Self; 12] = [
        Self::ServerError,
        Self::NotExecuted,
        Self::Misdirected,
        Self::Reset,
        Self::TruncatedAnswer,
        Self::NoAnswer,
        Self::WrongCallId,
        Self::DuplicateAnswer,
        Self::CloseDelimited,
        Self::CloseDelimitedReset,
        Self::EndlessHead,
        Self::EndlessBody,
    ];
}

/// An answer that is sent in two halves.
#[derive(Clone, Copy, Debug)]
pub struct LongAnswer {
    pub bytes: usize,
    /// Pause between the halves.
    pub pause: Duration,
}

/// A fault at several services that only the first call to reach one of them meets.
pub type SharedFault = Arc<Mutex<Option<NextFault>>>;

pub struct Service {
    pub id: String,
    pub address: SocketAddr,
    /// Address in its entry in the store; in the soak it is the address of a proxy.
    pub advertised_address: Mutex<SocketAddr>,
    /// Time from the start of a call's execution to its answer.
    pub answer_time: Mutex<Duration>,
    /// If set, answers have this many bytes, and pause in the middle.
    pub long_answer: Mutex<Option<LongAnswer>>,
    /// More header lines of its answers.
    pub extra_headers: Mutex<String>,
    /// The limit that its answers name, if any.
    pub named_limit: NamedLimit,
    /// The rest that it asks of nodes, if any.
    pub asked_rest: AskedRest,
    /// Calls that arrived, executed or not.
    pub run_log: RunLog,
    pub process: StandInProcess,
    /// Version of its software in its entry.
    pub software_version: Mutex<String>,
    /// Of a hundred calls, how many are answered with status 500.
    pub failure_percent: AtomicU32,
    service: String,
    frozen: tokio::sync::watch::Sender<bool>,
    next_faults: Mutex<VecDeque<NextFault>>,
    shared_fault: Mutex<SharedFault>,
    received: Mutex<Vec<RawRequest>>,
    executed: Mutex<Vec<RawRequest>>,
    misdirected: AtomicUsize,
    server: Mutex<Option<JoinHandle<()>>>,
}

impl Service {
    pub async fn start(id: &str) -> Arc<Self> {
        Self::start_in(id, "pay").await
    }

    /// Starts an upstream of the service with the name `service`.
    pub async fn start_in(id: &str, service: &str) -> Arc<Self> {
        Self::start_at(id, service, free_address()).await
    }

    /// Starts an upstream at an address where none listens.
    pub async fn start_at(id: &str, service: &str, address: SocketAddr) -> Arc<Self> {
        let service = Arc::new(Self {
            id: id.to_owned(),
            named_limit: NamedLimit::default(),
            asked_rest: AskedRest::default(),
            run_log: RunLog::default(),
            process: StandInProcess::start(),
            software_version: Mutex::new("v1".to_owned()),
            failure_percent: AtomicU32::new(0),
            service: service.to_owned(),
            frozen: tokio::sync::watch::Sender::new(false),
            address,
            advertised_address: Mutex::new(address),
            answer_time: Mutex::default(),
            long_answer: Mutex::default(),
            extra_headers: Mutex::default(),
            next_faults: Mutex::default(),
            shared_fault: Mutex::default(),
            received: Mutex::default(),
            executed: Mutex::default(),
            misdirected: AtomicUsize::new(0),
            server: Mutex::default(),
        });
        let serving = service
            .process
            .spawn(serve(service.address, service.clone()));
        let server = serving.await.expect("no panic");
        *service.server.lock().expect("unpoisoned") = Some(server);
        service
    }

    /// Resets all connections and stops listening, as the end of a process does.
    pub fn stop(&self) {
        if let Some(server) = self.server.lock().expect("unpoisoned").take() {
            server.abort();
        }
    }

    /// Number of calls that were meant for another upstream.
    pub fn misdirected_count(&self) -> usize {
        self.misdirected.load(Ordering::Relaxed)
    }

    pub fn entry(&self, state: &str) -> Value {
        json!({ "service": self.service, "address": self.advertised_address.lock().expect("unpoisoned").to_string(), "zone": "dc-a",
                "version": *self.software_version.lock().expect("unpoisoned"), "slots": 6, "state": state, "sequence": 1, "born": 1000 })
    }

    /// While frozen, it answers nothing; its connections stay open.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.frozen.send_replace(is_frozen);
    }

    async fn wait_until_unfrozen(&self) {
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    /// Answers a health check, which is refused like a call while the service rests.
    async fn answer_health_check(&self, stream: &mut TcpStream) -> bool {
        self.wait_until_unfrozen().await;
        if let Some(refusal) = self.asked_rest.refusal(stream) {
            return reply(stream, 503, &refusal, b"").await;
        }
        let id = format!(
            "x-zinniawing-instance-id: {}\r\nkeep-alive: timeout=5\r\n{}",
            self.id,
            self.named_limit.header()
        );
        reply(stream, 200, &id, b"").await
    }

    pub fn queue_fault(&self, fault: NextFault) {
        self.next_faults
            .lock()
            .expect("unpoisoned")
            .push_back(fault);
    }

    /// Replaces the fault that this service has in common with others.
    pub fn set_shared_fault(&self, fault: &SharedFault) {
        *self.shared_fault.lock().expect("unpoisoned") = fault.clone();
    }

    /// Takes the fault that the next call meets, if there is one.
    fn take_fault(&self) -> Option<NextFault> {
        let own = self.next_faults.lock().expect("unpoisoned").pop_front();
        let shared = self.shared_fault.lock().expect("unpoisoned").clone();
        own.or_else(|| shared.lock().expect("unpoisoned").take())
    }

    pub fn clear_faults(&self) {
        self.next_faults.lock().expect("unpoisoned").clear();
    }

    pub fn all_faults_used(&self) -> bool {
        self.next_faults.lock().expect("unpoisoned").is_empty()
    }

    /// Calls that this service executed.
    pub fn executed(&self) -> Vec<RawRequest> {
        self.executed.lock().expect("unpoisoned").clone()
    }

    /// Forgets the calls that this service executed.
    pub fn clear_executed(&self) {
        self.executed.lock().expect("unpoisoned").clear();
    }

    /// Calls that this service received, executed or not.
    pub fn received(&self) -> Vec<RawRequest> {
        self.received.lock().expect("unpoisoned").clone()
    }
}

fn answer_headers(call_id: &str) -> String {
    format!(
        "x-zinniawing-attempt-id: {call_id}\r\nx-zinniawing-server-signature: sig-{call_id}\r\nkeep-alive: timeout=5\r\n"
    )
}

/// Writes `start` and then the same byte until the connection is closed.
async fn write_without_end(stream: &mut TcpStream, start: &[u8]) -> bool {
    let mut next = start;
    while stream.write_all(next).await.is_ok() {
        next = &[b'x'; 4_096];
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    false
}

async fn send_long_answer(stream: &mut TcpStream, headers: &str, answer: LongAnswer) -> bool {
    let half = vec![b'x'; answer.bytes / 2];
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n{headers}\r\n",
        half.len() * 2
    );
    let started = stream.write_all(&[head.as_bytes(), &half].concat()).await;
    tokio::time::sleep(answer.pause).await;
    started.is_ok() && stream.write_all(&half).await.is_ok()
}

impl RequestHandler for Service {
    async fn handle(self: Arc<Self>, request: RawRequest, stream: &mut TcpStream) -> bool {
        self.named_limit.record_arrival();
        self.asked_rest.record_arrival(&request, stream);
        if request.path() == HEALTH_PATH {
            return self.answer_health_check(stream).await;
        }
        let call_id = request
            .header("x-zinniawing-attempt-id")
            .unwrap_or("-")
            .to_owned();
        let _arrival = self.run_log.begin(&call_id);
        self.wait_until_unfrozen().await;
        let own_id = format!("x-zinniawing-attempt-id: {call_id}\r\n");
        if let Some(refusal) = self.asked_rest.refusal(stream) {
            return reply(stream, 503, &(own_id + &refusal), b"").await;
        }
        let expected = request.header("x-zinniawing-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.misdirected.fetch_add(1, Ordering::Relaxed);
            let instance_header = format!("{own_id}x-zinniawing-instance-id: {}\r\n", self.id);
            return reply(stream, 421, &instance_header, b"").await;
        }
        self.received
            .lock()
            .expect("unpoisoned")
            .push(request.clone());
        let fault = self.take_fault();
        let not_executed = format!(
            "x-zinniawing-not-executed: 1\r\n{}",
            self.named_limit.header()
        );
        match fault {
            Some(NextFault::NotExecuted) => {
                return reply(stream, 503, &(own_id + &not_executed), b"").await;
            }
            Some(NextFault::UnnamedRefusal) => return reply(stream, 503, &not_executed, b"").await,
            Some(NextFault::Misdirected) => return reply(stream, 421, &own_id, b"").await,
            _ => {}
        }
        self.executed
            .lock()
            .expect("unpoisoned")
            .push(request.clone());
        let answer_time = request.query(ANSWER_TIME_QUERY).map_or_else(
            || *self.answer_time.lock().expect("unpoisoned"),
            |text| Duration::from_millis(text.parse().expect("a number of milliseconds")),
        );
        tokio::select! {
            () = tokio::time::sleep(answer_time) => {}
            () = wait_for_close(stream) => return false,
        }
        self.wait_until_unfrozen().await;
        let extra_headers = self.extra_headers.lock().expect("unpoisoned").clone();
        let headers = answer_headers(&call_id) + &self.named_limit.header() + &extra_headers;
        let length = request.query(ANSWER_BYTES_QUERY);
        let long_answer = match length.and_then(|text| text.parse().ok()) {
            Some(bytes) => Some(LongAnswer {
                bytes,
                pause: answer_time,
            }),
            None => *self.long_answer.lock().expect("unpoisoned"),
        };
        if let Some(long_answer) = long_answer {
            return send_long_answer(stream, &headers, long_answer).await;
        }
        let body = format!("done {call_id}");
        let number = self.executed.lock().expect("unpoisoned").len() as u32;
        // 37 and 100 have no common factor, so that failures are spread over the calls.
        if number * 37 % 100 < self.failure_percent.load(Ordering::Relaxed) {
            return reply(stream, 500, &headers, b"failed").await;
        }
        match fault {
            Some(NextFault::ServerError) => reply(stream, 500, &headers, b"failed").await,
            Some(NextFault::Reset) => {
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                false
            }
            Some(NextFault::TruncatedAnswer) => {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: 400\r\n{headers}\r\nhalf");
                let _ = stream.write_all(head.as_bytes()).await;
                false
            }
            Some(NextFault::NoAnswer) => std::future::pending().await,
            Some(NextFault::WrongCallId) => {
                reply(stream, 200, &answer_headers("another"), b"not yours").await
            }
            Some(NextFault::EarlierRefusal) => reply(stream, 503, EARLIER_REFUSAL, b"").await,
            Some(NextFault::EarlierMisdirection) => reply(stream, 421, EARLIER_REFUSAL, b"").await,
            Some(NextFault::DuplicateAnswer) => {
                reply(stream, 200, &headers, body.as_bytes()).await
                    && reply(stream, 200, &headers, b"surplus").await
            }
            Some(NextFault::CloseDelimited) => {
                let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n{headers}\r\n{body}");
                let _ = stream.write_all(head.as_bytes()).await;
                let _ = stream.shutdown().await;
                false
            }
            Some(NextFault::CloseDelimitedReset) => {
                let half = &body[..body.len() / 2];
                let head = format!("HTTP/1.1 200 OK\r\n{headers}\r\n{half}");
                let _ = stream.write_all(head.as_bytes()).await;
                tokio::time::sleep(RESET_DELAY).await;
                reset_on_close(stream);
                false
            }
            Some(NextFault::EndlessHead) => write_without_end(stream, b"x-more: ").await,
            Some(NextFault::EndlessBody) => {
                let head = format!("HTTP/1.1 200 OK\r\n{headers}\r\n");
                write_without_end(stream, head.as_bytes()).await
            }
            _ => reply(stream, 200, &headers, body.as_bytes()).await,
        }
    }
}
