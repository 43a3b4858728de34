//! Callers that connect to runners directly instead of through a node. The
//! experiments use them as baselines.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use rand::RngExt;
use serde_json::value::RawValue;

use crate::caller::sse::{EventBuffer, escaped_text, parse_index};
use crate::fleet::runner::{DONE, RunnerClient, StreamRequest, quote_escaped, raw_json};
use crate::http::HttpClient;

/// Number of requests to runners for one completion after which a direct caller
/// gives up.
const ATTEMPTS_MAX: u32 = 30;

/// What a direct caller does when an attempt is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// Discard the text and request all of it again.
    Restart,
    /// Resume after the text received so far.
    Resume,
}

/// A caller that chooses runners itself, at random.
#[derive(Clone, Debug)]
pub(crate) struct DirectCaller {
    /// Addresses of the runners.
    pub(crate) runners: Vec<SocketAddr>,
    /// Model and version.
    pub(crate) model: (String, String),
    /// Silence after which an attempt counts as lost.
    pub(crate) timeout: Duration,
    /// What the caller does after a lost attempt.
    pub(crate) recovery: Recovery,
}

/// Measurements of one completion, over all its attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirectReport {
    /// Number of tokens received, without those of discarded text.
    pub(crate) token_count: u64,
    /// Time until the first token.
    pub(crate) first_token: Option<Duration>,
    /// For each recovery from a loss, the time between the last new token before
    /// it and the first new token after it.
    pub(crate) resume_ms: Vec<f64>,
    /// Whether the answer was completed.
    pub(crate) ended: bool,
}

impl DirectCaller {
    /// Requests a completion, and gives up if no token has arrived by `deadline`.
    pub(crate) async fn complete(
        &self,
        prompt: &str,
        max_tokens: u64,
        deadline: Option<Instant>,
    ) -> DirectReport {
        let client = RunnerClient::new(HttpClient::new());
        let began_at = Instant::now();
        let mut state = CompletionState {
            report: DirectReport::default(),
            text: BytesMut::new(),
            next_new_index: 0,
            last_new_token_at: began_at,
            is_recovering: false,
            began_at,
            deadline,
        };
        for _ in 0..ATTEMPTS_MAX {
            let runner = self.runners[rand::rng().random_range(0..self.runners.len())];
            let key = uuid::Uuid::new_v4().simple().to_string();
            let body = self.body(prompt, &state);
            let Some((prompt, resume_text)) = body else {
                break;
            };
            let request = StreamRequest {
                model: &self.model.0,
                version: &self.model.1,
                prompt: &prompt,
                max_tokens,
                stream: true,
                resume_index: state.report.token_count,
                resume_text: &resume_text,
            };
            let opening = client.open(runner, &key, 0, &request);
            let opened = tokio::time::timeout(self.timeout, opening).await;
            if let Ok(Ok(response)) = opened {
                self.read(response, &mut state).await;
            }
            if !state.report.ended {
                let client = client.clone();
                tokio::spawn(async move { client.cancel(runner, &key).await });
            }
            if state.report.ended || state.missed_deadline() {
                break;
            }
            state.is_recovering = state.next_new_index > 0;
            if self.recovery == Recovery::Restart {
                state.text.clear();
                state.report.token_count = 0;
            }
        }
        state.report
    }

    fn body(
        &self,
        prompt: &str,
        state: &CompletionState,
    ) -> Option<(Box<RawValue>, Box<RawValue>)> {
        let prompt = raw_json(serde_json::to_string(prompt).ok()?.as_bytes())?;
        Some((prompt, quote_escaped(&state.text)?))
    }

    async fn read(&self, response: Response<Incoming>, state: &mut CompletionState) {
        let mut body = response.into_body();
        let mut buffer = EventBuffer::default();
        loop {
            let read_timeout = state.read_timeout(self.timeout);
            let frame = tokio::time::timeout(read_timeout, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buffer.push(&data).is_err() {
                return;
            }
            while let Some(event) = buffer.next() {
                if event.data.as_ref() == DONE {
                    state.report.ended = true;
                    return;
                }
                let text = escaped_text(&event.data).unwrap_or_default();
                state.add_token(parse_index(&event.id).unwrap_or(0), &text);
            }
        }
    }
}

/// Progress of one completion over all attempts.
struct CompletionState {
    report: DirectReport,
    text: BytesMut,
    next_new_index: u64,
    last_new_token_at: Instant,
    is_recovering: bool,
    began_at: Instant,
    deadline: Option<Instant>,
}

impl CompletionState {
    fn add_token(&mut self, index: u64, text: &[u8]) {
        let now = Instant::now();
        self.text.extend_from_slice(text);
        self.report.token_count = index + 1;
        self.report.first_token.get_or_insert(now - self.began_at);
        if index < self.next_new_index {
            return;
        }
        self.next_new_index = index + 1;
        if self.is_recovering {
            let gap_ms = (now - self.last_new_token_at).as_secs_f64() * 1e3;
            self.report.resume_ms.push(gap_ms);
            self.is_recovering = false;
        }
        self.last_new_token_at = now;
    }

    fn missed_deadline(&self) -> bool {
        let is_past_deadline = self
            .deadline
            .is_some_and(|deadline| Instant::now() >= deadline);
        is_past_deadline && self.report.first_token.is_none()
    }

    /// How long to wait for the next data.
    fn read_timeout(&self, timeout: Duration) -> Duration {
        match self.deadline.filter(|_| self.report.first_token.is_none()) {
            Some(deadline) => deadline.saturating_duration_since(Instant::now()),
            None => timeout,
        }
    }
}
