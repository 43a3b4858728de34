//! Bounds retries to a fraction of what succeeds.

/// Part of a retry that one success earns.
const EARNED_PER_SUCCESS: f64 = 0.1;
/// Retries that can be saved up, and are there at the start.
const SAVED_MAX: f64 = 10.0;

/// Retries that one upstream still has.
///
/// A failing upstream earns nothing, so it is not buried under retries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED_MAX }
    }
}

impl RetryBudget {
    /// Earns part of a retry.
    pub(crate) fn succeed(&mut self) {
        self.saved = (self.saved + EARNED_PER_SUCCESS).min(SAVED_MAX);
    }

    /// Spends a retry, if there is one.
    pub(crate) fn spend(&mut self) -> bool {
        let affordable = self.saved >= 1.0;
        if affordable {
            self.saved -= 1.0;
        }
        affordable
    }
}
