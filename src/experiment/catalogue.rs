//! The experiments, by name; each prints one table from a seed.

use std::io;

use crate::configuration::intent::Intent;
use crate::experiment::claims::measure_claims;
use crate::experiment::config::measure_config;
use crate::experiment::control::{measure_control, measure_spread};
use crate::experiment::crashes::measure_crashes;
use crate::experiment::idle::measure_idle;
use crate::experiment::overload::measure_overload;
use crate::experiment::resume::measure_resume;
use crate::experiment::sizes::measure_sizes;
use crate::observe::report::Report;

const KESTREL_INTENT: &str = include_str!("../../examples/kestrel-intent.yaml");
const FARO_INTENT: &str = include_str!("../../examples/faro-intent.yaml");

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Resume latency against extra work.
    Resume,
    /// Platform writes and latency of calls that run at most once.
    Claims,
    /// Runners lost to a request that crashes them.
    Crashes,
    /// Goodput, shares and refusals under overload.
    Overload,
    /// Time until a configuration is in force everywhere.
    Config,
    /// Control traffic, processor time and memory per node.
    Control,
    /// Time until an announcement has reached every node.
    Spread,
    /// Whole nodes that do nothing: platform calls, processor time, memory.
    Idle,
    /// Bytes of what travels, at the users' target size.
    Sizes,
}

/// One of the two deployments of the brief, at its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Kestrel: strike pay.
    Kestrel,
    /// Faro Patinhas: lost-pet alerts.
    Faro,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Kestrel, Self::Faro];

    /// Name in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Kestrel => "kestrel",
            Self::Faro => "faro",
        }
    }

    /// Its example intent.
    pub(crate) fn intent(self) -> io::Result<Intent> {
        let text = match self {
            Self::Kestrel => KESTREL_INTENT,
            Self::Faro => FARO_INTENT,
        };
        serde_saphyr::from_str(text).map_err(io::Error::other)
    }

    /// Entry VMs.
    pub(crate) fn node_count(self) -> usize {
        match self {
            Self::Kestrel => 7,
            Self::Faro => 6,
        }
    }

    /// Runners.
    pub(crate) fn runner_count(self) -> usize {
        match self {
            Self::Kestrel => 25,
            Self::Faro => 35,
        }
    }

    /// A customer's key, a kind of caller and a model to measure with.
    pub(crate) fn caller(self) -> (&'static str, &'static str, &'static str) {
        match self {
            Self::Kestrel => ("federation-key", "steward", "steward-chat"),
            Self::Faro => ("shelters-key", "digest", "sighting-drafts"),
        }
    }
}

impl Experiment {
    /// Runs the experiment from a seed.
    pub async fn run(self, seed: u64) -> io::Result<Report> {
        match self {
            Self::Resume => measure_resume(seed).await,
            Self::Claims => measure_claims().await,
            Self::Crashes => measure_crashes(seed).await,
            Self::Overload => measure_overload(seed).await,
            Self::Config => measure_config().await,
            Self::Control => measure_control().await,
            Self::Spread => measure_spread().await,
            Self::Idle => measure_idle().await,
            Self::Sizes => measure_sizes().await,
        }
    }
}
