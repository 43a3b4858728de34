//! Keeps the crashes on which convictions rest in the platform's store, so that nodes that were
//! all killed at once need not find what crashes upstreams a second time.
//!
//! Each node reads the object once after its start. One node, chosen by rendezvous hashing, writes
//! it when convictions change. While the store is away, nodes go on with what they know.

use std::sync::Arc;
use std::time::Duration;

use super::cluster_view::ClusterView;
use crate::clock::unix_ms;
use crate::forward::forwarder::{Forwarder, NodeContext};
use crate::hash::Fnv;
use crate::id::Version;
use crate::observe::metrics::Counter;
use crate::platform::store::{Store, StoreFailure};
use crate::policy::crash_evidence::{Crash, StoredCrash};

/// Interval at which a node compares its convictions with what the store has, and tries to read
/// the object until it could.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two writes.
const WRITE_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Pause after the store failed, which all nodes notice together.
const FAILURE_PAUSE: Duration = Duration::from_millis(2_500);

/// Reads and writes the object.
pub(crate) struct StoredCrashes {
    pub(crate) store: Store,
    pub(crate) forwarder: Arc<Forwarder<ClusterView>>,
}

/// What the store has, as this node last read or wrote it.
struct Held {
    revision: Option<Version>,
    crashes: Vec<StoredCrash>,
}

impl StoredCrashes {
    /// Reads the object, and keeps it up to date. Never returns; it ends with the runtime.
    pub(crate) async fn run(self) {
        let mut held = None;
        loop {
            if let Err(failure) = self.update(&mut held).await {
                held = None;
                log::warn!("event=stored_crashes_failed cause={failure}");
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    async fn update(&self, held: &mut Option<Held>) -> Result<(), StoreFailure> {
        let known = match held.take() {
            Some(known) => known,
            None => self.read().await?,
        };
        let known = held.insert(known);
        let crashes = self.forwarder.request_crashes.convicting_crashes();
        let has_changed = !crashes
            .iter()
            .map(|c| &c.crash)
            .eq(known.crashes.iter().map(|c| &c.crash));
        if has_changed && self.is_writer() {
            self.write(known.revision, &crashes).await?;
            *held = None;
            tokio::time::sleep(WRITE_INTERVAL_MIN).await;
        }
        Ok(())
    }

    /// Whether this node writes the object.
    fn is_writer(&self) -> bool {
        let node = &self.forwarder.node;
        let key = Fnv::new().text("crash-evidence").finish();
        node.is_membership_settled() && node.is_assigned(key)
    }

    /// Reads the object and applies what it holds.
    async fn read(&self) -> Result<Held, StoreFailure> {
        self.forwarder.metrics.add(Counter::StoreCalls, 1);
        let Some(object) = self.store.read_crash_evidence().await? else {
            return Ok(Held {
                revision: None,
                crashes: Vec::new(),
            });
        };
        for (crash, age) in ages(&object.crashes, unix_ms()) {
            let crashes = &self.forwarder.request_crashes;
            crashes.apply_stored_crash(crash.clone(), age);
        }
        let count = object.crashes.len();
        log::info!("event=stored_crashes_read crashes={count}");
        Ok(Held {
            revision: Some(object.revision),
            crashes: object.crashes,
        })
    }

    async fn write(
        &self,
        held: Option<Version>,
        crashes: &[StoredCrash],
    ) -> Result<(), StoreFailure> {
        self.forwarder.metrics.add(Counter::StoreCalls, 1);
        self.store.write_crash_evidence(held, crashes).await?;
        let count = crashes.len();
        log::info!("event=stored_crashes_written crashes={count}");
        Ok(())
    }
}

/// The crashes with their ages. If the clock of the node that wrote them was ahead, the last
/// counts as just known, and the times between them hold.
pub(crate) fn ages(stored: &[StoredCrash], now_unix_ms: u64) -> Vec<(&Crash, Duration)> {
    let newest = stored.iter().map(|s| s.known_unix_ms).max().unwrap_or(0);
    let now_unix_ms = now_unix_ms.max(newest);
    let age = |stored: &StoredCrash| Duration::from_millis(now_unix_ms - stored.known_unix_ms);
    stored.iter().map(|s| (&s.crash, age(s))).collect()
}
