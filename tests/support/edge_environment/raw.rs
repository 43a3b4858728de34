//! A minimal HTTP/1.1 server whose handlers write raw bytes, so that a test can
//! send malformed or truncated responses.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// One request as received; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl RawRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, v)| v.to_owned())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Number of connections that wait to be accepted, at most.
pub const LISTEN_QUEUE: u32 = 256;

/// Handles one request and writes its response; returns false to close the
/// connection.
pub trait RequestHandler: Send + Sync + 'static {
    /// Whether a new connection is served; if not, it is reset.
    fn accepts_connections(&self) -> bool {
        true
    }

    /// Number of new connections that wait while the process does not accept them.
    fn listen_queue(&self) -> u32 {
        LISTEN_QUEUE
    }

    fn handle(
        self: Arc<Self>,
        request: RawRequest,
        stream: &mut TcpStream,
    ) -> impl Future<Output = bool> + Send;
}

/// Serves until the returned task is aborted, which resets all connections.
pub async fn serve<H: RequestHandler>(address: SocketAddr, handler: Arc<H>) -> JoinHandle<()> {
    let listener = listen(address, handler.listen_queue()).await;
    tokio::spawn(async move {
        let mut open = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if handler.accepts_connections() {
                open.spawn(serve_one(stream, handler.clone()));
            } else {
                reset_on_close(&stream);
            }
        }
    })
}

/// Retries for half a second until an earlier server has released the address.
async fn listen(address: SocketAddr, queue: u32) -> TcpListener {
    for _ in 0..100 {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket is created");
        socket
            .set_reuseaddr(true)
            .expect("the address can be reused");
        let bound = socket.bind(address).and_then(|()| socket.listen(queue));
        if let Ok(listener) = bound {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{address} is still in use after 100 attempts to bind it");
}

/// Makes closing the stream send a TCP reset.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Waits until the peer closes the connection. The close is not seen while bytes of
/// another request wait.
pub async fn wait_for_close(stream: &TcpStream) {
    if matches!(stream.peek(&mut [0]).await, Ok(count) if count > 0) {
        pending::<()>().await;
    }
}

async fn serve_one<H: RequestHandler>(mut stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        if !handler.clone().handle(request, &mut stream).await {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<RawRequest> {
    let end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let mut request = RawRequest {
        method: first.next()?.to_owned(),
        target: first.next()?.to_owned(),
        ..RawRequest::default()
    };
    for line in lines {
        let (name, value) = line.split_once(':')?;
        let name = name.to_ascii_lowercase();
        request.headers.insert(name, value.trim().to_owned());
    }
    let length = request.number("content-length").unwrap_or(0) as usize;
    while buffer.len() < end + 4 + length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    request.body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some(request)
}

pub fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

/// Writes a complete response; returns false if the connection is broken.
pub async fn reply(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n{headers}\r\n",
        body.len()
    );
    let response = [head.as_bytes(), body].concat();
    stream.write_all(&response).await.is_ok()
}
