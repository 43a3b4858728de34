//! The priority class that an engine gets with a call. An engine admits calls of a
//! more urgent class first, and preempts those of the least urgent class first.

use std::fmt;

/// Urgency of a call for an engine; 0 is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PriorityClass(u8);

impl PriorityClass {
    /// The least urgent class that engines know.
    pub(crate) const LAST: Self = Self(9);

    /// Class of calls whose configured priority is `priority`. All priorities beyond
    /// the last class count as the last class.
    pub(crate) fn of_priority(priority: u32) -> Self {
        u8::try_from(priority).map_or(Self::LAST, |class| Self(class).min(Self::LAST))
    }
}

impl fmt::Display for PriorityClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
