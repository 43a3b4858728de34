//! A runner that stands still and goes on must not work on a generation that goes
//! on at another runner.

mod support;

use std::time::Duration;

use support::cluster::{
    CUSTOMER_KEY, assert_complete, cluster_plan, generating_runner, opened_count, params,
    set_frozen, spawn_completion, start, wait_for_tokens,
};
use zinniawing::{Counter, LocalCluster, Node};

/// The longest standstill of a runner that is not at fault.
const STANDSTILL: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_stays_at_a_runner_that_stands_still_for_two_seconds() {
    let cluster = start(cluster_plan(1, 3)).await;
    let clerk = cluster.caller(CUSTOMER_KEY, "clerk");
    let call = spawn_completion(&clerk, params("standstill", 200));
    wait_for_tokens(&cluster, 30).await;
    let runner = generating_runner(&cluster);

    set_frozen(&cluster, runner, true);
    tokio::time::sleep(STANDSTILL).await;
    set_frozen(&cluster, runner, false);

    assert_complete(&call.await.expect("the call ends"), 200);
    assert_eq!(opened_count(&cluster), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_wakes_after_its_loss_works_on_the_generation_for_400_ms_at_most() {
    let cluster = start(cluster_plan(1, 2)).await;
    let steward = cluster.caller(CUSTOMER_KEY, "steward");
    let call = spawn_completion(&steward, params("late cancel", 800));
    wait_for_tokens(&cluster, 30).await;
    let lost = generating_runner(&cluster);

    set_frozen(&cluster, lost, true);
    let resumed = |c: &LocalCluster| {
        let node = c.nodes[0].as_ref();
        node.is_some_and(|n| n.metrics().get(Counter::Resumes) == 1)
    };
    let waited = cluster.wait_for("a resume", resumed).await;
    waited.expect("the generation is resumed");
    tokio::time::sleep(STANDSTILL).await;
    set_frozen(&cluster, lost, false);
    tokio::time::sleep(Duration::from_millis(400)).await;

    assert_eq!(cluster.runners[lost].engine.running_count(), 0);
    assert_complete(&call.await.expect("the call ends"), 800);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_comes_back_finds_its_stream_at_a_runner_that_stands_still() {
    let mut cluster = start(cluster_plan(2, 3)).await;
    let clerk = cluster.caller(CUSTOMER_KEY, "clerk");
    let call = spawn_completion(&clerk, params("come back", 200));
    wait_for_tokens(&cluster, 30).await;
    let runner = generating_runner(&cluster);
    let serves = |n: &Option<Node>| {
        let node = n.as_ref();
        node.is_some_and(|n| n.metrics().get(Counter::Completions) > 0)
    };
    let serving = cluster.nodes.iter().position(serves);

    set_frozen(&cluster, runner, true);
    let node = cluster.nodes[serving.expect("a node serves the call")].take();
    node.expect("the node runs").kill().await;
    tokio::time::sleep(STANDSTILL).await;
    set_frozen(&cluster, runner, false);

    assert_complete(&call.await.expect("the call ends"), 200);
    assert_eq!(opened_count(&cluster), 1);
}
