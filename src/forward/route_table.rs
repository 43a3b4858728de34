//! The configuration in force, as the forwarder uses it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::id::{CustomerId, ServiceId, Version};

/// Says how often a call may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run once at most.
    NonIdempotent,
    /// A stream that may run once at most.
    Stream,
    /// A stream that may go on at another upstream after its last event.
    ResumableStream,
}

impl CallKind {
    /// Whether a call that may have run may be sent again.
    pub(crate) fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service with its share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WeightedService {
    /// Name of the service.
    pub(crate) service: ServiceId,
    /// Share, relative to the other services of the route.
    pub(crate) weight: u32,
}

/// Where calls of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    /// Name for the log.
    pub(crate) name: String,
    /// Host, in lower case.
    pub(crate) host: String,
    /// Prefix of the path, with a slash at both ends.
    pub(crate) path_prefix: String,
    /// How often its calls may run.
    pub(crate) kind: CallKind,
    /// Longest time a caller is kept waiting.
    pub(crate) timeout: Duration,
    /// Time within which an answer is on time.
    pub(crate) latency_target: Option<Duration>,
    /// Longest pause between events of a stream that is on time.
    pub(crate) gap_target: Option<Duration>,
    /// Rank; 0 comes first.
    pub(crate) priority: u32,
    /// Services that share the calls.
    pub(crate) services: Vec<WeightedService>,
    /// Most upstreams that one call is sent to.
    pub(crate) attempts_max: u32,
    /// Whether callers need no key.
    pub(crate) is_public: bool,
}

impl Route {
    /// Picks a service; `draw` is uniform over all numbers.
    pub(crate) fn service(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for candidate in &self.services {
            let weight = u64::from(candidate.weight);
            if left < weight {
                return Some(&candidate.service);
            }
            left -= weight;
        }
        None
    }
}

/// What a service's model engines can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EngineTraits {
    /// Memory of one engine, in tokens.
    pub(crate) memory_tokens: u64,
    /// Whether a run's memory can be kept at a second engine.
    pub(crate) keeps_replicas: bool,
}

/// What is configured of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceTraits {
    /// Connections that one upstream takes from all nodes together.
    pub(crate) connections_max: Option<u32>,
    /// Set where the upstreams are model engines.
    pub(crate) engine: Option<EngineTraits>,
}

/// What callers may send, and how long their connections may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    /// Largest head of a request.
    pub(crate) header_bytes: usize,
    /// Largest body of a request.
    pub(crate) body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub(crate) idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a call may not pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// No route begins the path at this host.
    NoRoute,
    /// The key belongs to no customer.
    NoCustomer,
}

/// A call that may pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Admitted {
    /// Where it goes.
    pub(crate) route: Arc<Route>,
    /// Who calls, unless the route is public.
    pub(crate) customer: Option<CustomerId>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouteTable {
    /// Its version.
    pub(crate) version: Version,
    /// Limits on callers.
    pub(crate) limits: CallerLimits,
    /// Routes by host, the longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceId, ServiceTraits>,
    /// Customers by key; without customers no route asks for a key.
    keys: Option<BTreeMap<Bytes, CustomerId>>,
}

impl RouteTable {
    /// Orders routes so that the first that matches is the longest.
    pub(crate) fn new(
        version: Version,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, ServiceTraits>,
        limits: CallerLimits,
        keys: Option<BTreeMap<Bytes, CustomerId>>,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            let at_host = by_host.entry(route.host.clone()).or_default();
            at_host.push(Arc::new(route));
        }
        for at_host in by_host.values_mut() {
            at_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            limits,
            routes: by_host,
            services,
            keys,
        }
    }

    /// Finds the route of a path, without its query.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let at_host = self.routes.get(&host.to_ascii_lowercase())?;
        at_host
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Decides whether a call may pass.
    pub(crate) fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&[u8]>,
    ) -> Result<Admitted, Denied> {
        let route = self.route(host, path).ok_or(Denied::NoRoute)?;
        let customer = match &self.keys {
            Some(keys) if !route.is_public => {
                let customer = key.and_then(|key| keys.get(key));
                Some(customer.ok_or(Denied::NoCustomer)?.clone())
            }
            // On a public route a known key still names its customer.
            Some(keys) => key.and_then(|key| keys.get(key)).cloned(),
            None => None,
        };
        Ok(Admitted {
            route: route.clone(),
            customer,
        })
    }

    /// Services whose upstreams are model engines.
    pub(crate) fn engine_services(&self) -> impl Iterator<Item = &ServiceId> {
        let services = self.services.iter();
        services
            .filter(|(_, traits)| traits.engine.is_some())
            .map(|(service, _)| service)
    }

    /// What is configured of a service.
    pub(crate) fn service(&self, service: &str) -> ServiceTraits {
        self.services.get(service).copied().unwrap_or_default()
    }
}
