//! Checks that an engine has not restarted under its id since it registered.
//!
//! An engine may restart under the id that it had, with other software. Until its
//! new entry arrives, calls with that id reach it, and nothing in its answers
//! tells the two incarnations apart. Its report on itself states its start.
//!
//! An engine that names a limit counts the report like a call, which then waits for a permit
//! beside its own; `docs/LIMITS.md` says for how long.

use std::sync::Arc;
use std::time::Instant;

use super::attempt::AttemptFailure;
use super::forwarder::{Forwarder, NodeContext};
use super::probe::probe_engine;
use super::run_origin::RunOrigin;
use super::upstream::{Upstream, UpstreamEntry};
use super::upstream_permits::PERMIT_WAIT_MAX;
use crate::observe::metrics::Counter;

impl<N: NodeContext> Forwarder<N> {
    /// Checks that the engine is the incarnation that registered, before a call for which
    /// this node has a permit is sent to it. One that restarted is known from now on as an
    /// incarnation whose software version is unknown.
    pub(super) async fn check_incarnation(
        &self,
        upstream: &Arc<Upstream>,
    ) -> Result<(), AttemptFailure> {
        let is_limited = upstream.counts_probes();
        let known = upstream.reported_start(Instant::now());
        if let Some(reported) = known.filter(|_| is_limited) {
            return self.compare_start(upstream, reported);
        }
        // The report comes last, so that it is as young as can be when the call is sent.
        let wait_ends_at = Instant::now() + PERMIT_WAIT_MAX;
        if is_limited && !self.wait_for_permit(upstream, wait_ends_at).await {
            return Err(AttemptFailure::Resting);
        }
        let reported = self.request_start(upstream).await?;
        self.compare_start(upstream, reported)
    }

    /// The origin of a run that begins at the engine now. While nobody can tell whether the
    /// engine's entry is that of its present incarnation, its report is asked. The software
    /// version of another incarnation is unknown.
    pub(super) async fn origin_at(&self, upstream: &Arc<Upstream>) -> RunOrigin {
        let origin = RunOrigin::at(upstream);
        let is_entry_current = self.node.has_store_answered_lately() && !upstream.has_broken();
        if is_entry_current || upstream.counts_probes() {
            return origin;
        }
        let Ok(reported) = self.request_start(upstream).await else {
            return origin;
        };
        if self.compare_start(upstream, reported).is_ok() {
            upstream.record_same_start();
            return origin;
        }
        RunOrigin {
            software_version: None,
            born_unix_ms: reported,
            ..origin
        }
    }

    /// Requests the start of the engine's incarnation, in Unix milliseconds.
    async fn request_start(&self, upstream: &Arc<Upstream>) -> Result<u64, AttemptFailure> {
        self.metrics.add(Counter::EngineProbes, 1);
        match probe_engine(upstream).await {
            Ok(report) => Ok(report.born_unix_ms),
            Err(_) if upstream.is_resting() => Err(AttemptFailure::Resting),
            Err(_) => Err(AttemptFailure::NotSent("the engine did not report")),
        }
    }

    fn compare_start(&self, upstream: &Upstream, reported: u64) -> Result<(), AttemptFailure> {
        let entry = &upstream.entry;
        if entry.may_have_started_at(reported) {
            return Ok(());
        }
        // The report may be that of another upstream, whose address the entry names. The
        // connection that brought it is open, so that it holds now.
        let is_reported = |other: &UpstreamEntry| other.born_unix_ms == reported;
        let (directory, now) = (&self.directory, Instant::now());
        if directory.record_answer_at(entry.address, is_reported, now) {
            return Err(AttemptFailure::NotSent(
                "another upstream reports from this address",
            ));
        }
        log::info!(
            "event=upstream_restarted upstream={} born={} reported={reported}",
            entry.id,
            entry.born_unix_ms
        );
        self.directory.put(UpstreamEntry {
            born_unix_ms: reported,
            software_version: None,
            ..entry.clone()
        });
        Err(AttemptFailure::NotSent(
            "the engine has restarted since it registered",
        ))
    }
}
