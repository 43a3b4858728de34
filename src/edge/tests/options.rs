use crate::edge::options::read;

const RETRY_RATIO: f64 = 0.08;

fn problems(text: &str) -> Vec<String> {
    let error = read(text, RETRY_RATIO).expect_err("the options are refused");
    error.problems
}

/// Guards against a limit that is taken from the wrong service.
#[test]
fn a_listed_service_has_its_own_limit_and_others_the_default() {
    let text = "hedging: {default_extra_sends_percent: 1, services: {lezi60b: 3, huvo11a: 0}}";

    let limits = read(text, RETRY_RATIO).expect("valid options").hedging;

    let shares = ["lezi60b", "huvo11a", "dafi64a"].map(|service| limits.share(service));
    assert_eq!(shares, [0.03, 0.0, 0.01]);
}

/// Guards against an operator who has to start a node once for each problem.
#[test]
fn all_problems_are_in_one_report_with_line_and_range() {
    let text = "
hedging:
  default_extra_sends_percent: -1
  services:
    lezi60b: 9
    huvo11a: 21
    dafi64a: three
";

    let report = problems(text).join("\n");

    insta::assert_snapshot!(report, @r#"
    line 3: hedging.default_extra_sends_percent: -1 is not a number in 0..=20
    line 5: hedging.services.lezi60b: 9 percent exceeds the retry budget of the settings (retry-budget-ratio 0.08)
    line 6: hedging.services.huvo11a: 21 is not a number in 0..=20
    line 7: hedging.services.dafi64a: "three" is not a number in 0..=20
    "#);
}

/// Guards against a misspelt field, which would leave hedging off without a word.
#[test]
fn an_unknown_field_is_refused_with_its_line() {
    let report = problems("hedging:\n  extra_sends_percent: 3\n").join("\n");

    assert!(report.contains("line 2"), "{report}");
    assert!(report.contains("extra_sends_percent"), "{report}");
}

/// Guards against an annotated example that the program refuses.
#[test]
fn the_example_is_valid() {
    let text = include_str!("../../../examples/edge-options.yaml");

    let limits = read(text, 0.8).expect("valid options").hedging;

    assert!((limits.share("lezi60b") - 0.03).abs() < f64::EPSILON);
}
