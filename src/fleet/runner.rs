//! Client for the model engines on runners; a runner is a VM with one engine.
//! Only this module depends on the engines' HTTP interface, which
//! `docs/PROTOCOLS.md` describes.
//!
//! An engine reports its state as a [`RunnerReport`]. The headers of each of
//! its responses hold a part of it, the [`LoadHeaders`].

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

/// Header with the key of the stream that a request opens.
pub(crate) const STREAM_KEY: HeaderName = HeaderName::from_static("x-stream-key");
/// Header with a request's priority; the engine runs lower values first.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Header of every response: running streams and slots, such as `3/8`.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("x-runner-load");
/// Header of every response: incarnation of the engine.
pub(crate) const INCARNATION: HeaderName = HeaderName::from_static("x-runner-incarnation");
/// Header of every response: `1` if the engine is leaving.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-runner-leaving");

/// Path that opens a stream.
pub(crate) const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path prefix under which open streams are resumed and cancelled.
pub(crate) const STREAMS_PATH: &str = "/v1/streams/";
/// Path of the engine's report.
pub(crate) const LOAD_PATH: &str = "/v1/load";
/// Path that accepts orders.
pub(crate) const ORDERS_PATH: &str = "/v1/orders";

/// Data of the last event of a complete response.
pub(crate) const DONE: &[u8] = b"[DONE]";

/// Time-out of one request that cancels a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a cancellation that was not answered is sent again.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of times that a cancellation is sent, which covers standstills of some
/// 30 s. After that the engine ends the stream by its own limit.
const CANCEL_ATTEMPTS_MAX: u32 = 25;
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Key under which an engine holds a stream, for resuming and cancelling it.
pub(crate) type StreamKey = String;

/// A model at a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: String,
    /// Adapters that are loaded with the model.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// State of an engine as reported by the engine; may be slightly outdated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// Incarnation of the engine, which changes with each start.
    pub incarnation: Incarnation,
    /// Number of streams that generate tokens.
    pub running_count: u32,
    /// Number of streams that wait for a slot.
    pub queued_count: u32,
    /// Number of streams that can generate concurrently.
    pub slot_count: u32,
    /// Whether the engine is leaving: it will stop and gets no new streams.
    pub leaving: bool,
    /// Models that can serve now.
    pub ready: Vec<ModelVersion>,
    /// Highest fence that the engine has received in an order. An engine that
    /// checks fences refuses orders with a lower one.
    pub fence: Fence,
}

/// An order that tells an engine which models to hold. Orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fence under which the order is given: a number that rises each time the
    /// lease on orders gets another holder.
    pub fence: Fence,
    /// Complete list of the models that the engine has to hold.
    pub models: Vec<ModelVersion>,
}

/// The state of an engine in the headers of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadHeaders {
    /// Incarnation of the engine.
    pub(crate) incarnation: Incarnation,
    /// Number of streams that generate tokens.
    pub(crate) running_count: u32,
    /// Number of streams that can generate concurrently.
    pub(crate) slot_count: u32,
    /// Whether the engine is leaving.
    pub(crate) leaving: bool,
}

/// Body of a request that opens a stream.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StreamRequest<'a> {
    pub(crate) model: &'a str,
    pub(crate) version: &'a str,
    /// Prompt, as raw JSON from the caller's request.
    #[serde(borrow)]
    pub(crate) prompt: &'a RawValue,
    /// Maximum number of tokens of the whole response, including the tokens
    /// before `resume_index`.
    pub(crate) max_tokens: u64,
    /// Always true, because responses are streamed.
    pub(crate) stream: bool,
    /// Index of the first token to generate.
    pub(crate) resume_index: TokenIndex,
    /// Text of the tokens before `resume_index`, as raw JSON.
    #[serde(borrow)]
    pub(crate) resume_text: &'a RawValue,
}

/// Reason why an engine did not open or resume a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum OpenError {
    /// No connection to the engine could be made.
    #[error("runner is unreachable")]
    Unreachable,
    /// The connection broke before the engine responded.
    #[error("connection to runner broke before it responded")]
    NoAnswer,
    /// The engine accepts no streams at the moment.
    #[error("runner refused the stream because it is full or leaving")]
    Refused,
    /// The engine does not have the stream or the model.
    #[error("runner does not have the requested stream or model")]
    NotFound,
}

/// Client for engines.
#[derive(Clone, Debug)]
pub(crate) struct RunnerClient {
    client: HttpClient,
}

impl RunnerClient {
    /// Creates a client that shares the connections of `client`.
    pub(crate) fn new(client: HttpClient) -> Self {
        Self { client }
    }

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
        check_status(sent)
    }

    /// Resumes an open stream at the token `index`.
    pub(crate) async fn resume(
        &self,
        address: SocketAddr,
        key: &str,
        index: TokenIndex,
    ) -> Result<Response<Incoming>, OpenError> {
        let path = format!("{STREAMS_PATH}{key}/resume?from={index}");
        let request = http::request(Method::POST, address, &path, Bytes::new());
        let sent = self.client.send(address, request).await;
        check_status(sent)
    }

    /// Cancels a stream. An engine that stands still reads the request only if this
    /// client still waits for the answer, so it is sent again until one comes. It is
    /// also sent again once if the engine does not know the stream, because the
    /// request that opens it may arrive later.
    pub(crate) async fn cancel(&self, address: SocketAddr, key: &str) {
        let path = format!("{STREAMS_PATH}{key}");
        let mut was_unknown = false;
        for _ in 0..CANCEL_ATTEMPTS_MAX {
            let request = http::request(Method::DELETE, address, &path, Bytes::new());
            let answer = self.client.exchange(address, request, CANCEL_TIMEOUT).await;
            match answer.map(|answer| answer.status()) {
                Ok(StatusCode::NOT_FOUND) if !was_unknown => was_unknown = true,
                Ok(_) => return,
                Err(_) => {}
            }
            tokio::time::sleep(CANCEL_RETRY_DELAY).await;
        }
    }

    pub(crate) async fn report(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<RunnerReport, SendError> {
        let request = http::request(Method::GET, address, LOAD_PATH, Bytes::new());
        let response = self.client.exchange(address, request, timeout).await?;
        serde_json::from_slice(response.body()).map_err(|_| SendError::NoAnswer(address))
    }

    /// Sends an order; false if the engine did not accept it, as with an
    /// outdated fence.
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

fn check_status(
    sent: Result<Response<Incoming>, SendError>,
) -> Result<Response<Incoming>, OpenError> {
    let response = sent.map_err(|e| match e {
        SendError::NotSent(_) => OpenError::Unreachable,
        SendError::NoAnswer(_) => OpenError::NoAnswer,
    })?;
    match response.status() {
        StatusCode::OK => Ok(response),
        StatusCode::NOT_FOUND => Err(OpenError::NotFound),
        _ => Err(OpenError::Refused),
    }
}

/// Parses the load headers of a response; `None` if one is missing or
/// malformed.
pub(crate) fn parse_load_headers<B>(response: &Response<B>) -> Option<LoadHeaders> {
    let text = |name: &HeaderName| response.headers().get(name)?.to_str().ok();
    let (running, slots) = text(&LOAD)?.split_once('/')?;
    Some(LoadHeaders {
        incarnation: text(&INCARNATION)?.parse().ok()?,
        running_count: running.parse().ok()?,
        slot_count: slots.parse().ok()?,
        leaving: text(&LEAVING)? == "1",
    })
}

/// Wraps JSON text to pass it on unchanged; `None` if it is not valid JSON.
pub(crate) fn raw_json(json: &[u8]) -> Option<Box<RawValue>> {
    RawValue::from_string(String::from_utf8(json.to_vec()).ok()?).ok()
}

/// Puts quotes around text that is already escaped for JSON; `None` if the
/// result is not valid JSON.
pub(crate) fn quote_escaped(escaped: &[u8]) -> Option<Box<RawValue>> {
    let mut quoted = BytesMut::with_capacity(escaped.len() + 2);
    quoted.put_u8(b'"');
    quoted.put_slice(escaped);
    quoted.put_u8(b'"');
    raw_json(&quoted)
}
