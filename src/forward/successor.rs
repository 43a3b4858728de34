//! Finding an engine that started in place of another while the store is away.
//!
//! Engines that crash come back within seconds under new names, and cannot
//! register them while the store is away. The refusal of a misdirected call
//! names the engine that has the address now; its report tells that it is one.

use std::sync::Arc;
use std::time::Duration;

use super::forwarder::{Forwarder, Surroundings};
use super::observation::Observation;
use super::probe::probe_engine;
use super::route_table::RouteTable;
use super::upstream::{Upstream, UpstreamEntry, UpstreamId};
use crate::platform::engine::EngineReport;

/// How long the engine may take to report on itself.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

impl<S: Surroundings> Forwarder<S> {
    /// Takes `actual` into use in place of `earlier`, if the store cannot be
    /// asked and it shows that it serves the same service.
    pub(crate) fn look_for(self: &Arc<Self>, earlier: UpstreamEntry, actual: UpstreamId) {
        if self.node.is_config_fresh() || self.directory.knows(&actual) {
            return;
        }
        let forwarder = self.clone();
        tokio::spawn(async move {
            let found = tokio::time::timeout(REPORT_TIMEOUT, forwarder.ask_for(earlier, actual));
            if let Ok(Some(entry)) = found.await {
                log::info!(
                    "event=upstream_found upstream={} cause=misdirected",
                    entry.id
                );
                forwarder.directory.put(entry.clone());
                forwarder.sightings.publish(Observation::Found(entry));
            }
        });
    }

    async fn ask_for(&self, earlier: UpstreamEntry, actual: UpstreamId) -> Option<UpstreamEntry> {
        let table = self.routing.load_full()?;
        if !is_only_engine_service(&table, &earlier.service) {
            return None;
        }
        let entry = UpstreamEntry {
            id: actual,
            born_unix_ms: 0,
            draining: false,
            ..earlier
        };
        let report: EngineReport = probe_engine(&Upstream::new(entry.clone())).await?;
        let is_engine = !report.models.is_empty();
        (is_engine && report.takes_work()).then_some(UpstreamEntry {
            born_unix_ms: report.born_unix_ms,
            ..entry
        })
    }
}

/// Whether an engine can belong to no other service.
fn is_only_engine_service(table: &RouteTable, service: &str) -> bool {
    let mut engines = table.engine_services();
    engines.next().is_some_and(|only| only == service) && engines.next().is_none()
}
