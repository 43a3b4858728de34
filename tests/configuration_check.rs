//! The check of a configuration against a running node.

mod support;

use std::sync::Arc;

use support::edge_environment::caller::{Caller, get};
use support::edge_environment::proxy::{Mode, Proxy};
use support::edge_environment::{NodeSpec, TestEnvironment, start_node};
use zinniawing::{
    ConfigurationReport, EdgeNode, EdgeSettings, Metrics, Severity, check_version, version_in_force,
};

/// Guards against a configuration that passes the check and that no node takes.
#[tokio::test]
async fn a_version_that_a_running_node_has_in_force_is_an_error() {
    let environment = TestEnvironment::start(0).await;
    let spec = NodeSpec::new("n1", "dc-a");
    let text = spec.settings(environment.store.address, 8);
    let settings = EdgeSettings::parse(&text).expect("valid settings");
    let node = EdgeNode::start(settings, Arc::new(Metrics::default()), None).await;
    let _node = node.expect("the node starts");
    let caller = Caller::new(&spec);
    caller.wait_until_ready().await;
    let errors_of = |version: u64, in_force| {
        let mut report = ConfigurationReport::default();
        check_version(
            &mut report,
            &format!("{{\"version\": {version}}}"),
            in_force,
        );
        report.count(Severity::Error)
    };

    let in_force = version_in_force(caller.readiness).await.expect("a version");

    assert!(in_force > 0);
    assert_eq!(errors_of(in_force, in_force), 1);
    assert_eq!(errors_of(in_force + 1, in_force), 0);
}

/// Guards against a node without a configuration, which states version 0: every configuration
/// would pass the check against it.
#[tokio::test]
async fn a_node_without_a_configuration_has_no_version_in_force() {
    let environment = TestEnvironment::start(0).await;
    let link = Proxy::start(environment.store.address).await;
    link.set_mode(Mode::Silent);
    let spec = NodeSpec::new("n1", "dc-a");
    let _node = start_node(&spec, link.address).await;
    let metrics = get(spec.readiness, "/metrics").await.expect("an answer");
    assert!(metrics.body.contains("config_version 0"), "{metrics:?}");

    let in_force = version_in_force(spec.readiness).await;

    assert!(in_force.is_err(), "{in_force:?}");
}
