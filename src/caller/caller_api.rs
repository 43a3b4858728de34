//! The listener for callers: addresses, completions and plain services.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::channel::Channel;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::caller::admission::{AdmissionRequest, Admitted};
use crate::caller::completion::CompletionRequest;
use crate::caller::event_id::EventId;
use crate::caller::identity::{Caller, identify};
use crate::caller::service_api::call_service;
use crate::caller::sse::unescape;
use crate::configuration::config::Config;
use crate::error::{Error, ErrorKind};
use crate::generation::attempt::Attempt;
use crate::generation::dispatch::{Job, OpenFailure, RESUME_PRIORITY};
use crate::generation::run::{Generation, Sink, Start};
use crate::http::{self, Handler, HttpResponse};
use crate::node_state::NodeState;
use crate::observe::metrics::Counter;

/// Header by which a caller resumes, as browsers send it.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";
/// Addresses in one answer.
const ADDRESSES_MAX: usize = 3;
/// How much rather a node of this data centre is named than another.
const NEAR_PREFERENCE: f64 = 2.0;
/// Frames that may wait for a slow caller.
const UNSENT_FRAMES: usize = 4;

/// Which addresses a caller should use, and how long it may keep the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses, the best first.
    pub addresses: Vec<std::net::SocketAddr>,
    /// How long the answer may be kept.
    pub keep_ms: u64,
}

/// Answers callers.
#[derive(Debug)]
pub(crate) struct CallerApi {
    state: Arc<NodeState>,
}

impl CallerApi {
    /// Answers for one node.
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
                Some(rest) => {
                    let rest = rest.to_owned();
                    call_service(&self.state, request, &rest).await
                }
                None => Err(Error::new(ErrorKind::NotFound, "no such path")),
            },
        }
    }

    /// Draws addresses by spare room. A strict order would send all callers
    /// of one moment to the same node, because demand is known late.
    fn addresses(&self) -> AddressAnswer {
        let mut members = self.state.membership.alive();
        let here = &self.state.settings.data_centre;
        members.retain(|member| !member.leaving);
        let mut drawn: Vec<(f64, std::net::SocketAddr)> = members
            .iter()
            .map(|member| {
                let nearness = if member.data_centre == *here {
                    NEAR_PREFERENCE
                } else {
                    1.0
                };
                let weight = nearness / f64::from(member.demand_count + 1);
                let chance: f64 = rand::rng().random_range(f64::EPSILON..1.0);
                (chance.ln() / weight, member.caller_address)
            })
            .collect();
        drawn.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let best = drawn.into_iter().take(ADDRESSES_MAX);
        AddressAnswer {
            addresses: best.map(|(_, address)| address).collect(),
            keep_ms: self.state.settings.timing.address_keep.as_millis() as u64,
        }
    }

    async fn complete(&self, request: Request<Incoming>) -> Result<HttpResponse, Error> {
        self.state.metrics.add(Counter::Completions, 1);
        let config = self.state.config()?;
        let caller = identify(&config, &request)?;
        let resumed = match http::header(&request, LAST_EVENT_ID) {
            None => None,
            Some(text) => Some(EventId::parse(text).ok_or_else(|| {
                Error::new(
                    ErrorKind::BadRequest,
                    "last-event-id: not an id of this service",
                )
            })?),
        };
        let limits = self.state.settings.limits;
        let body = http::read_body(request.into_body(), limits.body_max_bytes).await?;
        let wanted = CompletionRequest::parse(&body, limits.tokens_max)?;
        self.check_model(&config, &caller, &wanted)?;
        match resumed {
            Some(last) => self.resume(config.clone(), &caller, wanted, last).await,
            None => {
                let start = Start {
                    has_text: true,
                    ..Start::default()
                };
                self.begin(config.clone(), &caller, wanted, new_generation_id(), start)
                    .await
            }
        }
    }

    fn check_model(
        &self,
        config: &Config,
        caller: &Caller<'_>,
        wanted: &CompletionRequest,
    ) -> Result<(), Error> {
        let customer = config.intent().customers.get(caller.customer);
        let allowed = customer.is_some_and(|c| c.models.contains(&wanted.model));
        if allowed {
            return Ok(());
        }
        let message = format!("no model '{}' for this customer", wanted.model);
        Err(Error::new(ErrorKind::UnknownModel, message))
    }

    async fn resume(
        &self,
        config: Arc<Config>,
        caller: &Caller<'_>,
        wanted: CompletionRequest,
        last: EventId,
    ) -> Result<HttpResponse, Error> {
        let policy = config.policy(&caller.kind)?;
        let generation = last.attempt.generation.clone();
        let start = Start {
            number: last.attempt.number + 1,
            index: last.index + 1,
            has_text: wanted.delivered_text.is_some(),
            escaped_text: wanted.delivered_text.clone().unwrap_or_default(),
        };
        let job = wanted.job(generation.clone(), caller.customer, policy, config.clone());
        self.check_health(&job)?;
        let rejoined = self
            .state
            .dispatcher
            .rejoin(&job, last.attempt, start.index)
            .await;
        if let Some(attempt) = rejoined {
            let generation = self.generation(job, start, None);
            return self.respond(generation, attempt, wanted.stream).await;
        }
        if start.has_text {
            return self.begin(config, caller, wanted, generation, start).await;
        }
        // With neither the runner nor the text, only a new generation is
        // whole; its name tells the caller to drop what it has.
        let start = Start {
            has_text: true,
            ..Start::default()
        };
        self.begin(config, caller, wanted, new_generation_id(), start)
            .await
    }

    async fn begin(
        &self,
        config: Arc<Config>,
        caller: &Caller<'_>,
        wanted: CompletionRequest,
        generation: String,
        start: Start,
    ) -> Result<HttpResponse, Error> {
        let policy = config.policy(&caller.kind)?;
        let job = wanted.job(generation, caller.customer, policy, config);
        self.check_health(&job)?;
        let is_resume = start.number > 0;
        let request = AdmissionRequest {
            customer: caller.customer,
            weight: caller.weight,
            model: &wanted.model,
            // Work that is half done goes before work that has not begun.
            priority: if is_resume {
                RESUME_PRIORITY
            } else {
                policy.priority
            },
            patience: policy.patience,
            token_count: wanted.max_tokens - start.index.min(wanted.max_tokens),
        };
        let admitted = self.state.admission.admit(&request).await;
        let admitted = admitted.map_err(|error| self.refuse(error))?;
        let mut generation = self.generation(job, start, Some(admitted));
        let opened = generation.open().await;
        let attempt = opened.map_err(|failure| self.refuse(failure.into_error()))?;
        self.respond(generation, attempt, wanted.stream).await
    }

    fn generation(&self, job: Job, start: Start, admitted: Option<Admitted>) -> Generation {
        Generation::new(
            job,
            self.state.dispatcher.clone(),
            self.state.crashes.clone(),
            self.state.metrics.clone(),
            start,
            admitted,
        )
    }

    fn check_health(&self, job: &Job) -> Result<(), Error> {
        let checked = self.state.crashes.check_allowed(job.fingerprint);
        checked.map_err(|blocked| self.refuse(OpenFailure::from(blocked).into_error()))
    }

    fn refuse(&self, error: Error) -> Error {
        let counter = match error.kind {
            ErrorKind::CrashesRunners => Counter::PoisonRefusals,
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
        let running = generation.run(attempt, Sink::Whole);
        let escaped_text = running.await?;
        let text = unescape(&escaped_text)
            .ok_or_else(|| Error::new(ErrorKind::UpstreamFailed, "the text is not UTF-8"))?;
        let answer = WholeAnswer {
            id,
            object: "text_completion",
            choices: vec![WholeChoice { index: 0, text }],
        };
        Ok(http::json(StatusCode::OK, &answer))
    }

    fn respond_with_events(
        &self,
        generation: Generation,
        attempt: Attempt,
        id: &str,
    ) -> HttpResponse {
        let (mut sender, body) = Channel::new(UNSENT_FRAMES);
        let start = format!(
            "event: start\ndata: {{\"generation\":\"{id}\",\"index\":{}}}\n\n",
            generation.next_index()
        );
        let aborted = self.state.aborted.clone();
        self.state.tasks.spawn(async move {
            let running = async {
                if sender.send_data(Bytes::from(start)).await.is_ok() {
                    // The caller has had the error as its last event.
                    let _ = generation.run(attempt, Sink::Events(sender)).await;
                }
            };
            aborted.run_until_cancelled(running).await;
        });
        let mut response = Response::new(http::boxed(body));
        let event_stream = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, event_stream);
        response
    }
}

fn new_generation_id() -> String {
    uuid::Uuid::new_v4().simple().to_string()
}

#[derive(Debug, Serialize)]
struct WholeAnswer {
    id: String,
    object: &'static str,
    choices: Vec<WholeChoice>,
}

#[derive(Debug, Serialize)]
struct WholeChoice {
    index: u32,
    text: String,
}

impl Handler for CallerApi {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let answered = self.route(request).await;
        let mut response = answered.unwrap_or_else(|error| http::failure(&error));
        if let Ok(node) = HeaderValue::from_str(&self.state.settings.node) {
            let name = HeaderName::from_static("x-node");
            response.headers_mut().insert(name, node);
        }
        response
    }
}
