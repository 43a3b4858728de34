//! Settings of an entry node.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::options;
use crate::id::{DataCentreId, NodeId};
use crate::policy::hedging::HedgeLimits;
use crate::policy::retry_budget_share::RetryLimits;
use crate::policy::rollout::RolloutBounds;
use crate::settings::SettingsError;

/// Settings of an entry node, decoded from the platform's settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Data centre of this node.
    pub data_centre: DataCentreId,
    /// Address at which this node listens for callers.
    pub callers: SocketAddr,
    /// Address at which this node listens for the platform's readiness probes.
    pub readiness: SocketAddr,
    /// Address at which this node listens for callers that look up the addresses
    /// of entry nodes.
    pub addresses: SocketAddr,
    /// Address at which this node listens for other nodes, over UDP and TCP.
    pub peers: SocketAddr,
    /// Address at which this node accepts calls that other nodes relay.
    pub relay: SocketAddr,
    /// Nodes to contact first when joining the cluster, by the addresses at which
    /// they listen for other nodes.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum time for which callers may cache a list of node addresses.
    pub address_keep: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time within which a new configuration must be in force on all nodes.
    pub config_bound: Duration,
    /// Time after which an upstream that drains must get no calls from any node.
    pub drain_bound: Duration,
    /// Maximum ratio of retries to calls in a window, over all nodes together.
    pub retry_ratio: f64,
    /// Window over which calls and retries are counted.
    pub retry_window: Duration,
    /// Number of retries allowed per window in addition to those that
    /// `retry_ratio` allows, over all nodes together.
    pub retry_slack: f64,
    /// Memory in megabytes above which the platform kills the process.
    pub memory_mb: Option<u64>,
    /// Maximum number of open file descriptors.
    pub descriptors_max: Option<u64>,
    /// Limits on rollouts of new software versions, if the deployment asks for rollouts.
    pub(crate) rollouts: Option<RolloutBounds>,
    /// Limits on hedged requests, from the options file.
    pub(crate) hedge_limits: HedgeLimits,
}

impl EdgeSettings {
    /// Reads and checks the settings file that the platform wrote.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        crate::platform::settings::load(path)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        crate::platform::settings::read(text)
    }

    /// Reads and checks the options file of the operators, and applies it.
    pub fn load_options(&mut self, path: &Path) -> Result<(), SettingsError> {
        let options = options::load(path, self.retry_ratio)?;
        self.hedge_limits = options.hedging;
        Ok(())
    }

    /// Parses and checks the text of an options file, and applies it.
    pub fn parse_options(&mut self, text: &str) -> Result<(), SettingsError> {
        let options = options::read(text, self.retry_ratio)?;
        self.hedge_limits = options.hedging;
        Ok(())
    }

    /// Whether this node is one of the seeds, or no seeds are configured.
    pub(crate) fn is_seed(&self) -> bool {
        self.seeds.is_empty() || self.seeds.contains(&self.peers)
    }

    /// Limits on the retries of all nodes together.
    pub(crate) fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: self.retry_window,
        }
    }
}
