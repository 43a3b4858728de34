//! The wishes of upstreams that this node no longer knows.
//!
//! An upstream's entry may disappear and return while it rests or leaves. Its wishes go on,
//! since it is the same incarnation that stated them.

use std::collections::VecDeque;

use super::upstream::{SharedWishes, Upstream, UpstreamEntry};

/// Number of upstreams whose wishes are kept.
const DEPARTED_MAX: usize = 256;

/// The wishes of the upstreams that left last.
#[derive(Debug, Default)]
pub(crate) struct DepartedWishes {
    wishes: VecDeque<(UpstreamEntry, SharedWishes)>,
}

impl DepartedWishes {
    /// Keeps the wishes of an upstream that leaves, even if none is known yet: its answers
    /// to calls under way may still state one.
    pub(crate) fn keep(&mut self, upstream: &Upstream) {
        if self.wishes.len() == DEPARTED_MAX {
            self.wishes.pop_front();
        }
        self.wishes
            .push_back((upstream.entry.clone(), upstream.shared_wishes()));
    }

    /// The wishes of the incarnation that the entry describes, if it was known.
    pub(crate) fn find(&self, entry: &UpstreamEntry) -> Option<SharedWishes> {
        let mut latest_first = self.wishes.iter().rev();
        let found = latest_first.find(|(known, _)| known.is_same_start(entry));
        found.map(|(_, wishes)| wishes.clone())
    }
}
