//! How many repeated sends a node may spend on one service.
//!
//! Answers this load: a data centre's engines are lost, and every node sends
//! its streams once more within a second. The users bound what all nodes
//! together send beyond the first time; each node takes the part that its own
//! calls earn, and an equal part of the fixed rest. Losses don't follow these
//! parts, so a node that has spent its own asks others to spend for it: the sum
//! stays the same.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of what is allowed that is left unspent, since nodes join and leave.
const SAFETY: f64 = 0.97;
/// Parts of the window by which calls are counted.
const BUCKETS: u32 = 10;

/// Part of what a node may spend that it keeps for its own calls when another
/// node asks for some of it.
const KEPT_SHARE: f64 = 0.15;

/// What all nodes together may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Allowance {
    /// Repeated sends for each call.
    pub(crate) ratio: f64,
    /// Repeated sends besides, in a window.
    pub(crate) slack: f64,
    /// The window.
    pub(crate) window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    since: Instant,
    call_count: u32,
    spent_count: u32,
}

/// One node's spending on one service.
#[derive(Debug, Default)]
pub(crate) struct Spending {
    buckets: VecDeque<Bucket>,
}

impl Spending {
    /// Notes a call of a caller.
    pub(crate) fn call(&mut self, allowance: &Allowance, now: Instant) {
        self.bucket(allowance, now).call_count += 1;
    }

    /// Spends one repeated send, if there is one.
    pub(crate) fn spend(&mut self, allowance: &Allowance, node_count: usize, now: Instant) -> bool {
        self.spend_keeping(0.0, allowance, node_count, now)
    }

    /// Spends one repeated send for another node, if enough is left here.
    pub(crate) fn lend(&mut self, allowance: &Allowance, node_count: usize, now: Instant) -> bool {
        self.spend_keeping(KEPT_SHARE, allowance, node_count, now)
    }

    fn spend_keeping(
        &mut self,
        kept_share: f64,
        allowance: &Allowance,
        node_count: usize,
        now: Instant,
    ) -> bool {
        self.bucket(allowance, now);
        let calls: u32 = self.buckets.iter().map(|b| b.call_count).sum();
        let spent: u32 = self.buckets.iter().map(|b| b.spent_count).sum();
        let own_part = allowance.slack / node_count.max(1) as f64;
        let allowed = (f64::from(calls) * allowance.ratio + own_part) * SAFETY;
        if f64::from(spent) + 1.0 > allowed * (1.0 - kept_share) {
            return false;
        }
        self.bucket(allowance, now).spent_count += 1;
        true
    }

    fn bucket(&mut self, allowance: &Allowance, now: Instant) -> &mut Bucket {
        let width = allowance.window / BUCKETS;
        let window = allowance.window;
        self.buckets
            .retain(|b| now.saturating_duration_since(b.since) < window);
        let is_current = |b: &Bucket| now.saturating_duration_since(b.since) < width;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket {
                since: now,
                call_count: 0,
                spent_count: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
