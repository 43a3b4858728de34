//! The origins of the runs that began at this node, as it writes them to the
//! platform's store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::forward::run_origin::{ORIGIN_LIFETIME, RunKey, RunOrigin};
use crate::forward::upstream::SoftwareVersion;
use crate::id::ServiceId;

/// Maximum number of records, which keeps an object below the store's limit of
/// 1 MiB.
pub(crate) const RECORDS_MAX: usize = 16_384;

/// The software version that began a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OriginRecord {
    pub(crate) key: RunKey,
    pub(crate) service: ServiceId,
    pub(crate) software_version: SoftwareVersion,
    /// Time of the record in Unix milliseconds. Clocks of nodes differ, so it only
    /// decides how long the record is kept.
    pub(crate) recorded_unix_ms: u64,
}

impl OriginRecord {
    /// Whether the record is younger than `age_ms`.
    pub(crate) fn is_within(&self, age_ms: u64, now_unix_ms: u64) -> bool {
        now_unix_ms.saturating_sub(self.recorded_unix_ms) < age_ms
    }
}

/// Records of recent runs, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RunOriginLog {
    records: VecDeque<OriginRecord>,
    keys: BTreeSet<RunKey>,
    /// Runs whose present record was in a write, answered or not.
    offered: BTreeSet<RunKey>,
    /// Runs of which the store may have a record that no longer holds: their version has
    /// changed, or their record was withdrawn, after it was in a write.
    outdated: BTreeSet<RunKey>,
}

impl RunOriginLog {
    /// Adds a run that was sent to its origin now. A run whose version is unknown has no
    /// record: it goes on only at the incarnation that began it. A run that is sent
    /// to another version before its first event changes its record.
    pub(crate) fn record(&mut self, key: RunKey, origin: &RunOrigin, now_unix_ms: u64) {
        let Some(software_version) = origin.software_version.clone() else {
            return self.withdraw(key);
        };
        if !self.keys.insert(key) {
            self.change_version(key, software_version);
            return;
        }
        self.records.push_back(OriginRecord {
            key,
            service: origin.service.clone(),
            software_version,
            recorded_unix_ms: now_unix_ms,
        });
        self.trim(now_unix_ms);
    }

    fn change_version(&mut self, key: RunKey, software_version: SoftwareVersion) {
        let mut newest_first = self.records.iter_mut().rev();
        let Some(record) = newest_first.find(|record| record.key == key) else {
            return;
        };
        if record.software_version != software_version {
            record.software_version = software_version;
            self.mark_outdated_if_offered(key);
        }
    }

    fn mark_outdated_if_offered(&mut self, key: RunKey) {
        if self.offered.remove(&key) {
            self.outdated.insert(key);
        }
    }

    /// Removes the record of a run that another node sends to its origin from now on, and
    /// records where it begins.
    pub(crate) fn withdraw(&mut self, key: RunKey) {
        if self.keys.remove(&key) {
            self.records.retain(|record| record.key != key);
            self.mark_outdated_if_offered(key);
        }
    }

    /// Whether the store may have a record of the run that no longer holds.
    pub(crate) fn is_outdated_in_store(&self, key: RunKey) -> bool {
        self.outdated.contains(&key)
    }

    /// Whether the store may have records that no longer hold, of any run.
    pub(crate) fn has_outdated_in_store(&self) -> bool {
        !self.outdated.is_empty()
    }

    /// Applies that a write was acknowledged, after which the store has just these records
    /// of this node.
    pub(crate) fn record_written(&mut self, written: &[OriginRecord]) {
        if self.outdated.is_empty() {
            return;
        }
        let current = versions(&self.records);
        let written = versions(written);
        let is_outdated =
            |key: &RunKey| written.contains_key(key) && written.get(key) != current.get(key);
        self.outdated.retain(is_outdated);
    }

    /// Adds the records that this node wrote before it was restarted.
    pub(crate) fn merge(&mut self, earlier: Vec<OriginRecord>, now_unix_ms: u64) {
        for record in earlier {
            if !self.outdated.contains(&record.key) && self.keys.insert(record.key) {
                self.offered.insert(record.key);
                self.records.push_back(record);
            }
        }
        let records = self.records.make_contiguous();
        records.sort_by_key(|record| record.recorded_unix_ms);
        self.trim(now_unix_ms);
    }

    /// Removes expired records, and the oldest ones beyond [`RECORDS_MAX`].
    pub(crate) fn trim(&mut self, now_unix_ms: u64) {
        let lifetime_ms = ORIGIN_LIFETIME.as_millis() as u64;
        while let Some(oldest) = self.records.front()
            && (self.records.len() > RECORDS_MAX || !oldest.is_within(lifetime_ms, now_unix_ms))
        {
            self.keys.remove(&oldest.key);
            self.offered.remove(&oldest.key);
            self.outdated.remove(&oldest.key);
            self.records.pop_front();
        }
    }

    /// The records of runs of these services, for a write that begins now.
    pub(crate) fn offer(&mut self, services: &BTreeSet<ServiceId>) -> Vec<OriginRecord> {
        let records = self.of_services(services);
        self.offered.extend(records.iter().map(|record| record.key));
        records
    }

    /// The records of runs of these services.
    pub(crate) fn of_services(&self, services: &BTreeSet<ServiceId>) -> Vec<OriginRecord> {
        let records = self.records.iter();
        records
            .filter(|record| services.contains(&record.service))
            .cloned()
            .collect()
    }
}

/// The versions that records name, by run.
fn versions<'a>(
    records: impl IntoIterator<Item = &'a OriginRecord>,
) -> BTreeMap<RunKey, &'a SoftwareVersion> {
    let records = records.into_iter();
    records
        .map(|record| (record.key, &record.software_version))
        .collect()
}
