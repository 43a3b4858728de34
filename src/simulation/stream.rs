//! A simulated stream as its caller sees it.

use std::time::Duration;

/// Number of a stream, from zero in the order of the requests.
pub(crate) type StreamId = usize;

/// Time since the start of the simulation.
pub(crate) type VirtualTime = Duration;

/// What a caller has received of its stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Stream {
    /// Kind of the stream, an index into those of the scenario.
    pub(crate) kind: usize,
    /// When the caller requested the stream.
    pub(crate) requested_at: VirtualTime,
    /// Number of events received.
    pub(crate) event_count: u64,
    /// When the first event arrived.
    pub(crate) first_event_at: Option<VirtualTime>,
    /// When the latest event arrived.
    pub(crate) last_event_at: Option<VirtualTime>,
    /// Longest time between two events.
    pub(crate) longest_pause: Duration,
    pub(crate) is_complete: bool,
}

impl Stream {
    /// Makes a stream that its caller requests at `now`.
    pub(crate) fn requested(kind: usize, now: VirtualTime) -> Self {
        Self {
            kind,
            requested_at: now,
            ..Self::default()
        }
    }

    pub(crate) fn record_event(&mut self, now: VirtualTime) {
        self.event_count += 1;
        self.first_event_at.get_or_insert(now);
        if let Some(previous) = self.last_event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(previous));
        }
    }

    /// Time from the request to the last event, or `None` if the stream is not
    /// complete.
    pub(crate) fn duration(&self) -> Option<Duration> {
        let last = self.last_event_at.filter(|_| self.is_complete)?;
        Some(last.saturating_sub(self.requested_at))
    }

    /// Time from the request to the first event, or `None` if no event
    /// has arrived.
    pub(crate) fn time_to_first_event(&self) -> Option<Duration> {
        let first = self.first_event_at?;
        Some(first.saturating_sub(self.requested_at))
    }
}
