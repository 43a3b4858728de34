//! A stand-in for a runner, a server that runs language models.
//!
//! It generates streams of tokens, lets clients resume and cancel them, caches
//! blocks of prompts, and loads models when an order tells it to. Its text is a
//! [`TokenChain`], with which callers can verify that an answer is complete.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::channel::Channel;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use crate::caller::priority_semaphore::PrioritySemaphore;
use crate::fleet::runner::{self, ModelVersion, Order, RunnerReport, StreamRequest};
use crate::generation::token_chain::TokenChain;
use crate::http::{self, Handler, HttpResponse};
use crate::id::{Fence, Incarnation};
use crate::listener::bind;
use crate::shutdown::{Shutdown, ShutdownTrigger};
use crate::stand_in::platform::empty_response;
use crate::stand_in::runner_profile::{RunnerFaults, RunnerLedger, RunnerProfile};
use crate::stand_in::runner_stream::RunnerStream;
use crate::stand_in::server::{FreezeSwitch, StandIn};

/// A stand-in runner crashes when it generates for a prompt that contains this
/// text.
pub const CRASH_MARK: &str = "CRASHES-THE-ENGINE";
/// Number of tokens of the answer to a prompt with [`CRASH_MARK`] before the
/// runner crashes.
const CRASH_AFTER_TOKENS: u64 = 3;
/// Largest request body that is accepted.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of a prompt in one cache block.
const BLOCK_BYTES: usize = 64;
/// Largest number of frames that wait for a slow reader.
const UNREAD_FRAMES_MAX: usize = 4;
/// Time for which a stream can still be resumed after its generation has ended.
const FINISHED_STREAM_TTL: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct StandInRunnerState {
    faults: RunnerFaults,
    streams: BTreeMap<String, Arc<RunnerStream>>,
    /// Hashes of the cached prompt blocks.
    cache: BTreeSet<u64>,
    /// Models that are loaded.
    ready: Vec<ModelVersion>,
    /// Highest fence of the orders accepted so far.
    fence: Fence,
    ledger: RunnerLedger,
    /// When each stream was opened.
    opened_at: Vec<Instant>,
    /// When each model load was requested.
    loaded_at: Vec<Instant>,
}

/// A stand-in runner. All connections to its server share this object.
#[derive(Debug)]
pub struct StandInRunner {
    profile: RunnerProfile,
    incarnation: Incarnation,
    slots: Arc<PrioritySemaphore<u8>>,
    state: Mutex<StandInRunnerState>,
    token_count: AtomicU64,
    freeze_switch: FreezeSwitch,
    shutdown_trigger: Arc<ShutdownTrigger>,
}

impl StandInRunner {
    /// Starts a stand-in runner on `address`.
    pub fn start(address: SocketAddr, profile: RunnerProfile) -> io::Result<(Arc<Self>, StandIn)> {
        let (trigger, shutdown) = Shutdown::channel();
        let trigger = Arc::new(trigger);
        let state = StandInRunnerState {
            ready: profile.models.clone(),
            ..StandInRunnerState::default()
        };
        let runner = Arc::new(Self {
            slots: PrioritySemaphore::new(profile.slot_count as usize),
            incarnation: rand::random::<u32>().into(),
            state: Mutex::new(state),
            token_count: AtomicU64::new(0),
            freeze_switch: FreezeSwitch::new(),
            shutdown_trigger: trigger.clone(),
            profile,
        });
        let stand_in = StandIn::start(bind(address)?, runner.clone(), trigger, shutdown)?;
        Ok((runner, stand_in))
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: RunnerFaults) {
        self.state().faults = faults;
        self.freeze_switch.set(faults.freeze);
        if faults.die {
            self.shutdown_trigger.abort();
        }
    }

    /// What the runner has done since its start.
    pub fn ledger(&self) -> RunnerLedger {
        let mut ledger = self.state().ledger.clone();
        ledger.token_count = self.token_count.load(Ordering::Relaxed);
        ledger
    }

    /// Number of streams that generate now.
    pub fn running_count(&self) -> usize {
        self.slots.held_count()
    }

    /// Number of streams that generate or wait for a slot.
    pub(crate) fn demand_count(&self) -> usize {
        self.slots.demand_count()
    }

    /// Whether the runner was killed, or stopped by a fault or by a prompt with
    /// [`CRASH_MARK`].
    pub fn is_dead(&self) -> bool {
        self.shutdown_trigger.abort_token().is_cancelled()
    }

    /// Models that are loaded now.
    pub fn ready(&self) -> Vec<ModelVersion> {
        self.state().ready.clone()
    }

    /// When each model load was requested.
    pub fn loaded_at(&self) -> Vec<Instant> {
        self.state().loaded_at.clone()
    }

    /// When each stream was opened, for tests that check that a leaving runner
    /// gets no new streams.
    pub fn opened_at(&self) -> Vec<Instant> {
        self.state().opened_at.clone()
    }

    fn state(&self) -> MutexGuard<'_, StandInRunnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> RunnerReport {
        let state = self.state();
        RunnerReport {
            incarnation: self.incarnation,
            running_count: self.slots.held_count() as u32,
            queued_count: self.slots.queued_count() as u32,
            slot_count: self.profile.slot_count,
            leaving: state.faults.leaving,
            ready: state.ready.clone(),
            fence: state.fence,
        }
    }

    async fn route(self: &Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        if let Some(command) = path.strip_prefix("/stand-in/") {
            return self.handle_control(command, request).await;
        }
        self.freeze_switch.wait_while_frozen().await;
        match (request.method(), path.as_str()) {
            (&Method::POST, runner::COMPLETIONS_PATH) => self.open_stream(request).await,
            (&Method::GET, runner::LOAD_PATH) => http::json(StatusCode::OK, &self.report()),
            (&Method::POST, runner::ORDERS_PATH) => self.handle_order(request).await,
            (method, path) => match path.strip_prefix(runner::STREAMS_PATH) {
                Some(key) if method == Method::DELETE => self.cancel_stream(key),
                Some(rest) => self.resume_stream(rest, request.uri().query().unwrap_or("")),
                None => empty_response(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn open_stream(self: &Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let key = http::header(&request, runner::STREAM_KEY.as_str()).map(str::to_owned);
        let priority = http::header(&request, runner::PRIORITY.as_str())
            .and_then(|p| p.parse().ok())
            .unwrap_or(u8::MAX);
        let body = match http::read_body(request.into_body(), BODY_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::error_response(&error),
        };
        let Ok(stream_request) = serde_json::from_slice::<StreamRequest<'_>>(&body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        if !self.is_loaded(stream_request.model, stream_request.version) {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let Ok(prompt) = serde_json::from_str::<String>(stream_request.prompt.get()) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let Ok(resume_text) = serde_json::from_str::<String>(stream_request.resume_text.get())
        else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let job = Job {
            key: key.unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string()),
            priority,
            prompt,
            resume_text,
            first_index: stream_request.resume_index,
            end_index: stream_request.max_tokens,
        };
        // The new stream takes its place in the queue only when its task runs, so
        // the load header counts it here.
        let load_count = self.slots.demand_count() as u32 + 1;
        let stream = self.start_stream(job);
        let mut response = self.read_from(stream, 0);
        self.add_load_header(&mut response, load_count);
        response
    }

    fn is_loaded(&self, model: &str, version: &str) -> bool {
        let state = self.state();
        let mut ready = state.ready.iter();
        ready.any(|m| m.model == model && m.version == version)
    }

    fn start_stream(self: &Arc<Self>, job: Job) -> Arc<RunnerStream> {
        let stream = Arc::new(RunnerStream::new(job.first_index));
        let mut state = self.state();
        state.ledger.opened_count += 1;
        state.opened_at.push(Instant::now());
        state.streams.insert(job.key.clone(), stream.clone());
        drop(state);
        let runner = self.clone();
        let generating = stream.clone();
        tokio::spawn(async move {
            let key = job.key.clone();
            // A killed runner generates no more tokens.
            let aborted = runner.shutdown_trigger.abort_token();
            aborted
                .run_until_cancelled(runner.generate(job, &generating))
                .await;
            generating.end();
            tokio::time::sleep(FINISHED_STREAM_TTL).await;
            runner.state().streams.remove(&key);
        });
        stream
    }

    async fn generate(&self, job: Job, stream: &RunnerStream) {
        let _slot = self.slots.acquire(job.priority).await;
        self.prefill(&job).await;
        let mut chain = TokenChain::new(&job.prompt);
        chain.absorb(&job.resume_text);
        let salt = rand::random();
        let mut unread_since: Option<Instant> = None;
        for index in job.first_index..job.end_index {
            self.wait_for_next_token().await;
            if self.is_abandoned(stream, &mut unread_since) {
                return;
            }
            if job.prompt.contains(CRASH_MARK) && index >= CRASH_AFTER_TOKENS {
                self.shutdown_trigger.abort();
                return;
            }
            self.token_count.fetch_add(1, Ordering::Relaxed);
            let text = chain.write(index, salt);
            let event = format!(
                "id: {index}\ndata: {{\"choices\":[{{\"index\":0,\"text\":\"{text}\"}}]}}\n\n"
            );
            stream.push(event.into());
        }
        stream.push(Bytes::from_static(b"data: [DONE]\n\n"));
    }

    async fn wait_for_next_token(&self) {
        self.freeze_switch.wait_while_frozen().await;
        let slow_factor = self.state().faults.slow_factor.max(1);
        let interval = self.profile.token_interval * slow_factor;
        if interval.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(interval).await;
        }
        self.freeze_switch.wait_while_frozen().await;
    }

    fn is_abandoned(&self, stream: &RunnerStream, unread_since: &mut Option<Instant>) -> bool {
        if stream.is_cancelled() {
            return true;
        }
        if stream.has_reader() {
            *unread_since = None;
            return false;
        }
        unread_since.get_or_insert_with(Instant::now).elapsed()
            > self.profile.abandoned_stream_timeout
    }

    async fn prefill(&self, job: &Job) {
        let full_text = format!("{}{}", job.prompt, job.resume_text);
        let (missing, cached) = {
            let mut state = self.state();
            let blocks = block_hashes(&full_text);
            let missing = blocks.iter().filter(|b| !state.cache.contains(b)).count() as u64;
            let cached = blocks.len() as u64 - missing;
            state.cache.extend(blocks);
            // Evicts the blocks with the lowest hashes, whatever their age.
            while state.cache.len() > self.profile.cache_block_count {
                state.cache.pop_first();
            }
            state.ledger.block_count += missing;
            state.ledger.cached_block_count += cached;
            (missing, cached)
        };
        log::trace!("prefill of {missing} prompt blocks, {cached} were in the cache");
        tokio::time::sleep(self.profile.prefill_time_per_block * missing as u32).await;
    }

    fn cancel_stream(&self, key: &str) -> HttpResponse {
        let stream = self.state().streams.get(key).cloned();
        match stream {
            Some(stream) => {
                stream.cancel();
                empty_response(StatusCode::OK)
            }
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn resume_stream(self: &Arc<Self>, rest: &str, query: &str) -> HttpResponse {
        let key = rest.strip_suffix("/resume").unwrap_or(rest);
        let from: u64 = query
            .strip_prefix("from=")
            .and_then(|from| from.parse().ok())
            .unwrap_or(0);
        let stream = self.state().streams.get(key).cloned();
        let resumable = stream.filter(|s| {
            let is_live = !s.is_cancelled();
            is_live && from >= s.first_index() && from <= s.first_index() + s.event_count() as u64
        });
        match resumable {
            Some(stream) => {
                let skip = (from - stream.first_index()) as usize;
                self.read_from(stream, skip)
            }
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn read_from(self: &Arc<Self>, stream: Arc<RunnerStream>, skip: usize) -> HttpResponse {
        let (sender, body) = Channel::new(UNREAD_FRAMES_MAX);
        stream.add_reader();
        tokio::spawn(stream.send_to(sender, skip, self.freeze_switch.clone()));
        let mut response = Response::new(http::boxed(body));
        let event_stream = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, event_stream);
        self.add_headers(&mut response);
        response
    }

    fn add_headers(&self, response: &mut HttpResponse) {
        let report = self.report();
        self.add_load_header(response, report.running_count + report.queued_count);
        let headers = response.headers_mut();
        headers.insert(runner::INCARNATION, HeaderValue::from(report.incarnation));
        let leaving = HeaderValue::from(u16::from(report.leaving));
        headers.insert(runner::LEAVING, leaving);
    }

    fn add_load_header(&self, response: &mut HttpResponse, load_count: u32) {
        let load = format!("{load_count}/{}", self.profile.slot_count);
        if let Ok(load) = HeaderValue::from_str(&load) {
            response.headers_mut().insert(runner::LOAD, load);
        }
    }

    async fn handle_order(self: &Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let body = match http::read_body(request.into_body(), BODY_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::error_response(&error),
        };
        let order: Order = match http::parse_json(&body) {
            Ok(order) => order,
            Err(error) => return http::error_response(&error),
        };
        if self.offer_order(order.fence, order.models) {
            empty_response(StatusCode::OK)
        } else {
            empty_response(StatusCode::CONFLICT)
        }
    }

    /// Executes an order as if it had come over the network. Returns false if
    /// the runner checks fences and has seen a higher one than the order's.
    pub fn offer_order(self: &Arc<Self>, fence: Fence, models: Vec<ModelVersion>) -> bool {
        let mut state = self.state();
        if self.profile.checks_fence && fence < state.fence {
            return false;
        }
        state.fence = state.fence.max(fence);
        state.ledger.fences.push(fence);
        state.ready.retain(|loaded| models.contains(loaded));
        let wanted = models.into_iter();
        let missing: Vec<_> = wanted.filter(|m| !state.ready.contains(m)).collect();
        state.ledger.load_count += missing.len() as u64;
        let now = Instant::now();
        state.loaded_at.extend(missing.iter().map(|_| now));
        drop(state);
        tokio::spawn(load(self.clone(), missing));
        true
    }

    /// Answers a request by which a test controls the runner. A frozen runner
    /// answers it, too.
    async fn handle_control(
        self: &Arc<Self>,
        command: &str,
        request: Request<Incoming>,
    ) -> HttpResponse {
        if command == "ledger" {
            return http::json(StatusCode::OK, &self.ledger());
        }
        if command == "streams" {
            let keys: Vec<String> = self.state().streams.keys().cloned().collect();
            return http::json(StatusCode::OK, &keys);
        }
        let body = match http::read_body(request.into_body(), BODY_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::error_response(&error),
        };
        match http::parse_json(&body) {
            Ok(faults) if command == "faults" => {
                self.set_faults(faults);
                empty_response(StatusCode::OK)
            }
            Ok(_) => empty_response(StatusCode::NOT_FOUND),
            Err(error) => http::error_response(&error),
        }
    }
}

/// Loads models one after another, as a real runner loads them from the weight
/// store.
async fn load(runner: Arc<StandInRunner>, missing: Vec<ModelVersion>) {
    for model in missing {
        tokio::time::sleep(runner.profile.load_time).await;
        let mut state = runner.state();
        if !state.ready.contains(&model) {
            state.ready.push(model);
        }
    }
}

impl Handler for StandInRunner {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        self.route(request).await
    }
}

/// The parameters of a stream that is to be generated.
struct Job {
    key: String,
    priority: u8,
    prompt: String,
    /// Text of the answer before `first_index`.
    resume_text: String,
    first_index: u64,
    end_index: u64,
}

fn block_hashes(text: &str) -> Vec<u64> {
    let mut chain = TokenChain::new("");
    let bytes = text.as_bytes();
    bytes
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            chain.absorb(&String::from_utf8_lossy(block));
            chain.hash()
        })
        .collect()
}
