//! First tries at nodes that reach no upstream, compared with those at other nodes.

use std::time::Duration;

/// Time after the beginning of a cut from which first tries count.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Failures that are allowed in any case.
const FAILED_MIN: usize = 10;
/// Of this many first tries, one more may fail.
const TRIES_PER_FAILURE: usize = 50;

/// Calls that are no retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstTries {
    pub count: usize,
    pub served_count: usize,
}

impl FirstTries {
    pub fn add(&mut self, is_served: bool) {
        self.count += 1;
        self.served_count += usize::from(is_served);
    }

    /// Whether they were served less than two thirds as often as `others`, and more
    /// of them failed than are allowed.
    pub fn are_worse_than(&self, others: &Self) -> bool {
        let is_served_less =
            3 * self.served_count * others.count < 2 * others.served_count * self.count;
        is_served_less && self.has_many_failures()
    }

    pub fn has_many_failures(&self) -> bool {
        self.count - self.served_count > FAILED_MIN + self.count / TRIES_PER_FAILURE
    }
}
