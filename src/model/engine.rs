//! One engine: it reads prompts in chunks between the tokens of its batch.

use std::collections::VecDeque;
use std::time::Duration;

use super::stream::StreamId;

/// What an engine can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EngineProfile {
    /// Time of a step in which every running stream gets a token.
    pub(crate) step: Duration,
    /// Prompt tokens read in a millisecond.
    pub(crate) read_tokens_per_ms: u64,
    /// Most prompt tokens read in one step.
    pub(crate) chunk_tokens: u64,
    /// Streams that run at once.
    pub(crate) slot_count: usize,
    /// Tokens that fit into memory.
    pub(crate) memory_tokens: u64,
    /// Tokens in an event.
    pub(crate) event_tokens: u64,
}

/// What a stream needs of the engine that it is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Work {
    /// The stream.
    pub(crate) stream: StreamId,
    /// Tokens of its prompt and of its answer so far that are not in memory.
    pub(crate) unread_tokens: u64,
    /// Tokens that are in memory already, from a copy.
    pub(crate) kept_tokens: u64,
    /// Tokens that are still to be made.
    pub(crate) left_tokens: u64,
}

/// What came of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// A stream got its next event.
    Event(StreamId),
    /// A stream is complete.
    Complete(StreamId),
    /// A stream lost its memory to others, and is read again.
    Preempted(StreamId, u64),
}

#[derive(Clone, Copy, Debug)]
struct Run {
    work: Work,
    made_tokens: u64,
}

impl Run {
    fn memory_tokens(&self) -> u64 {
        self.work.kept_tokens + self.made_tokens
    }
}

/// An engine and what it works on.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    profile: EngineProfile,
    waiting: VecDeque<Work>,
    running: Vec<Run>,
}

impl Engine {
    /// Makes an engine without work.
    pub(crate) fn new(profile: EngineProfile) -> Self {
        Self {
            profile,
            waiting: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Takes a stream in, behind those that wait.
    pub(crate) fn accept(&mut self, work: Work) {
        self.waiting.push_back(work);
    }

    /// Whether there is nothing to do.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Does one step: reads a chunk of the first prompt, and makes a token of
    /// every running stream. Gives how long it took and what came of it.
    pub(crate) fn step(&mut self) -> (Duration, Vec<Progress>) {
        let mut progress = Vec::new();
        let read_tokens = self.read_chunk();
        self.make_tokens(&mut progress);
        self.make_room(&mut progress);
        let read_ms = read_tokens as f64 / self.profile.read_tokens_per_ms as f64;
        let read_time = Duration::from_secs_f64(read_ms / 1e3);
        (self.profile.step + read_time, progress)
    }

    fn read_chunk(&mut self) -> u64 {
        let has_slot = self.running.len() < self.profile.slot_count;
        let free_tokens = self
            .profile
            .memory_tokens
            .saturating_sub(self.used_tokens());
        let Some(first) = self.waiting.front_mut() else {
            return 0;
        };
        let needed_tokens = first.unread_tokens + first.kept_tokens;
        if !has_slot || needed_tokens > free_tokens {
            return 0;
        }
        let chunk_tokens = first.unread_tokens.min(self.profile.chunk_tokens);
        first.unread_tokens -= chunk_tokens;
        first.kept_tokens += chunk_tokens;
        if first.unread_tokens == 0
            && let Some(work) = self.waiting.pop_front()
        {
            self.running.push(Run {
                work,
                made_tokens: 0,
            });
        }
        chunk_tokens
    }

    fn make_tokens(&mut self, progress: &mut Vec<Progress>) {
        for run in &mut self.running {
            run.made_tokens += 1;
            let stream = run.work.stream;
            if run.made_tokens % self.profile.event_tokens == 0 {
                progress.push(Progress::Event(stream));
            }
            if run.made_tokens >= run.work.left_tokens {
                progress.push(Progress::Complete(stream));
            }
        }
        self.running
            .retain(|run| run.made_tokens < run.work.left_tokens);
    }

    /// The newest run yields where memory is over.
    fn make_room(&mut self, progress: &mut Vec<Progress>) {
        while self.used_tokens() > self.profile.memory_tokens {
            let Some(newest) = self.running.pop() else {
                return;
            };
            let unread_tokens = newest.memory_tokens();
            // An event that was begun is made anew.
            let whole_tokens = newest.made_tokens - newest.made_tokens % self.profile.event_tokens;
            let stream = newest.work.stream;
            progress.push(Progress::Preempted(stream, unread_tokens));
            self.waiting.push_back(Work {
                stream,
                unread_tokens,
                kept_tokens: 0,
                left_tokens: newest.work.left_tokens - whole_tokens,
            });
        }
    }

    fn used_tokens(&self) -> u64 {
        self.running.iter().map(Run::memory_tokens).sum()
    }
}
