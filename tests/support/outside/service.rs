//! A plain service that keeps a ledger, and fails as it is told.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::free_address;
use super::raw::{Answer, RawRequest, reply, serve};

/// What becomes of the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It runs and fails.
    Fails,
    /// It is refused unrun.
    Sheds,
    /// Another upstream has the address.
    Misdirects,
    /// It runs, and the connection is reset before the answer.
    Resets,
    /// It runs, and half of its answer comes.
    Truncates,
    /// It runs, and no answer comes.
    Hangs,
    /// It runs, and the answer names another call.
    AnswersAnother,
    /// It runs, and a second answer follows the first.
    AnswersTwice,
    /// It runs, and the answer has no length and ends with its connection.
    Unframed,
}

impl Next {
    pub const ALL: [Self; 9] = [
        Self::Fails,
        Self::Sheds,
        Self::Misdirects,
        Self::Resets,
        Self::Truncates,
        Self::Hangs,
        Self::AnswersAnother,
        Self::AnswersTwice,
        Self::Unframed,
    ];
}

pub struct Service {
    pub id: String,
    pub address: SocketAddr,
    /// Where nodes reach it, which is a proxy's address in the soak.
    pub public: Mutex<SocketAddr>,
    next: Mutex<VecDeque<Next>>,
    seen: Mutex<Vec<RawRequest>>,
    executed: Mutex<Vec<RawRequest>>,
}

impl Service {
    pub async fn start(id: &str) -> Arc<Self> {
        let address = free_address();
        let service = Arc::new(Self {
            id: id.to_owned(),
            address,
            public: Mutex::new(address),
            next: Mutex::default(),
            seen: Mutex::default(),
            executed: Mutex::default(),
        });
        serve(service.address, service.clone()).await;
        service
    }

    pub fn entry(&self, state: &str) -> Value {
        json!({ "service": "pay", "address": self.public.lock().expect("unpoisoned").to_string(), "zone": "dc-a",
                "version": "v1", "slots": 6, "state": state, "sequence": 1, "born": 1000 })
    }

    pub fn will(&self, next: Next) {
        self.next.lock().expect("unpoisoned").push_back(next);
    }

    pub fn has_no_fault_left(&self) -> bool {
        self.next.lock().expect("unpoisoned").is_empty()
    }

    /// Calls that ran here.
    pub fn executed(&self) -> Vec<RawRequest> {
        self.executed.lock().expect("unpoisoned").clone()
    }

    /// Calls that arrived here.
    pub fn seen(&self) -> Vec<RawRequest> {
        self.seen.lock().expect("unpoisoned").clone()
    }
}

fn answer_headers(call: &str) -> String {
    format!(
        "x-zinniawing-attempt-id: {call}\r\nx-zinniawing-server-signature: sig-{call}\r\nkeep-alive: timeout=5\r\n"
    )
}

impl Answer for Service {
    async fn answer(self: Arc<Self>, request: RawRequest, stream: &mut TcpStream) -> bool {
        self.seen.lock().expect("unpoisoned").push(request.clone());
        let call = request
            .header("x-zinniawing-attempt-id")
            .unwrap_or("-")
            .to_owned();
        let next = self.next.lock().expect("unpoisoned").pop_front();
        let not_executed = "x-zinniawing-not-executed: 1\r\n";
        match next {
            Some(Next::Sheds) => return reply(stream, 503, not_executed, b"").await,
            Some(Next::Misdirects) => return reply(stream, 421, "", b"").await,
            _ => {}
        }
        self.executed
            .lock()
            .expect("unpoisoned")
            .push(request.clone());
        let headers = answer_headers(&call);
        let body = format!("done {call}");
        match next {
            Some(Next::Fails) => reply(stream, 500, &headers, b"failed").await,
            Some(Next::Resets) => {
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                false
            }
            Some(Next::Truncates) => {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: 400\r\n{headers}\r\nhalf");
                let _ = stream.write_all(head.as_bytes()).await;
                false
            }
            Some(Next::Hangs) => std::future::pending().await,
            Some(Next::AnswersAnother) => {
                reply(stream, 200, &answer_headers("another"), b"not yours").await
            }
            Some(Next::AnswersTwice) => {
                reply(stream, 200, &headers, body.as_bytes()).await
                    && reply(stream, 200, &headers, b"surplus").await
            }
            Some(Next::Unframed) => {
                let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n{headers}\r\n{body}");
                let _ = stream.write_all(head.as_bytes()).await;
                let _ = stream.shutdown().await;
                false
            }
            _ => reply(stream, 200, &headers, body.as_bytes()).await,
        }
    }
}
