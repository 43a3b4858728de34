//! When runners or nodes are lost during an answer, the caller still gets every
//! token exactly once.

mod support;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::cluster::{
    assert_complete, cluster_plan, generating_runner, params, set_frozen, slow_down,
    spawn_completion, start, steward_caller, wait_for_tokens,
};
use zinniawing::Counter;

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_runner_loses_no_token() {
    let mut cluster = start(cluster_plan(1, 3)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("reset", 120));
    wait_for_tokens(&cluster, 30).await;

    let lost = generating_runner(&cluster);
    cluster.kill_runner(lost).await;

    let report = call.await.expect("the call ends");
    assert_complete(&report, 120);
    assert_eq!(report.attempt_count, 2, "{report:?}");
    assert_eq!(report.connection_count, 1, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_thaws_after_its_generation_was_resumed_elsewhere_adds_no_token() {
    let cluster = start(cluster_plan(1, 3)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("silence", 400));
    wait_for_tokens(&cluster, 30).await;
    let lost = generating_runner(&cluster);

    set_frozen(&cluster, lost, true);
    let resumed = |c: &zinniawing::LocalCluster| {
        c.nodes[0]
            .as_ref()
            .is_some_and(|n| n.metrics().get(Counter::Resumes) == 1)
    };
    cluster
        .wait_for("a resume", resumed)
        .await
        .expect("the generation is resumed");
    set_frozen(&cluster, lost, false);

    let report = call.await.expect("the call ends");
    assert_complete(&report, 400);
    assert_eq!(report.generation_count, 1, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_runner_is_not_treated_as_lost() {
    let cluster = start(cluster_plan(1, 3)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("slow", 60));
    wait_for_tokens(&cluster, 20).await;

    slow_down(&cluster, generating_runner(&cluster), 10);

    let report = call.await.expect("the call ends");
    assert_complete(&report, 60);
    let metrics = cluster.nodes[0].as_ref().expect("the node runs").metrics();
    assert_eq!(metrics.get(Counter::LostBySilence), 0);
    assert_eq!(metrics.get(Counter::Resumes), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_loss_during_the_resume_loses_no_token() {
    let mut cluster = start(cluster_plan(1, 4)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("twice", 200));
    wait_for_tokens(&cluster, 30).await;

    let first = generating_runner(&cluster);
    cluster.kill_runner(first).await;
    let runs_elsewhere = |c: &zinniawing::LocalCluster| {
        c.runners
            .iter()
            .any(|r| r.server.is_some() && r.engine.running_count() > 0)
    };
    cluster
        .wait_for("a second attempt", runs_elsewhere)
        .await
        .expect("another runner takes over");
    let second = cluster.busiest_runner();
    cluster.kill_runner(second).await;

    assert_complete(&call.await.expect("the call ends"), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_with_the_same_prompt_never_share_a_text() {
    let mut cluster = start(cluster_plan(2, 3)).await;
    let caller = steward_caller(&cluster);
    let calls: Vec<_> = (0..8)
        .map(|_| spawn_completion(&caller, params("the same words", 80)))
        .collect();
    wait_for_tokens(&cluster, 100).await;

    let lost = cluster.busiest_runner();
    cluster.kill_runner(lost).await;

    for call in calls {
        assert_complete(&call.await.expect("the call ends"), 80);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_customer_gets_no_text_of_another_customer_with_the_same_prompt() {
    let cluster = start(cluster_plan(1, 2)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("private words", 100));
    wait_for_tokens(&cluster, 10).await;

    let other_customer = cluster.caller(support::cluster::OTHER_KEY, "steward");
    let report = other_customer.complete(&params("private words", 100)).await;

    assert_complete(&report, 100);
    let own = call.await.expect("the call ends");
    assert_complete(&own, 100);
    assert_ne!(own.text, report.text);
}

/// Runs calls while runners and nodes have random faults, drawn from `seed`, and
/// checks that no answer mixes tokens of different generations. The check needs
/// only the text, in which each token carries a hash of all tokens before it.
async fn check_answers_under_faults(seed: u64) {
    const CALL_COUNT: u64 = 24;
    const FAULT_COUNT: u32 = 10;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = start(cluster_plan(3, 6)).await;
    let caller = steward_caller(&cluster);
    let calls: Vec<_> = (0..CALL_COUNT)
        .map(|n| {
            spawn_completion(
                &caller,
                params(&format!("question {n} of seed {seed}"), 150 + n),
            )
        })
        .collect();
    for _ in 0..FAULT_COUNT {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..250))).await;
        let runner = rng.random_range(0..cluster.runners.len());
        match rng.random_range(0..4) {
            0 => cluster.kill_runner(runner).await,
            1 => set_frozen(&cluster, runner, true),
            2 => slow_down(&cluster, runner, 10),
            _ => {
                let number = rng.random_range(0..cluster.nodes.len());
                if let Some(node) = cluster.nodes[number].take() {
                    node.kill().await;
                }
                cluster
                    .start_node(number)
                    .await
                    .expect("the node starts again");
            }
        }
        for number in 0..cluster.runners.len() {
            let is_down = cluster.runners[number].server.is_none();
            if is_down && rng.random_bool(0.7) {
                cluster
                    .restart_runner(number)
                    .expect("the runner starts again");
            } else if !is_down && rng.random_bool(0.5) {
                set_frozen(&cluster, number, false);
            }
        }
    }
    for number in 0..cluster.runners.len() {
        set_frozen(&cluster, number, false);
    }
    for (number, call) in calls.into_iter().enumerate() {
        let report = call.await.expect("the call ends");
        assert_eq!(
            report.broken, None,
            "seed {seed}, call {number}: {report:?}"
        );
        // A generation may be lost, but then its caller must get an error.
        assert!(
            report.ended || report.error.is_some(),
            "seed {seed}, call {number}: {report:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_mixed_under_faults_of_seed_1() {
    check_answers_under_faults(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_mixed_under_faults_of_seed_2() {
    check_answers_under_faults(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_mixed_under_faults_of_seed_3() {
    check_answers_under_faults(3).await;
}
