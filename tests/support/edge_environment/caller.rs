//! A caller that reads raw responses, so that it sees their framing and pauses.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::asked_rest::NODE_HEADER;
use super::raw::find;
use super::{API_KEY, HOST, NodeSpec};

static NEXT_CALL_NUMBER: AtomicU64 = AtomicU64::new(1);

/// The response to one call, as far as it was received. If the caller could not
/// connect or send, only the call's id is set.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub call_id: String,
    pub status: u16,
    pub head: String,
    pub body: String,
    /// The response ended as its framing says: by its content length, its last
    /// chunk, or the end of the connection if it has neither.
    pub is_complete: bool,
    pub elapsed: Duration,
    /// Longest time without a byte after the first bytes.
    pub longest_pause: Duration,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Ids of the events, in the order in which they arrived.
    pub fn event_ids(&self) -> Vec<u64> {
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        lines
            .map(|id| id.parse().expect("a numeric event id"))
            .collect()
    }

    /// Software versions of the engines that wrote the events.
    pub fn software_versions(&self) -> BTreeSet<String> {
        let lines = self.body.lines().filter_map(|line| line.strip_prefix(": "));
        lines.map(str::to_owned).collect()
    }
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub address: SocketAddr,
    pub status_address: SocketAddr,
    pub readiness: SocketAddr,
    pub key: String,
    /// Header lines of each request.
    pub own_headers: String,
}

pub fn new_call_id() -> String {
    format!(
        "call-{:08x}",
        NEXT_CALL_NUMBER.fetch_add(1, Ordering::Relaxed)
    )
}

impl Caller {
    pub fn new(spec: &NodeSpec) -> Self {
        Self {
            address: spec.callers,
            status_address: spec.status_address,
            readiness: spec.readiness,
            key: API_KEY.to_owned(),
            own_headers: String::new(),
        }
    }

    /// Names the node in each request, so that upstreams know whose connections they have.
    pub fn naming_node(self) -> Self {
        Self {
            own_headers: format!("{NODE_HEADER}: {}\r\n", self.address),
            ..self
        }
    }

    pub async fn wait_until_ready(&self) {
        let since = Instant::now();
        while !matches!(get(self.readiness, "/readyz").await, Some(response) if response.status == 200)
        {
            assert!(
                since.elapsed() < Duration::from_secs(10),
                "node not ready within 10 s"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The start of a request, up to and with `extra_headers`, which are header
    /// lines that each end with CRLF. The content length, if any, and the empty line
    /// that ends the head are still to be added.
    pub fn head(&self, method: &str, path: &str, call_id: &str, extra_headers: &str) -> String {
        format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-zinniawing-attempt-id: {call_id}\r\n\
             api-key: {}\r\n{}{extra_headers}",
            self.key, self.own_headers
        )
    }

    pub async fn call(&self, method: &str, path: &str, extra_headers: &str) -> Response {
        let call_id = new_call_id();
        let head = self.head(method, path, &call_id, extra_headers);
        let body = if method == "POST" { "pay 5" } else { "" };
        let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        Response {
            call_id,
            ..send_request(self.address, request.as_bytes()).await
        }
    }

    /// Requests a stream of `events` events, and disconnects as soon as `wanted`
    /// events or more have arrived.
    pub async fn stream_until(&self, events: u64, wanted: usize) -> Response {
        let headers = format!(
            "x-zinniawing-deadline-ms: 20000\r\nx-zinniawing-token-usage: 800,{events}\r\n"
        );
        let call_id = new_call_id();
        let head = self.head("POST", super::STREAM_PATH, &call_id, &headers);
        let mut stream = TcpStream::connect(self.address).await.expect("connected");
        let request = format!("{head}content-length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut bytes = Vec::new();
        let mut response = Response::default();
        while response.event_ids().len() < wanted {
            let read = stream.read_buf(&mut bytes).await.expect("connected");
            assert!(read > 0, "the stream ended early: {response:?}");
            response = parse_response(&bytes);
            let whole_events_end = response.body.rfind("\n\n").map_or(0, |at| at + 2);
            response.body.truncate(whole_events_end);
        }
        Response {
            call_id,
            ..response
        }
    }

    /// Requests the rest of a stream of `events` events, of which `part` holds the
    /// first ones.
    pub async fn take_up(&self, part: &Response, events: u64) -> Response {
        let last = part.event_ids().last().copied().expect("an event");
        let headers = format!(
            "resumes: {}\r\nlast-event-id: {last}\r\nx-zinniawing-deadline-ms: 20000\r\n\
             x-zinniawing-token-usage: 800,{events}\r\n",
            part.call_id
        );
        self.call("POST", super::STREAM_PATH, &headers).await
    }

    /// Requests a stream of `events` events.
    pub async fn stream(&self, events: u64) -> Response {
        let headers = format!(
            "x-zinniawing-deadline-ms: 20000\r\nx-zinniawing-token-usage: 800,{events}\r\n"
        );
        self.call("POST", super::STREAM_PATH, &headers).await
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Option<Response> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    let response = send_request(address, request.as_bytes()).await;
    (response.status > 0).then_some(response)
}

/// Sends bytes on a new connection and reads one response.
pub async fn send_request(address: SocketAddr, request: &[u8]) -> Response {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return Response::default();
    };
    if stream.write_all(request).await.is_err() {
        return Response::default();
    }
    read_response(&mut stream).await
}

pub async fn read_response(stream: &mut TcpStream) -> Response {
    let since = Instant::now();
    let mut bytes = Vec::new();
    let mut response = Response::default();
    let mut last_read_at: Option<Instant> = None;
    while !is_complete(&bytes) {
        match stream.read_buf(&mut bytes).await {
            Ok(count) if count > 0 => {}
            // A response without a length ends with its connection.
            Ok(_) => {
                response.is_complete = is_close_delimited(&bytes);
                break;
            }
            Err(_) => break,
        }
        if let Some(last_read_at) = last_read_at.replace(Instant::now()) {
            response.longest_pause = response.longest_pause.max(last_read_at.elapsed());
        }
    }
    response.is_complete |= is_complete(&bytes);
    Response {
        is_complete: response.is_complete,
        longest_pause: response.longest_pause,
        elapsed: since.elapsed(),
        ..parse_response(&bytes)
    }
}

/// Status, head and body of a response, as far as it was received.
fn parse_response(bytes: &[u8]) -> Response {
    let mut response = Response::default();
    if let Some(end) = find(bytes, b"\r\n\r\n") {
        response.head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let status = response.head.split(' ').nth(1).and_then(|s| s.parse().ok());
        response.status = status.unwrap_or(0);
        response.body = body_text(&response, &bytes[end + 4..]);
    }
    response
}

fn is_chunked(bytes: &[u8]) -> bool {
    head_text(bytes).contains("transfer-encoding: chunked")
}

fn head_text(bytes: &[u8]) -> String {
    let end = find(bytes, b"\r\n\r\n").unwrap_or(0);
    String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase()
}

fn is_close_delimited(bytes: &[u8]) -> bool {
    let head = head_text(bytes);
    !head.is_empty() && !head.contains("content-length") && !is_chunked(bytes)
}

fn is_complete(bytes: &[u8]) -> bool {
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
    length.is_some_and(|l| {
        bytes.len() - end - 4 >= l.trim().parse::<usize>().expect("a numeric content length")
    })
}

/// Text of the body without chunk sizes: these are on lines of their own, and the
/// stand-in engine's chunks hold no CRLF.
fn body_text(response: &Response, body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    if response
        .head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked")
    {
        return text.split("\r\n").skip(1).step_by(2).collect();
    }
    text.into_owned()
}
