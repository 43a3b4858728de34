//! The experiments, by name; each prints one table from a seed.

use std::io;

use crate::experiment::claims::measure_claims;
use crate::experiment::config::measure_config;
use crate::experiment::control::{measure_control, measure_spread};
use crate::experiment::crashes::measure_crashes;
use crate::experiment::idle::measure_idle;
use crate::experiment::overload::measure_overload;
use crate::experiment::placement::{measure_losses, measure_placement};
use crate::experiment::resume::measure_resume;
use crate::experiment::sizes::measure_sizes;
use crate::observe::report::Report;

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
    /// Ways to place prompts, on the model of engines.
    Placement,
    /// Ways to go on after a loss, on the model of engines.
    Losses,
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
            Self::Placement => measure_placement(seed),
            Self::Losses => measure_losses(seed),
        }
    }
}
