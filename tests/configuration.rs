//! A confirmed configuration comes into force on every node, and no node returns
//! to an older version.

mod support;

use std::time::{Duration, Instant};

use support::cluster::{cluster_plan, kestrel_intent, restart_node, start};
use support::register::{ConfirmAttempt, ConfirmOutcome, is_linearizable};
use zinniawing::{
    AuditOutcome, ErrorKind, Intent, LocalCluster, Operator, OperatorError, PlatformFaults,
};

/// Time within which a confirmed configuration must be in force on every node, as
/// the users require.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(7);

fn intent_with(runner_count: u32) -> Intent {
    let mut intent = kestrel_intent();
    intent
        .models
        .get_mut("steward-chat")
        .expect("the model")
        .runner_count = runner_count;
    intent
}

async fn confirm_at(cluster: &LocalCluster, node: usize, runner_count: u32) -> u64 {
    let operator = cluster.operator(node);
    let plan = operator
        .state_intent(&intent_with(runner_count))
        .await
        .expect("a plan");
    let confirmed = operator.confirm(&plan.intent_id, plan.base).await;
    confirmed.expect("the plan is confirmed").version
}

fn all_at_least(cluster: &LocalCluster, version: u64) -> bool {
    let mut nodes = cluster.nodes.iter().flatten();
    nodes.all(|node| node.config_version() >= version)
}

async fn try_confirm(operator: Operator, intent: Intent) -> Option<ConfirmAttempt> {
    let plan = operator.state_intent(&intent).await.ok()?;
    let began_at = Instant::now();
    let confirmed = operator.confirm(&plan.intent_id, plan.base).await;
    let outcome = match confirmed {
        Ok(confirmed) => ConfirmOutcome::Confirmed(confirmed.version),
        Err(OperatorError::Refused(e)) if e.kind == ErrorKind::Conflict => ConfirmOutcome::Conflict,
        Err(_) => ConfirmOutcome::Unknown,
    };
    Some(ConfirmAttempt {
        began_at,
        ended_at: Instant::now(),
        base: plan.base,
        outcome,
    })
}

#[test]
fn checker_rejects_two_confirmations_of_one_base() {
    let began_at = Instant::now();
    let attempt = |offset_ms: u64| ConfirmAttempt {
        began_at: began_at + Duration::from_millis(offset_ms),
        ended_at: began_at + Duration::from_millis(offset_ms + 1),
        base: 1,
        outcome: ConfirmOutcome::Confirmed(2),
    };

    assert!(is_linearizable(&[attempt(0)]));
    assert!(!is_linearizable(&[attempt(0), attempt(10)]));
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_operators_get_linearizable_outcomes_while_replies_are_lost() {
    const OPERATOR_COUNT: usize = 6;
    const ROUNDS: u32 = 6;
    let cluster = start(cluster_plan(3, 1)).await;
    cluster.platform.set_faults(PlatformFaults {
        lost_replies_per_mille: 300,
        slow_ms: 2,
        ..PlatformFaults::default()
    });
    let mut attempts = Vec::new();

    for round in 0..ROUNDS {
        let confirming: Vec<_> = (0..OPERATOR_COUNT)
            .map(|n| {
                let intent = intent_with(100 + round * OPERATOR_COUNT as u32 + n as u32);
                tokio::spawn(try_confirm(cluster.operator(n % 3), intent))
            })
            .collect();
        for confirmation in confirming {
            attempts.extend(confirmation.await.expect("the attempt ends"));
        }
    }

    let confirmed = |a: &&ConfirmAttempt| matches!(a.outcome, ConfirmOutcome::Confirmed(_));
    assert!(
        attempts.iter().filter(confirmed).count() >= 2,
        "{attempts:?}"
    );
    assert!(
        attempts
            .iter()
            .any(|a| a.outcome == ConfirmOutcome::Conflict),
        "{attempts:?}"
    );
    // The checker assumes that an attempt with an unknown outcome left the version
    // unchanged. It might have raised it, so there must be no such attempt.
    assert!(
        attempts
            .iter()
            .all(|a| a.outcome != ConfirmOutcome::Unknown),
        "{attempts:?}"
    );
    assert!(is_linearizable(&attempts), "{attempts:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_node_returns_to_an_older_version_while_reads_are_stale_and_nodes_restart() {
    let mut cluster = start(cluster_plan(4, 1)).await;
    cluster.platform.set_faults(PlatformFaults {
        stale_reads_per_mille: 500,
        lost_replies_per_mille: 200,
        ..PlatformFaults::default()
    });

    for round in 0..8 {
        // After a stale read the plan has an old base version, and its
        // confirmation is refused.
        let mut version = None;
        while version.is_none() {
            let attempt = try_confirm(cluster.operator(0), intent_with(50 + round)).await;
            version = attempt.and_then(|a| match a.outcome {
                ConfirmOutcome::Confirmed(version) => Some(version),
                _ => None,
            });
        }
        let version = version.expect("a version");
        let before: Vec<u64> = versions(&cluster);
        let victim = 1 + round as usize % 3;
        restart_node(&mut cluster, victim).await;
        let in_force = cluster
            .wait_for("the version", |c| all_at_least(c, version))
            .await;
        in_force.expect("the version is in force everywhere");
        let after = versions(&cluster);
        for (node, (before, after)) in before.iter().zip(&after).enumerate() {
            assert!(after >= before, "node {node} went from {before} to {after}");
        }
    }
}

fn versions(cluster: &LocalCluster) -> Vec<u64> {
    let nodes = cluster.nodes.iter().flatten();
    nodes.map(|node| node.config_version()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirmed_configuration_is_in_force_everywhere_within_the_bound() {
    let cluster = start(cluster_plan(7, 1)).await;

    let version = confirm_at(&cluster, 3, 7).await;
    let confirmed_at = Instant::now();
    let in_force = cluster
        .wait_for("the version", |c| all_at_least(c, version))
        .await;

    in_force.expect("the version is in force everywhere");
    assert!(
        confirmed_at.elapsed() < IN_FORCE_WITHIN,
        "{:?}",
        confirmed_at.elapsed()
    );
    let status = cluster.operator(5).status().await.expect("a status");
    assert!(status.in_force_everywhere);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_while_the_platform_is_down_gets_the_configuration_from_its_peers() {
    let mut cluster = start(cluster_plan(3, 1)).await;
    let version = confirm_at(&cluster, 0, 9).await;
    let in_force = cluster
        .wait_for("the version", |c| all_at_least(c, version))
        .await;
    in_force.expect("the version is in force everywhere");
    cluster.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });

    cluster.nodes[2].take().expect("the node runs").kill().await;
    cluster.start_node(2).await.expect("the node starts again");

    let synchronised = cluster.wait_for("readiness", |c| {
        let node = c.nodes[2].as_ref().expect("the node runs");
        node.config_version() == version && node.is_ready()
    });
    synchronised.await.expect("the node gets the configuration");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_rejoins_after_a_partition_reverts_no_other_node() {
    let cluster = start(cluster_plan(4, 1)).await;
    let others: Vec<_> = (0..3).map(|n| cluster.peer_address(n)).collect();
    let isolated = cluster.peer_address(3);
    for number in 0..3 {
        cluster.links[number].cut([isolated]);
    }
    cluster.links[3].cut(others);
    cluster.platform.set_faults(PlatformFaults {
        slow_ms: 5,
        ..PlatformFaults::default()
    });

    let version = confirm_at(&cluster, 0, 11).await;
    let in_force = cluster.wait_for("the version", |c| {
        (0..3).all(|n| {
            c.nodes[n]
                .as_ref()
                .is_some_and(|node| node.config_version() >= version)
        })
    });
    in_force
        .await
        .expect("the version is in force on the other nodes");
    for links in &cluster.links {
        links.cut([]);
    }

    let healed = cluster.wait_for("healing", |c| {
        all_at_least(c, version) && c.nodes.iter().flatten().all(|n| n.alive_count() == 4)
    });
    healed.await.expect("the partition heals");
    assert!(versions(&cluster).iter().all(|v| *v == version));
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_changes_before_a_confirmation_and_every_attempt_is_audited() {
    let cluster = start(cluster_plan(2, 1)).await;
    let operator = cluster.operator(1);

    let plan = operator
        .state_intent(&intent_with(3))
        .await
        .expect("a plan");
    let version_before = operator.status().await.expect("a status").version;
    let stale = operator.confirm(&plan.intent_id, plan.base + 7).await;
    let confirmed = operator
        .confirm(&plan.intent_id, plan.base)
        .await
        .expect("the confirmation is accepted");
    let repeated = operator
        .confirm(&plan.intent_id, plan.base)
        .await
        .expect("the repeated confirmation is accepted");

    assert_eq!(version_before, 1);
    assert_eq!(plan.changes.len(), 1, "{plan}");
    assert!(matches!(stale, Err(OperatorError::Refused(e)) if e.kind == ErrorKind::Conflict));
    assert_eq!(confirmed.version, 2);
    assert_eq!(
        repeated.version, 2,
        "a second confirmation must change nothing"
    );
    let audit = operator.audit().await.expect("an audit trail");
    let outcomes: Vec<AuditOutcome> = audit
        .iter()
        .filter(|r| r.act == "confirm" && r.subject == plan.intent_id)
        .map(|r| r.outcome)
        .collect();
    let begun = outcomes
        .iter()
        .filter(|o| **o == AuditOutcome::Begun)
        .count();
    assert_eq!(begun, 3, "{outcomes:?}");
    assert!(outcomes.contains(&AuditOutcome::Refused), "{outcomes:?}");
    assert!(outcomes.contains(&AuditOutcome::Done), "{outcomes:?}");
}
