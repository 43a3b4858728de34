//! A simulated engine with chunked prefill: each step processes a chunk of one
//! prompt and generates one token of every running stream. A stream runs from the
//! end of its prefill until its answer is complete.
//!
//! A stream that no longer fits into the KV cache is preempted: it loses its
//! cache entries and goes through prefill again.

use std::collections::VecDeque;
use std::time::Duration;

use super::stream::StreamId;
use crate::policy::priority_class::PriorityClass;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EngineProfile {
    /// Time of a step without prefill, which generates one token of every
    /// running stream.
    pub(crate) decode_step: Duration,
    /// Prompt tokens that go through prefill in a millisecond.
    pub(crate) prefill_tokens_per_ms: u64,
    /// Largest number of prompt tokens that go through prefill in one step.
    pub(crate) prefill_chunk_tokens: u64,
    /// Largest number of streams that generate tokens at the same time.
    pub(crate) slot_count: usize,
    /// Capacity of the KV cache in tokens.
    pub(crate) kv_cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub(crate) tokens_per_event: u64,
}

/// The work on a stream that is left for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamWork {
    pub(crate) stream: StreamId,
    /// Tokens of the prompt and of the answer so far that still have to go
    /// through prefill.
    pub(crate) tokens_to_prefill: u64,
    /// Tokens that need no prefill, because they went through it here or came
    /// with a replica of another engine's KV cache.
    pub(crate) cached_tokens: u64,
    /// Tokens of the answer that are still to be generated.
    pub(crate) tokens_to_generate: u64,
    /// Urgency of the stream. The engine prefills the most urgent first, and preempts
    /// the least urgent first.
    pub(crate) priority_class: PriorityClass,
}

/// What happened to a stream in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The stream sent its next event.
    Event(StreamId),
    /// The stream is complete.
    Complete(StreamId),
    /// The stream was evicted from the KV cache and is queued again. This number
    /// of tokens has to go through prefill once more.
    Preempted(StreamId, u64),
}

#[derive(Clone, Copy, Debug)]
struct RunningStream {
    work: StreamWork,
    /// Tokens generated since the stream started to run at this engine.
    generated_tokens: u64,
}

impl RunningStream {
    fn cache_tokens(&self) -> u64 {
        self.work.cached_tokens + self.generated_tokens
    }
}

/// The state of an engine: the streams that wait for prefill or are in it, and
/// those that generate tokens.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    profile: EngineProfile,
    prefill_queue: VecDeque<StreamWork>,
    running: Vec<RunningStream>,
}

impl Engine {
    pub(crate) fn new(profile: EngineProfile) -> Self {
        Self {
            profile,
            prefill_queue: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Adds a stream to the prefill queue, behind those that are as urgent.
    pub(crate) fn accept(&mut self, work: StreamWork) {
        let is_ahead = |queued: &StreamWork| queued.priority_class <= work.priority_class;
        let behind = self.prefill_queue.iter().rposition(is_ahead);
        // The first prompt may be in prefill already, which is not interrupted.
        let at = behind.map_or(1, |at| at + 1).min(self.prefill_queue.len());
        self.prefill_queue.insert(at, work);
    }

    /// Whether no stream is queued or running.
    pub(crate) fn is_idle(&self) -> bool {
        self.prefill_queue.is_empty() && self.running.is_empty()
    }

    /// Executes one step: prefills a chunk of the first queued prompt and generates
    /// a token of every running stream. Returns how long the step took and what
    /// happened in it.
    pub(crate) fn step(&mut self) -> (Duration, Vec<Progress>) {
        let mut progress = Vec::new();
        let prefilled_tokens = self.prefill_chunk();
        self.generate_tokens(&mut progress);
        self.preempt_streams(&mut progress);
        let prefill_ms = prefilled_tokens as f64 / self.profile.prefill_tokens_per_ms as f64;
        let prefill_time = Duration::from_secs_f64(prefill_ms / 1e3);
        (self.profile.decode_step + prefill_time, progress)
    }

    fn prefill_chunk(&mut self) -> u64 {
        let has_slot = self.running.len() < self.profile.slot_count;
        let free_cache_tokens = self
            .profile
            .kv_cache_tokens
            .saturating_sub(self.used_cache_tokens());
        let Some(first) = self.prefill_queue.front_mut() else {
            return 0;
        };
        let needed_cache_tokens = first.tokens_to_prefill + first.cached_tokens;
        if !has_slot || needed_cache_tokens > free_cache_tokens {
            return 0;
        }
        let chunk_tokens = first
            .tokens_to_prefill
            .min(self.profile.prefill_chunk_tokens);
        first.tokens_to_prefill -= chunk_tokens;
        first.cached_tokens += chunk_tokens;
        if first.tokens_to_prefill == 0
            && let Some(work) = self.prefill_queue.pop_front()
        {
            self.running.push(RunningStream {
                work,
                generated_tokens: 0,
            });
        }
        chunk_tokens
    }

    fn generate_tokens(&mut self, progress: &mut Vec<Progress>) {
        for run in &mut self.running {
            run.generated_tokens += 1;
            let stream = run.work.stream;
            if run.generated_tokens % self.profile.tokens_per_event == 0 {
                progress.push(Progress::Event(stream));
            }
            if run.generated_tokens >= run.work.tokens_to_generate {
                progress.push(Progress::Complete(stream));
            }
        }
        self.running
            .retain(|run| run.generated_tokens < run.work.tokens_to_generate);
    }

    /// Preempts the least urgent streams, those that started last first, until the others fit into the KV
    /// cache.
    fn preempt_streams(&mut self, progress: &mut Vec<Progress>) {
        while self.used_cache_tokens() > self.profile.kv_cache_tokens {
            let last = self.running.iter().enumerate();
            let last = last.max_by_key(|(at, run)| (run.work.priority_class, *at));
            let Some((at, _)) = last else {
                return;
            };
            let newest = self.running.remove(at);
            let tokens_to_prefill = newest.cache_tokens();
            // Tokens of an incomplete event were not sent and are generated
            // again.
            let sent_tokens =
                newest.generated_tokens - newest.generated_tokens % self.profile.tokens_per_event;
            let stream = newest.work.stream;
            progress.push(Progress::Preempted(stream, tokens_to_prefill));
            self.accept(StreamWork {
                stream,
                tokens_to_prefill,
                cached_tokens: 0,
                tokens_to_generate: newest.work.tokens_to_generate - sent_tokens,
                priority_class: newest.work.priority_class,
            });
        }
    }

    fn used_cache_tokens(&self) -> u64 {
        self.running.iter().map(RunningStream::cache_tokens).sum()
    }
}
