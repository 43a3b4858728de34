//! A node process that is frozen while it holds a claim must not cause its call
//! to run twice. Such a node may send the call after it is thawed, when another
//! node has already been asked for the same key.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use support::processes::Deployment;
use zinniawing::{CallReport, Caller, Execution};

const KEY_COUNT: usize = 4;
const PLATFORM_PORT: u16 = 7000;
const SERVICE_PORT: u16 = 9200;
/// Time from the start of a call until its node is frozen.
const FREEZE_DELAY: Duration = Duration::from_millis(300);
/// Time within which a call that was sent is executed.
const EXECUTION_TIME_MAX: Duration = Duration::from_millis(500);
/// Time within which a call that was sent is executed at the slowed service.
const SLOW_EXECUTION_TIME_MAX: Duration = Duration::from_secs(3);

fn start_deployment() -> Deployment {
    let deployment = Deployment::start(2, 1);
    deployment.confirm_intent();
    deployment
}

fn spawn_call(
    deployment: &Deployment,
    node: usize,
    key: &str,
) -> tokio::task::JoinHandle<CallReport> {
    let address = deployment.caller_address(node);
    let caller = Caller::new(vec![address], "federation-key", "steward");
    let key = key.to_owned();
    tokio::spawn(async move {
        caller
            .call_at(address, "payments", "disburse", &key, "{}")
            .await
    })
}

/// When a claimant is frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FreezeMoment {
    /// Before it has sent its call to the service.
    BeforeSend,
    /// After it has sent its call, and before the service has executed it.
    AfterSend,
}

/// For each key, starts a call through node 0, freezes that node after
/// [`FREEZE_DELAY`], sends the same key through node 1 and thaws node 0. Checks
/// that node 0 was frozen at `moment`, and both answers against the ledger of the
/// service.
async fn assert_no_second_run(deployment: &Deployment, name: &str, moment: FreezeMoment) {
    let mut reports: BTreeMap<String, Vec<CallReport>> = BTreeMap::new();
    for number in 0..KEY_COUNT {
        let key = format!("{name}-{number}");
        let first = spawn_call(deployment, 0, &key);
        tokio::time::sleep(FREEZE_DELAY).await;
        deployment.set_node_frozen(0, true);
        assert!(
            !is_executed(deployment, &key),
            "{key} ran before the freeze"
        );
        if moment == FreezeMoment::BeforeSend {
            // A call that had been sent would run by then.
            tokio::time::sleep(EXECUTION_TIME_MAX).await;
            assert!(!is_executed(deployment, &key), "{key} was sent");
        }
        let second = spawn_call(deployment, 1, &key)
            .await
            .expect("the call ends");
        if moment == FreezeMoment::AfterSend {
            wait_until_executed(deployment, &key).await;
        }
        deployment.set_node_frozen(0, false);
        let first = first.await.expect("the call ends");
        reports.insert(key, vec![first, second]);
    }
    let executed = deployment.executed_keys();
    for (key, reports) in reports {
        let runs = executed.iter().filter(|ran| **ran == key).count();
        let answered = reports
            .iter()
            .any(|r| matches!(r, CallReport::Answered { .. }));
        let all_told_not_run = reports
            .iter()
            .all(|r| matches!(r, CallReport::Failed(e) if e.execution == Execution::NotRun));
        assert!(runs <= 1, "{key} ran {runs} times: {reports:?}");
        assert!(
            !answered || runs == 1,
            "{key} was answered but did not run: {reports:?}"
        );
        assert!(
            !all_told_not_run || runs == 0,
            "{key} ran but was reported as not run: {reports:?}"
        );
    }
}

fn is_executed(deployment: &Deployment, key: &str) -> bool {
    deployment.executed_keys().iter().any(|ran| ran == key)
}

/// Waits until a call that node 0 sent before its freeze has been executed.
async fn wait_until_executed(deployment: &Deployment, key: &str) {
    let deadline = Instant::now() + SLOW_EXECUTION_TIME_MAX;
    while !is_executed(deployment, key) {
        assert!(
            Instant::now() < deadline,
            "{key} was not sent before the freeze"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_frozen_before_it_sends_does_not_cause_a_second_run() {
    let deployment = start_deployment();
    deployment.set_faults(PLATFORM_PORT, r#"{"slow_ms":900}"#);

    assert_no_second_run(&deployment, "before", FreezeMoment::BeforeSend).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_frozen_after_it_sent_does_not_cause_a_second_run() {
    let deployment = start_deployment();
    deployment.set_faults(SERVICE_PORT, r#"{"slow_ms":900}"#);

    assert_no_second_run(&deployment, "after", FreezeMoment::AfterSend).await;
}
