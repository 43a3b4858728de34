//! Keeps in the platform's store which software versions have served each service
//! lately, so that nodes that were all killed at once know whether a stream may have
//! begun at a version that has left since.
//!
//! A node that has run for long enough knows that itself. One node per service, chosen
//! by rendezvous hashing, writes the object, and only when a version comes or has been
//! gone for long.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::cluster_view::ClusterView;
use crate::forward::forwarder::{Forwarder, NodeContext};
use crate::forward::upstream::SoftwareVersion;
use crate::hash::Fnv;
use crate::id::{Era, ServiceId};
use crate::observe::metrics::Counter;
use crate::platform::service_version_objects::ServedVersions;
use crate::platform::store::{Store, StoreFailure};

/// Interval at which a node compares what it knows with what the store has. A prompt
/// takes longer, so that a version is in the store before its first event.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the objects are read again, in case another node wrote them.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Writes the objects of the services that are assigned to this node.
pub(crate) struct ServedVersionsWriter {
    pub(crate) store: Store,
    pub(crate) forwarder: Arc<Forwarder<ClusterView>>,
}

/// What the store has, as this node last read it.
struct Known {
    services: BTreeMap<ServiceId, ServedVersions>,
    era: Option<Era>,
    read_at: Instant,
}

impl ServedVersionsWriter {
    /// Keeps the objects up to date. Never returns; it ends with the runtime.
    pub(crate) async fn run(self) {
        let mut known = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if let Err(failure) = self.update(&mut known).await {
                known = None;
                log::warn!("event=served_versions_not_written cause={failure}");
            }
        }
    }

    async fn update(&self, known: &mut Option<Known>) -> Result<(), StoreFailure> {
        let node = &self.forwarder.node;
        if !node.is_membership_settled() {
            return Ok(());
        }
        let now = Instant::now();
        let mut assigned = self.forwarder.directory.versions_by_service(now);
        assigned.retain(|service, _| self.forwarder.is_configured(service));
        assigned.retain(|service, _| node.is_assigned(Fnv::new().text(service).finish()));
        if assigned.is_empty() {
            *known = None;
            return Ok(());
        }
        let era = self.store.era();
        let is_current = |k: &Known| k.era == era && k.read_at.elapsed() < READ_INTERVAL;
        let held = match known.take().filter(is_current) {
            Some(held) => held,
            None => self.read().await?,
        };
        let services = &known.insert(held).services;
        let mut is_written = false;
        for (service, mut versions) in assigned {
            let held = services.get(&service);
            if node.has_started_recently() {
                versions.extend(held.into_iter().flat_map(|held| held.versions.clone()));
            }
            if held.is_none_or(|held| held.versions != versions) {
                self.write(&service, held, &versions).await?;
                is_written = true;
            }
        }
        if is_written {
            *known = None;
        }
        Ok(())
    }

    async fn read(&self) -> Result<Known, StoreFailure> {
        self.forwarder.metrics.add(Counter::StoreCalls, 1);
        let services = self.store.list_service_versions().await?;
        Ok(Known {
            services,
            era: self.store.era(),
            read_at: Instant::now(),
        })
    }

    async fn write(
        &self,
        service: &ServiceId,
        held: Option<&ServedVersions>,
        versions: &BTreeSet<SoftwareVersion>,
    ) -> Result<(), StoreFailure> {
        self.forwarder.metrics.add(Counter::StoreCalls, 1);
        let revision = held.map(|held| held.revision);
        let write = self
            .store
            .write_service_versions(service, revision, versions);
        write.await?;
        log::info!("event=served_versions_written service={service} versions={versions:?}");
        Ok(())
    }
}
