//! Client of the caller API: asks for node addresses, requests completions,
//! resumes them at another node when one fails, and verifies the answers of
//! stand-in runners.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use hyper::{Method, Response};
use serde::{Deserialize, Serialize};

use crate::caller::caller_api::{AddressAnswer, LAST_EVENT_ID};
use crate::caller::identity::CALLER_KIND;
use crate::caller::sse::{Event, EventBuffer, escaped_text, unescape};
use crate::error::{ErrorBody, ErrorDetail};
use crate::fleet::runner::DONE;
use crate::fleet::service::IDEMPOTENCY_KEY;
use crate::generation::token_chain::TokenChain;
use crate::http::{self, HttpClient};

/// How long a node may take to answer a request for addresses.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller waits for the next event before it reconnects. A call to a
/// plain service may take twice as long.
const EVENT_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause before a caller connects to the next address.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Number of connections for one answer after which a caller gives up.
const CONNECTIONS_MAX: u32 = 60;

/// A client of the nodes that sends a customer's key and a kind of caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Nodes that are asked which nodes to use, by the addresses at which they
    /// listen for callers.
    pub nodes: Vec<SocketAddr>,
    /// The customer's key.
    pub key: String,
    /// Kind of caller, for which the configuration sets priority and time limits.
    pub kind: String,
    client: HttpClient,
}

/// Parameters of a completion request.
#[derive(Clone, Debug)]
pub struct CompletionParams {
    /// Name of the model.
    pub model: String,
    /// The prompt, as plain text.
    pub prompt: String,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u64,
    /// Whether a request that resumes the answer contains the text received so
    /// far.
    pub brings_text: bool,
}

/// Result and measurements of one completion.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CompletionReport {
    /// Text received.
    pub text: String,
    /// Number of tokens received.
    pub token_count: u64,
    /// Number of attempts of the generation, counted by the event ids.
    pub attempt_count: u64,
    /// Number of connections made.
    pub connection_count: u64,
    /// Number of generations begun; more than one if the text had to be
    /// discarded and generated again.
    pub generation_count: u64,
    /// Time until the first token, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// For each change of attempt or connection, the time between the last token
    /// before it and the first token after it, in milliseconds.
    pub resume_ms: Vec<f64>,
    /// Longest time between two tokens, in milliseconds.
    pub longest_gap_ms: f64,
    /// The final error that the node sent, if any.
    pub error: Option<ErrorDetail>,
    /// Why the text or its events are not a correct answer, if they are not.
    pub broken: Option<String>,
    /// Whether the end of the answer was received.
    pub ended: bool,
}

/// Result of one call to a plain service.
#[derive(Clone, Debug)]
pub enum CallReport {
    /// The service answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// The node answered with an error.
    Failed(ErrorDetail),
    /// The node did not answer.
    NoAnswer,
}

#[derive(Debug, Deserialize)]
struct StartEvent {
    generation: String,
    index: u64,
}

/// Progress of one completion over all connections.
struct CompletionState<'a> {
    params: &'a CompletionParams,
    report: CompletionReport,
    generation: String,
    escaped_text: Vec<u8>,
    last_id: Option<Bytes>,
    last_attempt: Option<Bytes>,
    began_at: Instant,
    last_token_at: Option<Instant>,
    reconnected: bool,
}

/// How a connection of a completion ended.
enum ConnectionEnd {
    /// The answer was completed.
    Completed,
    /// The node sent a final error.
    Failed,
    /// The connection was lost, so the caller reconnects.
    Lost,
}

impl Caller {
    /// Makes a caller that asks `nodes` for addresses.
    pub fn new(nodes: Vec<SocketAddr>, key: &str, kind: &str) -> Self {
        Self {
            nodes,
            key: key.to_owned(),
            kind: kind.to_owned(),
            client: HttpClient::new(),
        }
    }

    /// Asks the nodes which addresses to use. If none answers, gives the addresses
    /// in [`Self::nodes`].
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        for node in &self.nodes {
            let request = http::request(Method::GET, *node, "/v1/addresses", Bytes::new());
            let asked = self.client.exchange(*node, request, ADDRESS_TIMEOUT).await;
            let answer = asked
                .ok()
                .and_then(|r| serde_json::from_slice::<AddressAnswer>(r.body()).ok());
            match answer {
                Some(answer) if !answer.addresses.is_empty() => return answer.addresses,
                _ => {}
            }
        }
        self.nodes.clone()
    }

    /// Requests a completion, and resumes it at another node when one fails.
    pub async fn complete(&self, params: &CompletionParams) -> CompletionReport {
        let mut addresses = self.addresses().await;
        let mut state = CompletionState::new(params);
        for _ in 0..CONNECTIONS_MAX {
            let Some(address) = addresses.first().copied() else {
                break;
            };
            match self.read_from(address, &mut state).await {
                ConnectionEnd::Completed | ConnectionEnd::Failed => break,
                ConnectionEnd::Lost => {
                    state.reconnected = true;
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                    // The address that failed goes last, even if the answer still
                    // lists it first.
                    addresses = self.addresses().await;
                    addresses.sort_by_key(|a| *a == address);
                }
            }
        }
        state.finish()
    }

    /// Calls a plain service through one node.
    pub async fn call_at(
        &self,
        node: SocketAddr,
        service: &str,
        path: &str,
        idempotency_key: &str,
        body: impl Into<Bytes>,
    ) -> CallReport {
        let path = format!("/v1/services/{service}/{path}");
        let mut request = http::request(Method::POST, node, &path, body);
        self.add_credentials(request.headers_mut());
        if let Ok(key) = HeaderValue::from_str(idempotency_key) {
            let name = HeaderName::from_static(IDEMPOTENCY_KEY);
            request.headers_mut().insert(name, key);
        }
        let called = self.client.exchange(node, request, EVENT_TIMEOUT * 2).await;
        let Ok(response) = called else {
            return CallReport::NoAnswer;
        };
        let status = response.status().as_u16();
        let body = response.into_body();
        match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(failed) => CallReport::Failed(failed.error),
            Err(_) => CallReport::Answered { status, body },
        }
    }

    async fn read_from(
        &self,
        address: SocketAddr,
        state: &mut CompletionState<'_>,
    ) -> ConnectionEnd {
        state.report.connection_count += 1;
        let body = state.body();
        let mut request = http::request(Method::POST, address, "/v1/completions", body);
        self.add_credentials(request.headers_mut());
        let last_id = state.last_id.as_ref();
        if let Some(id) = last_id.and_then(|id| HeaderValue::from_bytes(id).ok()) {
            let name = HeaderName::from_static(LAST_EVENT_ID);
            request.headers_mut().insert(name, id);
        }
        let sent = tokio::time::timeout(EVENT_TIMEOUT, self.client.send(address, request)).await;
        let Ok(Ok(response)) = sent else {
            return ConnectionEnd::Lost;
        };
        if response.status().is_success() {
            return state.read_events(response).await;
        }
        let answer = http::read_answer(address, response).await;
        let failed = answer
            .ok()
            .and_then(|r| serde_json::from_slice::<ErrorBody>(r.body()).ok());
        match failed {
            Some(failed) => {
                state.report.error = Some(failed.error);
                ConnectionEnd::Failed
            }
            None => ConnectionEnd::Lost,
        }
    }

    fn add_credentials(&self, headers: &mut hyper::HeaderMap) {
        if let Ok(key) = HeaderValue::from_str(&format!("Bearer {}", self.key)) {
            headers.insert(AUTHORIZATION, key);
        }
        if let Ok(kind) = HeaderValue::from_str(&self.kind) {
            headers.insert(HeaderName::from_static(CALLER_KIND), kind);
        }
    }
}

impl<'a> CompletionState<'a> {
    fn new(params: &'a CompletionParams) -> Self {
        Self {
            params,
            report: CompletionReport::default(),
            generation: String::new(),
            escaped_text: Vec::new(),
            last_id: None,
            last_attempt: None,
            began_at: Instant::now(),
            last_token_at: None,
            reconnected: false,
        }
    }

    fn body(&self) -> Vec<u8> {
        let mut body = serde_json::json!({
            "model": self.params.model,
            "prompt": self.params.prompt,
            "max_tokens": self.params.max_tokens,
            "stream": true,
        });
        if self.params.brings_text && !self.escaped_text.is_empty() {
            body["delivered_text"] = unescape(&self.escaped_text).into();
        }
        serde_json::to_vec(&body).unwrap_or_default()
    }

    async fn read_events(&mut self, response: Response<Incoming>) -> ConnectionEnd {
        let mut body = response.into_body();
        let mut buffer = EventBuffer::default();
        loop {
            while let Some(event) = buffer.next() {
                if event.data.as_ref() == DONE {
                    self.report.ended = true;
                    return ConnectionEnd::Completed;
                }
                if self.apply_event(&event).is_some() {
                    return ConnectionEnd::Failed;
                }
            }
            let frame = tokio::time::timeout(EVENT_TIMEOUT, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return ConnectionEnd::Lost;
            };
            if let Ok(data) = frame.into_data() {
                let _ = buffer.push(&data);
            }
        }
    }

    /// Applies an event; gives `Some` if it is a final error.
    fn apply_event(&mut self, event: &Event) -> Option<()> {
        match event.name.as_ref() {
            b"start" => self.apply_start(&event.data),
            b"error" => {
                let failed = serde_json::from_slice::<ErrorBody>(&event.data).ok();
                self.report.error = failed.map(|f| f.error);
                return Some(());
            }
            _ => self.add_token(event),
        }
        None
    }

    fn apply_start(&mut self, data: &[u8]) {
        let Ok(start) = serde_json::from_slice::<StartEvent>(data) else {
            self.report.broken = Some("the start event cannot be parsed".into());
            return;
        };
        if start.generation != self.generation {
            self.generation = start.generation;
            self.report.generation_count += 1;
            self.report.token_count = 0;
            self.escaped_text.clear();
        }
        if start.index != self.report.token_count {
            self.report.broken = Some(format!(
                "the stream started at token {} after {} tokens were received",
                start.index, self.report.token_count
            ));
        }
    }

    fn add_token(&mut self, event: &Event) {
        let now = Instant::now();
        let Some(text) = escaped_text(&event.data) else {
            self.report.broken = Some("a token event has no text".into());
            return;
        };
        let attempt = attempt_part(&event.id);
        let attempt_changed = self
            .last_attempt
            .as_ref()
            .is_some_and(|last| *last != attempt);
        if let Some(last) = self.last_token_at {
            let gap_ms = (now - last).as_secs_f64() * 1e3;
            self.report.longest_gap_ms = self.report.longest_gap_ms.max(gap_ms);
            if attempt_changed || self.reconnected {
                self.report.resume_ms.push(gap_ms);
            }
        } else {
            let first_ms = (now - self.began_at).as_secs_f64() * 1e3;
            self.report.first_token_ms = Some(first_ms);
        }
        if attempt_changed || self.last_attempt.is_none() {
            self.report.attempt_count += 1;
        }
        self.reconnected = false;
        self.last_token_at = Some(now);
        self.last_attempt = Some(attempt);
        self.last_id = Some(event.id.clone());
        self.escaped_text.extend_from_slice(&text);
        self.report.token_count += 1;
    }

    /// Completes the report, and verifies the text by the token chain that
    /// stand-in runners write.
    fn finish(mut self) -> CompletionReport {
        self.report.text = unescape(&self.escaped_text).unwrap_or_default();
        let checked = TokenChain::check(&self.params.prompt, &self.report.text);
        let broken = match checked {
            Err(broken) => Some(broken.to_string()),
            Ok(count) if self.report.ended && count != self.params.max_tokens => Some(format!(
                "the answer ended after {count} of {} tokens",
                self.params.max_tokens
            )),
            Ok(_) => None,
        };
        self.report.broken = self.report.broken.or(broken);
        self.report
    }
}

/// The part of an event id that names the attempt.
fn attempt_part(id: &Bytes) -> Bytes {
    let end = id.iter().rposition(|b| *b == b'.').unwrap_or(id.len());
    id.slice(..end)
}
