//! One life of one upstream, and what this node has under way there.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::connection::ConnectionPool;
use crate::id::{DataCentreId, ServiceId};

/// Names one life of an upstream, as it registered itself.
pub(crate) type UpstreamId = String;

/// Shortest time for which an upstream that failed is avoided.
const AVOID_MIN: Duration = Duration::from_millis(400);
/// Longest time for which an upstream that failed is avoided.
const AVOID_MAX: Duration = Duration::from_millis(3_200);

/// Part of what is believed that one more call replaces.
const LEARNING_RATE: f64 = 0.15;
/// Pause for an upstream that is full.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// What an upstream registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamEntry {
    /// Its name.
    pub(crate) id: UpstreamId,
    /// Start of this life; zero when unknown.
    pub(crate) born_unix_ms: u64,
    /// Service that it serves.
    pub(crate) service: ServiceId,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Data centre it stands in.
    pub(crate) data_centre: DataCentreId,
    /// Calls that it runs at once.
    pub(crate) slot_count: u32,
    /// Whether it takes no new calls.
    pub(crate) draining: bool,
}

impl UpstreamEntry {
    /// Whether another life began at this address after this one. The entry of
    /// a life that crashed stays for some heartbeats beside its successor's.
    pub(crate) fn precedes(&self, other: &Self) -> bool {
        self.address == other.address
            && self.id != other.id
            && self.born_unix_ms < other.born_unix_ms
    }
}

/// How an upstream behaved of late, as this node saw it.
#[derive(Clone, Copy, Debug, Default)]
struct Conduct {
    heard_at: Option<Instant>,
    avoided_until: Option<Instant>,
    failure_count: u32,
    latency: Duration,
    failure_share: f64,
}

/// One life of one upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// What it registered.
    pub(crate) entry: UpstreamEntry,
    /// Connections to it.
    pub(crate) pool: ConnectionPool,
    draining: AtomicBool,
    prompt_tokens: AtomicU64,
    memory_tokens: AtomicU64,
    call_count: AtomicU32,
    conduct: Mutex<Conduct>,
    losses: watch::Sender<u64>,
}

impl Upstream {
    /// Begins to know an upstream.
    pub(crate) fn new(entry: UpstreamEntry) -> Self {
        Self {
            pool: ConnectionPool::new(entry.address),
            draining: AtomicBool::new(entry.draining),
            prompt_tokens: AtomicU64::new(0),
            memory_tokens: AtomicU64::new(0),
            call_count: AtomicU32::new(0),
            conduct: Mutex::default(),
            losses: watch::Sender::new(0),
            entry,
        }
    }

    /// Whether `entry` speaks of this life.
    pub(crate) fn is_same_life(&self, entry: &UpstreamEntry) -> bool {
        let (known, told) = (self.entry.born_unix_ms, entry.born_unix_ms);
        self.entry.id == entry.id
            && (known == told || known == 0 || told == 0)
            && self.entry.address == entry.address
            && self.entry.service == entry.service
    }

    /// Whether it takes no new calls.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Notes whether it takes new calls.
    pub(crate) fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Notes a sign of life.
    pub(crate) fn heard(&self, now: Instant) {
        let mut conduct = self.conduct();
        conduct.heard_at = Some(now);
        conduct.avoided_until = None;
        conduct.failure_count = 0;
    }

    /// Time since the last sign of life.
    pub(crate) fn silence(&self, now: Instant) -> Option<Duration> {
        let heard_at = self.conduct().heard_at?;
        Some(now.saturating_duration_since(heard_at))
    }

    /// Avoids it for a while, the longer the more often in a row it failed.
    pub(crate) fn avoid(&self, now: Instant) {
        let mut conduct = self.conduct();
        let doublings = conduct.failure_count.min(8);
        let pause = AVOID_MIN.saturating_mul(1 << doublings).min(AVOID_MAX);
        conduct.failure_count += 1;
        conduct.avoided_until = Some(now + pause);
    }

    /// Learns from a call that ended, failed ones without an answer included.
    pub(crate) fn learn(&self, took: Duration, is_failed: bool) {
        let mut conduct = self.conduct();
        let is_first = conduct.latency.is_zero();
        let rate = if is_first { 1.0 } else { LEARNING_RATE };
        conduct.latency = conduct.latency.mul_f64(1.0 - rate) + took.mul_f64(rate);
        let failed = f64::from(u8::from(is_failed));
        conduct.failure_share += LEARNING_RATE * (failed - conduct.failure_share);
    }

    /// Time that it takes over a call.
    pub(crate) fn latency(&self) -> Duration {
        self.conduct().latency
    }

    /// Share of calls that it fails.
    pub(crate) fn failure_share(&self) -> f64 {
        self.conduct().failure_share
    }

    /// Avoids it for a moment because it refused a call for want of room.
    pub(crate) fn is_full(&self, now: Instant) {
        let mut conduct = self.conduct();
        let until = now + FULL_PAUSE;
        conduct.avoided_until = Some(conduct.avoided_until.map_or(until, |at| at.max(until)));
    }

    /// When it may be tried again, if it is avoided.
    pub(crate) fn avoided_until(&self, now: Instant) -> Option<Instant> {
        self.conduct().avoided_until.filter(|until| *until > now)
    }

    /// Tells all that runs there that this life is over or out of reach.
    pub(crate) fn lose(&self, now: Instant) {
        self.avoid(now);
        self.pool.clear();
        self.losses.send_modify(|count| *count += 1);
    }

    /// Hears of its loss from now on.
    pub(crate) fn losses(&self) -> watch::Receiver<u64> {
        self.losses.subscribe()
    }

    /// Tokens of prompts that this node sent and that are still being read.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens.load(Ordering::Relaxed)
    }

    /// Tokens of memory that this node's runs and copies take.
    pub(crate) fn memory_tokens(&self) -> u64 {
        self.memory_tokens.load(Ordering::Relaxed)
    }

    /// Calls of this node that run there.
    pub(crate) fn call_count(&self) -> u32 {
        self.call_count.load(Ordering::Relaxed)
    }

    fn conduct(&self) -> MutexGuard<'_, Conduct> {
        self.conduct.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Work that is counted at an upstream until this is dropped.
#[derive(Debug)]
pub(crate) struct Work {
    upstream: Arc<Upstream>,
    prompt_tokens: u64,
    memory_tokens: u64,
    call_count: u32,
}

impl Work {
    /// Counts a call whose prompt is still to be read.
    pub(crate) fn call(upstream: &Arc<Upstream>, prompt_tokens: u64, memory_tokens: u64) -> Self {
        Self::count(upstream, prompt_tokens, memory_tokens, 1)
    }

    /// Counts a copy of a run's memory.
    pub(crate) fn copy(upstream: &Arc<Upstream>, memory_tokens: u64) -> Self {
        Self::count(upstream, 0, memory_tokens, 0)
    }

    fn count(
        upstream: &Arc<Upstream>,
        prompt_tokens: u64,
        memory_tokens: u64,
        call_count: u32,
    ) -> Self {
        upstream
            .prompt_tokens
            .fetch_add(prompt_tokens, Ordering::Relaxed);
        upstream
            .memory_tokens
            .fetch_add(memory_tokens, Ordering::Relaxed);
        upstream.call_count.fetch_add(call_count, Ordering::Relaxed);
        Self {
            upstream: upstream.clone(),
            prompt_tokens,
            memory_tokens,
            call_count,
        }
    }

    /// Notes that the prompt has been read.
    pub(crate) fn prompt_is_read(&mut self) {
        let tokens = std::mem::take(&mut self.prompt_tokens);
        self.upstream
            .prompt_tokens
            .fetch_sub(tokens, Ordering::Relaxed);
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.prompt_is_read();
        let upstream = &self.upstream;
        upstream
            .memory_tokens
            .fetch_sub(self.memory_tokens, Ordering::Relaxed);
        upstream
            .call_count
            .fetch_sub(self.call_count, Ordering::Relaxed);
    }
}
