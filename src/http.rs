//! The HTTP plumbing that both sides share, all of it from `hyper`.
//!
//! One task serves one connection. A server stops through its [`Shutdown`]:
//! it closes the listener, then lets each connection end its request.

use std::convert::Infallible;
use std::net::SocketAddr;
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
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};

use crate::error::{Error, ErrorKind};
use crate::shutdown::Shutdown;

/// A response that ends early and must not look complete, so that its
/// connection is closed instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response ends early")]
pub(crate) struct BrokenOff;

/// Body of every response this program writes.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, BrokenOff>;
/// A response as handlers return it.
pub(crate) type HttpResponse = Response<ResponseBody>;

/// How long a sender may take over its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a sender may take over its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes a connection may buffer, which also bounds the headers.
const CONNECTION_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that a connection for a trickling answer reads at once.
const STREAM_BUFFER_BYTES: usize = 4 * 1024;
/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unused connection to an upstream is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer read whole into memory.
pub(crate) const ANSWER_MAX_BYTES: usize = 2 * 1024 * 1024;

/// What one connection may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Time from the start of waiting for a request to the end of its headers.
    pub(crate) header_timeout: Duration,
    /// Bytes that are buffered, which also bounds the headers.
    pub(crate) buffer_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            header_timeout: HEADER_TIMEOUT,
            buffer_bytes: CONNECTION_BUFFER_BYTES,
        }
    }
}

/// Something that answers requests; one value serves all connections.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Limits of a connection that opens now.
    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::default()
    }

    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HttpResponse> + Send;
}

/// Serves `listener` until `shutdown` begins, then ends what is open.
pub(crate) async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    mut shutdown: Shutdown,
) {
    let open = tokio_util::task::TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.begun() => break,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors: give open connections time to end.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        open.spawn(serve_connection(stream, handler.clone(), shutdown.clone()));
    }
    drop(listener);
    open.close();
    open.wait().await;
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>, mut shutdown: Shutdown) {
    let limits = handler.limits();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.buffer_bytes)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let aborted = shutdown.aborted_handle();
    tokio::select! {
        _ = connection.as_mut() => return,
        () = aborted.cancelled() => return,
        () = shutdown.begun() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = aborted.cancelled() => {}
    }
}

/// Reads a request body of at most `max_bytes`.
pub(crate) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Error> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large(max_bytes));
    }
    tokio::time::timeout(BODY_TIMEOUT, collect(body, max_bytes))
        .await
        .map_err(|_| Error::new(ErrorKind::TooSlow, "the body came too slowly"))?
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
        format!("the body exceeds {max_bytes} bytes"),
    )
}

/// Parses a JSON body, saying where it is wrong.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))
}

/// Wraps bytes as a whole response body.
pub(crate) fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    boxed(Full::new(bytes.into()))
}

/// Wraps a body that never ends early as a response body.
pub(crate) fn boxed<B>(body: B) -> ResponseBody
where
    B: hyper::body::Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Answers with a JSON value.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let json_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json_type);
    response
}

/// Answers with a failure, its status and its time to come back.
pub(crate) fn failure(error: &Error) -> HttpResponse {
    let mut response = json(error.kind.answer().status, &error.body());
    if let Some(retry_after) = error.retry_after() {
        let seconds = retry_after.as_millis().div_ceil(1000) as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// A header's value as text, if it is there and is text.
pub(crate) fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Why a request to an upstream brought no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// The connection was never made, so nothing was sent.
    #[error("not connected to {0}")]
    NotSent(SocketAddr),
    /// The request may have arrived.
    #[error("no answer from {0}")]
    NoAnswer(SocketAddr),
}

/// Sends requests to upstreams, the platform and other HTTP parties.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Makes a client without any connection.
    pub(crate) fn new() -> Self {
        Self {
            pooled: build_client(usize::MAX, None),
            fresh: build_client(0, None),
        }
    }

    /// Makes a client for answers that trickle, whose many open connections
    /// each keep a small buffer.
    pub(crate) fn for_streams() -> Self {
        Self {
            pooled: build_client(usize::MAX, Some(STREAM_BUFFER_BYTES)),
            fresh: build_client(0, Some(STREAM_BUFFER_BYTES)),
        }
    }

    /// Sends over a kept connection where there is one.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        send_with(&self.pooled, address, request).await
    }

    /// Sends over a new connection, so that [`SendError::NotSent`] is proof.
    ///
    /// A kept connection can be closed by its peer while the request is on
    /// its way, which looks the same whether or not the request arrived.
    pub(crate) async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        send_with(&self.fresh, address, request).await
    }

    /// Sends and reads the whole answer within `timeout`.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        exchange_with(&self.pooled, address, request, timeout).await
    }

    /// The same over a new connection, where kept ones may be dead.
    pub(crate) async fn exchange_fresh(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        exchange_with(&self.fresh, address, request, timeout).await
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

/// Reads a whole answer into memory, up to [`ANSWER_MAX_BYTES`].
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
    idle_max: usize,
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
        .pool_max_idle_per_host(idle_max)
        .retry_canceled_requests(false)
        .build(connector)
}

async fn send_with(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendError> {
    client.request(request).await.map_err(|e| {
        if e.is_connect() {
            SendError::NotSent(address)
        } else {
            SendError::NoAnswer(address)
        }
    })
}

/// Builds a request to `address`; the path must start with a slash.
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
