//! Settings, faults and activity counts of a stand-in runner.
//!
//! The cache of a runner holds blocks of prompts that went through prefill. An
//! order tells a runner which models to hold. It carries a fence: a number that
//! rises each time another node obtains the right to give orders.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::runner::ModelVersion;
use crate::id::Fence;

/// Behaviour of a stand-in runner without faults.
#[derive(Clone, Debug)]
pub struct RunnerProfile {
    /// Largest number of streams that generate at the same time.
    pub slot_count: u32,
    /// Time between two tokens of a stream.
    pub token_interval: Duration,
    /// Time for the prefill of one prompt block that is not cached.
    pub prefill_time_per_block: Duration,
    /// Largest number of prompt blocks in the cache.
    pub cache_block_count: usize,
    /// Time after which a stream without readers stops generating.
    pub abandoned_stream_timeout: Duration,
    /// Time to load one model.
    pub load_time: Duration,
    /// Models that are loaded from the start.
    pub models: Vec<ModelVersion>,
    /// Whether the runner refuses orders whose fence is lower than one that it has
    /// seen.
    pub checks_fence: bool,
}

impl Default for RunnerProfile {
    fn default() -> Self {
        Self {
            slot_count: 32,
            token_interval: Duration::from_millis(20),
            prefill_time_per_block: Duration::from_micros(200),
            cache_block_count: 4096,
            abandoned_stream_timeout: Duration::from_secs(5),
            load_time: Duration::from_millis(300),
            models: Vec::new(),
            checks_fence: true,
        }
    }
}

/// Faults that a test can inject into a stand-in runner.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerFaults {
    /// Stop at once and close all connections, as if the process had been
    /// killed.
    pub die: bool,
    /// Stop answering and generating, but leave connections open.
    pub freeze: bool,
    /// Factor on the time between tokens; 0 and 1 leave it unchanged.
    pub slow_factor: u32,
    /// Report that the runner is about to leave, but still accept new streams.
    pub leaving: bool,
}

/// What a stand-in runner has done since its start, for tests to check.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunnerLedger {
    /// Tokens generated.
    pub token_count: u64,
    /// Prompt blocks that were not in the cache and went through prefill.
    pub block_count: u64,
    /// Prompt blocks that were in the cache.
    pub cached_block_count: u64,
    /// Streams opened.
    pub opened_count: u64,
    /// Number of model loads started by orders.
    pub load_count: u64,
    /// Fences of the accepted orders, in the order of their arrival.
    pub fences: Vec<Fence>,
}
