//! Measured values and their quantiles.

use hdrhistogram::Histogram;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1e3;
/// Significant digits that are kept.
const DIGITS: u8 = 3;

/// Times in milliseconds.
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
    /// Makes an empty sample.
    pub fn new() -> Self {
        // The only failure is a number of digits above five.
        let histogram = Histogram::new(DIGITS).expect("three digits are supported");
        Self { histogram }
    }

    /// Adds a time.
    pub fn add_ms(&mut self, value_ms: f64) {
        // The histogram grows, so recording does not fail.
        let _ = self.histogram.record((value_ms * US_PER_MS) as u64);
    }

    /// How many times were added.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The time that a part of all times does not exceed, as text.
    pub fn quantile(&self, part: f64) -> String {
        if self.histogram.is_empty() {
            return "-".to_owned();
        }
        let value_ms = self.histogram.value_at_quantile(part) as f64 / US_PER_MS;
        format!("{value_ms:.1}")
    }

    /// The longest time, as text.
    pub fn max(&self) -> String {
        self.quantile(1.0)
    }
}
