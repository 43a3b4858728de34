//! The door for callers: addresses, completions and plain services.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::Channel;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::admission::Applicant;
use crate::claim::{Claim, Held, Taken, call_hash, take_claim};
use crate::completion::CompletionRequest;
use crate::config::Config;
use crate::error::{Error, ErrorKind};
use crate::event_id::EventId;
use crate::generation::{Generation, Sink, Start};
use crate::http::{self, Handler, HttpResponse};
use crate::id::{CustomerId, KindId};
use crate::metrics::Counter;
use crate::node_state::NodeState;
use crate::service::{CallEnd, IDEMPOTENCY_KEY, ServiceCall};
use crate::sse::unescape;

/// Header that says which kind of caller asks.
pub(crate) const CALLER_KIND: &str = "x-caller-kind";
/// Header by which a caller resumes, as browsers send it.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";
/// Kind of callers that name none.
const DEFAULT_KIND: &str = "default";
/// Addresses in one answer.
const ADDRESSES_MAX: usize = 3;
/// Frames that may wait for a slow caller.
const UNSENT_FRAMES: usize = 4;
/// Longest idempotency key.
const KEY_MAX_BYTES: usize = 128;

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

struct Caller<'a> {
    customer: &'a CustomerId,
    weight: u32,
    kind: KindId,
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
                    self.call_service(request, &rest).await
                }
                None => Err(Error::new(ErrorKind::NotFound, "no such path")),
            },
        }
    }

    fn addresses(&self) -> AddressAnswer {
        let mut members = self.state.membership.alive();
        let here = self.state.settings.data_centre.clone();
        members.retain(|member| !member.leaving);
        members.sort_by_key(|member| (member.data_centre != here, member.demand_count));
        let best = members.into_iter().take(ADDRESSES_MAX);
        AddressAnswer {
            addresses: best.map(|member| member.caller_address).collect(),
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
        let treatment = config.treatment(&caller.kind)?;
        let generation = last.attempt.generation.clone();
        let start = Start {
            number: last.attempt.number + 1,
            index: last.index + 1,
            has_text: wanted.delivered_text.is_some(),
            escaped_text: wanted.delivered_text.clone().unwrap_or_default(),
        };
        let job = wanted.job(
            generation.clone(),
            caller.customer,
            treatment,
            config.clone(),
        );
        let convicted = self.state.dispatcher.check_verdict(job.fingerprint);
        convicted.map_err(|failure| self.refuse(failure.into_error()))?;
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
        let treatment = config.treatment(&caller.kind)?;
        let job = wanted.job(generation, caller.customer, treatment, config);
        let convicted = self.state.dispatcher.check_verdict(job.fingerprint);
        convicted.map_err(|failure| self.refuse(failure.into_error()))?;
        let is_resume = start.number > 0;
        let applicant = Applicant {
            customer: caller.customer,
            weight: caller.weight,
            model: &wanted.model,
            // Work that is half done goes before work that has not begun.
            priority: if is_resume { 0 } else { treatment.priority },
            patience: treatment.patience,
            token_count: wanted.max_tokens - start.index.min(wanted.max_tokens),
        };
        let admitted = self.state.admission.admit(&applicant).await;
        let admitted = admitted.map_err(|error| self.refuse(error))?;
        let mut generation = self.generation(job, start, Some(admitted));
        let opened = generation.open().await;
        let attempt = opened.map_err(|failure| self.refuse(failure.into_error()))?;
        self.respond(generation, attempt, wanted.stream).await
    }

    fn generation(
        &self,
        job: crate::dispatch::Job,
        start: Start,
        admitted: Option<crate::admission::Admitted>,
    ) -> Generation {
        Generation::new(
            job,
            self.state.dispatcher.clone(),
            self.state.metrics.clone(),
            start,
            admitted,
        )
    }

    fn refuse(&self, error: Error) -> Error {
        let counter = match error.kind {
            ErrorKind::CrashesRunners => Counter::ConvictedRefusals,
            _ => Counter::Refused,
        };
        self.state.metrics.add(counter, 1);
        error
    }

    async fn respond(
        &self,
        generation: Generation,
        attempt: crate::attempt::Attempt,
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
        attempt: crate::attempt::Attempt,
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
        let mut response = Response::new(body.boxed_unsync());
        let event_stream = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, event_stream);
        response
    }

    async fn call_service(
        &self,
        request: Request<Incoming>,
        rest: &str,
    ) -> Result<HttpResponse, Error> {
        self.state.metrics.add(Counter::ServiceCalls, 1);
        let keyed = request.headers().contains_key(IDEMPOTENCY_KEY);
        let config = self.state.config().map_err(|error| match keyed {
            // An earlier call with the key may have run through another node,
            // so a node that cannot look must not say "not run".
            true => Error::new(ErrorKind::KeyUnchecked, error.message),
            false => error,
        })?;
        let caller = identify(&config, &request)?;
        let customer = caller.customer.clone();
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        check_service(&config, &customer, service)?;
        let query = request.uri().query();
        let mut call = ServiceCall {
            service: service.to_owned(),
            method: request.method().clone(),
            path: query.map_or(format!("/{path}"), |q| format!("/{path}?{q}")),
            key: http::header(&request, IDEMPOTENCY_KEY).map(str::to_owned),
            body: Bytes::new(),
        };
        let max_bytes = self.state.settings.limits.body_max_bytes;
        call.body = http::read_body(request.into_body(), max_bytes).await?;
        let service = config.intent().services.get(&call.service);
        let idempotent = call.method == Method::GET || service.is_some_and(|s| s.idempotent);
        let state = self.state.clone();
        // A caller that leaves must not cut a claimed call in half.
        let running = self.state.tasks.spawn(async move {
            if idempotent {
                call_idempotent(&state, &call).await
            } else {
                call_at_most_once(&state, &customer, &call).await
            }
        });
        running
            .await
            .unwrap_or_else(|_| Err(Error::new(ErrorKind::OutcomeUnknown, "the call broke off")))
    }
}

async fn call_idempotent(state: &NodeState, call: &ServiceCall) -> Result<HttpResponse, Error> {
    match state.services.call_again(call).await {
        CallEnd::Answered(response) => Ok(relay(response)),
        CallEnd::NotSent => Err(no_instance(call)),
        CallEnd::NoAnswer => Err(Error::new(
            ErrorKind::UpstreamFailed,
            format!("service '{}' gave no answer", call.service),
        )),
    }
}

async fn call_at_most_once(
    state: &NodeState,
    customer: &CustomerId,
    call: &ServiceCall,
) -> Result<HttpResponse, Error> {
    let key = claim_key(customer, call)?;
    let hash = call_hash(&call.path, &call.body);
    let claimant = state.membership.me().claimant();
    match take_claim(&state.claims, &key, hash, &claimant).await {
        Taken::Granted(claim) => {
            state.metrics.add(Counter::ClaimsTaken, 1);
            send_claimed(state, call, claim).await
        }
        Taken::Ended { status: 0, .. } => Err(unknown_outcome(state)),
        Taken::Ended { status, answer } => {
            state.metrics.add(Counter::ClaimsReplayed, 1);
            Ok(replay(status, answer))
        }
        Taken::Busy { claimant } if state.membership.is_claimant_alive(&claimant) => {
            Err(Error::new(
                ErrorKind::KeyInProgress,
                "a call with this key is under way",
            ))
        }
        Taken::Busy { .. } => Err(unknown_outcome(state)),
        Taken::Reused => Err(Error::new(
            ErrorKind::KeyReused,
            "the key named another call before",
        )),
        Taken::Full => Err(Error::new(
            ErrorKind::Overloaded,
            "too many keys are remembered to claim another; the call was not run",
        )),
        Taken::Refused => Err(Error::new(
            ErrorKind::KeyUnchecked,
            "this call was not sent; whether an earlier one ran cannot be told now",
        )),
    }
}

async fn send_claimed(
    state: &NodeState,
    call: &ServiceCall,
    claim: Claim<Held>,
) -> Result<HttpResponse, Error> {
    let Some(sent) = claim.send() else {
        return Err(unknown_outcome(state));
    };
    match state.services.call_once(call).await {
        CallEnd::Answered(response) => {
            let kept_max = state.settings.limits.stored_answer_max_bytes;
            let status = response.status().as_u16();
            let kept = Some(response.body().clone()).filter(|body| body.len() <= kept_max);
            match kept {
                Some(answer) => sent.finish(&state.claims, status, answer).await,
                None => sent.lose(&state.claims).await,
            }
            Ok(relay(response))
        }
        CallEnd::NotSent => {
            sent.unsent().release(&state.claims);
            Err(no_instance(call))
        }
        CallEnd::NoAnswer => {
            sent.lose(&state.claims).await;
            Err(unknown_outcome(state))
        }
    }
}

fn unknown_outcome(state: &NodeState) -> Error {
    state.metrics.add(Counter::OutcomesUnknown, 1);
    Error::new(
        ErrorKind::OutcomeUnknown,
        "the call may have run and is never sent again; ask the service for its state",
    )
}

fn no_instance(call: &ServiceCall) -> Error {
    let message = format!("no instance of service '{}' can be reached", call.service);
    Error::new(ErrorKind::NoUpstream, message)
}

fn claim_key(customer: &CustomerId, call: &ServiceCall) -> Result<String, Error> {
    let key = call.key.as_deref().unwrap_or("");
    if key.is_empty() || key.len() > KEY_MAX_BYTES {
        return Err(Error::new(
            ErrorKind::KeyMissing,
            format!("idempotency-key: needs 1 to {KEY_MAX_BYTES} bytes"),
        ));
    }
    Ok(format!("{customer}/{}/{key}", call.service))
}

fn check_service(config: &Config, customer: &CustomerId, service: &str) -> Result<(), Error> {
    let customer = config.intent().customers.get(customer);
    let allowed = customer.is_some_and(|c| c.services.iter().any(|s| s == service));
    if allowed {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::NotFound,
        format!("no service '{service}' for this customer"),
    ))
}

fn relay(response: Response<Bytes>) -> HttpResponse {
    let (parts, body) = response.into_parts();
    replay(parts.status.as_u16().into(), body)
}

fn replay(status: u32, answer: Bytes) -> HttpResponse {
    let mut response = Response::new(http::full(answer));
    let status = u16::try_from(status)
        .ok()
        .and_then(|s| StatusCode::from_u16(s).ok());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let json_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json_type);
    response
}

fn identify<'a>(config: &'a Config, request: &Request<Incoming>) -> Result<Caller<'a>, Error> {
    let key = bearer(request)?;
    let (customer, intent) = config.customer(key)?;
    let kind = http::header(request, CALLER_KIND).unwrap_or(DEFAULT_KIND);
    Ok(Caller {
        customer,
        weight: intent.weight,
        kind: kind.to_owned(),
    })
}

/// The key of a caller or an operator.
pub(crate) fn bearer(request: &Request<Incoming>) -> Result<&str, Error> {
    http::header(request, AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Error::new(ErrorKind::Unauthorized, "authorization: needs 'Bearer KEY'"))
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
