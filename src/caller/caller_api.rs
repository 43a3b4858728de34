//! HTTP API for callers: node addresses, completions and plain services.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::channel::Channel;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::caller::admission::{AdmissionPermit, AdmissionRequest};
use crate::caller::completion::CompletionRequest;
use crate::caller::event_id::EventId;
use crate::caller::identity::{CallerIdentity, identify};
use crate::caller::service_api::call_service;
use crate::caller::sse::unescape;
use crate::configuration::config::Config;
use crate::error::{Error, ErrorKind};
use crate::generation::attempt::Attempt;
use crate::generation::dispatch::{Job, OpenFailure, RESUME_PRIORITY};
use crate::generation::run::{Generation, Sink, StartPosition};
use crate::http::{self, Handler, HttpResponse};
use crate::node_state::NodeState;
use crate::observe::metrics::Counter;

/// Header with the id of the last received event, with which a caller resumes
/// a stream. Browsers send this header when they reconnect.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";
/// Largest number of addresses in one answer.
const ADDRESSES_MAX: usize = 3;
/// Weight of a node in this data centre, relative to 1 for other nodes, when
/// addresses are drawn.
const LOCAL_NODE_WEIGHT: f64 = 2.0;
/// Maximum number of frames of a response that are buffered for a slow caller.
const UNSENT_FRAMES_MAX: usize = 4;

/// Which addresses a caller should use, and how long it may cache the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses of nodes, in order of preference.
    pub addresses: Vec<std::net::SocketAddr>,
    /// How long the caller may use the answer, in milliseconds.
    pub keep_ms: u64,
}

/// Handles the requests of callers.
#[derive(Debug)]
pub(crate) struct CallerApi {
    state: Arc<NodeState>,
}

impl CallerApi {
    pub(crate) fn new(state: Arc<NodeState>) -> Self {
        Self { state }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<HttpResponse, Error> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/addresses") => Ok(http::json(StatusCode::OK, &self.addresses())),
            (&Method::GET, "/v1/ready") => {
                self.state.ready_config()?;
                Ok(http::json(StatusCode::OK, &"ready"))
            }
            (&Method::POST, "/v1/completions") => self.complete(request).await,
            (_, path) => match path.strip_prefix("/v1/services/") {
                Some(target) => {
                    let target = target.to_owned();
                    call_service(&self.state, request, &target).await
                }
                None => Err(Error::new(
                    ErrorKind::NotFound,
                    "no such path in the caller API",
                )),
            },
        }
    }

    /// Draws addresses at random, weighted towards nodes with little demand. A
    /// strict order by demand would send all callers that ask at about the same
    /// time to the same node, because news of its demand arrives late.
    fn addresses(&self) -> AddressAnswer {
        let mut members = self.state.membership.alive();
        let own_data_centre = &self.state.settings.data_centre;
        members.retain(|member| !member.leaving);
        let mut drawn: Vec<(f64, std::net::SocketAddr)> = members
            .iter()
            .map(|member| {
                let locality_weight = if member.data_centre == *own_data_centre {
                    LOCAL_NODE_WEIGHT
                } else {
                    1.0
                };
                let weight = locality_weight / f64::from(member.demand_count + 1);
                let uniform: f64 = rand::rng().random_range(f64::EPSILON..1.0);
                (uniform.ln() / weight, member.caller_address)
            })
            .collect();
        // In descending order of ln(uniform) / weight, the members are a weighted
        // draw without replacement.
        drawn.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let chosen = drawn.into_iter().take(ADDRESSES_MAX);
        AddressAnswer {
            addresses: chosen.map(|(_, address)| address).collect(),
            keep_ms: self.state.settings.timing.address_keep.as_millis() as u64,
        }
    }

    async fn complete(&self, request: Request<Incoming>) -> Result<HttpResponse, Error> {
        self.state.metrics.add(Counter::Completions, 1);
        let config = self.state.config()?;
        let caller = identify(&config, &request)?;
        let last_event = match http::header(&request, LAST_EVENT_ID) {
            None => None,
            Some(text) => Some(EventId::parse(text).ok_or_else(|| {
                Error::new(
                    ErrorKind::BadRequest,
                    "last-event-id: not an event id of this service",
                )
            })?),
        };
        let limits = self.state.settings.limits;
        let body = http::read_body(request.into_body(), limits.body_max_bytes).await?;
        let completion = CompletionRequest::parse(&body, limits.tokens_max)?;
        self.check_model(&config, &caller, &completion)?;
        match last_event {
            Some(event) if event.index >= completion.max_tokens => Err(Error::new(
                ErrorKind::BadRequest,
                "last-event-id: past the end of the answer",
            )),
            Some(event) => {
                self.resume(config.clone(), &caller, completion, event)
                    .await
            }
            None => {
                let start = StartPosition {
                    has_text: true,
                    ..StartPosition::default()
                };
                self.begin(
                    config.clone(),
                    &caller,
                    completion,
                    new_generation_id(),
                    start,
                )
                .await
            }
        }
    }

    fn check_model(
        &self,
        config: &Config,
        caller: &CallerIdentity<'_>,
        completion: &CompletionRequest,
    ) -> Result<(), Error> {
        let customer = config.intent().customers.get(caller.customer);
        let allowed = customer.is_some_and(|c| c.models.contains(&completion.model));
        if allowed {
            return Ok(());
        }
        let message = format!(
            "no model '{}' is configured for this customer",
            completion.model
        );
        Err(Error::new(ErrorKind::UnknownModel, message))
    }

    async fn resume(
        &self,
        config: Arc<Config>,
        caller: &CallerIdentity<'_>,
        completion: CompletionRequest,
        last_event: EventId,
    ) -> Result<HttpResponse, Error> {
        let policy = config.policy(&caller.kind)?;
        let generation = last_event.attempt.generation.clone();
        let start = StartPosition {
            attempt_number: last_event.attempt.number + 1,
            token_index: last_event.index + 1,
            has_text: completion.delivered_text.is_some(),
            escaped_text: completion.delivered_text.clone().unwrap_or_default(),
        };
        let job = completion.job(generation.clone(), caller.customer, policy, config.clone());
        self.check_allowed(&job)?;
        let reattached = self
            .state
            .dispatcher
            .reattach(&job, last_event.attempt, start.token_index)
            .await;
        if let Some(attempt) = reattached {
            let generation = self.generation(job, start, None);
            return self.respond(generation, attempt, completion.stream).await;
        }
        if start.has_text {
            return self
                .begin(config, caller, completion, generation, start)
                .await;
        }
        // Without the runner's stream and the earlier text, the answer has to
        // be generated from its beginning. The new generation id tells the
        // caller to discard the text it has.
        let start = StartPosition {
            has_text: true,
            ..StartPosition::default()
        };
        self.begin(config, caller, completion, new_generation_id(), start)
            .await
    }

    async fn begin(
        &self,
        config: Arc<Config>,
        caller: &CallerIdentity<'_>,
        completion: CompletionRequest,
        generation: String,
        start: StartPosition,
    ) -> Result<HttpResponse, Error> {
        let policy = config.policy(&caller.kind)?;
        let job = completion.job(generation, caller.customer, policy, config);
        self.check_allowed(&job)?;
        let is_resume = start.attempt_number > 0;
        let request = AdmissionRequest {
            customer: caller.customer,
            weight: caller.weight,
            model: &completion.model,
            // A resumed generation goes before new ones, because part of its
            // work is already done.
            priority: if is_resume {
                RESUME_PRIORITY
            } else {
                policy.priority
            },
            max_wait: policy.max_wait,
            token_count: completion.max_tokens - start.token_index.min(completion.max_tokens),
        };
        let admission = self.state.admission.admit(&request).await;
        let admission_permit = admission.map_err(|error| self.count_refusal(error))?;
        let mut generation = self.generation(job, start, Some(admission_permit));
        let opened = generation.open().await;
        let attempt = opened.map_err(|failure| self.count_refusal(failure.into_error()))?;
        self.respond(generation, attempt, completion.stream).await
    }

    fn generation(
        &self,
        job: Job,
        start: StartPosition,
        admission_permit: Option<AdmissionPermit>,
    ) -> Generation {
        Generation::new(
            job,
            self.state.dispatcher.clone(),
            self.state.crash_tracker.clone(),
            self.state.metrics.clone(),
            start,
            admission_permit,
        )
    }

    fn check_allowed(&self, job: &Job) -> Result<(), Error> {
        let crash_tracker = &self.state.crash_tracker;
        let checked = crash_tracker.check_allowed(job.fingerprint);
        let checked = checked.and_then(|()| crash_tracker.check_parts(job.parts()));
        checked.map_err(|blocked| self.count_refusal(OpenFailure::from(blocked).into_error()))
    }

    fn count_refusal(&self, error: Error) -> Error {
        let counter = match error.kind {
            ErrorKind::CrashesRunners | ErrorKind::Quarantined => Counter::PoisonRefusals,
            _ => Counter::Refused,
        };
        self.state.metrics.add(counter, 1);
        error
    }

    async fn respond(
        &self,
        generation: Generation,
        attempt: Attempt,
        stream: bool,
    ) -> Result<HttpResponse, Error> {
        let id = generation.id().to_owned();
        if stream {
            return Ok(self.respond_with_events(generation, attempt, &id));
        }
        let running = generation.run(attempt, Sink::Collect);
        let escaped_text = running.await?;
        let text = unescape(&escaped_text).ok_or_else(|| {
            Error::new(
                ErrorKind::UpstreamFailed,
                "the runner's text cannot be decoded",
            )
        })?;
        let answer = CompletionAnswer {
            id,
            object: "text_completion",
            choices: vec![CompletionChoice { index: 0, text }],
        };
        Ok(http::json(StatusCode::OK, &answer))
    }

    fn respond_with_events(
        &self,
        generation: Generation,
        attempt: Attempt,
        id: &str,
    ) -> HttpResponse {
        let (mut sender, body) = Channel::new(UNSENT_FRAMES_MAX);
        let start = format!(
            "event: start\ndata: {{\"generation\":\"{id}\",\"index\":{}}}\n\n",
            generation.next_index()
        );
        let (body, caller_left) = http::boxed_until_dropped(body);
        let aborted = self.state.abort_token.clone();
        self.state.tasks.spawn(async move {
            let running = async {
                if sender.send_data(Bytes::from(start)).await.is_ok() {
                    // A failure was already sent to the caller as the last event.
                    let _ = generation.run(attempt, Sink::Events(sender)).await;
                }
            };
            let running = caller_left.run_until_cancelled(running);
            aborted.run_until_cancelled(running).await;
        });
        let mut response = Response::new(body);
        let event_stream = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, event_stream);
        response
    }
}

fn new_generation_id() -> String {
    uuid::Uuid::new_v4().simple().to_string()
}

#[derive(Debug, Serialize)]
struct CompletionAnswer {
    id: String,
    object: &'static str,
    choices: Vec<CompletionChoice>,
}

#[derive(Debug, Serialize)]
struct CompletionChoice {
    index: u32,
    text: String,
}

impl Handler for CallerApi {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let result = self.route(request).await;
        let mut response = result.unwrap_or_else(|error| http::error_response(&error));
        if let Ok(node) = HeaderValue::from_str(&self.state.settings.node) {
            let name = HeaderName::from_static("x-node");
            response.headers_mut().insert(name, node);
        }
        response
    }
}
