//! Orders to runners carry a fence, by which runners refuse orders of a former
//! lease holder, and are spaced in time. Calls are served while runners load a new
//! version.

mod support;

use std::time::{Duration, Instant};

use support::cluster::{
    MODEL, assert_complete, cluster_plan, kestrel_intent, params, start, steward_caller,
};
use zinniawing::{ClusterPlan, Intent, LocalCluster, ModelVersion};

const NEW_VERSION: &str = "4";
const LOAD_SPACING: Duration = Duration::from_millis(120);

fn next_intent() -> Intent {
    let mut intent = kestrel_intent();
    intent.models.get_mut(MODEL).expect("the model").version = NEW_VERSION.to_owned();
    intent
}

fn orders_plan(checks_fence: bool) -> ClusterPlan {
    let mut plan = cluster_plan(3, 3);
    plan.runner_profile.checks_fence = checks_fence;
    plan.runner_profile.load_time = Duration::from_millis(100);
    plan.load_spacing = LOAD_SPACING;
    plan
}

async fn confirm(cluster: &LocalCluster, intent: &Intent) {
    let operator = cluster.operator(0);
    let plan = operator.state_intent(intent).await.expect("a plan");
    operator
        .confirm(&plan.intent_id, plan.base)
        .await
        .expect("confirmed");
}

fn all_ready_with(cluster: &LocalCluster, version: &str) -> bool {
    let is_wanted = |held: &ModelVersion| held.model == MODEL && held.version == version;
    let is_other = |held: &ModelVersion| held.model == MODEL && held.version != version;
    cluster.runners.iter().all(|runner| {
        let ready = runner.engine.ready();
        ready.iter().any(is_wanted) && !ready.iter().any(is_other)
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_is_loaded_everywhere_while_callers_are_served() {
    let cluster = start(orders_plan(true)).await;
    confirm(&cluster, &next_intent()).await;

    let deadline = Instant::now() + Duration::from_secs(20);
    let mut number = 0;
    while !all_ready_with(&cluster, NEW_VERSION) && Instant::now() < deadline {
        number += 1;
        let report = steward_caller(&cluster)
            .complete(&params(&format!("moving {number}"), 5))
            .await;
        assert_complete(&report, 5);
    }

    assert!(
        all_ready_with(&cluster, NEW_VERSION),
        "the new version is not ready on every runner"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn loads_from_the_weight_store_are_spaced() {
    let cluster = start(orders_plan(true)).await;
    confirm(&cluster, &next_intent()).await;
    let loaded = cluster
        .wait_for("the new version", |c| all_ready_with(c, NEW_VERSION))
        .await;
    loaded.expect("the new version is ready on every runner");

    let mut loads: Vec<Instant> = cluster
        .runners
        .iter()
        .flat_map(|r| r.engine.loaded_at())
        .collect();
    loads.sort();

    assert!(loads.len() >= 3, "{loads:?}");
    for pair in loads.windows(2) {
        // Orders are spaced when they are sent; the time until they reach a runner
        // varies.
        let spacing = pair[1] - pair[0];
        assert!(spacing > LOAD_SPACING / 2, "two loads within {spacing:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_refuses_an_order_with_an_old_fence() {
    let cluster = start(orders_plan(true)).await;
    let runner = &cluster.runners[0];
    let held = runner.engine.ready();

    let is_newer_accepted = runner.engine.offer_order(9, held.clone());
    let is_older_accepted = runner.engine.offer_order(8, Vec::new());

    assert!(is_newer_accepted);
    assert!(!is_older_accepted);
    assert_eq!(runner.engine.ready(), held);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_ignores_fences_is_corrected_after_an_old_order() {
    let cluster = start(orders_plan(false)).await;
    confirm(&cluster, &next_intent()).await;
    let loaded = cluster
        .wait_for("the new version", |c| all_ready_with(c, NEW_VERSION))
        .await;
    loaded.expect("the new version is ready on every runner");

    // A former lease holder that was paused may still send such an order.
    let old = ModelVersion {
        model: MODEL.to_owned(),
        version: "3".to_owned(),
        adapters: Vec::new(),
    };
    assert!(cluster.runners[1].engine.offer_order(0, vec![old]));

    let corrected = cluster
        .wait_for("the correction", |c| all_ready_with(c, NEW_VERSION))
        .await;
    corrected.expect("the runner has the confirmed version again");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_fence_rises_when_the_lease_holder_is_lost() {
    let mut cluster = start(orders_plan(true)).await;
    confirm(&cluster, &next_intent()).await;
    let loaded = cluster
        .wait_for("the new version", |c| all_ready_with(c, NEW_VERSION))
        .await;
    loaded.expect("the new version is ready on every runner");
    let highest_fence = |c: &LocalCluster| {
        c.runners
            .iter()
            .flat_map(|r| r.engine.ledger().fences)
            .max()
            .unwrap_or(0)
    };
    let before = highest_fence(&cluster);

    // All nodes are killed and started again, the lease holder among them.
    for number in 0..2 {
        cluster.nodes[number]
            .take()
            .expect("the node runs")
            .kill()
            .await;
        cluster
            .start_node(number)
            .await
            .expect("the node starts again");
    }
    cluster.nodes[2].take().expect("the node runs").kill().await;
    cluster.start_node(2).await.expect("the node starts again");
    let mut intent = next_intent();
    intent.models.get_mut(MODEL).expect("the model").version = "5".to_owned();
    confirm(&cluster, &intent).await;

    let loaded = cluster
        .wait_for("the next version", |c| all_ready_with(c, "5"))
        .await;
    loaded.expect("the next version is ready on every runner");
    assert!(
        highest_fence(&cluster) > before,
        "the fence is {}, and was {before} before",
        highest_fence(&cluster)
    );
}
