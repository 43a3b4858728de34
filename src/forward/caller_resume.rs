//! Finds out where a stream began of which a caller requests the rest, so that it
//! goes on at the same software version or is refused.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use super::forwarder::{Forwarder, NodeContext};
use super::run_origin::{OriginSearch, RunKey, RunOrigin, run_key};
use super::stream_call::{OpenFailure, StreamRun};
use super::upstream::{SoftwareVersion, Upstream, version_for_log};
use crate::policy::failure_response::GiveUpReason;

/// Where a node learnt the origin of a run.
#[derive(Clone, Copy, Debug)]
enum OriginSource {
    /// This node has its record.
    Own,
    /// Another node has its record.
    Peer,
    /// No node has its record, but the platform's store does.
    Store,
    /// There is no record of it, and only one version has served the service lately, as
    /// the store says too.
    OnlyVersion,
}

impl<N: NodeContext> StreamRun<N> {
    /// Finds the origin of the stream if the call requests the rest of one. Fails
    /// if that is unknown and the stream may have begun at another version than
    /// the one at which it would go on.
    pub(super) async fn find_origin(&mut self) -> Result<(), OpenFailure> {
        if self.call.headers.last_event.is_none() {
            return Ok(());
        }
        let Some((origin, source)) = self.known_origin().await else {
            log::info!(
                "event=stream_origin_unknown call={} resumes={}",
                self.call.id(),
                self.call.resumed_id().unwrap_or("-")
            );
            let cause = "the software version that began the stream is unknown".to_owned();
            return Err(OpenFailure::GivenUp(GiveUpReason::NoUpstream, cause));
        };
        log::info!(
            "event=stream_origin call={} resumes={} version={} upstream={} learnt={source:?}",
            self.call.id(),
            self.call.resumed_id().unwrap_or("-"),
            version_for_log(origin.software_version.as_ref()),
            origin.upstream
        );
        self.is_origin_recorded = !matches!(source, OriginSource::OnlyVersion);
        if self.call.matched.route.has_service(&origin.service) {
            self.call.service.clone_from(&origin.service);
        }
        // If the route has moved to another service, the versions of the earlier
        // one say nothing about its upstreams.
        if self.call.service == origin.service {
            self.origin = Some(origin);
        }
        Ok(())
    }

    async fn known_origin(&self) -> Option<(RunOrigin, OriginSource)> {
        let forwarder = &self.forwarder;
        if let Some(key) = self.resumed_run_key() {
            if let Some(origin) = forwarder.run_origins.get(key, Instant::now()) {
                return Some((origin, OriginSource::Own));
            }
            if let Some(origin) = forwarder.node.find_origin(key).await {
                let now = Instant::now();
                forwarder.run_origins.record(key, origin.clone(), now);
                return Some((origin, OriginSource::Peer));
            }
        }
        let now = Instant::now();
        let only = forwarder.directory.only_origin(&self.call.service, now);
        // The node may have been cut off, or stood still, while upstreams of another version
        // joined, so that its own list alone proves nothing.
        match self.stored_origin().await {
            OriginSearch::Found(origin) => Some((origin, OriginSource::Store)),
            OriginSearch::Absent(served) => {
                let only = only.filter(|only| is_only_served(&served, only));
                Some((only?, OriginSource::OnlyVersion))
            }
            OriginSearch::Unknown => None,
        }
    }

    /// Looks for the origin in the platform's store; this node keeps what it finds.
    async fn stored_origin(&self) -> OriginSearch {
        let forwarder = &self.forwarder;
        // No run has the key of an empty id, for which the search tells the versions.
        let key = self.resumed_run_key().unwrap_or_else(|| run_key(&[]));
        let service = &self.call.service;
        let search = forwarder.node.find_stored_origin(key, service).await;
        if let OriginSearch::Found(origin) = &search {
            let now = Instant::now();
            forwarder.run_origins.record(key, origin.clone(), now);
        }
        search
    }

    /// Key of the run that the call resumes.
    fn resumed_run_key(&self) -> Option<RunKey> {
        let resumed = self.call.headers.resumes.as_ref()?;
        Some(run_key(resumed.as_bytes()))
    }

    /// Has the store keep where the run will begin if `upstream`, to which it is sent,
    /// sends the first event. The prompt takes longer to process than the write, so
    /// that the record is there before a caller could ask for the rest.
    pub(super) fn record_sent_to(&self, upstream: &Upstream) {
        if self.origin.is_none()
            && let Some(run) = self.call.new_run()
        {
            let origin = RunOrigin::at(upstream);
            self.forwarder.node.record_sent_to(run, &origin);
        }
    }

    /// Records, before the first event is passed on, that the run began at
    /// `upstream`, and publishes it to other nodes, which need it if this node is
    /// lost. Returns the key of the run if it was recorded now. The store may still say that
    /// it began at another version, to which it was sent before.
    pub(super) async fn record_origin(&mut self, upstream: &Arc<Upstream>) -> Option<RunKey> {
        if self.origin.is_none() {
            self.origin = Some(self.forwarder.origin_at(upstream).await);
        }
        let origin = self.origin.as_ref()?;
        if std::mem::replace(&mut self.is_origin_recorded, true) {
            return None;
        }
        log::info!(
            "event=stream_began call={} service={} version={} upstream={}",
            self.call.id(),
            origin.service,
            version_for_log(origin.software_version.as_ref()),
            origin.upstream
        );
        let headers = &self.call.headers;
        let id = headers.resumes.as_ref().or(headers.call_id.as_ref())?;
        let key = run_key(id.as_bytes());
        self.forwarder.publish_origin(key, origin.clone());
        Some(key)
    }

    /// Whether the run may go on, or begin, at `upstream`.
    pub(super) fn admits(&self, upstream: &Upstream) -> bool {
        self.origin
            .as_ref()
            .is_none_or(|origin| origin.admits(upstream))
    }
}

/// Whether no version but that of `only` has served the service lately.
fn is_only_served(served: &BTreeSet<SoftwareVersion>, only: &RunOrigin) -> bool {
    let mut served = served.iter();
    served.next() == only.software_version.as_ref() && served.next().is_none()
}

impl<N: NodeContext> Forwarder<N> {
    fn publish_origin(&self, key: RunKey, origin: RunOrigin) {
        self.run_origins.record(key, origin.clone(), Instant::now());
        self.node.publish_origin(key, origin);
    }
}
