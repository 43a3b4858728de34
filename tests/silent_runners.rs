//! A runner that stands still and goes on must not work on a generation that goes
//! on at another runner.

mod support;

use std::time::Duration;

use support::cluster::{
    CUSTOMER_KEY, assert_complete, cluster_plan, generating_runner, opened_count, params,
    set_frozen, spawn_completion, start, wait_for_tokens,
};

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
