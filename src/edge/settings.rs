//! What an entry node is told before it starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::id::{DataCentreId, NodeId};
use crate::policy::retry_budget_share::RetryLimits;
use crate::settings::SettingsError;

/// Settings of an entry node, decoded from the platform's file.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where callers ask which addresses to use.
    pub addresses: SocketAddr,
    /// Where it listens for other nodes, over UDP and TCP.
    pub peers: SocketAddr,
    /// Peer addresses at which other nodes may be found.
    pub seeds: Vec<SocketAddr>,
    /// Where the platform's store listens.
    pub store: SocketAddr,
    /// Longest time for which callers keep an address answer.
    pub address_keep: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time within which a new configuration is in force.
    pub config_bound: Duration,
    /// Repeated sends that all nodes may spend for each call.
    pub retry_ratio: f64,
    /// Window in which repeated sends are counted.
    pub retry_window: Duration,
    /// Repeated sends that all nodes may spend besides.
    pub retry_slack: f64,
    /// Memory above which the process is killed, in megabytes.
    pub memory_mb: Option<u64>,
    /// Most open descriptors.
    pub descriptors_max: Option<u64>,
}

impl EdgeSettings {
    /// Reads and checks the settings file that the platform wrote.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        crate::platform::settings::load(path)
    }

    /// Reads and checks the text of such a file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        crate::platform::settings::read(text)
    }

    /// Whether other nodes look for this one first, or it has no other to look for.
    pub(crate) fn is_seed(&self) -> bool {
        self.seeds.is_empty() || self.seeds.contains(&self.peers)
    }

    /// What all nodes together may spend on repeated sends.
    pub(crate) fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: self.retry_window,
        }
    }
}
