//! A leaving upstream gets no new work, and a leaving node breaks off no call.

mod support;

use std::time::{Duration, Instant};

use support::cluster::{
    assert_complete, cluster_plan, params, spawn_completion, start, steward_caller, wait_for_tokens,
};
use zinniawing::{LocalCluster, PlatformFaults, RunnerFaults};

/// Time after which a leaving upstream must get no new work. The users ask for
/// "a few seconds".
const LEAVING_BOUND: Duration = Duration::from_secs(3);
/// How long calls are sent after the bound, to see whether the leaving upstream
/// gets any.
const LOAD_AFTER_BOUND: Duration = Duration::from_secs(2);

/// Sends short calls through every node until the time `until`.
async fn load_until(cluster: &LocalCluster, until: Instant) {
    let mut number = 0;
    while Instant::now() < until {
        for address in cluster.caller_addresses() {
            number += 1;
            let mut caller = steward_caller(cluster);
            caller.nodes = vec![address];
            spawn_completion(&caller, params(&format!("question {number}"), 3));
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

async fn assert_leaving_runner_gets_no_new_work(cluster: &LocalCluster) {
    load_until(cluster, Instant::now() + Duration::from_millis(500)).await;
    let leaving = cluster.most_opened_runner();
    let engine = &cluster.runners[leaving].engine;
    engine.set_faults(RunnerFaults {
        leaving: true,
        ..RunnerFaults::default()
    });
    let bound = Instant::now() + LEAVING_BOUND;

    load_until(cluster, bound + LOAD_AFTER_BOUND).await;

    let late_count = engine
        .opened_at()
        .into_iter()
        .filter(|at| *at > bound)
        .count();
    assert_eq!(
        late_count, 0,
        "{} got new work more than {LEAVING_BOUND:?} after it began to leave",
        cluster.runners[leaving].name
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_work_while_the_vm_list_lags() {
    let cluster = start(cluster_plan(3, 4)).await;
    cluster.platform.set_faults(PlatformFaults {
        vm_lag_ms: 30_000,
        ..PlatformFaults::default()
    });

    assert_leaving_runner_gets_no_new_work(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_work_while_the_platform_is_down() {
    let cluster = start(cluster_plan(3, 4)).await;
    cluster.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });

    assert_leaving_runner_gets_no_new_work(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_work_from_nodes_cut_off_from_each_other() {
    let cluster = start(cluster_plan(3, 4)).await;
    let all: Vec<_> = (0..3).map(|n| cluster.peer_address(n)).collect();
    for links in &cluster.links {
        links.cut(all.clone());
    }

    assert_leaving_runner_gets_no_new_work(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_the_vm_list_marks_as_leaving_gets_no_new_work() {
    let cluster = start(cluster_plan(2, 3)).await;
    let mut vms = cluster.vms();
    vms[0].state = zinniawing::VmState::Leaving;

    cluster.platform.set_vms(vms);
    let bound = Instant::now() + LEAVING_BOUND;
    load_until(&cluster, bound + LOAD_AFTER_BOUND).await;

    let opened = cluster.runners[0].engine.opened_at();
    assert_eq!(opened.into_iter().filter(|at| *at > bound).count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_all_nodes_under_load_breaks_off_no_call() {
    let mut cluster = start(cluster_plan(3, 4)).await;
    let caller = steward_caller(&cluster);
    let mut calls = Vec::new();
    for number in 0..30 {
        calls.push(spawn_completion(
            &caller,
            params(&format!("draft {number}"), 200),
        ));
    }
    wait_for_tokens(&cluster, 100).await;

    for number in 0..3 {
        for late in 0..10 {
            calls.push(spawn_completion(
                &caller,
                params(&format!("late {number}-{late}"), 100),
            ));
        }
        let node = cluster.nodes[number].take().expect("the node runs");
        node.drain(std::future::pending()).await;
        cluster
            .start_node(number)
            .await
            .expect("the node starts again");
        let ready = cluster.wait_for("readiness", |c| {
            c.nodes[number].as_ref().is_some_and(|node| node.is_ready())
        });
        ready.await.expect("the node is ready");
    }

    for (number, call) in calls.into_iter().enumerate() {
        let report = call.await.expect("the call ends");
        let tokens = if number < 30 { 200 } else { 100 };
        assert_complete(&report, tokens);
        assert_eq!(
            report.attempt_count, 1,
            "the call must not be broken off: {report:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_is_removed_from_the_address_list() {
    let cluster = start(cluster_plan(2, 1)).await;
    let draining = cluster.caller_addresses()[0];

    cluster.nodes[0].as_ref().expect("the node runs").leave();
    let mut other_caller = steward_caller(&cluster);
    other_caller.nodes = vec![cluster.caller_addresses()[1]];
    let mut listed = other_caller.addresses().await;
    for _ in 0..100 {
        if !listed.contains(&draining) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        listed = other_caller.addresses().await;
    }

    assert!(!listed.contains(&draining), "{listed:?}");
    let listed_by_draining_node = steward_caller(&cluster).addresses().await;
    assert!(
        !listed_by_draining_node.contains(&draining),
        "{listed_by_draining_node:?}"
    );
    let mut caller_with_old_list = steward_caller(&cluster);
    caller_with_old_list.nodes = vec![draining];
    let report = caller_with_old_list
        .complete(&params("old answer", 20))
        .await;
    assert_complete(&report, 20);
}
