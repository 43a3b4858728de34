//! A non-idempotent call must run at most once, and a caller must not be told
//! "not run" about a call that ran. What callers were told is checked against the
//! ledgers in which the services record what they executed.

mod support;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::cluster::{
    CUSTOMER_KEY, OTHER_KEY, cluster_plan, restart_node, start, steward_caller,
};
use support::payments::{
    Call, ExecutionRecord, ReportedOutcome, assert_at_most_once, executions, is_at_most_once,
    reported_outcome,
};
use zinniawing::{
    CallReport, Caller, ClusterPlan, ErrorKind, LocalCluster, PlatformFaults, ServiceFaults,
};

const BODY: &str = r#"{"striker":"s-1","cents":100}"#;

fn payments_plan(node_count: usize, instance_count: usize) -> ClusterPlan {
    cluster_plan(node_count, 1).with_service("payments", instance_count)
}

async fn pay(caller: &Caller, node: std::net::SocketAddr, key: &str) -> (CallReport, Call) {
    let began_at = Instant::now();
    let report = caller
        .call_at(node, "payments", "disburse", key, BODY)
        .await;
    let call = Call {
        key: key.to_owned(),
        began_at,
        ended_at: Instant::now(),
        outcome: reported_outcome(&report),
    };
    (report, call)
}

/// Pays, and repeats the call until it gets the recorded answer. The first answer
/// arrives before the outcome is recorded on the platform; until then, other
/// nodes answer `key_in_progress`.
async fn pay_until_recorded(caller: &Caller, node: std::net::SocketAddr, key: &str) -> Call {
    let (_, first) = pay(caller, node, key).await;
    assert!(
        matches!(first.outcome, ReportedOutcome::Receipt(_)),
        "{first:?}"
    );
    for _ in 0..200 {
        let (report, again) = pay(caller, node, key).await;
        if again.outcome == first.outcome {
            return first;
        }
        let in_progress =
            matches!(&report, CallReport::Failed(e) if e.kind == ErrorKind::KeyInProgress);
        assert!(in_progress, "{report:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the outcome of {key} is not recorded");
}

/// Sends each of `keys` to every node at the same time, `rounds` times.
async fn send_to_all_nodes(cluster: &LocalCluster, keys: &[String], rounds: u32) -> Vec<Call> {
    let mut running = Vec::new();
    for round in 0..rounds {
        for key in keys {
            for node in cluster.caller_addresses() {
                let caller = steward_caller(cluster);
                let key = key.clone();
                running.push(tokio::spawn(
                    async move { pay(&caller, node, &key).await.1 },
                ));
            }
        }
        if round + 1 < rounds {
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }
    let mut calls = Vec::new();
    for call in running {
        calls.push(call.await.expect("the call ends"));
    }
    calls
}

fn keys(count: usize, name: &str) -> Vec<String> {
    (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect()
}

#[test]
fn checker_rejects_a_key_that_ran_twice() {
    let at = Instant::now();
    let run = |receipt: &str| ExecutionRecord {
        key: "k".into(),
        executed_at: at,
        receipt: receipt.into(),
    };

    assert!(is_at_most_once(&[], &[run("k#1")]));
    assert!(!is_at_most_once(&[], &[run("k#1"), run("k#2")]));
}

#[test]
fn checker_rejects_a_caller_told_not_run_after_the_run() {
    let at = Instant::now();
    let run = ExecutionRecord {
        key: "k".into(),
        executed_at: at,
        receipt: "k#1".into(),
    };
    let told_not_run = |offset_ms: u64| Call {
        key: "k".into(),
        began_at: at + Duration::from_millis(offset_ms),
        ended_at: at + Duration::from_millis(offset_ms + 1),
        outcome: ReportedOutcome::NotRun,
    };

    assert!(!is_at_most_once(&[told_not_run(5)], &[run]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_to_every_node_at_once_runs_once() {
    let cluster = start(payments_plan(4, 2)).await;

    let calls = send_to_all_nodes(&cluster, &keys(20, "at-once"), 2).await;

    let ran = executions(&cluster);
    assert_at_most_once(&calls, &ran, "no faults");
    assert_eq!(ran.len(), 20, "every key must run");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_claims_the_checker_rejects_the_same_calls() {
    let mut plan = payments_plan(4, 2);
    let payments = plan
        .intent
        .services
        .get_mut("payments")
        .expect("the service");
    // Calls to an idempotent service take no claim.
    payments.idempotent = true;
    let cluster = start(plan).await;

    let calls = send_to_all_nodes(&cluster, &keys(2, "naive"), 1).await;

    let ran = executions(&cluster);
    let runs_of_first: Vec<ExecutionRecord> =
        ran.iter().filter(|r| r.key == "naive-0").cloned().collect();
    let calls: Vec<Call> = calls.into_iter().filter(|c| c.key == "naive-0").collect();
    assert!(
        !is_at_most_once(&calls, &runs_of_first),
        "{runs_of_first:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn only_a_repetition_of_the_same_call_gets_the_stored_answer() {
    let cluster = start(payments_plan(2, 1)).await;
    let nodes = cluster.caller_addresses();
    let caller = steward_caller(&cluster);
    let first = pay_until_recorded(&caller, nodes[0], "own").await;

    let (_, again) = pay(&caller, nodes[1], "own").await;
    let other_body = caller
        .call_at(nodes[1], "payments", "disburse", "own", "{}")
        .await;
    let other_customer = cluster.caller(OTHER_KEY, "steward");
    let (_, other_customers_call) = pay(&other_customer, nodes[1], "own").await;

    assert_eq!(first.outcome, again.outcome);
    assert!(matches!(other_body, CallReport::Failed(e) if e.kind == ErrorKind::KeyReused));
    assert_ne!(
        other_customers_call.outcome, first.outcome,
        "the same key of another customer must be a separate key"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_not_repeated_after_its_service_executed_it_and_died() {
    let cluster = start(payments_plan(2, 2)).await;
    let dies_after_executing = ServiceFaults {
        die_after: true,
        ..ServiceFaults::default()
    };
    for (service, _) in &cluster.services {
        service.set_faults(dies_after_executing);
    }

    let (first, call) = pay(
        &steward_caller(&cluster),
        cluster.caller_addresses()[0],
        "dies",
    )
    .await;
    let (second, again) = pay(
        &steward_caller(&cluster),
        cluster.caller_addresses()[1],
        "dies",
    )
    .await;

    assert_at_most_once(
        &[call, again],
        &executions(&cluster),
        "the service died after it executed the call",
    );
    for report in [first, second] {
        assert!(matches!(report, CallReport::Failed(e) if e.kind == ErrorKind::OutcomeUnknown));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_can_be_used_again_after_its_service_was_unreachable() {
    let cluster = start(payments_plan(2, 1)).await;
    let dead = ServiceFaults {
        die: true,
        ..ServiceFaults::default()
    };
    let address = cluster.services[0].1.address();
    cluster.services[0].0.set_faults(dead);
    let caller = steward_caller(&cluster);
    let nodes = cluster.caller_addresses();

    let (refused, refused_call) = pay(&caller, nodes[0], "free").await;
    let (_revived, _server) =
        zinniawing::StandInService::start(address).expect("the service starts again");
    let mut paid = pay(&caller, nodes[1], "free").await.1;
    for _ in 0..50 {
        if matches!(paid.outcome, ReportedOutcome::Receipt(_)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        paid = pay(&caller, nodes[1], "free").await.1;
    }

    assert_eq!(refused_call.outcome, ReportedOutcome::NotRun, "{refused:?}");
    assert!(
        matches!(paid.outcome, ReportedOutcome::Receipt(_)),
        "{paid:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_platform_is_down_no_call_is_sent_and_recorded_calls_are_answered() {
    let cluster = start(payments_plan(2, 1)).await;
    let caller = steward_caller(&cluster);
    let nodes = cluster.caller_addresses();
    let before = pay_until_recorded(&caller, nodes[0], "before").await;
    cluster.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });

    let began_at = Instant::now();
    let (refused, _) = pay(&caller, nodes[0], "during").await;
    let refused_in = began_at.elapsed();
    let (_, again) = pay(&caller, nodes[1], "before").await;

    let CallReport::Failed(error) = refused else {
        panic!("no call may be sent while the platform is down: {refused:?}");
    };
    assert_eq!(error.kind, ErrorKind::KeyUnchecked);
    assert!(error.retry_after_ms.is_some());
    assert!(refused_in < Duration::from_secs(2), "{refused_in:?}");
    assert_eq!(again.outcome, before.outcome);
    assert_eq!(executions(&cluster).len(), 1);
}

/// Sends the same keys to all nodes at the same time while the platform, the
/// services and the nodes have random faults, drawn from `seed`.
async fn send_under_faults(seed: u64) {
    const FAULT_ROUNDS: u32 = 12;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = start(payments_plan(4, 3)).await;
    let mut calls = Vec::new();
    for round in 0..FAULT_ROUNDS {
        cluster.platform.set_faults(PlatformFaults {
            down: rng.random_bool(0.15),
            slow_ms: rng.random_range(0..30),
            lost_replies_per_mille: rng.random_range(0..400),
            stale_reads_per_mille: rng.random_range(0..400),
            ..PlatformFaults::default()
        });
        let service = rng.random_range(0..cluster.services.len());
        cluster.services[service].0.set_faults(ServiceFaults {
            die_before: rng.random_bool(0.2),
            die_after: rng.random_bool(0.2),
            slow_ms: rng.random_range(0..60),
            ..ServiceFaults::default()
        });
        // Some keys of the previous round are sent again.
        let mut sent_keys = keys(4, &format!("seed-{seed}-round-{round}"));
        if round > 0 {
            sent_keys.extend(keys(2, &format!("seed-{seed}-round-{}", round - 1)));
        }
        let victim = rng.random_range(0..cluster.nodes.len());
        let kills_node = rng.random_bool(0.3);
        let sending = send_to_all_nodes(&cluster, &sent_keys, 2);
        let (calls_of_round, ()) = tokio::join!(sending, async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            if let Some(node) = cluster.nodes[victim].as_ref().filter(|_| kills_node) {
                node.abort();
            }
        });
        calls.extend(calls_of_round);
        if kills_node {
            restart_node(&mut cluster, victim).await;
        }
    }
    let ran = executions(&cluster);
    assert_at_most_once(&calls, &ran, &format!("seed {seed}"));
    assert!(!ran.is_empty(), "seed {seed}: at least one call must run");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_runs_twice_under_faults_of_seed_1() {
    send_under_faults(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_runs_twice_under_faults_of_seed_2() {
    send_under_faults(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_runs_twice_under_faults_of_seed_3() {
    send_under_faults(3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_key_is_refused() {
    let cluster = start(payments_plan(1, 1)).await;
    let caller = cluster.caller(CUSTOMER_KEY, "steward");

    let (report, _) = pay(&caller, cluster.caller_addresses()[0], "").await;

    assert!(matches!(report, CallReport::Failed(e) if e.kind == ErrorKind::KeyMissing));
}
