//! The load that this node puts on an upstream, and the speed that its streams show there.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::Upstream;
use crate::policy::engine_speed::{EngineSpeed, SpeedEstimate};

/// Size of the smallest prompt whose prefill shows the speed of an engine. That of a shorter
/// one takes less time than the call's way there and back.
const MEASURED_PROMPT_TOKENS_MIN: u64 = 500;

/// What is known of the speed at one address, which outlives the incarnation there.
pub(crate) type SharedSpeed = Arc<Mutex<EngineSpeed>>;

impl Upstream {
    /// What this node learned of the speed of the upstream, which is an engine.
    pub(crate) fn speed(&self, now: Instant) -> SpeedEstimate {
        self.lock_speed().estimate(now)
    }

    /// Applies what a stream shows of the speed of the upstream.
    pub(crate) fn learn_speed(&self, learn: impl FnOnce(&mut EngineSpeed)) {
        learn(&mut self.lock_speed());
    }

    /// The speed, which a later incarnation at the address shares.
    pub(crate) fn shared_speed(&self) -> SharedSpeed {
        self.speed.clone()
    }

    fn lock_speed(&self) -> MutexGuard<'_, EngineSpeed> {
        self.speed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Prompt tokens that this node sent to the upstream and whose prefill is not
    /// finished.
    pub(crate) fn pending_prompt_tokens(&self) -> u64 {
        self.pending_prompt_tokens.load(Ordering::Relaxed)
    }

    /// Tokens of KV cache that this node's streams, and the replicas of its
    /// streams, take at the upstream.
    pub(crate) fn kv_cache_tokens(&self) -> u64 {
        self.kv_cache_tokens.load(Ordering::Relaxed)
    }

    /// Calls that this node has in flight at the upstream.
    pub(crate) fn call_count(&self) -> u32 {
        self.call_count.load(Ordering::Relaxed)
    }
}

/// Load that is counted at an upstream until this is dropped.
#[derive(Debug)]
pub(crate) struct Work {
    /// When the call was counted, just before it was sent.
    began_at: Instant,
    /// Prompt tokens whose prefill shows the speed of the upstream. Zero if this node had
    /// other prompts pending there, whose prefill comes first.
    measured_prompt_tokens: u64,
    upstream: Arc<Upstream>,
    pending_prompt_tokens: u64,
    kv_cache_tokens: u64,
    call_count: u32,
}

impl Work {
    /// Counts a call in flight, its prompt tokens until their prefill is finished,
    /// and the tokens of KV cache that it needs at its end.
    pub(crate) fn call(
        upstream: &Arc<Upstream>,
        pending_prompt_tokens: u64,
        kv_cache_tokens: u64,
    ) -> Self {
        Self::count(upstream, pending_prompt_tokens, kv_cache_tokens, 1)
    }

    /// Counts a KV cache replica of a stream.
    pub(crate) fn replica(upstream: &Arc<Upstream>, kv_cache_tokens: u64) -> Self {
        Self::count(upstream, 0, kv_cache_tokens, 0)
    }

    fn count(
        upstream: &Arc<Upstream>,
        pending_prompt_tokens: u64,
        kv_cache_tokens: u64,
        call_count: u32,
    ) -> Self {
        let already_pending = upstream
            .pending_prompt_tokens
            .fetch_add(pending_prompt_tokens, Ordering::Relaxed);
        upstream
            .kv_cache_tokens
            .fetch_add(kv_cache_tokens, Ordering::Relaxed);
        upstream.call_count.fetch_add(call_count, Ordering::Relaxed);
        Self {
            began_at: Instant::now(),
            measured_prompt_tokens: if already_pending == 0 {
                pending_prompt_tokens
            } else {
                0
            },
            upstream: upstream.clone(),
            pending_prompt_tokens,
            kv_cache_tokens,
            call_count,
        }
    }

    /// Keeps the call from being taken for a measure of the speed of the upstream, which has
    /// its prompt cached.
    pub(crate) fn skip_measurement(&mut self) {
        self.measured_prompt_tokens = 0;
    }

    /// Records that the first event of the call arrived, which shows the speed of the
    /// upstream, and stops counting the prompt.
    pub(crate) fn first_event_arrived(&mut self, now: Instant) {
        let tokens = std::mem::take(&mut self.measured_prompt_tokens);
        let elapsed = now.saturating_duration_since(self.began_at);
        if tokens >= MEASURED_PROMPT_TOKENS_MIN {
            self.upstream
                .learn_speed(|speed| speed.record_prefill(tokens, elapsed, now));
        }
        self.prefill_done();
    }

    /// Stops counting the prompt, whose prefill is finished.
    fn prefill_done(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prompt_tokens);
        self.upstream
            .pending_prompt_tokens
            .fetch_sub(tokens, Ordering::Relaxed);
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.prefill_done();
        let upstream = &self.upstream;
        upstream
            .kv_cache_tokens
            .fetch_sub(self.kv_cache_tokens, Ordering::Relaxed);
        upstream
            .call_count
            .fetch_sub(self.call_count, Ordering::Relaxed);
    }
}
