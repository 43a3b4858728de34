//! Streams that run while their engines fall silent.

use std::time::Duration;

use super::caller::Response;
use super::engine::Engine;
use super::{TestEnvironment, eventually};

/// Time in which a stream sends its first events.
const FIRST_EVENTS_TIME: Duration = Duration::from_millis(250);

impl TestEnvironment {
    pub fn set_event_interval(&self, interval: Duration) {
        for engine in &self.engines {
            engine.set_event_interval(interval);
        }
    }

    /// Waits until an engine runs a stream and has sent its first events.
    pub async fn wait_for_running_stream(&self) {
        let runs = || self.engines.iter().any(|e| e.running_count() > 0);
        eventually("a stream runs", runs).await;
        tokio::time::sleep(FIRST_EVENTS_TIME).await;
    }

    pub fn set_all_engines_frozen(&self, is_frozen: bool) {
        for engine in &self.engines {
            engine.set_frozen(is_frozen);
        }
    }
}

impl Engine {
    pub fn set_event_interval(&self, interval: Duration) {
        *self.event_interval.lock().expect("unpoisoned") = interval;
    }

    /// Freezes the engine for this time.
    pub async fn silence(&self, duration: Duration) {
        self.set_frozen(true);
        tokio::time::sleep(duration).await;
        self.set_frozen(false);
    }
}

/// Asserts that all events of a stream arrived, in their order.
pub fn assert_stream_complete(got: &Response, event_count: u64) {
    assert_eq!(got.status, 200, "{}", got.head);
    let arrived_count = got.event_ids().len();
    assert!(
        got.is_complete,
        "cut after event {arrived_count} and {:?}",
        got.elapsed
    );
    assert_eq!(got.event_ids(), (1..=event_count).collect::<Vec<u64>>());
}
