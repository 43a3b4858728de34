//! An operator's side: sends intents and reads what is in force.

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

/// How long a node may take over an operator's request.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Why an operator's request brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The node refused.
    #[error("{}: {}", .0.kind.name(), .0.message)]
    Refused(ErrorDetail),
    /// The node gave no answer, so a change may have taken effect.
    #[error("no answer from {0}; ask for the status to see what is in force")]
    NoAnswer(SocketAddr),
}

/// One operator at one node.
#[derive(Clone, Debug)]
pub struct Operator {
    node: SocketAddr,
    key: String,
    client: HttpClient,
}

impl Operator {
    /// Makes an operator that speaks to a node's operator address.
    pub fn new(node: SocketAddr, key: &str) -> Self {
        Self {
            node,
            key: key.to_owned(),
            client: HttpClient::new(),
        }
    }

    /// States an intent, and gets the plan of what would change.
    pub async fn state(&self, intent: &Intent) -> Result<Plan, OperatorError> {
        let body = serde_json::to_vec(intent).unwrap_or_default();
        self.ask(Method::POST, "/v1/intents", body).await
    }

    /// Reads the plan of a stated intent against the configuration of now.
    pub async fn plan(&self, intent_id: &str) -> Result<Plan, OperatorError> {
        let path = format!("/v1/intents/{intent_id}/plan");
        self.ask(Method::GET, &path, Bytes::new()).await
    }

    /// Confirms an intent on the version its plan was made for.
    pub async fn confirm(
        &self,
        intent_id: &str,
        base: Version,
    ) -> Result<Confirmed, OperatorError> {
        let path = format!("/v1/intents/{intent_id}/confirm");
        let body = serde_json::to_vec(&ConfirmBody { base }).unwrap_or_default();
        self.ask(Method::POST, &path, body).await
    }

    /// Reads what is in force where.
    pub async fn status(&self) -> Result<Status, OperatorError> {
        self.ask(Method::GET, "/v1/status", Bytes::new()).await
    }

    /// Reads the last audit records.
    pub async fn audit(&self) -> Result<Vec<AuditRecord>, OperatorError> {
        self.ask(Method::GET, "/v1/audit", Bytes::new()).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<T, OperatorError> {
        let mut request = http::request(method, self.node, path, body);
        if let Ok(key) = HeaderValue::from_str(&format!("Bearer {}", self.key)) {
            request.headers_mut().insert(AUTHORIZATION, key);
        }
        let asked = self.client.exchange(self.node, request, TIMEOUT).await;
        let response = asked.map_err(|_| OperatorError::NoAnswer(self.node))?;
        if let Ok(value) = serde_json::from_slice(response.body()) {
            return Ok(value);
        }
        let failed = serde_json::from_slice::<ErrorBody>(response.body());
        Err(failed.map_or(OperatorError::NoAnswer(self.node), |f| {
            OperatorError::Refused(f.error)
        }))
    }
}
