//! Changes of the configuration, one kind at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use crate::edge_environment::config;
use crate::fault_kind::FaultKind;

/// Name of the route that is removed and added again.
const REMOVABLE_ROUTE: &str = "open";
/// Name of the service to which routes are moved and split.
pub const OTHER_SERVICE: &str = "ledger";
const IDLE_LIMITS_MS: [u64; 4] = [1_500, 2_500, 4_000, 6_000];
const TIMEOUTS_MS: [u64; 3] = [3_000, 4_500, 6_000];

/// The idle limit of the newest configuration, which callers read.
#[derive(Clone)]
pub struct NewestIdleLimit(Arc<AtomicU64>);

impl NewestIdleLimit {
    pub fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// The newest configuration.
pub struct OperatorConfig {
    body: Value,
    removed_route: Option<Value>,
    version: u64,
    key_count: usize,
    idle_limit: NewestIdleLimit,
}

impl OperatorConfig {
    pub fn new() -> Self {
        let mut body = config(1);
        let services = body["services"].as_array_mut().expect("services");
        services.push(json!({ "name": OTHER_SERVICE, "health-path": "/healthz",
                              "max-connections": 100 }));
        let idle_limit = body["limits"]["idle-timeout-ms"].as_u64();
        let idle_limit = AtomicU64::new(idle_limit.expect("a number"));
        Self {
            body,
            removed_route: None,
            version: 1,
            key_count: 0,
            idle_limit: NewestIdleLimit(Arc::new(idle_limit)),
        }
    }

    pub fn body(&self) -> Value {
        self.body.clone()
    }

    pub fn idle_limit(&self) -> NewestIdleLimit {
        self.idle_limit.clone()
    }

    /// The shortest time-out of all routes.
    pub fn least_timeout(&self) -> Duration {
        let routes = self.body["routes"].as_array().expect("routes");
        let timeouts = routes.iter().filter_map(|r| r["timeout-ms"].as_u64());
        Duration::from_millis(timeouts.min().expect("a route"))
    }

    /// Makes a new version with one change of the given kind.
    pub fn change(&mut self, kind: FaultKind, random: &mut StdRng) {
        self.version += random.random_range(1..4);
        self.body["version"] = json!(self.version);
        match kind {
            FaultKind::ChangeIdleLimit => {
                let limit_ms = IDLE_LIMITS_MS[random.random_range(0..IDLE_LIMITS_MS.len())];
                self.body["limits"]["idle-timeout-ms"] = json!(limit_ms);
                self.idle_limit.0.store(limit_ms, Ordering::Relaxed);
            }
            FaultKind::ChangeSizeLimits => {
                let limits = &mut self.body["limits"];
                limits["max-body-bytes"] = json!(random.random_range(50_000..100_000));
                limits["max-header-bytes"] = json!(random.random_range(8_192..16_384));
                limits["header-timeout-ms"] = json!(random.random_range(1_500..3_000));
            }
            FaultKind::ChangeTimeout => {
                let timeout_ms = TIMEOUTS_MS[random.random_range(0..TIMEOUTS_MS.len())];
                self.set_in_all_routes("timeout-ms", &json!(timeout_ms));
            }
            FaultKind::ChangePriority => {
                let priority = random.random_range(0..5);
                self.set_in_all_routes("priority", &json!(priority));
            }
            FaultKind::ChangeWeights => {
                let weight = random.random_range(0..100);
                self.set_plain_backends(&json!([
                    { "service": "pay", "weight": weight },
                    { "service": OTHER_SERVICE, "weight": 100 - weight },
                ]));
            }
            FaultKind::ChangeRouteService => {
                let service = ["pay", OTHER_SERVICE][random.random_range(0..2)];
                self.set_plain_backends(&json!([{ "service": service, "weight": 1 }]));
            }
            FaultKind::ChangeRoutes => self.remove_or_add_route(),
            FaultKind::ChangeKeys => self.add_key(),
            _ => {}
        }
    }

    fn routes(&mut self) -> &mut Vec<Value> {
        self.body["routes"].as_array_mut().expect("routes")
    }

    fn set_in_all_routes(&mut self, field: &str, value: &Value) {
        for route in self.routes() {
            route[field] = value.clone();
        }
    }

    fn set_plain_backends(&mut self, backends: &Value) {
        let plain = |route: &&mut Value| route["type"] != "streaming";
        for route in self.routes().iter_mut().filter(plain) {
            route["service"] = Value::Null;
            route["backends"] = backends.clone();
        }
    }

    fn remove_or_add_route(&mut self) {
        if let Some(route) = self.removed_route.take() {
            self.routes().push(route);
            return;
        }
        let routes = self.routes();
        let found = routes.iter().position(|r| r["name"] == REMOVABLE_ROUTE);
        let route = routes.remove(found.expect("the route"));
        self.removed_route = Some(route);
    }

    fn add_key(&mut self) {
        self.key_count += 1;
        let key = format!("added-key-{}", self.key_count);
        let keys = self.body["tenants"][0]["api-keys"].as_array_mut();
        keys.expect("keys").push(json!(key));
    }
}
