//! Finds the engine that replaced a crashed one while the store is unreachable.
//!
//! An engine that crashed restarts within seconds under a new id, which it
//! cannot register while the store is unreachable. When a call for the old id
//! arrives at the restarted engine, the engine refuses it as misdirected and
//! states its new id. Its report on itself then shows that it is a model engine.

use std::sync::Arc;
use std::time::Duration;

use super::forwarder::{Forwarder, NodeContext};
use super::observation::Observation;
use super::probe::probe_engine;
use super::route_table::RouteTable;
use super::upstream::{Upstream, UpstreamEntry};
use crate::id::UpstreamId;
use crate::platform::engine::EngineReport;

/// Longest time that the engine may take to send its report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

impl<N: NodeContext> Forwarder<N> {
    /// Adds `actual`, which answered at the address of `earlier`, to the
    /// directory as its successor, if the store is unreachable and `actual` can
    /// only belong to the same service.
    pub(crate) fn find_successor(self: &Arc<Self>, earlier: UpstreamEntry, actual: UpstreamId) {
        if self.node.is_store_reachable() || self.directory.knows(&actual) {
            return;
        }
        let forwarder = self.clone();
        tokio::spawn(async move {
            let found =
                tokio::time::timeout(REPORT_TIMEOUT, forwarder.query_successor(earlier, actual));
            if let Ok(Some(entry)) = found.await {
                log::info!(
                    "event=upstream_found upstream={} cause=misdirected",
                    entry.id
                );
                forwarder.directory.put(entry.clone());
                forwarder
                    .observations
                    .publish(Observation::Discovered(entry));
            }
        });
    }

    async fn query_successor(
        &self,
        earlier: UpstreamEntry,
        actual: UpstreamId,
    ) -> Option<UpstreamEntry> {
        let table = self.route_table.load_full()?;
        if !is_only_engine_service(&table, &earlier.service) {
            return None;
        }
        let entry = UpstreamEntry {
            id: actual,
            born_unix_ms: 0,
            // It may have restarted with other software.
            software_version: None,
            draining: false,
            ..earlier
        };
        let report: EngineReport = probe_engine(&Arc::new(Upstream::new(entry.clone())))
            .await
            .ok()?;
        let is_engine = !report.models.is_empty();
        (is_engine && report.accepts_work()).then_some(UpstreamEntry {
            born_unix_ms: report.born_unix_ms,
            ..entry
        })
    }
}

/// Whether `service` is the only service with model engines, so that any engine
/// belongs to it.
fn is_only_engine_service(table: &RouteTable, service: &str) -> bool {
    let mut engines = table.engine_services();
    engines.next().is_some_and(|only| only == service) && engines.next().is_none()
}
