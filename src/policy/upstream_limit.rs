//! The limit on the requests of all nodes together that an upstream in need names.

/// A number of requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rate {
    per_1000_s: u64,
}

impl Rate {
    /// Returns none if it is not a number. A negative one counts as zero.
    pub(crate) fn from_per_second(per_s: f64) -> Option<Self> {
        // The conversion saturates.
        (!per_s.is_nan()).then_some(Self {
            per_1000_s: (per_s * 1_000.0) as u64,
        })
    }

    pub(crate) fn per_second(self) -> f64 {
        self.per_1000_s as f64 / 1_000.0
    }
}
