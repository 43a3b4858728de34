//! One stream as its caller sees it, in virtual time.

use std::time::Duration;

/// Names a stream.
pub(crate) type StreamId = usize;

/// Time since the model began.
pub(crate) type VirtualTime = Duration;

/// What a caller has seen of its stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Stream {
    /// When it was asked for.
    pub(crate) asked_at: VirtualTime,
    /// Events that came.
    pub(crate) event_count: u64,
    /// When the first came.
    pub(crate) first_event_at: Option<VirtualTime>,
    /// When the last came.
    pub(crate) last_event_at: Option<VirtualTime>,
    /// Longest time between two events.
    pub(crate) longest_pause: Duration,
    /// Whether it is complete.
    pub(crate) is_complete: bool,
}

impl Stream {
    /// Begins a stream that is asked for now.
    pub(crate) fn asked(now: VirtualTime) -> Self {
        Self {
            asked_at: now,
            ..Self::default()
        }
    }

    /// Notes an event.
    pub(crate) fn event(&mut self, now: VirtualTime) {
        self.event_count += 1;
        self.first_event_at.get_or_insert(now);
        if let Some(earlier) = self.last_event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(earlier));
        }
    }

    /// How long its caller waited for the first event.
    pub(crate) fn first_event_after(&self) -> Option<Duration> {
        let first = self.first_event_at?;
        Some(first.saturating_sub(self.asked_at))
    }
}
