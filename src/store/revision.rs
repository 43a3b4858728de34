//! Positions in the history of the platform's store.

use std::cmp::Ordering;
use std::fmt;

use crate::id::{Era, Version};

/// A position in the history of the platform's store.
///
/// The store may come back from an older copy of its data; its revisions then go back
/// and are given out again, and its era rises. Numbers of different eras are therefore
/// not ordered among each other, and a revision that names no era is not ordered
/// against one that does. docs/PLATFORM.md describes where eras come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Era of the store; `None` if the store or the peer that sent the revision does
    /// not name one.
    pub era: Option<Era>,
    /// Number of the change within the era.
    pub number: Version,
}

impl Revision {
    /// A revision of a document that has no era.
    pub(crate) fn without_era(number: Version) -> Self {
        Self { era: None, number }
    }

    /// Whether what is known up to this revision replaces what is known up to `held`.
    /// If the two are not ordered, the one that names its era does.
    pub(crate) fn replaces(self, held: Option<Self>) -> bool {
        held.is_none_or(|held| match self.partial_cmp(&held) {
            Some(order) => order.is_ge(),
            None => self.era.is_some(),
        })
    }
}

impl PartialOrd for Revision {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        if self.era.is_some() != other.era.is_some() {
            return None;
        }
        let by_era = self.era.cmp(&other.era);
        Some(by_era.then(self.number.cmp(&other.number)))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Some(era) => write!(f, "{era}.{}", self.number),
            None => write!(f, "{}", self.number),
        }
    }
}
