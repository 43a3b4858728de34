//! A stand-in for a model engine: batches, caches prefixes, resumes, cancels.
//!
//! Its text is a [`TokenChain`], so callers can prove that an answer is whole.

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
use crate::shutdown::{Shutdown, ShutdownTrigger};
use crate::stand_in::platform::status;
use crate::stand_in::runner_profile::{RunnerFaults, RunnerLedger, RunnerProfile};
use crate::stand_in::runner_stream::RunnerStream;
use crate::stand_in::server::{Freezer, StandIn, bind};

/// A prompt with this text kills each engine that runs it.
pub const CRASH_MARK: &str = "CRASHES-THE-ENGINE";
/// Tokens an engine gives of a crashing prompt before it dies.
const CRASH_AFTER_TOKENS: u64 = 3;
/// Largest request body an engine reads.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of prompt that one cache block covers.
const BLOCK_BYTES: usize = 64;
/// Frames a slow reader may leave unread.
const UNREAD_FRAMES: usize = 4;
/// How long a finished stream can still be resumed.
const FINISHED_KEEP: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Engine {
    faults: RunnerFaults,
    streams: BTreeMap<String, Arc<RunnerStream>>,
    cache: BTreeSet<u64>,
    ready: Vec<ModelVersion>,
    fence: Fence,
    ledger: RunnerLedger,
    opened_at: Vec<Instant>,
    loaded_at: Vec<Instant>,
}

/// A stand-in engine, shared by its connections.
#[derive(Debug)]
pub struct StandInRunner {
    profile: RunnerProfile,
    incarnation: Incarnation,
    slots: Arc<PrioritySemaphore<u8>>,
    engine: Mutex<Engine>,
    token_count: AtomicU64,
    freezer: Freezer,
    trigger: Arc<ShutdownTrigger>,
}

impl StandInRunner {
    /// Starts an engine on `address`.
    pub fn start(address: SocketAddr, profile: RunnerProfile) -> io::Result<(Arc<Self>, StandIn)> {
        let (trigger, shutdown) = Shutdown::channel();
        let trigger = Arc::new(trigger);
        let engine = Engine {
            ready: profile.models.clone(),
            ..Engine::default()
        };
        let runner = Arc::new(Self {
            slots: PrioritySemaphore::new(profile.slot_count as usize),
            incarnation: rand::random::<u32>().into(),
            engine: Mutex::new(engine),
            token_count: AtomicU64::new(0),
            freezer: Freezer::new(),
            trigger: trigger.clone(),
            profile,
        });
        let stand_in = StandIn::start(bind(address)?, runner.clone(), trigger, shutdown)?;
        Ok((runner, stand_in))
    }

    /// Orders the faults from now on.
    pub fn set_faults(&self, faults: RunnerFaults) {
        self.engine().faults = faults;
        self.freezer.set(faults.freeze);
        if faults.die {
            self.trigger.abort();
        }
    }

    /// What the engine has done so far.
    pub fn ledger(&self) -> RunnerLedger {
        let mut ledger = self.engine().ledger.clone();
        ledger.token_count = self.token_count.load(Ordering::Relaxed);
        ledger
    }

    /// Streams that generate now.
    pub fn running_count(&self) -> usize {
        self.slots.held_count()
    }

    /// Streams that generate or wait.
    pub(crate) fn load_count(&self) -> usize {
        self.slots.demand_count()
    }

    /// Whether the engine has died of a fault or was killed.
    pub fn is_dead(&self) -> bool {
        self.trigger.abort_token().is_cancelled()
    }

    /// Models that can serve now.
    pub fn ready(&self) -> Vec<ModelVersion> {
        self.engine().ready.clone()
    }

    /// When models were asked of the weight store.
    pub fn loaded_at(&self) -> Vec<Instant> {
        self.engine().loaded_at.clone()
    }

    /// When streams were opened, for checkers of leaving.
    pub fn opened_at(&self) -> Vec<Instant> {
        self.engine().opened_at.clone()
    }

    fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> RunnerReport {
        let engine = self.engine();
        RunnerReport {
            incarnation: self.incarnation,
            running_count: self.slots.held_count() as u32,
            queued_count: self.slots.queued_count() as u32,
            slot_count: self.profile.slot_count,
            leaving: engine.faults.leaving,
            ready: engine.ready.clone(),
            fence: engine.fence,
        }
    }

    async fn route(self: &Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        if let Some(order) = path.strip_prefix("/stand-in/") {
            return self.control(order, request).await;
        }
        self.freezer.thawed().await;
        match (request.method(), path.as_str()) {
            (&Method::POST, runner::COMPLETIONS_PATH) => self.open(request).await,
            (&Method::GET, runner::LOAD_PATH) => http::json(StatusCode::OK, &self.report()),
            (&Method::POST, runner::ORDERS_PATH) => self.take_order(request).await,
            (method, path) => match path.strip_prefix(runner::STREAMS_PATH) {
                Some(key) if method == Method::DELETE => self.cancel(key),
                Some(rest) => self.resume(rest, request.uri().query().unwrap_or("")),
                None => status(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn open(self: &Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let key = http::header(&request, runner::STREAM_KEY.as_str()).map(str::to_owned);
        let priority = http::header(&request, runner::PRIORITY.as_str())
            .and_then(|p| p.parse().ok())
            .unwrap_or(u8::MAX);
        let body = match http::read_body(request.into_body(), BODY_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::error_response(&error),
        };
        let Ok(wanted) = serde_json::from_slice::<StreamRequest<'_>>(&body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        if !self.holds(wanted.model, wanted.version) {
            return status(StatusCode::NOT_FOUND);
        }
        let Ok(prompt) = serde_json::from_str::<String>(wanted.prompt.get()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Ok(resume_text) = serde_json::from_str::<String>(wanted.resume_text.get()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let job = Job {
            key: key.unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string()),
            priority,
            prompt,
            resume_text,
            first_index: wanted.resume_index,
            end_index: wanted.max_tokens,
        };
        // The headers count the stream that is opened, before it has a slot.
        let load_count = self.slots.demand_count() as u32 + 1;
        let stream = self.begin(job);
        let mut response = self.read_from(stream, 0);
        self.describe_load(&mut response, load_count);
        response
    }

    fn holds(&self, model: &str, version: &str) -> bool {
        let engine = self.engine();
        let mut ready = engine.ready.iter();
        ready.any(|held| held.model == model && held.version == version)
    }

    fn begin(self: &Arc<Self>, job: Job) -> Arc<RunnerStream> {
        let stream = Arc::new(RunnerStream::new(job.first_index));
        let mut engine = self.engine();
        engine.ledger.opened_count += 1;
        engine.opened_at.push(Instant::now());
        engine.streams.insert(job.key.clone(), stream.clone());
        drop(engine);
        let runner = self.clone();
        let generated = stream.clone();
        tokio::spawn(async move {
            let key = job.key.clone();
            // A killed engine generates nothing more.
            let dead = runner.trigger.abort_token();
            dead.run_until_cancelled(runner.generate(job, &generated))
                .await;
            generated.end();
            tokio::time::sleep(FINISHED_KEEP).await;
            runner.engine().streams.remove(&key);
        });
        stream
    }

    async fn generate(&self, job: Job, stream: &RunnerStream) {
        let _slot = self.slots.acquire(job.priority).await;
        self.take_in(&job).await;
        let mut chain = TokenChain::new(&job.prompt);
        chain.absorb(&job.resume_text);
        let salt = rand::random();
        let mut unread_since: Option<Instant> = None;
        for index in job.first_index..job.end_index {
            self.pace().await;
            if self.is_unwanted(stream, &mut unread_since) {
                return;
            }
            if job.prompt.contains(CRASH_MARK) && index >= CRASH_AFTER_TOKENS {
                self.trigger.abort();
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

    async fn pace(&self) {
        self.freezer.thawed().await;
        let slow_factor = self.engine().faults.slow_factor.max(1);
        let interval = self.profile.token_interval * slow_factor;
        if interval.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(interval).await;
        }
        self.freezer.thawed().await;
    }

    fn is_unwanted(&self, stream: &RunnerStream, unread_since: &mut Option<Instant>) -> bool {
        if stream.is_cancelled() {
            return true;
        }
        if stream.is_read() {
            *unread_since = None;
            return false;
        }
        unread_since.get_or_insert_with(Instant::now).elapsed() > self.profile.unread_keep
    }

    async fn take_in(&self, job: &Job) {
        let whole = format!("{}{}", job.prompt, job.resume_text);
        let (missing, cached) = {
            let mut engine = self.engine();
            let blocks = block_hashes(&whole);
            let missing = blocks.iter().filter(|b| !engine.cache.contains(b)).count() as u64;
            let cached = blocks.len() as u64 - missing;
            engine.cache.extend(blocks);
            while engine.cache.len() > self.profile.cache_block_count {
                engine.cache.pop_first();
            }
            engine.ledger.block_count += missing;
            engine.ledger.cached_block_count += cached;
            (missing, cached)
        };
        log::trace!("{missing} blocks taken in, {cached} from the cache");
        tokio::time::sleep(self.profile.block_interval * missing as u32).await;
    }

    fn cancel(&self, key: &str) -> HttpResponse {
        let stream = self.engine().streams.get(key).cloned();
        match stream {
            Some(stream) => {
                stream.cancel();
                status(StatusCode::OK)
            }
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn resume(self: &Arc<Self>, rest: &str, query: &str) -> HttpResponse {
        let key = rest.strip_suffix("/resume").unwrap_or(rest);
        let from: u64 = query
            .strip_prefix("from=")
            .and_then(|from| from.parse().ok())
            .unwrap_or(0);
        let stream = self.engine().streams.get(key).cloned();
        let resumable = stream.filter(|s| {
            let wanted = !s.is_cancelled();
            wanted && from >= s.first_index() && from <= s.first_index() + s.event_count() as u64
        });
        match resumable {
            Some(stream) => {
                let skip = (from - stream.first_index()) as usize;
                self.read_from(stream, skip)
            }
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn read_from(self: &Arc<Self>, stream: Arc<RunnerStream>, skip: usize) -> HttpResponse {
        let (sender, body) = Channel::new(UNREAD_FRAMES);
        stream.add_reader();
        tokio::spawn(stream.send_to(sender, skip, self.freezer.clone()));
        let mut response = Response::new(http::boxed(body));
        let event_stream = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, event_stream);
        self.describe(&mut response);
        response
    }

    fn describe(&self, response: &mut HttpResponse) {
        let report = self.report();
        self.describe_load(response, report.running_count + report.queued_count);
        let headers = response.headers_mut();
        headers.insert(runner::INCARNATION, HeaderValue::from(report.incarnation));
        let leaving = HeaderValue::from(u16::from(report.leaving));
        headers.insert(runner::LEAVING, leaving);
    }

    fn describe_load(&self, response: &mut HttpResponse, load_count: u32) {
        let load = format!("{load_count}/{}", self.profile.slot_count);
        if let Ok(load) = HeaderValue::from_str(&load) {
            response.headers_mut().insert(runner::LOAD, load);
        }
    }

    async fn take_order(self: &Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let body = match http::read_body(request.into_body(), BODY_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::error_response(&error),
        };
        let order: Order = match http::parse_json(&body) {
            Ok(order) => order,
            Err(error) => return http::error_response(&error),
        };
        if self.offer_order(order.fence, order.models) {
            status(StatusCode::OK)
        } else {
            status(StatusCode::CONFLICT)
        }
    }

    /// Takes an order, as over the network; false when its fence is old and
    /// the engine looks at fences.
    pub fn offer_order(self: &Arc<Self>, fence: Fence, models: Vec<ModelVersion>) -> bool {
        let mut engine = self.engine();
        if self.profile.checks_fence && fence < engine.fence {
            return false;
        }
        engine.fence = engine.fence.max(fence);
        engine.ledger.fences.push(fence);
        engine.ready.retain(|held| models.contains(held));
        let wanted = models.into_iter();
        let missing: Vec<_> = wanted.filter(|m| !engine.ready.contains(m)).collect();
        engine.ledger.load_count += missing.len() as u64;
        let now = Instant::now();
        engine.loaded_at.extend(missing.iter().map(|_| now));
        drop(engine);
        tokio::spawn(load(self.clone(), missing));
        true
    }

    async fn control(self: &Arc<Self>, order: &str, request: Request<Incoming>) -> HttpResponse {
        if order == "ledger" {
            return http::json(StatusCode::OK, &self.ledger());
        }
        if order == "streams" {
            let keys: Vec<String> = self.engine().streams.keys().cloned().collect();
            return http::json(StatusCode::OK, &keys);
        }
        let body = match http::read_body(request.into_body(), BODY_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::error_response(&error),
        };
        match http::parse_json(&body) {
            Ok(faults) if order == "faults" => {
                self.set_faults(faults);
                status(StatusCode::OK)
            }
            Ok(_) => status(StatusCode::NOT_FOUND),
            Err(error) => http::error_response(&error),
        }
    }
}

/// Loads models one after the other, as the weight store lets the engine.
async fn load(runner: Arc<StandInRunner>, missing: Vec<ModelVersion>) {
    for model in missing {
        tokio::time::sleep(runner.profile.load_time).await;
        let mut engine = runner.engine();
        if !engine.ready.contains(&model) {
            engine.ready.push(model);
        }
    }
}

impl Handler for StandInRunner {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        self.route(request).await
    }
}

struct Job {
    key: String,
    priority: u8,
    prompt: String,
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
