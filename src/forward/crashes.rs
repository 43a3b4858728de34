//! What this node knows of requests that crash their upstreams.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::connection::CONNECT_TIMEOUT;
use super::forwarder::{Forwarder, NodeContext};
use super::request::Call;
use super::sighting::{Sighting, Sightings};
use super::upstream::Upstream;
use crate::policy::conviction::Convictions;

/// Pause after which a crashed upstream takes no connection any more.
const CRASH_SHOWS: Duration = Duration::from_millis(20);

/// Convictions, and whoever tells them to other nodes.
#[derive(Debug)]
pub(crate) struct Crashes {
    convictions: Mutex<Convictions>,
    sightings: Sightings,
}

impl Crashes {
    /// Holds nothing against anybody, and tells what it finds out.
    pub(crate) fn new(sightings: Sightings) -> Self {
        Self {
            convictions: Mutex::default(),
            sightings,
        }
    }

    /// What is held against requests.
    pub(crate) fn convictions(&self) -> MutexGuard<'_, Convictions> {
        self.convictions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a call may not run any more.
    pub(crate) fn is_convicted(&self, call: &Call) -> bool {
        let convictions = self.convictions();
        !convictions.is_empty() && convictions.is_convicted(call.fingerprint())
    }

    /// Notes that a call made progress.
    pub(crate) fn ran(&self, call: &Call) {
        let mut convictions = self.convictions();
        if !convictions.is_empty() {
            convictions.ran(call.fingerprint());
        }
    }

    async fn broke(&self, call: &Call, upstream: &Upstream) {
        tokio::time::sleep(CRASH_SHOWS).await;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, upstream.pool.open());
        if matches!(connecting.await, Ok(Ok(_))) {
            return;
        }
        let request = call.fingerprint();
        let id = &upstream.entry.id;
        let is_new = self.convictions().crashed(request, id, Instant::now());
        let is_convicted = self.convictions().is_convicted(request);
        log::warn!(
            "event=crash_suspected call={} request={request:016x} upstream={id} convicted={is_convicted}",
            call.id()
        );
        if is_new {
            self.sightings.tell(Sighting::Crash {
                request,
                upstream: id.clone(),
            });
        }
    }
}

impl<S: NodeContext> Forwarder<S> {
    /// Holds it against a call that its upstream broke the connection before
    /// any answer, once the upstream proves to be down.
    pub(crate) fn suspect(self: &Arc<Self>, call: &Call, upstream: &Arc<Upstream>) {
        let (forwarder, call, upstream) = (self.clone(), call.clone(), upstream.clone());
        tokio::spawn(async move { forwarder.crashes.broke(&call, &upstream).await });
    }
}
