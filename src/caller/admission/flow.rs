//! The rate at which requests of one customer and priority are admitted.

use std::time::{Duration, Instant};

use crate::id::CustomerId;

/// Weight of the newest gap between two admissions in its moving average.
const GAP_EWMA_WEIGHT: f64 = 0.3;

/// Identifies a flow: the requests of one customer at one priority.
pub(super) type FlowKey = (u8, CustomerId);

/// Measures how fast requests of one flow are admitted. The number of requests
/// ahead does not show it, because requests that arrive later may go first.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) waiting_count: usize,
    last_progress_at: Instant,
    mean_gap_s: f64,
}

impl Flow {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            waiting_count: 0,
            last_progress_at: now,
            mean_gap_s: 0.0,
        }
    }

    pub(super) fn add_waiting(&mut self, now: Instant) {
        if self.waiting_count == 0 {
            self.last_progress_at = now;
        }
        self.waiting_count += 1;
    }

    pub(super) fn record_admission(&mut self, now: Instant) {
        let gap_s = (now - self.last_progress_at).as_secs_f64();
        self.mean_gap_s += GAP_EWMA_WEIGHT * (gap_s - self.mean_gap_s);
        self.last_progress_at = now;
        self.waiting_count -= 1;
    }

    pub(super) fn remove_waiting(&mut self) {
        self.waiting_count -= 1;
    }

    /// Expected time until `ahead_count` requests of the flow and one more are
    /// admitted; zero for a flow without waiting requests, whose rate is unknown.
    pub(super) fn expected_wait(&self, ahead_count: usize, now: Instant) -> Duration {
        if self.waiting_count == 0 {
            return Duration::ZERO;
        }
        let stalled_s = (now - self.last_progress_at).as_secs_f64();
        let gap_s = self.mean_gap_s.max(stalled_s);
        Duration::from_secs_f64(gap_s * (ahead_count + 1) as f64)
    }
}
