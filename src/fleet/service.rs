//! Client for plain services, which are HTTP services other than model engines.
//! Only this module depends on their HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::fleet::table::{Fleet, Instance};
use crate::http::{self, HttpClient, SendError};

/// Header with the key of a call that must run at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Time-out of a call at one instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A caller's call to a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    pub(crate) service: String,
    pub(crate) method: Method,
    /// Path and query of the request to the service.
    pub(crate) path: String,
    /// Idempotency key, if the caller gave one.
    pub(crate) key: Option<String>,
    pub(crate) body: Bytes,
}

/// Outcome of a call to a service.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The service answered.
    Answered(Response<Bytes>),
    /// No instance received the call.
    NotSent,
    /// The call was sent but not answered, so it may have run.
    NoAnswer,
}

/// Client for plain services.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClient {
    client: HttpClient,
    fleet: Arc<Fleet>,
}

impl ServiceClient {
    /// Creates a client that shares the connections of `client`.
    pub(crate) fn new(client: HttpClient, fleet: Arc<Fleet>) -> Self {
        Self { client, fleet }
    }

    /// Sends a call to the instances in turn until one may have received it, or its
    /// caller has left.
    pub(crate) async fn call_at_most_once(
        &self,
        call: &ServiceCall,
        caller_left: &CancellationToken,
    ) -> CallOutcome {
        for instance in self.instances(call) {
            if caller_left.is_cancelled() {
                return CallOutcome::NotSent;
            }
            match self.send(call, &instance).await {
                Ok(response) => return CallOutcome::Answered(response),
                Err(SendError::NotSent(_)) => {}
                Err(SendError::NoAnswer(_)) => return CallOutcome::NoAnswer,
            }
        }
        CallOutcome::NotSent
    }

    /// Sends an idempotent call to the instances in turn until one answers.
    pub(crate) async fn call_idempotent(&self, call: &ServiceCall) -> CallOutcome {
        let mut outcome = CallOutcome::NotSent;
        for instance in self.instances(call) {
            match self.send(call, &instance).await {
                Ok(response) => return CallOutcome::Answered(response),
                Err(SendError::NotSent(_)) => {}
                Err(SendError::NoAnswer(_)) => outcome = CallOutcome::NoAnswer,
            }
        }
        outcome
    }

    /// Instances that are not leaving, starting at a random one.
    fn instances(&self, call: &ServiceCall) -> Vec<Instance> {
        let mut staying = self.fleet.instances(&call.service);
        staying.retain(|instance| !instance.leaving);
        if staying.len() > 1 {
            let first = rand::random::<u32>() as usize % staying.len();
            staying.rotate_left(first);
        }
        staying
    }

    async fn send(
        &self,
        call: &ServiceCall,
        instance: &Instance,
    ) -> Result<Response<Bytes>, SendError> {
        let method = call.method.clone();
        let mut request = http::request(method, instance.address, &call.path, call.body.clone());
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(key) = call
            .key
            .as_deref()
            .and_then(|k| HeaderValue::from_str(k).ok())
        {
            headers.insert(HeaderName::from_static(IDEMPOTENCY_KEY), key);
        }
        let exchange = async {
            let response = self.client.send_unpooled(instance.address, request).await?;
            // A gateway time-out leaves open whether the call ran.
            let is_gateway_timeout = response.status() == StatusCode::GATEWAY_TIMEOUT;
            if is_gateway_timeout {
                return Err(SendError::NoAnswer(instance.address));
            }
            http::read_answer(instance.address, response).await
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(SendError::NoAnswer(instance.address)))
    }
}
