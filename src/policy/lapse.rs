//! Whether an entry that vanished means that its upstream left.
//!
//! Answers this load: the store is away for some seconds, the heartbeats of
//! live upstreams are lost with it, and all their entries lapse together.
//! Dropping them would leave no upstream for two seconds or more.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::forward::upstream::UpstreamId;
use crate::id::ServiceId;

/// Time in which live upstreams register again after the store is back.
const RETURN_TIME: Duration = Duration::from_millis(2_200);
/// Time in which entries that vanish count as vanishing together.
const TOGETHER: Duration = Duration::from_millis(1_500);
/// Fewest entries that can vanish together.
const TOGETHER_MIN: usize = 4;

/// What is to be done about an entry that vanished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The upstream left and gets no new calls.
    Left,
    /// The upstream may register again until then, and is used meanwhile.
    MayReturn(Instant),
}

/// Entries that vanished, and whether the store was there.
#[derive(Debug, Default)]
pub(crate) struct Lapses {
    is_store_away: bool,
    returned_at: Option<Instant>,
    waiting: BTreeMap<UpstreamId, Instant>,
    vanished: Vec<(ServiceId, Instant)>,
}

impl Lapses {
    /// Notes whether the store answers.
    pub(crate) fn store_answers(&mut self, answers: bool, now: Instant) {
        if answers && self.is_store_away {
            self.returned_at = Some(now);
        }
        self.is_store_away = !answers;
    }

    /// Decides about an entry of a service with so many upstreams.
    pub(crate) fn gone(
        &mut self,
        id: &UpstreamId,
        service: &ServiceId,
        service_size: usize,
        now: Instant,
    ) -> Verdict {
        self.vanished
            .retain(|(_, at)| now.saturating_duration_since(*at) < TOGETHER);
        self.vanished.push((service.clone(), now));
        if let Some(until) = self.waiting.get(id) {
            return Verdict::MayReturn(*until);
        }
        let Some(since) = self.doubt_since(service, service_size, now) else {
            return Verdict::Left;
        };
        let until = since + RETURN_TIME;
        if until <= now {
            return Verdict::Left;
        }
        self.waiting.insert(id.clone(), until);
        Verdict::MayReturn(until)
    }

    /// Notes that an upstream registered again.
    pub(crate) fn returned(&mut self, id: &UpstreamId) {
        self.waiting.remove(id);
    }

    /// Upstreams that did not return in time.
    pub(crate) fn expired(&mut self, now: Instant) -> Vec<UpstreamId> {
        if self.is_store_away {
            return Vec::new();
        }
        let over = self.waiting.iter().filter(|(_, until)| **until <= now);
        let over: Vec<UpstreamId> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.waiting.remove(id);
        }
        over
    }

    /// Since when entries may have lapsed without their upstreams leaving.
    fn doubt_since(
        &self,
        service: &ServiceId,
        service_size: usize,
        now: Instant,
    ) -> Option<Instant> {
        if self.is_store_away {
            return Some(now);
        }
        let recent = |at: &Instant| now.saturating_duration_since(*at) < RETURN_TIME;
        if let Some(at) = self.returned_at.filter(recent) {
            return Some(at);
        }
        let together = self.vanished.iter().filter(|(s, _)| s == service).count();
        let most = together >= TOGETHER_MIN && together * 2 > service_size;
        most.then_some(now)
    }
}
