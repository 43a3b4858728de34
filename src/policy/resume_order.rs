//! The order in which the streams of a node resume after the loss of engines.
//!
//! When an engine is lost, all streams that ran there resume at once. One with a replica of
//! its KV cache costs an engine little; one without has its whole prompt read again, which
//! holds an engine for about a second and may spend the last of the retry budget. Streams
//! that are cheap to resume therefore choose their engines first, and the more urgent ones
//! among equals.

use std::collections::BTreeMap;
use std::time::Duration;

use super::priority_class::PriorityClass;

/// Longest time that a stream lets others resume first. An order is worth less than the
/// pause that its caller sees.
pub(crate) const RESUME_WAIT_MAX: Duration = Duration::from_millis(40);

/// Rank of a stream that resumes; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ResumeRank {
    reads_prompt_again: bool,
    /// `None` if the configuration makes no difference.
    priority_class: Option<PriorityClass>,
}

impl ResumeRank {
    /// Rank of a stream with or without a usable replica.
    pub(crate) fn new(has_replica: bool, priority_class: Option<PriorityClass>) -> Self {
        Self {
            reads_prompt_again: !has_replica,
            priority_class,
        }
    }
}

/// The streams that have lost their engines and have not chosen others yet.
#[derive(Debug, Default)]
pub(crate) struct WaitingResumes {
    counts: BTreeMap<ResumeRank, usize>,
}

impl WaitingResumes {
    /// Adds a stream.
    pub(crate) fn add(&mut self, rank: ResumeRank) {
        *self.counts.entry(rank).or_default() += 1;
    }

    /// Removes a stream, which has chosen its engine or has ended.
    pub(crate) fn remove(&mut self, rank: ResumeRank) {
        if let Some(count) = self.counts.get_mut(&rank) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&rank);
            }
        }
    }

    /// Whether a stream of this rank may choose its engine now, because none that goes before
    /// it waits.
    pub(crate) fn may_choose(&self, rank: ResumeRank) -> bool {
        self.counts.range(..rank).next().is_none()
    }
}
