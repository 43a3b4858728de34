//! Keeps the origins of runs in the platform's store, so that streams can go on
//! after all nodes that kept them were killed at once.
//!
//! Only a service of which several software versions are present, or were until
//! recently, needs this: each node then writes its recent runs to an object of its
//! own, at intervals. `stored_run_origin_reader` reads all of the objects when a caller
//! resumes a stream whose origin no node knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;
use tokio::sync::Notify;

use super::cluster_view::ClusterView;
use super::run_origin_log::{OriginRecord, RunOriginLog};
use super::stored_run_origin_reader::StoredRunOriginReader;
use crate::clock::unix_ms;
use crate::forward::forwarder::{Forwarder, NodeContext};
use crate::forward::run_origin::{RunKey, RunOrigin};
use crate::forward::upstream::SoftwareVersion;
use crate::id::{Era, NodeId, ServiceId};
use crate::observe::metrics::{Counter, Metrics};
use crate::platform::store::{Store, StoreFailure};

/// Shortest interval between two writes of a node.
const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Maximum number of writes a second of all nodes together.
const WRITES_PER_S_MAX: f64 = 100.0;
/// Longest pause after writes that failed.
const WRITE_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Maximum number of writes a second of all nodes together while callers wait for them.
const AWAITED_WRITES_PER_S_MAX: f64 = 300.0;
/// Time between two checks whether the store is back, while callers wait for a write.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The origins of runs in the platform's store.
#[derive(Debug)]
pub(crate) struct StoredRunOrigins {
    node: NodeId,
    store: Store,
    metrics: Arc<Metrics>,
    /// Reads what all nodes wrote.
    pub(crate) reader: Arc<StoredRunOriginReader>,
    log: Mutex<RunOriginLog>,
    /// Callers that wait until the store has no record of their run that no longer holds.
    waiting_count: AtomicUsize,
    /// Notified when one begins to wait.
    wait_began: Notify,
    /// Notified when a write was acknowledged.
    written: Notify,
}

/// What the writing task knows about this node's object.
#[derive(Debug, Default)]
struct OwnObject {
    /// Whether the store has the object; `None` before it was read, and after a
    /// write that failed, which may have been executed.
    exists: Option<bool>,
    /// Whether the store may hold the object.
    may_exist: bool,
    /// Versions of the runs in the last write that was acknowledged.
    written: BTreeMap<RunKey, SoftwareVersion>,
    /// Era of the store in which that is true.
    era: Option<Era>,
}

impl OwnObject {
    /// Forgets what is known of the store if it came back from an older copy since.
    fn enter_era(&mut self, era: Option<Era>) {
        if self.era != era {
            self.exists = None;
            self.written.clear();
            self.era = era;
        }
    }

    fn has(&self, record: &OriginRecord) -> bool {
        self.written.get(&record.key) == Some(&record.software_version)
    }
}

/// A caller that waits for a write, until this is dropped.
struct WaitingCaller<'a>(&'a StoredRunOrigins);

impl<'a> WaitingCaller<'a> {
    fn begin(origins: &'a StoredRunOrigins) -> Self {
        origins.waiting_count.fetch_add(1, Ordering::Relaxed);
        origins.wait_began.notify_one();
        Self(origins)
    }
}

impl Drop for WaitingCaller<'_> {
    fn drop(&mut self) {
        self.0.waiting_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl StoredRunOrigins {
    /// Creates the records of one node, which are empty.
    pub(crate) fn new(node: NodeId, store: Store, metrics: Arc<Metrics>) -> Self {
        let reader = StoredRunOriginReader::new(store.clone(), metrics.clone());
        Self {
            reader: Arc::new(reader),
            node,
            store,
            metrics,
            log: Mutex::default(),
            waiting_count: AtomicUsize::default(),
            wait_began: Notify::new(),
            written: Notify::new(),
        }
    }

    /// Records to which origin a run is sent, or where it began. The next write
    /// includes it.
    pub(crate) fn record(&self, key: RunKey, origin: &RunOrigin) {
        lock(&self.log).record(key, origin, unix_ms());
    }

    /// Withdraws the record of a run that a peer runs from now on.
    pub(crate) fn withdraw(&self, key: RunKey) {
        lock(&self.log).withdraw(key);
    }

    /// Waits until the store can't have another origin of the run than the last one
    /// recorded. That takes as long as the store is away, if a write of another one began.
    pub(crate) async fn wait_for_correction(&self, key: RunKey) {
        if !lock(&self.log).is_outdated_in_store(key) {
            return;
        }
        let _waiting = WaitingCaller::begin(self);
        loop {
            let written = self.written.notified();
            tokio::pin!(written);
            written.as_mut().enable();
            if !lock(&self.log).is_outdated_in_store(key) {
                return;
            }
            written.await;
        }
    }

    /// Writes the recent runs at intervals. Never returns; it ends with the
    /// runtime.
    pub(crate) async fn write_periodically(
        self: Arc<Self>,
        forwarder: Arc<Forwarder<ClusterView>>,
    ) {
        let mut own = OwnObject::default();
        let mut failure_count = 0;
        loop {
            self.pause_between_writes(&forwarder.node, failure_count)
                .await;
            let directory = &forwarder.directory;
            let services = directory.services_with_several_versions(Instant::now());
            let result = self.update(&mut own, &services).await;
            failure_count = match result {
                Ok(()) => 0,
                Err(_) => failure_count + 1,
            };
            if let Err(failure) = result {
                log::warn!(
                    "event=run_origins_not_written failures={failure_count} cause={failure}"
                );
            }
        }
    }

    /// Pauses until the next write, which is due earlier if callers wait for it and the store
    /// answers.
    async fn pause_between_writes(&self, node: &ClusterView, failure_count: u32) {
        let began_at = Instant::now();
        let (_, node_count) = node.position();
        let awaited = async {
            self.wait_until_awaited(node).await;
            let due_at = began_at + jittered(awaited_write_interval(node_count));
            tokio::time::sleep_until(due_at.into()).await;
        };
        tokio::select! {
            () = tokio::time::sleep(write_pause(node_count, failure_count)) => {}
            () = awaited => {}
        }
    }

    /// Waits until a caller waits for a write, and the store answers.
    async fn wait_until_awaited(&self, node: &ClusterView) {
        loop {
            let wait_began = self.wait_began.notified();
            if self.waiting_count.load(Ordering::Relaxed) == 0 {
                wait_began.await;
                continue;
            }
            if node.is_store_reachable() {
                return;
            }
            tokio::time::sleep(RETURN_CHECK_INTERVAL).await;
        }
    }

    /// Brings this node's object up to date, or deletes it if no service needs it.
    async fn update(
        &self,
        own: &mut OwnObject,
        services: &BTreeSet<ServiceId>,
    ) -> Result<(), StoreFailure> {
        own.enter_era(self.store.era());
        if services.is_empty() {
            return self.delete_own(own).await;
        }
        let is_written = self.recent(services).iter().all(|record| own.has(record));
        if is_written && !lock(&self.log).has_outdated_in_store() {
            return Ok(());
        }
        let exists = self.check_exists(own).await?;
        let records = lock(&self.log).offer(services);
        own.may_exist = true;
        own.exists = None;
        if exists {
            let replace = self.store.replace_run_origins(&self.node, &records);
            self.count_call(replace).await?;
        } else {
            let create = self.store.create_run_origins(&self.node, &records);
            self.count_call(create).await?;
        }
        own.exists = Some(true);
        self.record_written(&records);
        let versions = records.iter().map(|r| (r.key, r.software_version.clone()));
        own.written = versions.collect();
        let newest = records.iter().map(|record| record.recorded_unix_ms).max();
        log::info!(
            "event=run_origins_written runs={} newest_unix_ms={} services={services:?}",
            records.len(),
            newest.unwrap_or_default()
        );
        Ok(())
    }

    fn record_written(&self, records: &[OriginRecord]) {
        lock(&self.log).record_written(records);
        self.written.notify_waiters();
    }

    fn recent(&self, services: &BTreeSet<ServiceId>) -> Vec<OriginRecord> {
        let mut log = lock(&self.log);
        log.trim(unix_ms());
        log.of_services(services)
    }

    /// Whether the store has this node's object. If that is unknown, reads the object
    /// and adds what an earlier process of this node wrote to it, which the next write
    /// would otherwise replace.
    async fn check_exists(&self, own: &mut OwnObject) -> Result<bool, StoreFailure> {
        if let Some(exists) = own.exists {
            return Ok(exists);
        }
        let read = self.store.read_run_origins(&self.node);
        let object = self.count_call(read).await?;
        let exists = object.is_some();
        if let Some(object) = object {
            lock(&self.log).merge(object.records, unix_ms());
        }
        own.exists = Some(exists);
        Ok(exists)
    }

    async fn delete_own(&self, own: &mut OwnObject) -> Result<(), StoreFailure> {
        own.written.clear();
        if !own.may_exist {
            self.record_written(&[]);
            return Ok(());
        }
        own.exists = None;
        let delete = self.store.delete_run_origins(&self.node, None);
        self.count_call(delete).await?;
        log::info!(
            "event=run_origins_deleted node={} cause=not_needed",
            self.node
        );
        own.may_exist = false;
        self.record_written(&[]);
        Ok(())
    }

    async fn count_call<T>(&self, call: impl Future<Output = T>) -> T {
        self.metrics.add(Counter::StoreCalls, 1);
        call.await
    }
}

/// Interval between the writes of a node, so that all nodes together stay below
/// [`WRITES_PER_S_MAX`].
pub(crate) fn write_interval(node_count: usize) -> Duration {
    let shared = Duration::from_secs_f64(node_count as f64 / WRITES_PER_S_MAX);
    shared.max(WRITE_INTERVAL_MIN)
}

/// Shortest interval between two writes of a node for which callers wait, so that all nodes
/// together stay below [`AWAITED_WRITES_PER_S_MAX`].
pub(crate) fn awaited_write_interval(node_count: usize) -> Duration {
    let shared = Duration::from_secs_f64(node_count as f64 / AWAITED_WRITES_PER_S_MAX);
    shared.max(WRITE_INTERVAL_MIN)
}

/// The pause before the next write, with jitter, and longer after failures.
fn write_pause(node_count: usize, failure_count: u32) -> Duration {
    let interval = write_interval(node_count);
    let backoff = interval.saturating_mul(1 << failure_count.min(8));
    jittered(backoff.min(WRITE_BACKOFF_MAX.max(interval)))
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0..1.1))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
