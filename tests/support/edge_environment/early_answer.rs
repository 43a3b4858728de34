//! An upstream that answers before it has read the body of a request, with any status line, and
//! then closes or resets the connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::HEALTH_PATH;
use super::raw::{find, reset_on_close};

/// What follows the last byte of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The connection is closed in order.
    Close,
    /// The connection is reset.
    Reset,
    /// The connection stays open, and the next request is answered too.
    Stay,
}

/// The answer to each request that is no probe.
#[derive(Clone, Debug)]
pub struct EarlyAnswer {
    /// Status code, as it is written.
    pub status: String,
    /// Further header lines, which each end with CRLF.
    pub headers: String,
    pub body: Vec<u8>,
    /// Time from the answer to the end of the connection.
    pub end_delay: Duration,
    pub end: AnswerEnd,
}

impl EarlyAnswer {
    /// An answer with this status code, without a body, on a connection that stays open.
    pub fn with_status(status: &str) -> Self {
        Self {
            status: status.to_owned(),
            headers: "content-length: 0\r\n".to_owned(),
            body: Vec::new(),
            end_delay: Duration::ZERO,
            end: AnswerEnd::Stay,
        }
    }
}

/// An upstream that answers early.
pub struct EarlyUpstream {
    pub id: String,
    pub address: SocketAddr,
    answer: Mutex<EarlyAnswer>,
    service: String,
    /// Calls that came on a connection on which another status than 200 had been sent.
    later_calls: AtomicUsize,
    calls: AtomicUsize,
}

impl EarlyUpstream {
    /// Starts an upstream of the service with the name `service`.
    pub async fn start_at(
        id: &str,
        service: &str,
        address: SocketAddr,
        answer: EarlyAnswer,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).await.expect("a free address");
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            address,
            answer: Mutex::new(answer),
            service: service.to_owned(),
            later_calls: AtomicUsize::new(0),
            calls: AtomicUsize::new(0),
        });
        let serving = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        upstream
    }

    pub fn entry(&self) -> Value {
        json!({ "service": self.service, "address": self.address.to_string(), "zone": "dc-a",
                "version": "v1", "slots": 6, "state": "ready", "sequence": 1, "born": 1000 })
    }

    pub fn set_answer(&self, answer: EarlyAnswer) {
        *self.answer.lock().expect("unpoisoned") = answer;
    }

    /// Number of calls that came.
    pub fn call_count(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of calls that came on a connection on which another status than 200 had been
    /// sent.
    pub fn later_call_count(&self) -> usize {
        self.later_calls.load(Ordering::Relaxed)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut is_odd = false;
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            if let Some(probe) = self.probe_answer(&head) {
                if stream.write_all(probe.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            self.calls.fetch_add(1, Ordering::Relaxed);
            self.later_calls
                .fetch_add(usize::from(is_odd), Ordering::Relaxed);
            is_odd |= self.answer.lock().expect("unpoisoned").status != "200";
            if !self.answer_call(&head, &mut stream).await {
                return;
            }
        }
    }

    fn probe_answer(&self, head: &str) -> Option<String> {
        let path = head.split(' ').nth(1)?;
        let body = match path {
            "/report" => r#"{"models":[{"name":"m"}],"state":"ready","born":1000}"#,
            HEALTH_PATH => "",
            _ => return None,
        };
        Some(format!(
            "HTTP/1.1 200 OK\r\nx-zinniawing-instance-id: {}\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        ))
    }

    async fn answer_call(&self, head: &str, stream: &mut TcpStream) -> bool {
        let answer = self.answer.lock().expect("unpoisoned").clone();
        let call_id = head
            .lines()
            .find_map(|line| line.strip_prefix("x-zinniawing-attempt-id: "))
            .unwrap_or("-");
        let own_head = format!(
            "HTTP/1.1 {} X\r\nx-zinniawing-attempt-id: {call_id}\r\n\
             x-zinniawing-server-signature: sig-{call_id}\r\n{}\r\n",
            answer.status, answer.headers
        );
        let bytes = [own_head.as_bytes(), &answer.body].concat();
        if stream.write_all(&bytes).await.is_err() {
            return false;
        }
        tokio::time::sleep(answer.end_delay).await;
        match answer.end {
            AnswerEnd::Stay => true,
            AnswerEnd::Reset => {
                reset_on_close(stream);
                false
            }
            AnswerEnd::Close => {
                let _ = stream.shutdown().await;
                // Bytes that are unread at a close would make it a reset.
                while matches!(stream.read_buf(&mut Vec::new()).await, Ok(count) if count > 0) {}
                false
            }
        }
    }
}

/// Reads the head of a request, and leaves its body unread.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Some(head);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
