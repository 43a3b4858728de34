//! Client of the operator API, with which operators change the configuration and
//! read the status of the nodes.
//!
//! An operator states an intent (the complete wanted configuration), gets the
//! plan of what would change, and confirms it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header::{AUTHORIZATION, HeaderValue};
use serde::de::DeserializeOwned;

use crate::configuration::intent::Intent;
use crate::configuration::plan::Plan;
use crate::error::{ErrorBody, ErrorDetail};
use crate::http::{self, HttpClient};
use crate::id::Version;
use crate::observe::audit::AuditRecord;
use crate::operator::operator_api::{ConfirmBody, Confirmed, Status};

/// Time-out of a request to a node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Why an operator's request failed.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The node answered with an error.
    #[error("{}: {}", .0.kind.name(), .0.message)]
    Refused(ErrorDetail),
    /// The node did not answer, so a change may have taken effect.
    #[error("node {0} did not answer; check the status to see what is in force")]
    NoAnswer(SocketAddr),
    /// The node did not say which version of the configuration it has in force.
    #[error("node {0} does not state its version in force at /metrics")]
    NoVersion(SocketAddr),
}

/// A client with one operator's key for the operator API of one node.
#[derive(Clone, Debug)]
pub struct Operator {
    node: SocketAddr,
    key: String,
    client: HttpClient,
}

impl Operator {
    /// Creates a client for a node. `node` is the address at which the node
    /// listens for operators, and `key` is the operator's key.
    pub fn new(node: SocketAddr, key: &str) -> Self {
        Self {
            node,
            key: key.to_owned(),
            client: HttpClient::new(),
        }
    }

    /// Stores an intent, which does not take effect yet, and returns the plan of
    /// what would change if it were confirmed.
    pub async fn state_intent(&self, intent: &Intent) -> Result<Plan, OperatorError> {
        let body = serde_json::to_vec(intent).unwrap_or_default();
        self.call(Method::POST, "/v1/intents", body).await
    }

    /// Computes again what a stated intent would change in the configuration that
    /// is now in force.
    pub async fn plan(&self, intent_id: &str) -> Result<Plan, OperatorError> {
        let path = format!("/v1/intents/{intent_id}/plan");
        self.call(Method::GET, &path, Bytes::new()).await
    }

    /// Puts a stated intent into force, provided that the configuration is still
    /// at version `base`, which is the version that the plan was made for.
    pub async fn confirm(
        &self,
        intent_id: &str,
        base: Version,
    ) -> Result<Confirmed, OperatorError> {
        let path = format!("/v1/intents/{intent_id}/confirm");
        let body = serde_json::to_vec(&ConfirmBody { base }).unwrap_or_default();
        self.call(Method::POST, &path, body).await
    }

    /// Reads the status of all nodes and runners.
    pub async fn status(&self) -> Result<Status, OperatorError> {
        self.call(Method::GET, "/v1/status", Bytes::new()).await
    }

    /// Reads the last records of the audit trail, oldest first.
    pub async fn audit(&self) -> Result<Vec<AuditRecord>, OperatorError> {
        self.call(Method::GET, "/v1/audit", Bytes::new()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<T, OperatorError> {
        let mut request = http::request(method, self.node, path, body);
        if let Ok(key) = HeaderValue::from_str(&format!("Bearer {}", self.key)) {
            request.headers_mut().insert(AUTHORIZATION, key);
        }
        let result = self
            .client
            .exchange(self.node, request, REQUEST_TIMEOUT)
            .await;
        let response = result.map_err(|_| OperatorError::NoAnswer(self.node))?;
        if let Ok(value) = serde_json::from_slice(response.body()) {
            return Ok(value);
        }
        let failure = serde_json::from_slice::<ErrorBody>(response.body());
        Err(failure.map_or(OperatorError::NoAnswer(self.node), |f| {
            OperatorError::Refused(f.error)
        }))
    }
}
