//! A service with plain calls. It records the calls that it received and
//! executed, and fails calls as the test demands.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::free_address;
use super::raw::{RawRequest, RequestHandler, reply, serve};

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
}

impl NextFault {
    pub const ALL: [Self; 9] = [
        Self::ServerError,
        Self::NotExecuted,
        Self::Misdirected,
        Self::Reset,
        Self::TruncatedAnswer,
        Self::NoAnswer,
        Self::WrongCallId,
        Self::DuplicateAnswer,
        Self::CloseDelimited,
    ];
}

/// An answer that is sent in two halves.
#[derive(Clone, Copy, Debug)]
pub struct LongAnswer {
    pub bytes: usize,
    /// Pause between the halves.
    pub pause: Duration,
}

pub struct Service {
    pub id: String,
    pub address: SocketAddr,
    /// Address in its entry in the store; in the soak it is the address of a proxy.
    pub advertised_address: Mutex<SocketAddr>,
    /// Time from the start of a call's execution to its answer.
    pub answer_time: Mutex<Duration>,
    /// If set, answers have this many bytes, and pause in the middle.
    pub long_answer: Mutex<Option<LongAnswer>>,
    next_faults: Mutex<VecDeque<NextFault>>,
    received: Mutex<Vec<RawRequest>>,
    executed: Mutex<Vec<RawRequest>>,
}

impl Service {
    pub async fn start(id: &str) -> Arc<Self> {
        let address = free_address();
        let service = Arc::new(Self {
            id: id.to_owned(),
            address,
            advertised_address: Mutex::new(address),
            answer_time: Mutex::default(),
            long_answer: Mutex::default(),
            next_faults: Mutex::default(),
            received: Mutex::default(),
            executed: Mutex::default(),
        });
        serve(service.address, service.clone()).await;
        service
    }

    pub fn entry(&self, state: &str) -> Value {
        json!({ "service": "pay", "address": self.advertised_address.lock().expect("unpoisoned").to_string(), "zone": "dc-a",
                "version": "v1", "slots": 6, "state": state, "sequence": 1, "born": 1000 })
    }

    pub fn queue_fault(&self, fault: NextFault) {
        self.next_faults
            .lock()
            .expect("unpoisoned")
            .push_back(fault);
    }

    pub fn all_faults_used(&self) -> bool {
        self.next_faults.lock().expect("unpoisoned").is_empty()
    }

    /// Calls that this service executed.
    pub fn executed(&self) -> Vec<RawRequest> {
        self.executed.lock().expect("unpoisoned").clone()
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
        self.received
            .lock()
            .expect("unpoisoned")
            .push(request.clone());
        let call_id = request
            .header("x-zinniawing-attempt-id")
            .unwrap_or("-")
            .to_owned();
        let fault = self.next_faults.lock().expect("unpoisoned").pop_front();
        let not_executed = "x-zinniawing-not-executed: 1\r\n";
        match fault {
            Some(NextFault::NotExecuted) => return reply(stream, 503, not_executed, b"").await,
            Some(NextFault::Misdirected) => return reply(stream, 421, "", b"").await,
            _ => {}
        }
        self.executed
            .lock()
            .expect("unpoisoned")
            .push(request.clone());
        let answer_time = *self.answer_time.lock().expect("unpoisoned");
        tokio::time::sleep(answer_time).await;
        let headers = answer_headers(&call_id);
        let long_answer = *self.long_answer.lock().expect("unpoisoned");
        if let Some(long_answer) = long_answer {
            return send_long_answer(stream, &headers, long_answer).await;
        }
        let body = format!("done {call_id}");
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
            _ => reply(stream, 200, &headers, body.as_bytes()).await,
        }
    }
}
