//! Detects poison requests, which crash the upstreams that begin to run them, and
//! publishes the crashes to the other nodes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::connection::CONNECT_TIMEOUT;
use super::forwarder::{Forwarder, NodeContext};
use super::observation::{Observation, Observations};
use super::request::Call;
use super::upstream::Upstream;
use crate::policy::poison_detector::PoisonDetector;

/// Time after a crash until the upstream's port refuses connections.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(20);

/// The crashes of upstreams that began a request, seen by this node or its peers.
#[derive(Debug)]
pub(crate) struct RequestCrashes {
    detector: Mutex<PoisonDetector>,
    observations: Observations,
}

impl RequestCrashes {
    /// Creates a record without crashes, which publishes crashes that this node
    /// sees to `observations`.
    pub(crate) fn new(observations: Observations) -> Self {
        Self {
            detector: Mutex::default(),
            observations,
        }
    }

    /// Locks the detector of poison requests.
    pub(crate) fn lock(&self) -> MutexGuard<'_, PoisonDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the call's request is poison and must not be sent any more.
    pub(crate) fn is_poison(&self, call: &Call) -> bool {
        let detector = self.lock();
        !detector.is_empty() && detector.is_poison(call.fingerprint())
    }

    /// Records that the call made progress, which clears its request.
    pub(crate) fn record_progress(&self, call: &Call) {
        let mut detector = self.lock();
        if !detector.is_empty() {
            detector.record_progress(call.fingerprint());
        }
    }

    async fn check_for_crash(&self, call: &Call, upstream: &Upstream) {
        tokio::time::sleep(PORT_CLOSE_DELAY).await;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, upstream.pool.open());
        if matches!(connecting.await, Ok(Ok(_))) {
            return;
        }
        let request = call.fingerprint();
        let id = &upstream.entry.id;
        let is_new = self.lock().record_crash(request, id, Instant::now());
        let is_poison = self.lock().is_poison(request);
        log::warn!(
            "event=crash_suspected call={} request={request:016x} parts={} upstream={id} convicted={is_poison}",
            call.id(),
            call.shared_parts_for_log()
        );
        if is_new {
            self.observations.publish(Observation::Crash {
                request,
                upstream: id.clone(),
            });
        }
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Connects to the upstream again, after it sent neither a usable answer nor an
    /// event of the call, to check whether it has crashed. If it cannot be reached,
    /// counts the crash against the call's request.
    pub(crate) fn check_for_crash(self: &Arc<Self>, call: &Call, upstream: &Arc<Upstream>) {
        let (forwarder, call, upstream) = (self.clone(), call.clone(), upstream.clone());
        tokio::spawn(async move {
            forwarder
                .request_crashes
                .check_for_crash(&call, &upstream)
                .await
        });
    }
}
