//! Calls to plain services; no other module speaks their dialect.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};

use crate::fleet::table::{Fleet, Instance};
use crate::http::{self, HttpClient, SendError};

/// Header that names a call which must run at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// How long a service may take over a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// One call as the caller made it.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    /// Name of the service.
    pub(crate) service: String,
    /// Method.
    pub(crate) method: Method,
    /// Path and query at the service.
    pub(crate) path: String,
    /// Key, where the caller gave one.
    pub(crate) key: Option<String>,
    /// Body.
    pub(crate) body: Bytes,
}

/// How a call ended at the service.
#[derive(Debug)]
pub(crate) enum CallEnd {
    /// The service answered.
    Answered(Response<Bytes>),
    /// The call provably never left this node.
    NotSent,
    /// The call was sent and no answer came.
    NoAnswer,
}

/// Speaks to plain services.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClient {
    client: HttpClient,
    fleet: Arc<Fleet>,
}

impl ServiceClient {
    /// Makes a client over shared connections.
    pub(crate) fn new(client: HttpClient, fleet: Arc<Fleet>) -> Self {
        Self { client, fleet }
    }

    /// Sends a call to one instance, and goes on to the next only while the
    /// call provably has not been sent.
    pub(crate) async fn call_once(&self, call: &ServiceCall) -> CallEnd {
        for instance in self.instances(call) {
            match self.send(call, &instance).await {
                Ok(response) => return CallEnd::Answered(response),
                Err(SendError::NotSent(_)) => {}
                Err(SendError::NoAnswer(_)) => return CallEnd::NoAnswer,
            }
        }
        CallEnd::NotSent
    }

    /// Sends an idempotent call, which may go to another instance when the
    /// first gives no answer.
    pub(crate) async fn call_again(&self, call: &ServiceCall) -> CallEnd {
        let mut end = CallEnd::NotSent;
        for instance in self.instances(call) {
            match self.send(call, &instance).await {
                Ok(response) => return CallEnd::Answered(response),
                Err(SendError::NotSent(_)) => {}
                Err(SendError::NoAnswer(_)) => end = CallEnd::NoAnswer,
            }
        }
        end
    }

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
            let gateway_failed = response.status() == StatusCode::GATEWAY_TIMEOUT;
            if gateway_failed {
                return Err(SendError::NoAnswer(instance.address));
            }
            http::read_answer(instance.address, response).await
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(SendError::NoAnswer(instance.address)))
    }
}
