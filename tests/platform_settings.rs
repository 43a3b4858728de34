//! The settings file that the platform writes.

mod support;

use std::time::Duration;

use support::edge_environment::NodeSpec;
use zinniawing::EdgeSettings;

#[test]
fn a_settings_file_is_read_and_unknown_fields_are_ignored() {
    let spec = NodeSpec::new("edge-a-1", "dc-a");
    let seed = NodeSpec::new("edge-b-1", "dc-b");
    let text = spec
        .clone()
        .with_seed(&seed)
        .settings("127.0.0.1:8223".parse().expect("an address"), 6);

    let settings = EdgeSettings::parse(&text).expect("the settings are valid");

    assert_eq!(settings.node, "edge-a-1");
    assert_eq!(settings.data_centre, "dc-a");
    assert_eq!(settings.callers, spec.callers);
    assert_eq!(settings.peers, spec.peers);
    assert_eq!(
        settings.seeds,
        vec![seed.peers],
        "a seed's peer address has the first internal port"
    );
    assert_eq!(settings.grace, Duration::from_secs(6));
    assert_eq!(settings.memory_mb, Some(110));
}

#[test]
fn all_missing_fields_are_listed_together() {
    let error =
        EdgeSettings::parse("role: \"entry\"\n").expect_err("all required fields are missing");

    insta::assert_snapshot!(error, @r"
    'ip' is missing
    'internal-port-range' is missing
    'node-name' is missing
    'zone' is missing
    'listen.frontend' is missing
    'listen.readiness-addr' is missing
    'listen.directory-addr' is missing
    'platform.address' is missing
    ");
}

#[test]
fn invalid_yaml_is_refused_with_its_line() {
    let error = EdgeSettings::parse("ip: [").expect_err("the YAML is incomplete");

    assert_eq!(error.problems.len(), 1);
    assert!(error.problems[0].contains("line"), "{error}");
}
