//! Measured durations and their quantiles.

use hdrhistogram::Histogram;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1e3;
/// Significant decimal digits with which the histogram holds a value.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Durations in milliseconds, from which quantiles are computed.
///
/// ```
/// use zinniawing::Sample;
///
/// let mut sample = Sample::new();
/// (1..=100).for_each(|ms| sample.add_ms(f64::from(ms) * 10.0));
/// assert_eq!(sample.quantile(0.5), "500.2");
/// assert_eq!(sample.count(), 100);
/// ```
#[derive(Clone, Debug)]
pub struct Sample {
    histogram: Histogram<u64>,
}

impl Default for Sample {
    fn default() -> Self {
        Self::new()
    }
}

impl Sample {
    /// Creates an empty sample.
    pub fn new() -> Self {
        // This fails only for more than five significant digits.
        let histogram = Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are supported");
        Self { histogram }
    }

    /// Adds a duration.
    pub fn add_ms(&mut self, value_ms: f64) {
        // The histogram resizes itself, so recording does not fail.
        let _ = self.histogram.record((value_ms * US_PER_MS) as u64);
    }

    /// Returns how many durations were added.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns a quantile in milliseconds as text, or `-` if the sample is empty.
    pub fn quantile(&self, quantile: f64) -> String {
        if self.histogram.is_empty() {
            return "-".to_owned();
        }
        let value_ms = self.histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
        format!("{value_ms:.1}")
    }

    /// Returns the longest duration in milliseconds as text.
    pub fn max(&self) -> String {
        self.quantile(1.0)
    }
}
