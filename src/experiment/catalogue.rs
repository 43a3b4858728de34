//! The list of experiments. Each produces one table.

use std::io;

use crate::experiment::claims::measure_claims;
use crate::experiment::control::{measure_control, measure_spread};
use crate::experiment::crashes::measure_crashes;
use crate::experiment::evidence::measure_evidence;
use crate::experiment::hedging::measure_hedging;
use crate::experiment::idle::measure_idle;
use crate::experiment::limits::measure_limits;
use crate::experiment::overload::measure_overload;
use crate::experiment::placement::{measure_losses, measure_placement};
use crate::experiment::resume::measure_resume;
use crate::experiment::rollout::measure_rollout;
use crate::experiment::sizes::measure_sizes;
use crate::observe::report::Report;

/// An experiment, by what it measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Pause of streams until they are resumed after runner faults, and tokens
    /// generated but not delivered.
    Resume,
    /// Platform reads and writes and the latency of at-most-once calls.
    Claims,
    /// Number of runners lost to a request that crashes them.
    Crashes,
    /// Cost of the evidence on what crashes upstreams.
    Evidence,
    /// Cost and use of a limit that an upstream names.
    Limits,
    /// Requests and tokens served in time, their share per customer, and
    /// refusals, under overload.
    Overload,
    /// Time until every node applies a new configuration.
    Config,
    /// Control traffic, processor time and memory of the membership protocol
    /// per node.
    Control,
    /// Time until an announcement has reached every node by gossip.
    Spread,
    /// Requests to the platform, traffic between nodes, processor time and memory
    /// of nodes that run all their parts, without callers.
    Idle,
    /// Encoded sizes of messages and stored records at the target scale, the
    /// size of deployment that users aim at.
    Sizes,
    /// Placement policies for prompts, compared in a simulation of engines.
    Placement,
    /// Ways to resume streams after the loss of engines, compared in a
    /// simulation.
    Losses,
    /// Second sends of plain calls, compared in a simulation.
    Hedging,
}

impl Experiment {
    /// Runs the experiment. Experiments that draw random numbers seed them with
    /// `seed`.
    pub async fn run(self, seed: u64) -> io::Result<Report> {
        match self {
            Self::Resume => measure_resume(seed).await,
            Self::Claims => measure_claims().await,
            Self::Crashes => measure_crashes(seed).await,
            Self::Evidence => Ok(measure_evidence()),
            Self::Limits => Ok(measure_limits()),
            Self::Overload => measure_overload(seed).await,
            Self::Config => measure_rollout().await,
            Self::Control => measure_control().await,
            Self::Spread => measure_spread().await,
            Self::Idle => measure_idle().await,
            Self::Sizes => measure_sizes().await,
            Self::Placement => measure_placement(seed),
            Self::Losses => measure_losses(seed),
            Self::Hedging => measure_hedging(seed),
        }
    }
}
