//! HTTP server, HTTP client and helpers for requests and responses, on top of
//! `hyper`.
//!
//! The server runs one task for each connection. When its [`Shutdown`] reaches
//! the closing stage, it closes the listener and lets each connection finish
//! the request in progress.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::connection_activity::ConnectionActivity;
use crate::connection_bound::ConnectionBound;
use crate::error::{Error, ErrorKind};
use crate::shutdown::Shutdown;

/// Error that ends a response body before it is complete. The connection is then
/// closed, so that the client cannot mistake the response for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response truncated")]
pub(crate) struct TruncatedResponse;

/// Body of every response that this program sends.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, TruncatedResponse>;
/// A response as handlers return it.
pub(crate) type HttpResponse = Response<ResponseBody>;

/// Time within which a client must send the headers of its next request.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which an idle connection must have sent the rest of its last answer.
const IDLE_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a client must send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum read buffer of a connection, which also limits the size of the
/// headers.
const CONNECTION_BUFFER_BYTES: usize = 16 * 1024;
/// Read buffer of a client connection for streamed responses. It is small
/// because many such connections are open at once.
const STREAM_BUFFER_BYTES: usize = 4 * 1024;
/// Time-out of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the client pool keeps an unused connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Statuses that a final answer may have.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Largest response that is read completely into memory.
pub(crate) const ANSWER_MAX_BYTES: usize = 2 * 1024 * 1024;

/// Limits of one connection to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Time from the end of a request until the headers of the next one are
    /// complete. A change applies to open connections.
    pub(crate) idle_timeout: Duration,
    /// Maximum size of the read buffer, which also limits the size of the
    /// headers. It is fixed when a connection opens.
    pub(crate) buffer_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            idle_timeout: CONNECTION_IDLE_TIMEOUT,
            buffer_bytes: CONNECTION_BUFFER_BYTES,
        }
    }
}

/// Handles the requests of all connections of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the limits of connections that are in force.
    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::default()
    }

    /// Bound on the number of open connections, if there is one.
    fn connection_bound(&self) -> Option<Arc<ConnectionBound>> {
        None
    }

    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HttpResponse> + Send;
}

/// Serves `listener` until `shutdown` reaches the closing stage, then waits for
/// the open connections to finish.
pub(crate) async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    mut shutdown: Shutdown,
) {
    let connections = tokio_util::task::TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.wait_for_closing() => break,
        };
        let Ok((stream, _)) = accepted else {
            // No file descriptor is free: give open connections time to end.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let activity = ConnectionActivity::new();
        let served = serve_connection(stream, handler.clone(), shutdown.clone(), activity.clone());
        let Some(bound) = handler.connection_bound() else {
            connections.spawn(served);
            continue;
        };
        let Some(admitted) = bound.admit(activity) else {
            continue;
        };
        connections.spawn(async move {
            tokio::select! {
                () = served => {}
                () = admitted.wait_until_evicted() => {}
            }
        });
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    mut shutdown: Shutdown,
    activity: ConnectionActivity,
) {
    let service = service_fn(|request| {
        let (handler, active) = (handler.clone(), activity.begin_request());
        async move {
            let response = handler.handle(request).await;
            Ok::<_, Infallible>(active.track(response))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        // The idle time-out below covers it.
        .header_read_timeout(None)
        .max_buf_size(handler.limits().buffer_bytes)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let abort = shutdown.abort_token();
    let mut is_idle = false;
    // A request that has arrived is read before the connection counts as idle.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = abort.cancelled() => return,
        () = activity.wait_until_answer_overdue() => return,
        () = shutdown.wait_for_closing() => {}
        () = activity.wait_until_idle_for(|| handler.limits().idle_timeout) => {
            is_idle = true;
        }
    }
    if !activity.is_used() {
        // The first request may be incomplete, and a graceful shutdown would wait
        // for the rest of it.
        return;
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = abort.cancelled() => {}
        () = activity.wait_until_answer_overdue() => {}
        // The client does not read the end of its last answer.
        () = tokio::time::sleep(IDLE_CLOSE_TIMEOUT), if is_idle => {}
    }
}

/// Reads a request body of at most `max_bytes`.
pub(crate) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Error> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large(max_bytes));
    }
    tokio::time::timeout(BODY_TIMEOUT, collect(body, max_bytes))
        .await
        .map_err(|_| {
            Error::new(
                ErrorKind::TooSlow,
                "the request body did not arrive in time",
            )
        })?
}

async fn collect(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Error> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > max_bytes {
            return Err(too_large(max_bytes));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

fn too_large(max_bytes: usize) -> Error {
    Error::new(
        ErrorKind::TooLarge,
        format!("the body exceeds the limit of {max_bytes} bytes"),
    )
}

/// Parses a JSON body. The error says where the body is invalid.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))
}

/// Creates a response body from bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    boxed(Full::new(bytes.into()))
}

/// Converts a body whose stream has no error case to a response body.
pub(crate) fn boxed<B>(body: B) -> ResponseBody
where
    B: hyper::body::Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    body.map_err(|infallible| match infallible {})
        .boxed_unsync()
}

/// Creates a response body from `body`, and a token that is cancelled when the
/// response is dropped, as it is when the client closes its connection.
pub(crate) fn boxed_until_dropped<B>(body: B) -> (ResponseBody, CancellationToken)
where
    B: hyper::body::Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    let dropped = CancellationToken::new();
    let guard = dropped.clone().drop_guard();
    let guarded = body.map_frame(move |frame| {
        let _ = &guard;
        frame
    });
    (boxed(guarded), dropped)
}

/// Creates a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let json_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json_type);
    response
}

/// Creates the response to an error, with its status and `Retry-After`. Its kind is
/// kept as an extension, so that such a response can be told from an upstream's.
pub(crate) fn error_response(error: &Error) -> HttpResponse {
    let mut response = json(error.kind.answer().status, &error.body());
    response.extensions_mut().insert(error.kind);
    if let Some(retry_after) = error.retry_after() {
        let seconds = retry_after.as_millis().div_ceil(1000) as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Returns the value of a header if it is present and visible ASCII.
pub(crate) fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No connection was established, so nothing was sent.
    #[error("could not connect to {0}")]
    NotSent(SocketAddr),
    /// No response arrived, but the request may have been received.
    #[error("no answer from {0}")]
    NoAnswer(SocketAddr),
}

/// Sends requests to upstreams, nodes, the platform and other HTTP servers.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub(crate) fn new() -> Self {
        Self {
            pooled: build_client(usize::MAX, None),
            unpooled: build_client(0, None),
        }
    }

    /// Creates a client for streamed responses, with a small read buffer for
    /// each connection, because many are open at once.
    pub(crate) fn for_streams() -> Self {
        Self {
            pooled: build_client(usize::MAX, Some(STREAM_BUFFER_BYTES)),
            unpooled: build_client(0, Some(STREAM_BUFFER_BYTES)),
        }
    }

    /// Sends over a connection of the pool if there is one.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        send_with(&self.pooled, address, request).await
    }

    /// Sends over a new connection, so that [`SendError::NotSent`] proves that
    /// the server did not receive the request.
    ///
    /// A pooled connection can be closed by the server while a request is being
    /// sent, which looks the same whether or not the request was received.
    pub(crate) async fn send_unpooled(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        send_with(&self.unpooled, address, request).await
    }

    /// Sends a request over a connection of the pool if there is one, and reads
    /// the complete response, within `timeout`.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        exchange_with(&self.pooled, address, request, timeout).await
    }

    /// Like [`Self::exchange`], but over a new connection, for servers to which
    /// the pooled connections may no longer work.
    pub(crate) async fn exchange_unpooled(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        exchange_with(&self.unpooled, address, request, timeout).await
    }
}

async fn exchange_with(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Bytes>, SendError> {
    let exchange = async {
        let response = send_with(client, address, request).await?;
        read_answer(address, response).await
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(SendError::NoAnswer(address)))
}

/// Reads a complete response into memory, up to [`ANSWER_MAX_BYTES`].
pub(crate) async fn read_answer(
    address: SocketAddr,
    response: Response<Incoming>,
) -> Result<Response<Bytes>, SendError> {
    let (parts, body) = response.into_parts();
    let body = collect(body, ANSWER_MAX_BYTES)
        .await
        .map_err(|_| SendError::NoAnswer(address))?;
    Ok(Response::from_parts(parts, body))
}

fn build_client(
    idle_connections_max: usize,
    read_buffer_bytes: Option<usize>,
) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let mut builder = Client::builder(TokioExecutor::new());
    match read_buffer_bytes {
        Some(bytes) => builder.http1_read_buf_exact_size(bytes),
        None => builder.http1_max_buf_size(CONNECTION_BUFFER_BYTES),
    };
    builder
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_connections_max)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Whether a final answer may have the status. Others are interim, or no answer at all: what
/// follows on their connection is no HTTP that this program speaks.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

async fn send_with(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendError> {
    let connection = capture_connection(&mut request);
    let response = client.request(request).await.map_err(|e| {
        if e.is_connect() {
            SendError::NotSent(address)
        } else {
            SendError::NoAnswer(address)
        }
    })?;
    if is_final_status(response.status()) {
        return Ok(response);
    }
    log::warn!(
        "event=no_final_status address={address} status={}",
        response.status().as_u16()
    );
    if let Some(connected) = connection.connection_metadata().as_ref() {
        // Takes the connection out of the pool.
        connected.poison();
    }
    Err(SendError::NoAnswer(address))
}

/// Creates a request to `address`. The path must start with a slash.
pub(crate) fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = method;
    let uri = format!("http://{address}{path}");
    if let Ok(uri) = uri.parse() {
        *request.uri_mut() = uri;
    }
    request
}
