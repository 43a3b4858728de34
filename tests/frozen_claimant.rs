//! Node processes that are paused while they hold a claim.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use support::processes::Deployment;
use zinniawing::{CallReport, Caller, Execution};

const KEYS: usize = 4;
const PLATFORM_PORT: u16 = 7000;
const SERVICE_PORT: u16 = 9200;

fn deployment() -> Deployment {
    let deployment = Deployment::start(2, 1);
    deployment.confirm_intent();
    deployment
}

fn begin(deployment: &Deployment, node: usize, key: &str) -> tokio::task::JoinHandle<CallReport> {
    let address = deployment.caller_address(node);
    let caller = Caller::new(vec![address], "federation-key", "steward");
    let key = key.to_owned();
    tokio::spawn(async move {
        caller
            .call_at(address, "payments", "disburse", &key, "{}")
            .await
    })
}

/// Freezes node 0 after `freeze_after` of each call, sends the same key through
/// node 1, thaws node 0, and judges both answers by the ledger.
async fn freeze_and_judge(deployment: &Deployment, name: &str, freeze_after: Duration) {
    let mut reports: BTreeMap<String, Vec<CallReport>> = BTreeMap::new();
    for number in 0..KEYS {
        let key = format!("{name}-{number}");
        let first = begin(deployment, 0, &key);
        tokio::time::sleep(freeze_after).await;
        deployment.set_node_frozen(0, true);
        let second = begin(deployment, 1, &key).await.expect("the call ends");
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
        let all_denied = reports
            .iter()
            .all(|r| matches!(r, CallReport::Failed(e) if e.execution == Execution::NotRun));
        assert!(runs <= 1, "{key} ran {runs} times: {reports:?}");
        assert!(
            !answered || runs == 1,
            "{key} was answered without a run: {reports:?}"
        );
        assert!(
            !all_denied || runs == 0,
            "{key} ran and was denied: {reports:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_frozen_before_it_sends_does_not_double_the_call() {
    let deployment = deployment();
    deployment.set_faults(PLATFORM_PORT, r#"{"slow_ms":150}"#);

    freeze_and_judge(&deployment, "before", Duration::from_millis(200)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_frozen_after_it_sent_does_not_double_the_call() {
    let deployment = deployment();
    deployment.set_faults(SERVICE_PORT, r#"{"slow_ms":400}"#);

    freeze_and_judge(&deployment, "after", Duration::from_millis(200)).await;
}
