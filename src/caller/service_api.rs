//! Calls of plain services: once where they may not be repeated.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use crate::caller::identity::identify;
use crate::claims::claim::{Claim, ClaimOutcome, Held, call_hash, take_claim};
use crate::configuration::config::Config;
use crate::error::{Error, ErrorKind};
use crate::fleet::service::{CallOutcome, IDEMPOTENCY_KEY, ServiceCall};
use crate::http::{self, HttpResponse};
use crate::id::CustomerId;
use crate::node_state::NodeState;
use crate::observe::metrics::Counter;

/// Longest idempotency key.
const KEY_MAX_BYTES: usize = 128;

/// Answers a call to `SERVICE/PATH`.
pub(crate) async fn call_service(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
    rest: &str,
) -> Result<HttpResponse, Error> {
    state.metrics.add(Counter::ServiceCalls, 1);
    let keyed = request.headers().contains_key(IDEMPOTENCY_KEY);
    let config = state.config().map_err(|error| match keyed {
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
    let max_bytes = state.settings.limits.body_max_bytes;
    call.body = http::read_body(request.into_body(), max_bytes).await?;
    let service = config.intent().services.get(&call.service);
    let idempotent = call.method == Method::GET || service.is_some_and(|s| s.idempotent);
    let shared = state.clone();
    // A caller that leaves must not cut a claimed call in half.
    let running = state.tasks.spawn(async move {
        if idempotent {
            call_idempotent(&shared, &call).await
        } else {
            call_at_most_once(&shared, &customer, &call).await
        }
    });
    running
        .await
        .unwrap_or_else(|_| Err(Error::new(ErrorKind::OutcomeUnknown, "the call broke off")))
}

async fn call_idempotent(state: &NodeState, call: &ServiceCall) -> Result<HttpResponse, Error> {
    match state.services.call_idempotent(call).await {
        CallOutcome::Answered(response) => Ok(relay(response)),
        CallOutcome::NotSent => Err(no_instance(call)),
        CallOutcome::NoAnswer => Err(Error::new(
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
        ClaimOutcome::Granted(claim) => {
            state.metrics.add(Counter::ClaimsTaken, 1);
            send_claimed(state, call, claim).await
        }
        ClaimOutcome::Ended { status: 0, .. } => Err(unknown_outcome(state)),
        ClaimOutcome::Ended { status, answer } => {
            state.metrics.add(Counter::ClaimsReplayed, 1);
            Ok(replay(status, answer))
        }
        ClaimOutcome::Busy { claimant } if state.membership.is_claimant_alive(&claimant) => {
            Err(Error::new(
                ErrorKind::KeyInProgress,
                "a call with this key is under way",
            ))
        }
        ClaimOutcome::Busy { .. } => Err(unknown_outcome(state)),
        ClaimOutcome::Reused => Err(Error::new(
            ErrorKind::KeyReused,
            "the key named another call before",
        )),
        ClaimOutcome::Full => Err(Error::new(
            ErrorKind::Overloaded,
            "too many keys are remembered to claim another; the call was not run",
        )),
        ClaimOutcome::Unavailable => Err(Error::new(
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
    let Some(sent) = claim.begin_send() else {
        return Err(unknown_outcome(state));
    };
    // The caller does not wait until the platform knows how the call ended.
    // Should this node die first, the key answers `outcome_unknown` later.
    let end = state.services.call_at_most_once(call).await;
    let claims = state.claims.clone();
    match end {
        CallOutcome::Answered(response) => {
            let kept_max = state.settings.limits.stored_answer_max_bytes;
            let status = response.status().as_u16();
            let kept = Some(response.body().clone()).filter(|body| body.len() <= kept_max);
            state.tasks.spawn(async move {
                match kept {
                    Some(answer) => sent.finish(&claims, status, answer).await,
                    None => sent.finish_without_answer(&claims).await,
                }
            });
            Ok(relay(response))
        }
        CallOutcome::NotSent => {
            let unsent = sent.into_unsent();
            state
                .tasks
                .spawn(async move { unsent.release(&claims).await });
            Err(no_instance(call))
        }
        CallOutcome::NoAnswer => {
            state
                .tasks
                .spawn(async move { sent.finish_without_answer(&claims).await });
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
