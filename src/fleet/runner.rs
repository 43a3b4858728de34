//! The model engines' dialect; no other module speaks it.
//!
//! Shapes stand in `docs/PROTOCOLS.md`. Everything an engine says about itself
//! arrives as a [`RunnerReport`], whole or as headers of an answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::http::{self, HttpClient, SendError};
use crate::id::{Fence, Incarnation, ModelId, TokenIndex};

/// Header that names the stream a request opens.
pub(crate) const STREAM_KEY: HeaderName = HeaderName::from_static("x-stream-key");
/// Header that gives a request's priority; lower goes first.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Header of every answer: running streams and slots, as `3/8`.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("x-runner-load");
/// Header of every answer: which life of the engine answered.
pub(crate) const INCARNATION: HeaderName = HeaderName::from_static("x-runner-incarnation");
/// Header of every answer: `1` when the engine is about to go.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-runner-leaving");

/// Path that opens a stream.
pub(crate) const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path under which open streams are resumed and cancelled.
pub(crate) const STREAMS_PATH: &str = "/v1/streams/";
/// Path of the engine's report.
pub(crate) const LOAD_PATH: &str = "/v1/load";
/// Path that takes orders.
pub(crate) const ORDERS_PATH: &str = "/v1/orders";

/// Data of the event that ends a whole answer.
pub(crate) const DONE: &[u8] = b"[DONE]";

/// How long an engine may take to answer a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an engine may take to accept an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Names one stream at one engine.
pub(crate) type StreamKey = String;

/// A model at a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: String,
    /// Adapters beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// What an engine says of itself; it may lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// Which life of the engine speaks.
    pub incarnation: Incarnation,
    /// Streams that generate.
    pub running_count: u32,
    /// Streams that wait for a slot.
    pub queued_count: u32,
    /// Streams that can generate at once.
    pub slot_count: u32,
    /// Whether the engine is about to go.
    pub leaving: bool,
    /// Models that can serve now.
    pub ready: Vec<ModelVersion>,
    /// Highest fence the engine has seen in an order.
    pub fence: Fence,
}

/// Orders an engine to reach a state; sending it twice changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fence of the lease under which the order is given.
    pub fence: Fence,
    /// All models the engine is to hold.
    pub models: Vec<ModelVersion>,
}

/// The part of an answer's headers that tells of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadHint {
    /// Which life of the engine answered.
    pub(crate) incarnation: Incarnation,
    /// Streams that generate.
    pub(crate) running_count: u32,
    /// Streams that can generate at once.
    pub(crate) slot_count: u32,
    /// Whether the engine is about to go.
    pub(crate) leaving: bool,
}

/// Body of a request that opens a stream.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StreamRequest<'a> {
    /// Model to run.
    pub(crate) model: &'a str,
    /// Version of the model.
    pub(crate) version: &'a str,
    /// Prompt, as the caller's JSON had it.
    #[serde(borrow)]
    pub(crate) prompt: &'a RawValue,
    /// Tokens the whole answer has at most.
    pub(crate) max_tokens: u64,
    /// Always true: answers are streamed.
    pub(crate) stream: bool,
    /// Index of the first token wanted.
    pub(crate) resume_index: TokenIndex,
    /// Text of the tokens before `resume_index`.
    #[serde(borrow)]
    pub(crate) resume_text: &'a RawValue,
}

/// Why an engine gave no stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum OpenError {
    /// The engine cannot be connected to.
    #[error("the runner is not there")]
    Unreachable,
    /// The connection broke before an answer.
    #[error("the runner gave no answer")]
    NoAnswer,
    /// The engine takes no work now.
    #[error("the runner is full or leaving")]
    Refused,
    /// The engine knows no such stream or model.
    #[error("the runner does not hold what was asked for")]
    NotHeld,
}

/// Speaks to engines.
#[derive(Clone, Debug)]
pub(crate) struct RunnerClient {
    client: HttpClient,
}

impl RunnerClient {
    /// Makes a client over shared connections.
    pub(crate) fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Opens a stream.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        key: &str,
        priority: u8,
        body: &StreamRequest<'_>,
    ) -> Result<Response<Incoming>, OpenError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut request = http::request(Method::POST, address, COMPLETIONS_PATH, body);
        if let Ok(key) = HeaderValue::from_str(key) {
            request.headers_mut().insert(STREAM_KEY, key);
        }
        let priority = HeaderValue::from(u16::from(priority));
        request.headers_mut().insert(PRIORITY, priority);
        let sent = self.client.send(address, request).await;
        accept(sent)
    }

    /// Continues an open stream from `index`.
    pub(crate) async fn resume(
        &self,
        address: SocketAddr,
        key: &str,
        index: TokenIndex,
    ) -> Result<Response<Incoming>, OpenError> {
        let path = format!("{STREAMS_PATH}{key}/resume?from={index}");
        let request = http::request(Method::POST, address, &path, Bytes::new());
        let sent = self.client.send(address, request).await;
        accept(sent)
    }

    /// Tells an engine that nobody wants a stream any more.
    pub(crate) async fn cancel(&self, address: SocketAddr, key: &str) {
        let path = format!("{STREAMS_PATH}{key}");
        let request = http::request(Method::DELETE, address, &path, Bytes::new());
        // The engine ends unread streams by itself; this only hastens it.
        let _ = self.client.exchange(address, request, CANCEL_TIMEOUT).await;
    }

    /// Asks an engine for its report.
    pub(crate) async fn report(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<RunnerReport, SendError> {
        let request = http::request(Method::GET, address, LOAD_PATH, Bytes::new());
        let response = self.client.exchange(address, request, timeout).await?;
        serde_json::from_slice(response.body()).map_err(|_| SendError::NoAnswer(address))
    }

    /// Gives an order; false when the engine refused its fence.
    pub(crate) async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<bool, SendError> {
        let body = serde_json::to_vec(order).unwrap_or_default();
        let request = http::request(Method::POST, address, ORDERS_PATH, body);
        let response = self
            .client
            .exchange(address, request, ORDER_TIMEOUT)
            .await?;
        Ok(response.status() == StatusCode::OK)
    }
}

fn accept(sent: Result<Response<Incoming>, SendError>) -> Result<Response<Incoming>, OpenError> {
    let response = sent.map_err(|e| match e {
        SendError::NotSent(_) => OpenError::Unreachable,
        SendError::NoAnswer(_) => OpenError::NoAnswer,
    })?;
    match response.status() {
        StatusCode::OK => Ok(response),
        StatusCode::NOT_FOUND => Err(OpenError::NotHeld),
        _ => Err(OpenError::Refused),
    }
}

/// Reads what an answer's headers tell of the engine.
pub(crate) fn load_hint<B>(response: &Response<B>) -> Option<LoadHint> {
    let text = |name: &HeaderName| response.headers().get(name)?.to_str().ok();
    let (running, slots) = text(&LOAD)?.split_once('/')?;
    Some(LoadHint {
        incarnation: text(&INCARNATION)?.parse().ok()?,
        running_count: running.parse().ok()?,
        slot_count: slots.parse().ok()?,
        leaving: text(&LEAVING)? == "1",
    })
}

/// Takes JSON as it is, without reading it.
pub(crate) fn raw_json(json: &[u8]) -> Option<Box<RawValue>> {
    RawValue::from_string(String::from_utf8(json.to_vec()).ok()?).ok()
}

/// Quotes escaped text, so that it can stand in a body as it is.
pub(crate) fn quote(escaped: &[u8]) -> Option<Box<RawValue>> {
    let mut quoted = BytesMut::with_capacity(escaped.len() + 2);
    quoted.put_u8(b'"');
    quoted.put_slice(escaped);
    quoted.put_u8(b'"');
    raw_json(&quoted)
}
