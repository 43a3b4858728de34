//! A pool of connections to one upstream.
//!
//! A connection serves one call at a time, and returns to its pool only after
//! an answer that ended cleanly. Dropping a connection during a call closes it
//! at once; this is how a call is cancelled.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::http::is_final_status;

/// Longest time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which a connection that was accepted for an upstream that is down is
/// closed.
const ACCEPTED_CLOSE_TIME: Duration = Duration::from_millis(20);
/// Time between TCP keep-alive probes of a connection without traffic.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the kernel closes a
/// connection.
const KEEPALIVE_PROBES_MAX: u32 = 3;
/// Idle time-out that is assumed if the upstream states none.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Time before the upstream's idle time-out at which a connection is discarded,
/// so that no call is sent while the upstream closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Maximum read buffer of a connection, which also limits the head of an answer. An answer
/// that its caller does not read fills the buffer.
pub(crate) const READ_BUFFER_MAX_BYTES: usize = 32 * 1024;
/// Maximum number of idle connections in a pool.
const IDLE_CONNECTIONS_MAX: usize = 16;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendFailure {
    /// No connection to the upstream could be opened.
    #[error("not connected: {0}")]
    NotConnected(&'static str),
    /// The request did not leave this node.
    #[error("not sent: {0}")]
    NotSent(&'static str),
    /// The request must not be sent any more.
    #[error("not sent: the peer wants no request")]
    Withheld,
    /// The request may have arrived.
    #[error("connection failed before the answer: {0}")]
    NoAnswer(hyper::Error),
    /// The request may have arrived, and what came is no answer.
    #[error("no final answer has the status {0}")]
    NoFinalStatus(u16),
}

/// An open connection that has been taken out of its pool.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Task that reads from and writes to the socket. Aborting it closes the
    /// connection.
    _driver: AbortOnDropHandle<()>,
    /// Referenced by the driver alone until the connection is closed.
    open: Weak<()>,
    is_reused: bool,
}

/// Tells whether a connection, which may be in use, is still open.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionLife(Weak<()>);

impl ConnectionLife {
    /// Whether neither side has closed the connection, as far as this node has seen. After
    /// a restart of the peer's host, keep-alive probes close it.
    pub(crate) fn is_open(&self) -> bool {
        self.0.strong_count() > 0
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, SendFailure> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => {
                return Err(SendFailure::NotConnected(
                    "connection could not be established",
                ));
            }
            Err(_) => return Err(SendFailure::NotConnected("connection timed out")),
        };
        set_socket_options(&stream);
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, driver) = handshake.map_err(|_| SendFailure::NotSent("handshake failed"))?;
        // A failure of the driver also fails the request or the answer's body.
        let is_open = Arc::new(());
        let open = Arc::downgrade(&is_open);
        let driver = tokio::spawn(async move {
            let _is_open = is_open;
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            _driver: AbortOnDropHandle::new(driver),
            open,
            is_reused: false,
        })
    }

    /// Whether an earlier call used this connection.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Tells whether the connection is open, wherever it is.
    pub(crate) fn life(&self) -> ConnectionLife {
        ConnectionLife(self.open.clone())
    }

    /// Whether the upstream has closed the connection.
    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer. After a failure the connection
    /// must not be used again.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut failure| match failure.take_message() {
            Some(_) => SendFailure::NotSent("connection closed before the request was sent"),
            None => SendFailure::NoAnswer(failure.into_error()),
        })?;
        let status = response.status();
        if !is_final_status(status) {
            return Err(SendFailure::NoFinalStatus(status.as_u16()));
        }
        Ok(response)
    }
}

/// Sets keep-alive probes to detect an unresponsive peer, and disables Nagle's
/// algorithm so that small writes are sent at once.
///
/// There is no `TCP_USER_TIMEOUT`: it would also close the connection to a peer
/// that is silent for a second and goes on.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    // If an option can't be set, the time-outs of the calls still detect an
    // unresponsive peer.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections to one upstream.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection, or opens one.
    pub(crate) async fn take(&self) -> Result<Connection, SendFailure> {
        match self.take_idle(Instant::now()) {
            Some(connection) => Ok(connection),
            None => Connection::open(self.address).await,
        }
    }

    /// Sends a request over an idle connection, or over a new one, and waits for the head
    /// of the answer.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), SendFailure> {
        self.send_if(request, || true).await
    }

    /// Sends a request like [`Self::send`], if `may_send` still holds when the connection
    /// is there.
    pub(crate) async fn send_if(
        &self,
        request: Request<Full<Bytes>>,
        may_send: impl Fn() -> bool,
    ) -> Result<(Connection, Response<Incoming>), SendFailure> {
        let send = async |connection: &mut Connection, request| {
            if !may_send() {
                return Err(SendFailure::Withheld);
            }
            connection.send(request).await
        };
        let mut connection = self.take().await?;
        let response = match send(&mut connection, request.clone()).await {
            // The peer had closed the idle connection before any byte was sent.
            Err(SendFailure::NotSent(_)) if connection.is_reused() => {
                connection = self.open().await?;
                send(&mut connection, request).await?
            }
            sent => sent?,
        };
        Ok((connection, response))
    }

    /// Opens a new connection, even if the pool has an idle one.
    pub(crate) async fn open(&self) -> Result<Connection, SendFailure> {
        Connection::open(self.address).await
    }

    /// Whether the upstream accepts a new connection and keeps it. A party in between
    /// may accept one for an upstream that is down, and then close it.
    pub(crate) async fn keeps_connection(&self) -> bool {
        let Ok(connection) = self.open().await else {
            return false;
        };
        tokio::time::sleep(ACCEPTED_CLOSE_TIME).await;
        !connection.is_closed()
    }

    /// Returns a connection to the pool, after an answer that ended cleanly.
    pub(crate) fn put(&self, mut connection: Connection, idle_timeout: Option<Duration>) {
        let lifetime = idle_timeout.unwrap_or(IDLE_TIMEOUT_DEFAULT);
        let Some(lifetime) = lifetime.checked_sub(IDLE_TIMEOUT_MARGIN) else {
            return;
        };
        connection.is_reused = true;
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(IdleConnection {
                connection,
                expires_at: Instant::now() + lifetime,
            });
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// Takes the connection that has been idle longest. An upstream may wrongly
    /// send a second answer to the last call over a connection. If that answer
    /// arrives while the connection is idle, the connection is closed and no call
    /// gets the wrong answer; the longest idle time is the safest.
    fn take_idle(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|entry| entry.expires_at > now && !entry.connection.sender.is_closed());
        let at = idle
            .iter()
            .position(|entry| entry.connection.sender.is_ready())?;
        Some(idle.remove(at).connection)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
