//! HTTP endpoints for a node's addresses, readiness and counters.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use super::cluster_view::ClusterView;
use crate::connection_bound::ConnectionBound;
use crate::error::{Error, ErrorKind};
use crate::forward::forwarder::{Forwarder, NodeContext};
use crate::http::{self, Handler, HttpResponse};
use crate::observe::metrics::gauge_line;
use crate::platform::address::{self, ADDRESS_PATH, READY_PATH};

const METRICS_PATH: &str = "/metrics";
/// How long callers may cache a list of node addresses, unless the platform's
/// limit is shorter.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Serves the addresses, the readiness and the counters of one node.
pub(crate) struct StatusApi {
    pub(crate) forwarder: Arc<Forwarder<ClusterView>>,
    pub(crate) address_ttl_max: Duration,
    pub(crate) connections: Arc<ConnectionBound>,
}

impl StatusApi {
    fn is_ready(&self) -> bool {
        let has_config = self.forwarder.route_table.load().is_some();
        let has_upstreams = !self.forwarder.known_services().is_empty();
        has_config && has_upstreams && !self.forwarder.node.is_draining()
    }

    fn readiness(&self) -> HttpResponse {
        if self.is_ready() {
            return HttpResponse::new(http::full("ready"));
        }
        http::error_response(&Error::new(
            ErrorKind::NotReady,
            "node has no configuration or no upstream, or is draining",
        ))
    }

    fn addresses(&self, query: Option<&str>) -> HttpResponse {
        let data_centre = address::caller_data_centre(query);
        let services = self.forwarder.known_services();
        let addresses = self.forwarder.node.addresses(data_centre, &services);
        if addresses.is_empty() {
            return http::error_response(&Error::new(
                ErrorKind::NotReady,
                "address lookup: no live entry node is known yet",
            ));
        }
        address::answer(&addresses, ADDRESS_TTL.min(self.address_ttl_max))
    }

    fn counters(&self) -> HttpResponse {
        let text = self.forwarder.metrics.to_text() + &self.config_gauges() + &self.memory_gauges();
        HttpResponse::new(http::full(text))
    }

    /// The version of the configuration in force, and the age of the store's last
    /// answer to this node about it.
    fn config_gauges(&self) -> String {
        let version = self.forwarder.config_version();
        let evidence = self.forwarder.node.config_evidence(version);
        let mut text = gauge_line("config_version", version);
        if let Some(age) = evidence.read_age {
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            text += &gauge_line("config_read_age_ms", age_ms);
        }
        text
    }

    /// The bytes that are held for calls, and those that may be.
    fn memory_gauges(&self) -> String {
        let memory = &self.forwarder.memory;
        gauge_line("memory_held_bytes", memory.held_bytes() as u64)
            + &gauge_line("memory_budget_bytes", memory.budget_bytes() as u64)
    }
}

impl Handler for StatusApi {
    fn connection_bound(&self) -> Option<Arc<ConnectionBound>> {
        Some(self.connections.clone())
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        match request.uri().path() {
            READY_PATH => self.readiness(),
            ADDRESS_PATH => self.addresses(request.uri().query()),
            METRICS_PATH => self.counters(),
            _ => {
                let mut response =
                    http::error_response(&Error::new(ErrorKind::NotFound, "no such path"));
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
}
