//! Checks that an engine has not restarted under its id since it registered.
//!
//! An engine may restart under the id that it had, with other software. Until its
//! new entry arrives, calls with that id reach it, and nothing in its answers
//! tells the two incarnations apart. Its report on itself states its start.

use std::sync::Arc;

use super::forwarder::{Forwarder, NodeContext};
use super::probe::probe_engine;
use super::upstream::{Upstream, UpstreamEntry};
use crate::observe::metrics::Counter;

impl<N: NodeContext> Forwarder<N> {
    /// Whether the engine reports that it is the incarnation that registered. One
    /// that restarted is known from now on as an incarnation whose software version
    /// is unknown.
    pub(crate) async fn is_registered_incarnation(&self, upstream: &Arc<Upstream>) -> bool {
        if self.acquire_permit(upstream).await.is_err() {
            return false;
        }
        self.metrics.add(Counter::EngineProbes, 1);
        let Ok(report) = probe_engine(upstream).await else {
            return false;
        };
        let entry = &upstream.entry;
        let (registered, reported) = (entry.born_unix_ms, report.born_unix_ms);
        let is_unknown = registered == 0 || reported == 0;
        if is_unknown || registered == reported {
            return true;
        }
        log::info!(
            "event=upstream_restarted upstream={} born={registered} reported={reported}",
            entry.id
        );
        self.directory.put(UpstreamEntry {
            born_unix_ms: reported,
            software_version: None,
            ..entry.clone()
        });
        false
    }
}
