//! How a stand-in engine behaves, what can go wrong there, and what it did.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::runner::ModelVersion;
use crate::id::Fence;

/// How a stand-in engine behaves when nothing is wrong.
#[derive(Clone, Debug)]
pub struct RunnerProfile {
    /// Streams that generate at once.
    pub slot_count: u32,
    /// Time between two tokens of a stream.
    pub token_interval: Duration,
    /// Time to take in one block of a prompt that is not cached.
    pub block_interval: Duration,
    /// Prompt blocks the cache holds.
    pub cache_block_count: usize,
    /// How long a stream that nobody reads goes on.
    pub unread_keep: Duration,
    /// Time to load a model.
    pub load_time: Duration,
    /// Models held from the start.
    pub models: Vec<ModelVersion>,
    /// Whether orders with an old fence are refused.
    pub checks_fence: bool,
}

impl Default for RunnerProfile {
    fn default() -> Self {
        Self {
            slot_count: 32,
            token_interval: Duration::from_millis(20),
            block_interval: Duration::from_micros(200),
            cache_block_count: 4096,
            unread_keep: Duration::from_secs(5),
            load_time: Duration::from_millis(300),
            models: Vec::new(),
            checks_fence: true,
        }
    }
}

/// Faults a test can order an engine to have.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerFaults {
    /// Die at once, cutting every connection.
    pub die: bool,
    /// Stop answering and generating, with connections left open.
    pub freeze: bool,
    /// Factor on the time between tokens; 0 and 1 mean none.
    pub slow_factor: u32,
    /// Say that the engine is about to go, and take new work all the same.
    pub leaving: bool,
}

/// What an engine has done, for checkers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunnerLedger {
    /// Tokens generated.
    pub token_count: u64,
    /// Prompt blocks taken in without the cache's help.
    pub block_count: u64,
    /// Prompt blocks found in the cache.
    pub cached_block_count: u64,
    /// Streams opened.
    pub opened_count: u64,
    /// Models loaded from the weight store.
    pub load_count: u64,
    /// Fences of the orders that were carried out.
    pub fences: Vec<Fence>,
}
