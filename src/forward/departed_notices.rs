//! The notices of upstreams that this node no longer knows.
//!
//! An upstream's entry may disappear and return while it rests or leaves. Its notices go on,
//! since it is the same incarnation that stated them.

use std::collections::VecDeque;

use super::upstream::{SharedNotices, SharedSpeed, Upstream, UpstreamEntry, UpstreamStart};

/// Number of upstreams whose notices are kept.
const DEPARTED_MAX: usize = 256;

/// The notices of the upstreams that left last.
#[derive(Debug, Default)]
pub(crate) struct DepartedNotices {
    notices: VecDeque<(UpstreamEntry, SharedNotices, SharedSpeed)>,
}

impl DepartedNotices {
    /// Keeps the notices of an upstream that leaves, even if none is known yet: its answers
    /// to calls under way may still state one.
    pub(crate) fn keep(&mut self, upstream: &Upstream) {
        if self.notices.len() == DEPARTED_MAX {
            self.notices.pop_front();
        }
        self.notices.push_back((
            upstream.entry.clone(),
            upstream.shared_notices(),
            upstream.shared_speed(),
        ));
    }

    /// The notices of the incarnation with this start, if it was known.
    pub(crate) fn find(&self, start: &UpstreamStart) -> Option<SharedNotices> {
        let mut latest_first = self.notices.iter().rev();
        let found = latest_first.find(|(known, ..)| known.is_start(start));
        found.map(|(_, notices, _)| notices.clone())
    }

    /// What was learned of the speed of the incarnations that served at the entry's address.
    /// An engine that starts again runs on the same VM.
    pub(crate) fn find_speed(&self, entry: &UpstreamEntry) -> Option<SharedSpeed> {
        let is_same_place = |known: &UpstreamEntry| {
            known.address == entry.address && known.service == entry.service
        };
        let mut latest_first = self.notices.iter().rev();
        let found = latest_first.find(|(known, ..)| is_same_place(known));
        found.map(|(.., speed)| speed.clone())
    }
}
