//! The configuration in force, as the forwarder uses it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::id::{CustomerId, ServiceId, Version};
use crate::policy::priority_class::PriorityClass;

/// The kind of a call: whether it is a stream, and whether it may be sent again
/// or resumed after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A call that may run any number of times.
    Idempotent,
    /// A call that may run at most once.
    NonIdempotent,
    /// A stream that may run at most once.
    Stream,
    /// A stream that may resume at another upstream after its last event.
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
    pub(crate) service: ServiceId,
    /// Share, relative to the other services of the route.
    pub(crate) weight: u32,
}

/// Where calls to one host and path prefix are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    /// Name of the route in the log.
    pub(crate) name: String,
    /// Host, in lower case.
    pub(crate) host: String,
    /// Prefix of the path, with a slash at both ends.
    pub(crate) path_prefix: String,
    /// Kind of its calls: whether they are streams, and whether one that may have
    /// run may be sent again or resumed.
    pub(crate) kind: CallKind,
    /// Longest time from the arrival of a call to its answer, or to the last event
    /// of its stream.
    pub(crate) timeout: Duration,
    /// Time within which an answer counts as on time.
    pub(crate) latency_target: Option<Duration>,
    /// Longest pause between two events of a stream that counts as on time.
    pub(crate) gap_target: Option<Duration>,
    /// Priority of the calls; 0 is the highest.
    pub(crate) priority: u32,
    /// Services that the calls are divided among.
    pub(crate) services: Vec<WeightedService>,
    /// Maximum number of sends of one call, not counting those that failed before
    /// a byte left the node.
    pub(crate) attempts_max: u32,
    /// Whether callers need no API key.
    pub(crate) is_public: bool,
}

impl Route {
    /// Whether calls of the route may go to the service.
    pub(crate) fn has_service(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        services.any(|s| s.service == service && s.weight > 0)
    }

    /// Picks a service by weight; `draw` is a uniformly distributed random number.
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

/// What the model engines of a service can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EngineCapabilities {
    /// Tokens that the KV cache of one engine holds.
    pub(crate) kv_cache_tokens: u64,
    /// Whether a second engine can hold a replica of a stream's KV cache.
    pub(crate) supports_replicas: bool,
}

/// The configuration of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceOptions {
    /// Maximum number of connections to one upstream from all nodes together.
    pub(crate) connections_max: Option<u32>,
    /// Path at which an upstream answers whether it is healthy, if it has one.
    pub(crate) health_path: Option<String>,
    /// Set if the upstreams are model engines.
    pub(crate) engine: Option<EngineCapabilities>,
}

/// Limits for callers' requests and idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    /// Largest head of a request: request line and headers.
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

/// Why a call is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionError {
    /// No route of the host matches the path.
    NoRoute,
    /// The API key is missing or belongs to no customer.
    UnknownKey,
}

/// The route of an admitted call, and the customer that sent the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MatchedRoute {
    /// The route that matches the call.
    pub(crate) route: Arc<Route>,
    /// The calling customer; always set unless the route is public or no
    /// customers are configured.
    pub(crate) customer: Option<CustomerId>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouteTable {
    pub(crate) version: Version,
    pub(crate) limits: CallerLimits,
    /// Routes by host; those of one host sorted by the length of the path prefix,
    /// the longest first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceId, ServiceOptions>,
    /// Customers by API key. None if no customers are configured; then no route
    /// requires a key.
    keys: Option<BTreeMap<Bytes, CustomerId>>,
    /// Services whose routes differ in priority.
    services_with_priorities: BTreeSet<ServiceId>,
    /// Customers with a priority of their own.
    customer_priorities: BTreeMap<CustomerId, u32>,
}

impl RouteTable {
    /// Creates a table in which the longest matching prefix wins.
    pub(crate) fn new(
        version: Version,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, ServiceOptions>,
        limits: CallerLimits,
        keys: Option<BTreeMap<Bytes, CustomerId>>,
    ) -> Self {
        let services_with_priorities = services_with_priorities(&routes);
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
            services_with_priorities,
            customer_priorities: BTreeMap::new(),
        }
    }

    /// Sets the priorities of customers, which take precedence over those of routes.
    pub(crate) fn with_customer_priorities(self, priorities: BTreeMap<CustomerId, u32>) -> Self {
        Self {
            customer_priorities: priorities,
            ..self
        }
    }

    /// Class that a call gets at an engine of `service`. `None` if the service has no
    /// engines, or if all of its calls are equally urgent, so that engines treat them
    /// as they do without a class.
    pub(crate) fn priority_class(
        &self,
        matched: &MatchedRoute,
        service: &str,
    ) -> Option<PriorityClass> {
        let has_priorities =
            self.services_with_priorities.contains(service) || !self.customer_priorities.is_empty();
        let has_engines = matched.route.kind.is_stream() || self.service(service).engine.is_some();
        if !has_priorities || !has_engines {
            return None;
        }
        let customer = matched.customer.as_ref();
        let of_customer = customer.and_then(|customer| self.customer_priorities.get(customer));
        let priority = of_customer.copied().unwrap_or(matched.route.priority);
        Some(PriorityClass::of_priority(priority))
    }

    /// Finds the route for a host and a path. The path is given without its
    /// query.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let at_host = self.routes.get(&host.to_ascii_lowercase())?;
        at_host
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Decides whether the call is admitted.
    pub(crate) fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&[u8]>,
    ) -> Result<MatchedRoute, AdmissionError> {
        let route = self.route(host, path).ok_or(AdmissionError::NoRoute)?;
        let customer = match &self.keys {
            Some(keys) if !route.is_public => {
                let customer = key.and_then(|key| keys.get(key));
                Some(customer.ok_or(AdmissionError::UnknownKey)?.clone())
            }
            // On a public route a known key still names its customer.
            Some(keys) => key.and_then(|key| keys.get(key)).cloned(),
            None => None,
        };
        Ok(MatchedRoute {
            route: route.clone(),
            customer,
        })
    }

    /// The services that routes name, with the highest `attempts_max` of these routes.
    pub(crate) fn attempts_by_service(&self) -> BTreeMap<ServiceId, u32> {
        let mut attempts = BTreeMap::new();
        for route in self.routes.values().flatten() {
            for weighted in &route.services {
                let highest: &mut u32 = attempts.entry(weighted.service.clone()).or_default();
                *highest = route.attempts_max.max(*highest);
            }
        }
        attempts
    }

    /// The services whose upstreams are model engines.
    pub(crate) fn engine_services(&self) -> impl Iterator<Item = &ServiceId> {
        let services = self.services.iter();
        services
            .filter(|(_, options)| options.engine.is_some())
            .map(|(service, _)| service)
    }

    /// Whether the configuration names the service, by itself or in a route.
    pub(crate) fn names_service(&self, service: &str) -> bool {
        let mut routes = self.routes.values().flatten();
        let is_routed_to = |route: &Arc<Route>| route.services.iter().any(|s| s.service == service);
        self.services.contains_key(service) || routes.any(is_routed_to)
    }

    /// The configuration of a service; the default if it has none.
    pub(crate) fn service(&self, service: &str) -> ServiceOptions {
        self.services.get(service).cloned().unwrap_or_default()
    }
}

/// Services to which routes of different priorities lead.
fn services_with_priorities(routes: &[Route]) -> BTreeSet<ServiceId> {
    let mut priorities: BTreeMap<&ServiceId, BTreeSet<u32>> = BTreeMap::new();
    for route in routes {
        for service in route.services.iter().filter(|s| s.weight > 0) {
            let of_service = priorities.entry(&service.service).or_default();
            of_service.insert(route.priority);
        }
    }
    let differing = priorities
        .into_iter()
        .filter(|(_, values)| values.len() > 1);
    differing.map(|(service, _)| service.clone()).collect()
}
