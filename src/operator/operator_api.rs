//! The HTTP API for operators. An operator states an intent (the complete wanted
//! configuration), gets the plan of what would change, and confirms it. The API
//! also serves the status of nodes and runners, and the audit trail.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::caller::identity::bearer_token;
use crate::configuration::config::key_hash;
use crate::configuration::intent::Intent;
use crate::error::{Error, ErrorKind};
use crate::fleet::runner::ModelVersion;
use crate::http::{self, Handler, HttpResponse};
use crate::id::{NodeId, Version};
use crate::membership::members::Member;
use crate::membership::message::{ReplyBody, RequestBody, StatusRequest};
use crate::node_state::NodeState;
use crate::observe::metrics::Counter;
use crate::store::object_api::{CONFIG_KEY, VMS_KEY};

/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 512 * 1024;
/// Time-out of a status request to another node.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of audit records in one response.
const AUDIT_COUNT: usize = 50;

/// Body of the request that confirms an intent.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmBody {
    /// Version of the configuration that the plan was made for.
    pub base: Version,
}

/// Response to a confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// Version of the configuration that the confirmed intent created.
    pub version: Version,
}

/// The configuration in force at each node, and the state of the runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Highest version of the configuration among the nodes that answered.
    pub version: Version,
    /// Whether every live node answered that it has this version in force.
    pub in_force_everywhere: bool,
    /// Nodes that the answering node considers live, by name.
    pub nodes: BTreeMap<NodeId, NodeStatus>,
    /// Runners that the answering node knows, by name.
    pub runners: BTreeMap<String, RunnerStatus>,
    /// Counters of the answering node, by name.
    pub counters: BTreeMap<String, u64>,
}

/// One node's part of a [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Address at which the node listens for callers.
    pub caller_address: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Whether the node is draining.
    pub leaving: bool,
    /// Version of the configuration in force at the node; absent if the node did
    /// not answer.
    pub version: Option<Version>,
    /// Version of the VM list that the node holds; absent if it did not answer.
    pub vms_version: Option<Version>,
    /// Requests in flight and waiting at the node; zero if it did not answer.
    pub in_flight_count: u32,
}

/// One runner's part of a [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerStatus {
    /// Data centre of the runner.
    pub data_centre: String,
    /// Whether the runner is about to stop.
    pub leaving: bool,
    /// Whether the runner refuses orders (which models to load) whose fence is
    /// lower than one it has seen.
    pub checks_fence: bool,
    /// Models that the runner reported as loaded and ready to serve.
    pub ready: Vec<ModelVersion>,
}

/// Handles the requests of operators.
#[derive(Debug)]
pub(crate) struct OperatorApi {
    state: Arc<NodeState>,
}

impl OperatorApi {
    pub(crate) fn new(state: Arc<NodeState>) -> Self {
        Self { state }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<HttpResponse, Error> {
        let operator = self.authenticate(&request)?;
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["v1", "intents"]) => {
                let body = http::read_body(request.into_body(), BODY_MAX_BYTES).await?;
                let intent: Intent = http::parse_json(&body)?;
                let plan = self.state.intents.state_intent(&operator, intent).await?;
                Ok(http::json(StatusCode::OK, &plan))
            }
            (&Method::GET, ["v1", "intents", id, "plan"]) => {
                let plan = self.state.intents.plan(&(*id).to_owned()).await?;
                Ok(http::json(StatusCode::OK, &plan))
            }
            (&Method::POST, ["v1", "intents", id, "confirm"]) => {
                let body = http::read_body(request.into_body(), BODY_MAX_BYTES).await?;
                let ConfirmBody { base } = http::parse_json(&body)?;
                self.confirm(&operator, id, base).await
            }
            (&Method::GET, ["v1", "status"]) => {
                Ok(http::json(StatusCode::OK, &self.status().await))
            }
            (&Method::GET, ["v1", "audit"]) => {
                let platform = self.state.platform.clone();
                let list = |prefix| async move { platform.list(prefix).await };
                let records = self.state.intents.audit(list, AUDIT_COUNT).await?;
                Ok(http::json(StatusCode::OK, &records))
            }
            _ => Err(Error::new(
                ErrorKind::NotFound,
                "no such path in the operator API",
            )),
        }
    }

    fn authenticate(&self, request: &Request<Incoming>) -> Result<String, Error> {
        let hash = key_hash(bearer_token(request)?);
        let mut operators = self.state.settings.operators.iter();
        let operator = operators.find(|(_, known)| known.eq_ignore_ascii_case(&hash));
        operator
            .map(|(name, _)| name.clone())
            .ok_or_else(|| Error::new(ErrorKind::Unauthorized, "the key belongs to no operator"))
    }

    async fn confirm(
        &self,
        operator: &str,
        id: &str,
        base: Version,
    ) -> Result<HttpResponse, Error> {
        let intent_id = id.to_owned();
        let confirmed = self
            .state
            .intents
            .confirm(operator, &intent_id, base)
            .await?;
        let version = confirmed.version;
        log::info!("{operator} confirmed intent {id} as version {version}");
        self.state.config_sync.exchange.offer(confirmed.in_force);
        Ok(http::json(StatusCode::OK, &Confirmed { version }))
    }

    async fn status(&self) -> Status {
        let members = self.state.membership.alive();
        let requests: Vec<_> = members
            .into_iter()
            .map(|member| tokio::spawn(request_status(self.state.clone(), member)))
            .collect();
        let mut nodes = BTreeMap::new();
        for request in requests {
            if let Ok((node, status)) = request.await {
                nodes.insert(node, status);
            }
        }
        let version = nodes.values().filter_map(|n| n.version).max().unwrap_or(0);
        let views = self.state.fleet.views().into_iter();
        Status {
            version,
            in_force_everywhere: nodes.values().all(|n| n.version == Some(version)),
            nodes,
            runners: views
                .map(|view| {
                    let status = RunnerStatus {
                        data_centre: view.data_centre,
                        leaving: view.leaving,
                        checks_fence: view.checks_fence,
                        ready: view.ready,
                    };
                    (view.runner, status)
                })
                .collect(),
            counters: Counter::ALL
                .iter()
                .map(|c| (c.name().to_owned(), self.state.metrics.get(*c)))
                .collect(),
        }
    }
}

async fn request_status(state: Arc<NodeState>, member: Member) -> (NodeId, NodeStatus) {
    let is_self = member.node == state.settings.node;
    let reply = if is_self {
        Some(state.status_reply())
    } else {
        let request = RequestBody::Status(StatusRequest {});
        let reply = state
            .peers
            .call(member.peer_address, request, STATUS_TIMEOUT);
        match reply.await {
            Ok(ReplyBody::Status(reply)) => Some(reply),
            _ => None,
        }
    };
    let version_of = |name: &str| {
        let documents = &reply.as_ref()?.documents;
        documents.iter().find(|d| d.name == name).map(|d| d.version)
    };
    let status = NodeStatus {
        caller_address: member.caller_address.to_string(),
        data_centre: member.data_centre,
        leaving: member.leaving,
        version: version_of(CONFIG_KEY),
        vms_version: version_of(VMS_KEY),
        in_flight_count: reply.as_ref().map_or(0, |r| r.in_flight_count),
    };
    (member.node, status)
}

impl Handler for OperatorApi {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let result = self.route(request).await;
        result.unwrap_or_else(|error| http::error_response(&error))
    }
}
