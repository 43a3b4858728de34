//! Keeps the origins of runs in the platform's store, so that streams can go on
//! after all nodes that kept them were killed at once.
//!
//! Only a service of which several software versions are present, or were until
//! recently, needs this: each node then writes its recent runs to an object of its
//! own, at intervals. A node reads all of the objects when a caller resumes a
//! stream whose origin no node knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;
use tokio::sync::Notify;

use super::cluster_view::ClusterView;
use super::run_origin_log::{OriginRecord, RunOriginLog};
use crate::clock::unix_ms;
use crate::forward::forwarder::{Forwarder, NodeContext};
use crate::forward::run_origin::{OriginSearch, RunKey, RunOrigin};
use crate::forward::upstream::SoftwareVersion;
use crate::id::{Era, NodeId, ServiceId};
use crate::observe::metrics::{Counter, Metrics};
use crate::platform::run_origin_objects::RunOriginObject;
use crate::platform::service_version_objects::ServedVersions;
use crate::platform::store::{Store, StoreFailure};

/// Shortest interval between two writes of a node.
const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Maximum number of writes a second of all nodes together.
const WRITES_PER_S_MAX: f64 = 100.0;
/// Longest pause after writes that failed.
const WRITE_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Shortest interval between two reads of the list by a node.
const READ_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Maximum number of pages that all nodes together read a second.
const PAGES_PER_S_MAX: f64 = 500.0;
/// Maximum number of pages of one read.
const PAGES_MAX: usize = 64;
/// Maximum number of records that a node holds from one read.
const RECORDS_READ_MAX: usize = 131_072;
/// Longest time that a caller waits for the store.
const FIND_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of writes a second of all nodes together while callers wait for them.
const AWAITED_WRITES_PER_S_MAX: f64 = 300.0;
/// Time between two checks whether the store is back, while callers wait for a write.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Age from which a record is of no use, whatever the difference of two clocks.
const RECORD_AGE_MAX_MS: u64 = 120_000;
/// Maximum number of other nodes' objects that a node deletes in
/// [`DELETE_PERIOD`].
const DELETES_MAX: usize = 8;
const DELETE_PERIOD: Duration = Duration::from_secs(60);

/// The origins of runs in the platform's store.
#[derive(Debug)]
pub(crate) struct StoredRunOrigins {
    node: NodeId,
    store: Store,
    metrics: Arc<Metrics>,
    log: Mutex<RunOriginLog>,
    found: Mutex<Found>,
    /// Callers that wait until the store has no record of their run that no longer holds.
    waiting_count: AtomicUsize,
    /// Notified when one begins to wait.
    wait_began: Notify,
    /// Notified when a write was acknowledged.
    written: Notify,
    /// Held during a read, so that resumes that wait share it.
    reading: tokio::sync::Mutex<()>,
    deletes: Mutex<DeleteBudget>,
}

/// Origins that were read; `None` for a run whose records differ. A node that can't reach
/// the upstreams sends its runs through a peer, and one that runs an earlier build leaves its
/// record in place.
type OriginsRead = BTreeMap<RunKey, Option<Arc<RunOrigin>>>;

/// What the last read of the list returned.
#[derive(Debug, Default)]
struct Found {
    origins: OriginsRead,
    /// Time until which the list is not read again.
    valid_until: Option<Instant>,
    /// Whether the last read returned the objects of all nodes.
    is_complete: bool,
    /// The versions that have served each service lately, if they were read.
    served: BTreeMap<ServiceId, ServedVersions>,
}

impl Found {
    /// Adds what a read returned. One that was not complete leaves the others as they are.
    fn apply(&mut self, list: &ObjectList, now_unix_ms: u64) {
        if list.is_complete {
            self.origins.clear();
        }
        self.origins.extend(list.origins(now_unix_ms));
        self.is_complete = list.is_complete;
    }
}

/// The upstream is not stored: any one of the version may go on with the run.
fn origin_of(record: &OriginRecord) -> Arc<RunOrigin> {
    Arc::new(RunOrigin {
        service: record.service.clone(),
        software_version: Some(record.software_version.clone()),
        upstream: String::new(),
        born_unix_ms: 0,
    })
}

/// The objects that one read returned.
#[derive(Debug, Default)]
struct ObjectList {
    objects: Vec<RunOriginObject>,
    page_count: usize,
    is_complete: bool,
}

impl ObjectList {
    /// The origins of the runs in these objects.
    fn origins(&self, now_unix_ms: u64) -> OriginsRead {
        let mut shared: BTreeMap<(&str, &str), Arc<RunOrigin>> = BTreeMap::new();
        let mut origins = OriginsRead::new();
        let records = self.objects.iter().flat_map(|object| &object.records);
        for record in records.filter(|r| r.is_within(RECORD_AGE_MAX_MS, now_unix_ms)) {
            let version = (record.service.as_str(), record.software_version.as_str());
            let origin = shared.entry(version).or_insert_with(|| origin_of(record));
            let earlier = origins.get(&record.key).cloned().flatten();
            if earlier.is_some_and(|earlier| earlier != *origin) {
                origins.insert(record.key, None);
            } else if origins.len() < RECORDS_READ_MAX {
                origins.entry(record.key).or_insert(Some(origin.clone()));
            }
        }
        origins
    }
}

/// Limits how many objects of other nodes a node deletes.
#[derive(Debug, Default)]
struct DeleteBudget {
    period_began_at: Option<Instant>,
    spent_count: usize,
}

impl DeleteBudget {
    fn try_spend(&mut self, now: Instant) -> bool {
        let is_over = |began: Instant| now.saturating_duration_since(began) >= DELETE_PERIOD;
        if self.period_began_at.is_none_or(is_over) {
            self.period_began_at = Some(now);
            self.spent_count = 0;
        }
        self.spent_count += 1;
        self.spent_count <= DELETES_MAX
    }
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
        Self {
            node,
            store,
            metrics,
            log: Mutex::default(),
            found: Mutex::default(),
            waiting_count: AtomicUsize::default(),
            wait_began: Notify::new(),
            written: Notify::new(),
            reading: tokio::sync::Mutex::default(),
            deletes: Mutex::default(),
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

    /// Looks for the origin of a run in the store, within [`FIND_TIMEOUT`]. A read
    /// that takes longer goes on for the caller's next try. Only if the store can't be read,
    /// an earlier read counts, since a node may have corrected its record in the meantime.
    pub(crate) async fn find(
        self: &Arc<Self>,
        key: RunKey,
        service: &str,
        node_count: usize,
    ) -> OriginSearch {
        let this = self.clone();
        let read = tokio::spawn(async move { this.read_if_due(node_count).await });
        let is_complete = tokio::time::timeout(FIND_TIMEOUT, read).await;
        match (self.found(key), is_complete) {
            (Some(Some(origin)), _) => OriginSearch::Found(origin.as_ref().clone()),
            (Some(None), _) => OriginSearch::Unknown,
            (None, Ok(Ok(true))) => OriginSearch::Absent(self.served_versions(service)),
            (None, _) => OriginSearch::Unknown,
        }
    }

    fn found(&self, key: RunKey) -> Option<Option<Arc<RunOrigin>>> {
        lock(&self.found).origins.get(&key).cloned()
    }

    fn served_versions(&self, service: &str) -> BTreeSet<SoftwareVersion> {
        let found = lock(&self.found);
        let served = found.served.get(service);
        served.map_or_else(BTreeSet::new, |served| served.versions.clone())
    }

    /// Reads the objects of all nodes unless that was done recently. Returns whether
    /// the last read was complete.
    async fn read_if_due(self: &Arc<Self>, node_count: usize) -> bool {
        let _reading = self.reading.lock().await;
        let is_due = |until| Instant::now() >= until;
        let (is_complete, valid_until) = {
            let found = lock(&self.found);
            (found.is_complete, found.valid_until)
        };
        if !valid_until.is_none_or(is_due) {
            return is_complete;
        }
        let list = self.read_list().await;
        let served = self.count_call(self.store.list_service_versions()).await;
        let now_unix_ms = unix_ms();
        let mut found = std::mem::take(&mut *lock(&self.found));
        found.apply(&list, now_unix_ms);
        log::info!(
            "event=run_origins_read pages={} objects={} runs={} is_complete={}",
            list.page_count,
            list.objects.len(),
            found.origins.len(),
            list.is_complete
        );
        found.valid_until = Some(Instant::now() + read_interval(node_count, list.page_count));
        found.served = served.unwrap_or_default();
        *lock(&self.found) = found;
        let this = self.clone();
        tokio::spawn(async move { this.delete_old(&list.objects, now_unix_ms).await });
        list.is_complete
    }

    /// Reads the objects of all nodes, or of some if the store fails meanwhile.
    async fn read_list(&self) -> ObjectList {
        let mut list = ObjectList::default();
        let mut has_unreadable = false;
        let mut after = None;
        while list.page_count < PAGES_MAX {
            list.page_count += 1;
            let page = self.store.list_run_origins(after.as_deref());
            let page = match self.count_call(page).await {
                Ok(page) => page,
                Err(failure) => {
                    log::warn!("event=run_origins_not_read cause={failure}");
                    return list;
                }
            };
            list.objects.extend(page.objects);
            has_unreadable |= page.has_unreadable;
            after = page.next;
            if after.is_none() {
                list.is_complete = !has_unreadable;
                return list;
            }
        }
        list
    }

    /// Deletes objects whose records are all of no use, which their nodes left
    /// behind.
    async fn delete_old(&self, objects: &[RunOriginObject], now_unix_ms: u64) {
        let is_useful = |record: &OriginRecord| record.is_within(RECORD_AGE_MAX_MS, now_unix_ms);
        let old = objects
            .iter()
            .filter(|object| !object.records.iter().any(is_useful));
        for object in old {
            if !lock(&self.deletes).try_spend(Instant::now()) {
                return;
            }
            let delete = self
                .store
                .delete_run_origins(&object.node, Some(object.revision));
            if self.count_call(delete).await.is_err() {
                return;
            }
            log::info!("event=run_origins_deleted node={} cause=old", object.node);
        }
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

/// Interval between the reads of a node, so that all nodes together stay below
/// [`PAGES_PER_S_MAX`].
pub(crate) fn read_interval(node_count: usize, page_count: usize) -> Duration {
    let pages = (node_count * page_count) as f64;
    Duration::from_secs_f64(pages / PAGES_PER_S_MAX).max(READ_INTERVAL_MIN)
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
