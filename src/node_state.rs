//! The state that the components of one node share.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller::admission::Admission;
use crate::claims::forwarder::ClaimForwarder;
use crate::configuration::config::Config;
use crate::configuration::document::DocumentStore;
use crate::configuration::document_sync::DocumentSync;
use crate::configuration::intent_manager::IntentManager;
use crate::error::{Error, ErrorKind};
use crate::fleet::crash_tracker::CrashTracker;
use crate::fleet::service::ServiceClient;
use crate::fleet::table::Fleet;
use crate::generation::dispatch::Dispatcher;
use crate::membership::gossip::Membership;
use crate::membership::message::{DocumentVersion, ReplyBody, RequestBody, StatusReply};
use crate::membership::peer::PeerClient;
use crate::membership::peer_server::PeerHandler;
use crate::observe::metrics::Metrics;
use crate::settings::Settings;
use crate::store::object_api::PlatformClient;
use crate::store::revision::Revision;

/// The components of one node.
#[derive(Debug)]
pub(crate) struct NodeState {
    pub(crate) settings: Settings,
    pub(crate) platform: PlatformClient,
    pub(crate) membership: Membership,
    pub(crate) peers: PeerClient,
    pub(crate) documents: Arc<DocumentStore>,
    pub(crate) config_sync: DocumentSync,
    pub(crate) config: ArcSwapOption<Config>,
    pub(crate) intents: IntentManager<PlatformClient>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) crash_tracker: Arc<CrashTracker>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) claims: ClaimForwarder,
    pub(crate) services: ServiceClient,
    pub(crate) metrics: Arc<Metrics>,
    /// Tasks that must finish before a drain ends: running calls and
    /// generations, and writes of claim outcomes.
    pub(crate) tasks: TaskTracker,
    /// Cancelled when everything must stop at once.
    pub(crate) abort_token: CancellationToken,
}

impl NodeState {
    /// The configuration in force at this node.
    pub(crate) fn config(&self) -> Result<Arc<Config>, Error> {
        self.config.load_full().ok_or_else(|| {
            Error::new(
                ErrorKind::NotReady,
                "no confirmed configuration has reached this node yet",
            )
        })
    }

    /// The configuration in force at this node, if the node has slots for every
    /// model in it.
    pub(crate) fn ready_config(&self) -> Result<Arc<Config>, Error> {
        let config = self.config()?;
        let mut models = config.intent().models.keys();
        if models.any(|model| !self.admission.has_slots(model)) {
            return Err(Error::new(
                ErrorKind::NotReady,
                "a model of the configuration has no ready runner yet",
            ));
        }
        Ok(config)
    }

    /// The document versions that this node holds, and its requests in flight and
    /// queued.
    pub(crate) fn status_reply(&self) -> StatusReply {
        // The configuration may have arrived but not be applied yet, so the
        // applied version is reported.
        let applied_version = self.config.load().as_ref().map_or(0, |c| c.version);
        let versions = self.documents.versions().into_iter();
        StatusReply {
            documents: versions
                .map(|(name, version)| {
                    let is_config = name == crate::store::object_api::CONFIG_KEY;
                    let version = if is_config { applied_version } else { version };
                    DocumentVersion::new(name, Revision::without_era(version))
                })
                .collect(),
            in_flight_count: self.admission.demand_count() as u32,
        }
    }
}

/// Handles the requests of other nodes.
#[derive(Debug)]
pub(crate) struct PeerApi {
    state: Arc<NodeState>,
}

impl PeerApi {
    pub(crate) fn new(state: Arc<NodeState>) -> Self {
        Self { state }
    }
}

impl PeerHandler for PeerApi {
    async fn handle(&self, request: RequestBody) -> Option<ReplyBody> {
        let reply = match request {
            RequestBody::Sync(request) => {
                ReplyBody::Sync(self.state.membership.sync_reply(&request))
            }
            RequestBody::Fetch(request) => {
                ReplyBody::Document(self.state.documents.reply(&request))
            }
            RequestBody::Claim(operation) => {
                ReplyBody::Claim(self.state.claims.apply_locally(operation).await)
            }
            RequestBody::Crashes(record) => {
                ReplyBody::Crashes(self.state.crash_tracker.merge_and_reply(&record))
            }
            RequestBody::Status(_) => ReplyBody::Status(self.state.status_reply()),
            // Only entry nodes share a retry budget, the origins of runs and the
            // limits of upstreams.
            RequestBody::Retry(_)
            | RequestBody::RunOrigin(_)
            | RequestBody::Permit(_)
            | RequestBody::Rollout(_) => {
                return None;
            }
        };
        Some(reply)
    }
}
