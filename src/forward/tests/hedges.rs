use std::collections::BTreeMap;

use crate::forward::hedges::Hedges;
use crate::platform::routing;
use crate::policy::hedging::HedgeLimits;

/// A configuration with one route for each service and number of attempts.
fn config(routes: &[(&str, u32)]) -> String {
    let routes = routes.iter().enumerate().map(|(index, (service, attempts))| {
        serde_json::json!({
            "name": format!("r{index}"), "hostname": "api", "path-prefix": format!("/{index}/"),
            "type": "idempotent", "timeout-ms": 6000, "service": service, "max-attempts": attempts,
        })
    });
    serde_json::json!({"version": 1, "routes": routes.collect::<Vec<_>>()}).to_string()
}

/// Guards against a limit that has no effect and of which nobody is told.
#[test]
fn services_with_a_limit_and_one_attempt_on_all_routes_are_named() {
    let limits = HedgeLimits {
        default_share: 0.03,
        services: BTreeMap::from([("unlimited".to_owned(), 0.0)]),
    };
    let text = config(&[("single", 1), ("both", 1), ("both", 2), ("unlimited", 1)]);
    let table = routing::read(text.as_bytes()).expect("a valid configuration");

    let named = Hedges::new(limits).services_with_single_attempts(&table);

    assert_eq!(named, ["single"]);
}
