//! Reads the origins of runs that the nodes wrote to the platform's store, and deletes the
//! objects that nodes left behind.
//!
//! A node reads them when a caller resumes a stream whose origin no node knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::run_origin_log::OriginRecord;
use crate::clock::unix_ms;
use crate::forward::run_origin::{OriginSearch, RunKey, RunOrigin};
use crate::forward::upstream::SoftwareVersion;
use crate::id::ServiceId;
use crate::observe::metrics::{Counter, Metrics};
use crate::platform::run_origin_objects::RunOriginObject;
use crate::platform::service_version_objects::ServedVersions;
use crate::platform::store::Store;

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
/// Age from which a record is of no use, whatever the difference of two clocks.
const RECORD_AGE_MAX_MS: u64 = 120_000;
/// Maximum number of other nodes' objects that a node deletes in
/// [`DELETE_PERIOD`].
const DELETES_MAX: usize = 8;
const DELETE_PERIOD: Duration = Duration::from_secs(60);

/// The origins of runs in the platform's store, as this node reads them.
#[derive(Debug)]
pub(crate) struct StoredRunOriginReader {
    store: Store,
    metrics: Arc<Metrics>,
    found: Mutex<Found>,
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

impl StoredRunOriginReader {
    /// Creates a reader that has read nothing.
    pub(crate) fn new(store: Store, metrics: Arc<Metrics>) -> Self {
        Self {
            store,
            metrics,
            found: Mutex::default(),
            reading: tokio::sync::Mutex::default(),
            deletes: Mutex::default(),
        }
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

/// Interval between the reads of a node, so that all nodes together stay below
/// [`PAGES_PER_S_MAX`].
pub(crate) fn read_interval(node_count: usize, page_count: usize) -> Duration {
    let pages = (node_count * page_count) as f64;
    Duration::from_secs_f64(pages / PAGES_PER_S_MAX).max(READ_INTERVAL_MIN)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
