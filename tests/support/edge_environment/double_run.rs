//! Calls that run at two upstreams at once.

use std::time::{Duration, Instant};

use super::TestEnvironment;
use super::run_log::Arrival;

/// Time for which two upstreams may work on one call.
pub const DOUBLE_RUN_MAX: Duration = Duration::from_millis(400);

impl TestEnvironment {
    /// Longest time for which two upstreams worked on the call at once.
    pub fn double_run_time(&self, call_id: &str) -> Duration {
        let arrivals = self.arrivals_of(call_id);
        let pairs = arrivals
            .iter()
            .enumerate()
            .flat_map(|(n, first)| arrivals[n + 1..].iter().map(move |second| (first, second)));
        let overlap = |(first, second): (&Arrival, &Arrival)| {
            let first_end = first.ended_at.unwrap_or_else(Instant::now);
            let second_end = second.ended_at.unwrap_or_else(Instant::now);
            first_end
                .min(second_end)
                .saturating_duration_since(second.arrived_at)
        };
        pairs.map(overlap).max().unwrap_or_default()
    }
}
