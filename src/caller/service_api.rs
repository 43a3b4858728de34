//! Calls to plain services. A call that is not idempotent is sent at most once:
//! a node first takes a claim on the caller's idempotency key. Once
//! the call was sent, a later call with the same key is not, and gets the stored
//! answer if there is one.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::caller::identity::identify;
use crate::claims::claim::{Claim, ClaimOutcome, Held, call_hash, take_claim};
use crate::configuration::config::Config;
use crate::error::{Error, ErrorKind};
use crate::fleet::service::{CallOutcome, IDEMPOTENCY_KEY, ServiceCall};
use crate::http::{self, HttpResponse};
use crate::id::CustomerId;
use crate::node_state::NodeState;
use crate::observe::metrics::Counter;

/// Longest idempotency key that is accepted.
const KEY_MAX_BYTES: usize = 128;

/// Handles a call whose `target` is `SERVICE/PATH`.
pub(crate) async fn call_service(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
    target: &str,
) -> Result<HttpResponse, Error> {
    state.metrics.add(Counter::ServiceCalls, 1);
    let has_key = request.headers().contains_key(IDEMPOTENCY_KEY);
    let config = state.config().map_err(|error| match has_key {
        // An earlier call with the key may have run through another node.
        // Without a configuration this node cannot look it up, and must not
        // report that the call has not run.
        true => Error::new(ErrorKind::KeyUnchecked, error.message),
        false => error,
    })?;
    let caller = identify(&config, &request)?;
    let customer = caller.customer.clone();
    let (service, path) = target.split_once('/').unwrap_or((target, ""));
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
    let is_idempotent = call.method == Method::GET || service.is_some_and(|s| s.idempotent);
    if is_idempotent {
        return call_idempotent(state, &call).await;
    }
    let shared = state.clone();
    let caller_left = CancellationToken::new();
    let _cancel_on_drop = caller_left.clone().drop_guard();
    // A claimed call gets a task of its own, so that its outcome is recorded even
    // if the caller disconnects.
    let running = state
        .tasks
        .spawn(async move { call_at_most_once(&shared, &customer, &call, &caller_left).await });
    running.await.unwrap_or_else(|_| {
        Err(Error::new(
            ErrorKind::OutcomeUnknown,
            "the call ended in an internal error; whether it ran is unknown",
        ))
    })
}

async fn call_idempotent(state: &NodeState, call: &ServiceCall) -> Result<HttpResponse, Error> {
    match state.services.call_idempotent(call).await {
        CallOutcome::Answered(response) => Ok(relay(response)),
        CallOutcome::NotSent => Err(no_instance(call)),
        CallOutcome::NoAnswer => Err(Error::new(
            ErrorKind::UpstreamFailed,
            format!("service '{}' did not answer the call", call.service),
        )),
    }
}

async fn call_at_most_once(
    state: &NodeState,
    customer: &CustomerId,
    call: &ServiceCall,
    caller_left: &CancellationToken,
) -> Result<HttpResponse, Error> {
    let key = claim_key(customer, call)?;
    let hash = call_hash(&call.path, &call.body);
    let claimant = state.membership.me().claimant();
    match take_claim(&state.claims, &key, hash, &claimant).await {
        ClaimOutcome::Granted(claim) => {
            state.metrics.add(Counter::ClaimsTaken, 1);
            send_claimed(state, call, claim, caller_left).await
        }
        ClaimOutcome::Ended { status: 0, .. } => Err(outcome_unknown(state)),
        ClaimOutcome::Ended { status, answer } => {
            state.metrics.add(Counter::ClaimsReplayed, 1);
            Ok(replay(status, answer))
        }
        ClaimOutcome::Busy { claimant } if state.membership.is_claimant_alive(&claimant) => {
            Err(Error::new(
                ErrorKind::KeyInProgress,
                "another call with this idempotency key is in progress",
            ))
        }
        ClaimOutcome::Busy { .. } => Err(outcome_unknown(state)),
        ClaimOutcome::Reused => Err(Error::new(
            ErrorKind::KeyReused,
            "the idempotency key was used before for another call",
        )),
        ClaimOutcome::Full => Err(Error::new(
            ErrorKind::Overloaded,
            "the claim store is full, so the idempotency key was not claimed; the call was not run",
        )),
        ClaimOutcome::Unavailable => Err(Error::new(
            ErrorKind::KeyUnchecked,
            "the call was not sent; whether an earlier call with this idempotency key ran is unknown",
        )),
    }
}

async fn send_claimed(
    state: &NodeState,
    call: &ServiceCall,
    claim: Claim<Held>,
    caller_left: &CancellationToken,
) -> Result<HttpResponse, Error> {
    let Some(sent) = claim.begin_send() else {
        return Err(outcome_unknown(state));
    };
    // The outcome is stored in the background, so that the caller need not wait
    // for the platform. If this node dies before it is stored, later calls with
    // the key get `outcome_unknown`.
    let end = state.services.call_at_most_once(call, caller_left).await;
    let claims = state.claims.clone();
    match end {
        CallOutcome::Answered(response) => {
            let stored_max_bytes = state.settings.limits.stored_answer_max_bytes;
            let status = response.status().as_u16();
            let stored_answer =
                Some(response.body().clone()).filter(|body| body.len() <= stored_max_bytes);
            state.tasks.spawn(async move {
                match stored_answer {
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
            Err(outcome_unknown(state))
        }
    }
}

fn outcome_unknown(state: &NodeState) -> Error {
    state.metrics.add(Counter::OutcomesUnknown, 1);
    Error::new(
        ErrorKind::OutcomeUnknown,
        "the call may have run and is not sent again; check at the service whether it ran",
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
            format!("idempotency-key: the header must have 1 to {KEY_MAX_BYTES} bytes"),
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
        format!("no service '{service}' is configured for this customer"),
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
