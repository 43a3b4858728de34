//! Calls that may not be repeated, judged by the service's own ledger.

mod support;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::cluster::{CUSTOMER_KEY, OTHER_KEY, plan, start, steward_caller};
use support::payments::{
    Call, ExecutionRecord, ReportedOutcome, assert_at_most_once, executions, is_at_most_once,
    reported_outcome,
};
use zinniawing::{
    CallReport, Caller, ClusterPlan, ErrorKind, LocalCluster, PlatformFaults, ServiceFaults,
};

const BODY: &str = r#"{"striker":"s-1","cents":100}"#;

fn payments_plan(node_count: usize, instance_count: usize) -> ClusterPlan {
    plan(node_count, 1).with_service("payments", instance_count)
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

/// Pays, and asks again until the platform knows how the call ended: a caller
/// has its answer before that, and other nodes say `key_in_progress` meanwhile.
async fn pay_until_known(caller: &Caller, node: std::net::SocketAddr, key: &str) -> Call {
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
    panic!("the end of {key} is not written down");
}

/// Sends each of `keys` to every node at the same time, several times over.
async fn storm(cluster: &LocalCluster, keys: &[String], rounds: u32) -> Vec<Call> {
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
fn the_checker_condemns_a_key_that_ran_twice() {
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
fn the_checker_condemns_a_denial_after_the_run() {
    let at = Instant::now();
    let run = ExecutionRecord {
        key: "k".into(),
        executed_at: at,
        receipt: "k#1".into(),
    };
    let denial = |offset_ms: u64| Call {
        key: "k".into(),
        began_at: at + Duration::from_millis(offset_ms),
        ended_at: at + Duration::from_millis(offset_ms + 1),
        outcome: ReportedOutcome::NotRun,
    };

    assert!(!is_at_most_once(&[denial(5)], &[run]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_at_once_to_every_node_runs_once() {
    let cluster = start(payments_plan(4, 2)).await;

    let calls = storm(&cluster, &keys(20, "at-once"), 2).await;

    let ran = executions(&cluster);
    assert_at_most_once(&calls, &ran, "no faults");
    assert_eq!(ran.len(), 20, "every key runs");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_claims_the_checker_condemns_the_same_storm() {
    let mut plan = payments_plan(4, 2);
    let payments = plan
        .intent
        .services
        .get_mut("payments")
        .expect("the service");
    payments.idempotent = true;
    let cluster = start(plan).await;

    let calls = storm(&cluster, &keys(2, "naive"), 1).await;

    let ran = executions(&cluster);
    let of_first: Vec<ExecutionRecord> =
        ran.iter().filter(|r| r.key == "naive-0").cloned().collect();
    let calls: Vec<Call> = calls.into_iter().filter(|c| c.key == "naive-0").collect();
    assert!(!is_at_most_once(&calls, &of_first), "{of_first:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_given_again_and_only_to_its_own_call() {
    let cluster = start(payments_plan(2, 1)).await;
    let nodes = cluster.caller_addresses();
    let caller = steward_caller(&cluster);
    let first = pay_until_known(&caller, nodes[0], "own").await;

    let (_, again) = pay(&caller, nodes[1], "own").await;
    let other_body = caller
        .call_at(nodes[1], "payments", "disburse", "own", "{}")
        .await;
    let stranger = cluster.caller(OTHER_KEY, "steward");
    let (_, strangers) = pay(&stranger, nodes[1], "own").await;

    assert_eq!(first.outcome, again.outcome);
    assert!(matches!(other_body, CallReport::Failed(e) if e.kind == ErrorKind::KeyReused));
    assert_ne!(
        strangers.outcome, first.outcome,
        "another customer's key is another key"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_dies_after_executing_is_not_asked_again() {
    let cluster = start(payments_plan(2, 2)).await;
    let dying = ServiceFaults {
        die_after: true,
        ..ServiceFaults::default()
    };
    for (service, _) in &cluster.services {
        service.set_faults(dying);
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

    assert_at_most_once(&[call, again], &executions(&cluster), "died after");
    for report in [first, second] {
        assert!(matches!(report, CallReport::Failed(e) if e.kind == ErrorKind::OutcomeUnknown));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_cannot_be_reached_leaves_the_key_free() {
    let cluster = start(payments_plan(2, 1)).await;
    let dead = ServiceFaults {
        die: true,
        ..ServiceFaults::default()
    };
    let address = cluster.services[0].1.address();
    cluster.services[0].0.set_faults(dead);
    let caller = steward_caller(&cluster);
    let nodes = cluster.caller_addresses();

    let (refused, denied) = pay(&caller, nodes[0], "free").await;
    let (_revived, _server) = zinniawing::StandInService::start(address).expect("it starts again");
    let mut paid = pay(&caller, nodes[1], "free").await.1;
    for _ in 0..50 {
        if matches!(paid.outcome, ReportedOutcome::Receipt(_)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        paid = pay(&caller, nodes[1], "free").await.1;
    }

    assert_eq!(denied.outcome, ReportedOutcome::NotRun, "{refused:?}");
    assert!(
        matches!(paid.outcome, ReportedOutcome::Receipt(_)),
        "{paid:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_platform_away_nothing_is_sent_and_ended_calls_are_answered() {
    let cluster = start(payments_plan(2, 1)).await;
    let caller = steward_caller(&cluster);
    let nodes = cluster.caller_addresses();
    let before = pay_until_known(&caller, nodes[0], "before").await;
    cluster.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });

    let began_at = Instant::now();
    let (refused, _) = pay(&caller, nodes[0], "during").await;
    let refused_in = began_at.elapsed();
    let (_, again) = pay(&caller, nodes[1], "before").await;

    let CallReport::Failed(error) = refused else {
        panic!("nothing may be sent: {refused:?}");
    };
    assert_eq!(error.kind, ErrorKind::KeyUnchecked);
    assert!(error.retry_after_ms.is_some());
    assert!(refused_in < Duration::from_secs(2), "{refused_in:?}");
    assert_eq!(again.outcome, before.outcome);
    assert_eq!(executions(&cluster).len(), 1);
}

/// Storms of keys under faults of platform, services and nodes.
async fn storm_under_faults(seed: u64) {
    const FAULTS: u32 = 12;
    let mut draw = StdRng::seed_from_u64(seed);
    let mut cluster = start(payments_plan(4, 3)).await;
    let mut calls = Vec::new();
    for round in 0..FAULTS {
        cluster.platform.set_faults(PlatformFaults {
            down: draw.random_bool(0.15),
            slow_ms: draw.random_range(0..30),
            lost_replies_per_mille: draw.random_range(0..400),
            stale_reads_per_mille: draw.random_range(0..400),
            ..PlatformFaults::default()
        });
        let service = draw.random_range(0..cluster.services.len());
        cluster.services[service].0.set_faults(ServiceFaults {
            die_before: draw.random_bool(0.2),
            die_after: draw.random_bool(0.2),
            slow_ms: draw.random_range(0..60),
            ..ServiceFaults::default()
        });
        // Some keys come again from earlier rounds.
        let mut wanted = keys(4, &format!("seed-{seed}-round-{round}"));
        if round > 0 {
            wanted.extend(keys(2, &format!("seed-{seed}-round-{}", round - 1)));
        }
        let victim = draw.random_range(0..cluster.nodes.len());
        let kills = draw.random_bool(0.3);
        let storming = storm(&cluster, &wanted, 2);
        let (of_round, ()) = tokio::join!(storming, async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            if let Some(node) = cluster.nodes[victim].as_ref().filter(|_| kills) {
                node.abort();
            }
        });
        calls.extend(of_round);
        if kills {
            cluster.nodes[victim]
                .take()
                .expect("the node ran")
                .kill()
                .await;
            cluster
                .start_node(victim)
                .await
                .expect("the node starts again");
        }
    }
    let ran = executions(&cluster);
    assert_at_most_once(&calls, &ran, &format!("seed {seed}"));
    assert!(!ran.is_empty(), "seed {seed}: some calls ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_runs_twice_under_faults_of_seed_1() {
    storm_under_faults(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_runs_twice_under_faults_of_seed_2() {
    storm_under_faults(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_runs_twice_under_faults_of_seed_3() {
    storm_under_faults(3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_key_is_refused() {
    let cluster = start(payments_plan(1, 1)).await;
    let caller = cluster.caller(CUSTOMER_KEY, "steward");

    let (report, _) = pay(&caller, cluster.caller_addresses()[0], "").await;

    assert!(matches!(report, CallReport::Failed(e) if e.kind == ErrorKind::KeyMissing));
}
