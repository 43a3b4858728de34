//! The rests of upstreams that this node no longer knows.
//!
//! An upstream's entry may disappear and return while it rests. Its rest goes on, since
//! it is the same incarnation that asked for it.

use std::collections::VecDeque;

use super::upstream::{SharedRest, Upstream, UpstreamEntry};

/// Number of upstreams whose rests are kept.
const DEPARTED_MAX: usize = 256;

/// The rests of the upstreams that left last.
#[derive(Debug, Default)]
pub(crate) struct DepartedRests {
    rests: VecDeque<(UpstreamEntry, SharedRest)>,
}

impl DepartedRests {
    /// Keeps the rest of an upstream that leaves, even if none is asked for yet: its
    /// answers to calls under way may still ask for one.
    pub(crate) fn keep(&mut self, upstream: &Upstream) {
        if self.rests.len() == DEPARTED_MAX {
            self.rests.pop_front();
        }
        self.rests
            .push_back((upstream.entry.clone(), upstream.shared_rest()));
    }

    /// The rest of the incarnation that the entry describes, if it was known.
    pub(crate) fn find(&self, entry: &UpstreamEntry) -> Option<SharedRest> {
        let mut latest_first = self.rests.iter().rev();
        let found = latest_first.find(|(known, _)| known.is_same_start(entry));
        found.map(|(_, rest)| rest.clone())
    }
}
