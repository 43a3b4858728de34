//! Limits the retries that a node sends to one service.
//!
//! When a data centre's engines are lost, every node sends its streams to other
//! engines within a second. A retry budget bounds the retries that all nodes
//! together send within a sliding window. Each node has a share of it: a fixed
//! ratio of the calls that callers sent to it, and an equal part of the slack, a
//! fixed number of retries. Losses are not spread like these shares, so a node
//! that has used up its own asks other nodes to spend theirs for it. The sum
//! stays the same, and no retry stays unused while a stream needs one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the budget that is used; the rest is a margin for nodes that join
/// and leave.
const SAFETY_FACTOR: f64 = 0.97;
/// Fraction of its part of the slack that a node may use right after its start.
/// It grows to the whole part within one window.
const INITIAL_SLACK_FRACTION: f64 = 0.1;
/// Number of buckets into which a window is divided to count calls and retries.
const BUCKETS_PER_WINDOW: u32 = 10;

/// The retry budget of all nodes together for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimits {
    /// Retries allowed for each call of a caller in the window.
    pub(crate) ratio: f64,
    /// Retries allowed in a window beside those that the calls allow.
    pub(crate) slack: f64,
    /// Length of the sliding window.
    pub(crate) window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    started_at: Instant,
    call_count: u32,
    retry_count: u32,
}

/// One node's share of the retry budget of one service.
#[derive(Debug)]
pub(crate) struct RetryBudgetShare {
    node_started_at: Instant,
    /// Random number from 0 to below 1. The share plus this number is rounded
    /// down, so some nodes round up and others down, and the sum over all nodes
    /// stays right on average.
    rounding: f64,
    buckets: VecDeque<Bucket>,
}

impl RetryBudgetShare {
    /// Creates a share without calls; `rounding` is a random number from 0 to
    /// below 1.
    pub(crate) fn new(node_started_at: Instant, rounding: f64) -> Self {
        Self {
            node_started_at,
            rounding,
            buckets: VecDeque::new(),
        }
    }

    /// Records that a caller sent a call to this node.
    pub(crate) fn record_call(&mut self, limits: &RetryLimits, now: Instant) {
        self.bucket(limits, now).call_count += 1;
    }

    /// Spends one retry, for this node or for a peer that asked this node.
    /// Returns false if the share is used up.
    pub(crate) fn try_spend(
        &mut self,
        limits: &RetryLimits,
        node_count: usize,
        now: Instant,
    ) -> bool {
        self.bucket(limits, now);
        let spent: u32 = self.buckets.iter().map(|b| b.retry_count).sum();
        let share = self.current_share(limits, node_count, now);
        if f64::from(spent) + 1.0 > share + self.rounding {
            return false;
        }
        self.bucket(limits, now).retry_count += 1;
        true
    }

    /// Takes back one retry of which no byte left this node: only arrivals at upstreams count
    /// towards the budget.
    pub(crate) fn take_back(&mut self) {
        let mut newest_first = self.buckets.iter_mut().rev();
        if let Some(bucket) = newest_first.find(|bucket| bucket.retry_count > 0) {
            bucket.retry_count -= 1;
        }
    }

    fn current_share(&self, limits: &RetryLimits, node_count: usize, now: Instant) -> f64 {
        let window = limits.window;
        let age = |since: Instant| now.saturating_duration_since(since);
        let in_window = self.buckets.iter().filter(|b| age(b.started_at) < window);
        let calls: u32 = in_window.map(|b| b.call_count).sum();
        // Retries that this node sent before a restart still count towards the
        // budget, but this node no longer knows them, so its slack grows slowly.
        let uptime_fraction = age(self.node_started_at).as_secs_f64() / window.as_secs_f64();
        let own_slack = limits.slack / node_count.max(1) as f64
            * uptime_fraction.clamp(INITIAL_SLACK_FRACTION, 1.0);
        (f64::from(calls) * limits.ratio + own_slack) * SAFETY_FACTOR
    }

    fn bucket(&mut self, limits: &RetryLimits, now: Instant) -> &mut Bucket {
        let width = limits.window / BUCKETS_PER_WINDOW;
        // A retry may be sent up to a bucket's width after its bucket started, and
        // counts for a whole window after it was sent.
        let retention = limits.window + width;
        self.buckets
            .retain(|b| now.saturating_duration_since(b.started_at) < retention);
        let is_current = |b: &Bucket| now.saturating_duration_since(b.started_at) < width;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket {
                started_at: now,
                call_count: 0,
                retry_count: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
