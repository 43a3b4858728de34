//! Orders to runners: fenced, paced, and followed by customers only when done.

mod support;

use std::time::{Duration, Instant};

use support::cluster::{MODEL, assert_whole, kestrel_intent, params, plan, start, steward};
use zinniawing::{ClusterPlan, Intent, LocalCluster, ModelVersion};

const VERSION: &str = "4";
const LOAD_SPACING: Duration = Duration::from_millis(120);

fn next_intent() -> Intent {
    let mut intent = kestrel_intent();
    intent.models.get_mut(MODEL).expect("the model").version = VERSION.to_owned();
    intent
}

fn orders_plan(checks_fence: bool) -> ClusterPlan {
    let mut plan = plan(3, 3);
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

fn all_hold(cluster: &LocalCluster, version: &str) -> bool {
    let is_new = |held: &ModelVersion| held.model == MODEL && held.version == version;
    let is_old = |held: &ModelVersion| held.model == MODEL && held.version != version;
    cluster.runners.iter().all(|runner| {
        let ready = runner.engine.ready();
        ready.iter().any(is_new) && !ready.iter().any(is_old)
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_is_loaded_everywhere_while_callers_are_served() {
    let cluster = start(orders_plan(true)).await;
    confirm(&cluster, &next_intent()).await;

    let give_up_at = Instant::now() + Duration::from_secs(20);
    let mut number = 0;
    while !all_hold(&cluster, VERSION) && Instant::now() < give_up_at {
        number += 1;
        let report = steward(&cluster)
            .complete(&params(&format!("moving {number}"), 5))
            .await;
        assert_whole(&report, 5);
    }

    assert!(
        all_hold(&cluster, VERSION),
        "the new version is not everywhere"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_weight_store_is_asked_no_faster_than_its_rate() {
    let cluster = start(orders_plan(true)).await;
    confirm(&cluster, &next_intent()).await;
    let loaded = cluster
        .wait_for("the new version", |c| all_hold(c, VERSION))
        .await;
    loaded.expect("the new version is everywhere");

    let mut loads: Vec<Instant> = cluster
        .runners
        .iter()
        .flat_map(|r| r.engine.loaded_at())
        .collect();
    loads.sort();

    assert!(loads.len() >= 3, "{loads:?}");
    for pair in loads.windows(2) {
        // Orders are spaced where they are given; the way to a runner varies.
        let spacing = pair[1] - pair[0];
        assert!(spacing > LOAD_SPACING / 2, "two loads within {spacing:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_refuses_an_order_with_an_old_fence() {
    let cluster = start(orders_plan(true)).await;
    let runner = &cluster.runners[0];
    let held = runner.engine.ready();

    let newer = runner.engine.offer_order(9, held.clone());
    let older = runner.engine.offer_order(8, Vec::new());

    assert!(newer);
    assert!(!older);
    assert_eq!(runner.engine.ready(), held);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_ignores_fences_is_brought_back_after_an_old_order() {
    let cluster = start(orders_plan(false)).await;
    confirm(&cluster, &next_intent()).await;
    let loaded = cluster
        .wait_for("the new version", |c| all_hold(c, VERSION))
        .await;
    loaded.expect("the new version is everywhere");

    // What a holder that was paused may still send.
    let old = ModelVersion {
        model: MODEL.to_owned(),
        version: "3".to_owned(),
        adapters: Vec::new(),
    };
    assert!(cluster.runners[1].engine.offer_order(0, vec![old]));

    let repaired = cluster
        .wait_for("the repair", |c| all_hold(c, VERSION))
        .await;
    repaired.expect("the runner is brought back");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_fence_rises_when_the_holder_is_lost() {
    let mut cluster = start(orders_plan(true)).await;
    confirm(&cluster, &next_intent()).await;
    let loaded = cluster
        .wait_for("the new version", |c| all_hold(c, VERSION))
        .await;
    loaded.expect("the new version is everywhere");
    let fence = |c: &LocalCluster| {
        c.runners
            .iter()
            .flat_map(|r| r.engine.ledger().fences)
            .max()
            .unwrap_or(0)
    };
    let before = fence(&cluster);

    // Whoever holds the lease is among the two that are killed and replaced.
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
        .wait_for("the next version", |c| all_hold(c, "5"))
        .await;
    loaded.expect("the next version is everywhere");
    assert!(
        fence(&cluster) > before,
        "{} after {before}",
        fence(&cluster)
    );
}
