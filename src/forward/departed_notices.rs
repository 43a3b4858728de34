//! The notices of upstreams that this node no longer knows.
//!
//! An upstream's entry may disappear and return while it rests or leaves. Its notices go on,
//! since it is the same incarnation that stated them.

use std::collections::VecDeque;

use super::upstream::{SharedNotices, Upstream, UpstreamEntry, UpstreamStart};

/// Number of upstreams whose notices are kept.
const DEPARTED_MAX: usize = 256;

/// The notices of the upstreams that left last.
#[derive(Debug, Default)]
pub(crate) struct DepartedNotices {
    notices: VecDeque<(UpstreamEntry, SharedNotices)>,
}

impl DepartedNotices {
    /// Keeps the notices of an upstream that leaves, even if none is known yet: its answers
    /// to calls under way may still state one.
    pub(crate) fn keep(&mut self, upstream: &Upstream) {
        if self.notices.len() == DEPARTED_MAX {
            self.notices.pop_front();
        }
        self.notices
            .push_back((upstream.entry.clone(), upstream.shared_notices()));
    }

    /// The notices of the incarnation with this start, if it was known.
    pub(crate) fn find(&self, start: &UpstreamStart) -> Option<SharedNotices> {
        let mut latest_first = self.notices.iter().rev();
        let found = latest_first.find(|(known, _)| known.is_start(start));
        found.map(|(_, notices)| notices.clone())
    }
}
