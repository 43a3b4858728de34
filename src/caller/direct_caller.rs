//! Callers that speak to runners without any node: the baselines.

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

/// Tries after which a direct caller gives up.
const TRIES_MAX: u32 = 30;

/// How a direct caller treats a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// Throw the text away and ask for all of it again.
    StartOver,
    /// Go on after the text that has come.
    GoOn,
}

/// A caller that knows the runners and nothing else.
#[derive(Clone, Debug)]
pub(crate) struct DirectCaller {
    /// Where the runners listen.
    pub(crate) runners: Vec<SocketAddr>,
    /// Model and version.
    pub(crate) model: (String, String),
    /// Silence after which a runner is given up.
    pub(crate) timeout: Duration,
    /// What happens then.
    pub(crate) recovery: Recovery,
}

/// What a direct caller saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirectReport {
    /// Tokens received of the answer that counts.
    pub(crate) token_count: u64,
    /// Time until the first token.
    pub(crate) first_token: Option<Duration>,
    /// For each loss, the time until a token beyond those that had come.
    pub(crate) resume_ms: Vec<f64>,
    /// Whether the answer ended.
    pub(crate) ended: bool,
}

impl DirectCaller {
    /// Has something generated; gives up at `deadline` without a first token.
    pub(crate) async fn complete(
        &self,
        prompt: &str,
        max_tokens: u64,
        deadline: Option<Instant>,
    ) -> DirectReport {
        let client = RunnerClient::new(HttpClient::new());
        let began_at = Instant::now();
        let mut reading = Reading {
            report: DirectReport::default(),
            text: BytesMut::new(),
            furthest: 0,
            last_new_at: began_at,
            lost: false,
            began_at,
            deadline,
        };
        for _ in 0..TRIES_MAX {
            let runner = self.runners[rand::rng().random_range(0..self.runners.len())];
            let key = uuid::Uuid::new_v4().simple().to_string();
            let body = self.body(prompt, &reading);
            let Some((prompt, resume_text)) = body else {
                break;
            };
            let request = StreamRequest {
                model: &self.model.0,
                version: &self.model.1,
                prompt: &prompt,
                max_tokens,
                stream: true,
                resume_index: reading.report.token_count,
                resume_text: &resume_text,
            };
            let opening = client.open(runner, &key, 0, &request);
            let opened = tokio::time::timeout(self.timeout, opening).await;
            if let Ok(Ok(response)) = opened {
                self.read(response, &mut reading).await;
            }
            if !reading.report.ended {
                let client = client.clone();
                tokio::spawn(async move { client.cancel(runner, &key).await });
            }
            if reading.report.ended || reading.is_too_late() {
                break;
            }
            reading.lost = reading.furthest > 0;
            if self.recovery == Recovery::StartOver {
                reading.text.clear();
                reading.report.token_count = 0;
            }
        }
        reading.report
    }

    fn body(&self, prompt: &str, reading: &Reading) -> Option<(Box<RawValue>, Box<RawValue>)> {
        let prompt = raw_json(serde_json::to_string(prompt).ok()?.as_bytes())?;
        Some((prompt, quote_escaped(&reading.text)?))
    }

    async fn read(&self, response: Response<Incoming>, reading: &mut Reading) {
        let mut body = response.into_body();
        let mut buffer = EventBuffer::default();
        loop {
            let wait = reading.wait(self.timeout);
            let frame = tokio::time::timeout(wait, body.frame()).await;
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
                    reading.report.ended = true;
                    return;
                }
                let text = escaped_text(&event.data).unwrap_or_default();
                reading.take(parse_index(&event.id).unwrap_or(0), &text);
            }
        }
    }
}

struct Reading {
    report: DirectReport,
    text: BytesMut,
    furthest: u64,
    last_new_at: Instant,
    lost: bool,
    began_at: Instant,
    deadline: Option<Instant>,
}

impl Reading {
    fn take(&mut self, index: u64, text: &[u8]) {
        let now = Instant::now();
        self.text.extend_from_slice(text);
        self.report.token_count = index + 1;
        self.report.first_token.get_or_insert(now - self.began_at);
        if index < self.furthest {
            return;
        }
        self.furthest = index + 1;
        if self.lost {
            let gap_ms = (now - self.last_new_at).as_secs_f64() * 1e3;
            self.report.resume_ms.push(gap_ms);
            self.lost = false;
        }
        self.last_new_at = now;
    }

    fn is_too_late(&self) -> bool {
        let late = self
            .deadline
            .is_some_and(|deadline| Instant::now() >= deadline);
        late && self.report.first_token.is_none()
    }

    /// How long the next token is waited for.
    fn wait(&self, timeout: Duration) -> Duration {
        match self.deadline.filter(|_| self.report.first_token.is_none()) {
            Some(deadline) => deadline.saturating_duration_since(Instant::now()),
            None => timeout,
        }
    }
}
