//! A caller that reads answers byte by byte.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::raw::find;
use super::{HOST, KEY, NodePorts};

static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// What a caller got for one call.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub call: String,
    pub status: u16,
    pub head: String,
    pub body: String,
    /// The answer ended as its framing says.
    pub is_whole: bool,
    pub took: Duration,
    /// Longest time without a byte after the first one.
    pub longest_pause: Duration,
}

impl Got {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Ids of the events, in the order in which they came.
    pub fn events(&self) -> Vec<u64> {
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        lines.map(|id| id.parse().expect("a number")).collect()
    }
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub address: SocketAddr,
    pub pages: SocketAddr,
    pub readiness: SocketAddr,
    pub key: String,
}

pub fn new_call() -> String {
    format!("call-{:08x}", NEXT_CALL.fetch_add(1, Ordering::Relaxed))
}

impl Caller {
    pub fn new(ports: &NodePorts) -> Self {
        Self {
            address: ports.callers,
            pages: ports.pages,
            readiness: ports.readiness,
            key: KEY.to_owned(),
        }
    }

    pub async fn wait_until_ready(&self) {
        let since = Instant::now();
        while !matches!(get(self.readiness, "/readyz").await, Some(got) if got.status == 200) {
            assert!(since.elapsed() < Duration::from_secs(10), "never ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The head of a call; `extra` are further header lines.
    pub fn head(&self, method: &str, path: &str, call: &str, extra: &str) -> String {
        format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-zinniawing-attempt-id: {call}\r\n\
             api-key: {}\r\n{extra}",
            self.key
        )
    }

    pub async fn call(&self, method: &str, path: &str, extra: &str) -> Got {
        let call = new_call();
        let head = self.head(method, path, &call, extra);
        let body = if method == "POST" { "pay 5" } else { "" };
        let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        Got {
            call,
            ..exchange(self.address, request.as_bytes()).await
        }
    }

    /// Asks for a stream of `events` events.
    pub async fn stream(&self, events: u64) -> Got {
        let usage = format!(
            "x-zinniawing-deadline-ms: 20000\r\nx-zinniawing-token-usage: 800,{events}\r\n"
        );
        self.call("POST", super::STREAM_PATH, &usage).await
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Option<Got> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    let got = exchange(address, request.as_bytes()).await;
    (got.status > 0).then_some(got)
}

/// Sends bytes on a new connection and reads one answer.
pub async fn exchange(address: SocketAddr, request: &[u8]) -> Got {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return Got::default();
    };
    if stream.write_all(request).await.is_err() {
        return Got::default();
    }
    read_answer(&mut stream).await
}

pub async fn read_answer(stream: &mut TcpStream) -> Got {
    let since = Instant::now();
    let mut bytes = Vec::new();
    let mut got = Got::default();
    let mut last: Option<Instant> = None;
    while !is_whole(&bytes) {
        match stream.read_buf(&mut bytes).await {
            Ok(count) if count > 0 => {}
            // An answer without a length ends with its connection.
            Ok(_) => {
                got.is_whole = is_unframed(&bytes);
                break;
            }
            Err(_) => break,
        }
        if let Some(last) = last.replace(Instant::now()) {
            got.longest_pause = got.longest_pause.max(last.elapsed());
        }
    }
    got.is_whole |= is_whole(&bytes);
    got.took = since.elapsed();
    if let Some(end) = find(&bytes, b"\r\n\r\n") {
        got.head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let status = got.head.split(' ').nth(1).and_then(|s| s.parse().ok());
        got.status = status.unwrap_or(0);
        got.body = body_text(&got, &bytes[end + 4..]);
    }
    got
}

fn is_chunked(bytes: &[u8]) -> bool {
    head_text(bytes).contains("transfer-encoding: chunked")
}

fn head_text(bytes: &[u8]) -> String {
    let end = find(bytes, b"\r\n\r\n").unwrap_or(0);
    String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase()
}

fn is_unframed(bytes: &[u8]) -> bool {
    let head = head_text(bytes);
    !head.is_empty() && !head.contains("content-length") && !is_chunked(bytes)
}

fn is_whole(bytes: &[u8]) -> bool {
    let Some(end) = find(bytes, b"\r\n\r\n") else {
        return false;
    };
    if is_chunked(bytes) {
        return bytes.ends_with(b"0\r\n\r\n");
    }
    let head = head_text(bytes);
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    length.is_some_and(|l| bytes.len() - end - 4 >= l.trim().parse::<usize>().expect("a length"))
}

/// Text of the body; chunk sizes stand on lines of their own, and no event
/// has such a line.
fn body_text(got: &Got, body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    if got
        .head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked")
    {
        return text.split("\r\n").skip(1).step_by(2).collect();
    }
    text.into_owned()
}
