//! The settings file that the platform writes.

mod support;

use std::time::Duration;

use support::edge_environment::NodeSpec;
use zinniawing::EdgeSettings;

#[test]
fn a_file_of_the_platform_is_read_and_unknown_fields_are_ignored() {
    let spec = NodeSpec::new("edge-a-1", "dc-a");
    let seed = NodeSpec::new("edge-b-1", "dc-b");
    let text = spec
        .clone()
        .with_seed(&seed)
        .settings("127.0.0.1:8223".parse().expect("an address"), 6);

    let settings = EdgeSettings::parse(&text).expect("good settings");

    assert_eq!(settings.node, "edge-a-1");
    assert_eq!(settings.data_centre, "dc-a");
    assert_eq!(settings.callers, spec.callers);
    assert_eq!(settings.peers, spec.peers);
    assert_eq!(
        settings.seeds,
        vec![seed.peers],
        "seeds answer at the internal port"
    );
    assert_eq!(settings.grace, Duration::from_secs(6));
    assert_eq!(settings.memory_mb, Some(110));
}

#[test]
fn everything_that_is_missing_is_named_at_once() {
    let error = EdgeSettings::parse("role: \"entry\"\n").expect_err("nothing is there");

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
fn a_file_that_is_no_yaml_is_refused_with_its_place() {
    let error = EdgeSettings::parse("ip: [").expect_err("it ends too soon");

    assert_eq!(error.problems.len(), 1);
    assert!(error.problems[0].contains("line"), "{error}");
}
