//! The check of a configuration against a running node.

mod support;

use std::sync::Arc;

use support::edge_environment::caller::Caller;
use support::edge_environment::{NodeSpec, TestEnvironment};
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
