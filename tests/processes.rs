//! End-to-end tests in which the platform, nodes, runners and callers are separate
//! processes, and nodes and runners are killed.

mod support;

use std::time::Duration;

use serde_json::Value;
use support::processes::{ANSWER_TOKENS, Deployment};

fn assert_whole(report: &Value) {
    assert_eq!(report["ended"], true, "{report}");
    assert_eq!(report["broken"], Value::Null, "{report}");
    assert_eq!(report["token_count"], ANSWER_TOKENS, "{report}");
}

#[test]
fn an_answer_survives_the_death_of_its_runner_process() {
    // Arrange
    let mut deployment = Deployment::start(2, 3);
    deployment.confirm_intent();

    // Act
    let caller = deployment.begin_call(true);
    deployment.wait_for_tokens(20);
    deployment.kill_busiest_runner();
    let report = Deployment::wait_for_report(caller);

    // Assert
    assert_whole(&report);
    assert_eq!(report["attempt_count"], 2, "{report}");
}

#[test]
fn an_answer_survives_the_death_of_its_node_process() {
    // Arrange
    let mut deployment = Deployment::start(2, 2);
    deployment.confirm_intent();

    // Act
    let caller = deployment.begin_call(true);
    deployment.wait_for_tokens(20);
    deployment.kill_serving_node();
    let report = Deployment::wait_for_report(caller);

    // Assert
    assert_whole(&report);
    assert_eq!(report["generation_count"], 1, "{report}");
}

#[test]
fn an_answer_survives_the_death_of_its_node_and_runner_together() {
    // Arrange
    let mut deployment = Deployment::start(2, 3);
    deployment.confirm_intent();

    // Act
    let caller = deployment.begin_call(true);
    deployment.wait_for_tokens(20);
    deployment.kill_busiest_runner();
    deployment.kill_serving_node();
    let report = Deployment::wait_for_report(caller);

    // Assert
    assert_whole(&report);
}

#[test]
fn a_caller_that_resumes_without_its_text_gets_a_new_generation_when_both_are_lost() {
    // Arrange
    let mut deployment = Deployment::start(2, 3);
    deployment.confirm_intent();

    // Act
    let caller = deployment.begin_call(false);
    deployment.wait_for_tokens(20);
    deployment.kill_busiest_runner_and_serving_node();
    let report = Deployment::wait_for_report(caller);

    // Assert
    assert_whole(&report);
    assert_eq!(report["generation_count"], 2, "{report}");
}

#[test]
fn a_terminated_node_completes_its_calls_in_flight() {
    // Arrange
    let mut deployment = Deployment::start(2, 2);
    deployment.confirm_intent();

    // Act
    let caller = deployment.begin_call(true);
    deployment.wait_for_tokens(20);
    let stopped = deployment.terminate_serving_node();
    let report = Deployment::wait_for_report(caller);

    // Assert
    assert_whole(&report);
    assert_eq!(report["connection_count"], 1, "{report}");
    assert_eq!(report["attempt_count"], 1, "{report}");
    assert!(Deployment::exits_cleanly(stopped, Duration::from_secs(20)));
}
