//! Connections to one upstream, kept between calls.
//!
//! A connection serves one call at a time, and goes back to its pool only
//! after an answer that ended cleanly. Whoever drops it in the middle of a
//! call closes it at once, which is how a call is cancelled.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
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

/// How long a connection attempt may take.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_500);
/// Time between keep-alive probes of a connection that says nothing.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long an idle connection is kept where the upstream does not say.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// How long before the upstream's own timeout an idle connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections that are kept to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 16;

/// Why a request brought no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendFailure {
    /// It never left this node.
    #[error("not sent: {0}")]
    NotSent(&'static str),
    /// It may have arrived.
    #[error("no answer: {0}")]
    NoAnswer(hyper::Error),
}

/// One open connection, taken out of its pool.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
    is_reused: bool,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, SendFailure> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(SendFailure::NotSent("connection refused")),
            Err(_) => return Err(SendFailure::NotSent("connection timed out")),
        };
        set_options(&stream);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| SendFailure::NotSent("handshake failed"))?;
        // The driver's failure reaches the caller through its answer.
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            _driver: AbortOnDropHandle::new(driver),
            is_reused: false,
        })
    }

    /// Whether calls went over this connection before.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failure| match failure.take_message() {
            Some(_) => SendFailure::NotSent("the connection had closed"),
            None => SendFailure::NoAnswer(failure.into_error()),
        })
    }
}

/// Sets what shows a silent peer and keeps small writes from waiting.
pub(crate) fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    // Without them a silent peer is found by the calls' own timeouts.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX));
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections to one upstream.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

impl ConnectionPool {
    /// Makes a pool without connections.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Takes a kept connection, or opens one.
    pub(crate) async fn take(&self) -> Result<Connection, SendFailure> {
        match self.take_idle(Instant::now()) {
            Some(connection) => Ok(connection),
            None => Connection::open(self.address).await,
        }
    }

    /// Opens a connection even where one is kept.
    pub(crate) async fn open(&self) -> Result<Connection, SendFailure> {
        Connection::open(self.address).await
    }

    /// Keeps a connection whose last answer ended cleanly.
    pub(crate) fn put(&self, mut connection: Connection, idle_timeout: Option<Duration>) {
        let keep = idle_timeout.unwrap_or(IDLE_DEFAULT);
        let Some(keep) = keep.checked_sub(IDLE_MARGIN) else {
            return;
        };
        connection.is_reused = true;
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(Idle {
                connection,
                until: Instant::now() + keep,
            });
        }
    }

    /// Closes all kept connections.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// The connection that has been idle longest comes first, so that an
    /// extra answer that is still on its way shows before the next call.
    fn take_idle(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
        let at = idle
            .iter()
            .position(|kept| kept.connection.sender.is_ready())?;
        Some(idle.remove(at).connection)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
