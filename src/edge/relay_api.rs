//! HTTP handler for calls that other nodes relay, because they reach no upstream.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::caller_handler::caller_connection_limits;
use super::cluster_view::ClusterView;
use super::unanswered_call::UnansweredCall;
use crate::connection_bound::ConnectionBound;
use crate::error::{Error, ErrorKind, Execution};
use crate::forward::forwarder::Forwarder;
use crate::forward::upstream::UpstreamStart;
use crate::http::{self, ConnectionLimits, Handler, HttpResponse};
use crate::observe::metrics::Counter;
use crate::platform::call;

/// Maximum number of relayed calls that this node has in flight, so that its own
/// callers are served however many nodes are cut from the upstreams.
pub(crate) const RELAYED_CALLS_MAX: usize = 128;

/// Passes relayed calls to the forwarder, up to [`RELAYED_CALLS_MAX`] at once.
pub(crate) struct RelayApi {
    forwarder: Arc<Forwarder<ClusterView>>,
    slots: Arc<Semaphore>,
    connections: Arc<ConnectionBound>,
}

impl RelayApi {
    pub(crate) fn new(
        forwarder: Arc<Forwarder<ClusterView>>,
        connections: Arc<ConnectionBound>,
    ) -> Self {
        Self {
            forwarder,
            connections,
            slots: Arc::new(Semaphore::new(RELAYED_CALLS_MAX)),
        }
    }

    async fn forward(&self, request: Request<Incoming>) -> HttpResponse {
        let Ok(slot) = self.slots.clone().try_acquire_owned() else {
            self.forwarder.metrics.add(Counter::RelayedCallsRefused, 1);
            let text = "this node has too many relayed calls";
            return http::error_response(&Error::new(ErrorKind::Overloaded, text));
        };
        self.forwarder.metrics.add(Counter::RelayedCalls, 1);
        let response = self.forwarder.clone().forward_relayed(request).await;
        hold_until_sent(response, slot)
    }
}

impl Handler for RelayApi {
    fn limits(&self) -> ConnectionLimits {
        caller_connection_limits(&self.forwarder)
    }

    fn connection_bound(&self) -> Option<Arc<ConnectionBound>> {
        Some(self.connections.clone())
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let unanswered = UnansweredCall::new(&request, self.forwarder.clone());
        let mut response = self.forward(request).await;
        unanswered.answered();
        let own_error = response.extensions().get::<ErrorKind>();
        let is_refused = own_error.is_some_and(|kind| kind.answer().execution == Execution::NotRun);
        call::set_relay_refused(response.headers_mut(), is_refused);
        let upstream = response.extensions().get::<UpstreamStart>().cloned();
        call::set_relay_upstream(response.headers_mut(), upstream.as_ref());
        response
    }
}

/// Keeps the slot taken until the body of the response has been sent.
fn hold_until_sent(response: HttpResponse, slot: OwnedSemaphorePermit) -> HttpResponse {
    response.map(|body| {
        let body = body.map_frame(move |frame| {
            let _held = &slot;
            frame
        });
        body.boxed_unsync()
    })
}
