//! Calls that wait at a node which has just started, until it has what it needs to serve them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::policy::startup_wait::{EarlyCall, wait_until};

/// Interval at which a call that waits checks whether it can be served.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Holds the calls that a node which has just started can't serve yet.
#[derive(Debug)]
pub(crate) struct StartupWait {
    started_at: Instant,
    /// Notifies the calls that wait of a configuration or of upstreams.
    changed: watch::Sender<()>,
    waiting_count: AtomicUsize,
    /// Whether the store failed since the start, so that entries of upstreams may have expired.
    has_store_failed: AtomicBool,
}

/// Counts a call as waiting until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl StartupWait {
    /// Starts the time in which calls wait.
    pub(crate) fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            changed: watch::Sender::new(()),
            waiting_count: AtomicUsize::new(0),
            has_store_failed: AtomicBool::new(false),
        }
    }

    /// Records that the store failed.
    pub(crate) fn record_store_failure(&self) {
        self.has_store_failed.store(true, Ordering::Relaxed);
    }

    /// Whether the store failed since the start.
    pub(crate) fn has_store_failed(&self) -> bool {
        self.has_store_failed.load(Ordering::Relaxed)
    }

    /// Has the calls that wait check whether they can be served, since the configuration or
    /// the upstreams have changed.
    pub(crate) fn notify_change(&self) {
        self.changed.send_replace(());
    }

    /// Waits for a limited time until the call can be served, as `is_servable` tells. Returns
    /// whether the call waited.
    pub(crate) async fn wait(&self, call: EarlyCall, is_servable: impl Fn() -> bool) -> bool {
        let waiting_count = self.waiting_count.load(Ordering::Relaxed);
        let Some(until) = wait_until(self.started_at, call, waiting_count, Instant::now()) else {
            return false;
        };
        let mut changed = self.changed.subscribe();
        if is_servable() {
            return false;
        }
        let _waiting = Waiting::new(&self.waiting_count);
        let becomes_servable = async {
            while !is_servable() {
                // Whether a change or the interval ended the wait plays no part.
                let _ = tokio::time::timeout(CHECK_INTERVAL, changed.changed()).await;
            }
        };
        // A call that can't be served when its wait ends is refused by its handler.
        let _ = tokio::time::timeout_at(until.into(), becomes_servable).await;
        true
    }
}

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
