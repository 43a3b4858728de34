//! Token bucket that limits retries to a fraction of the successful requests.

/// Retries earned per successful request.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Capacity of the bucket in retries; it starts full.
const RETRIES_MAX: f64 = 10.0;

/// The retry budget of one runner.
///
/// A failing runner earns no retries, so retries cannot overload it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: RETRIES_MAX,
        }
    }
}

impl RetryBudget {
    /// Records a successful request, which earns a fraction of a retry.
    pub(crate) fn record_success(&mut self) {
        self.available = (self.available + RETRIES_PER_SUCCESS).min(RETRIES_MAX);
    }

    /// Spends one retry; false if none is available.
    pub(crate) fn try_spend(&mut self) -> bool {
        let is_affordable = self.available >= 1.0;
        if is_affordable {
            self.available -= 1.0;
        }
        is_affordable
    }
}
