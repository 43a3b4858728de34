//! Upstreams and nodes that go: no new work for the one, none lost by the other.

mod support;

use std::time::{Duration, Instant};

use support::cluster::{assert_whole, begin, params, plan, start, steward, wait_for_tokens};
use zinniawing::{LocalCluster, PlatformFaults, RunnerFaults};

/// The users' "a few seconds", after which a leaving upstream gets nothing.
const LEAVING_BOUND: Duration = Duration::from_secs(3);
/// How long work is sent after the bound.
const WATCHED: Duration = Duration::from_secs(2);

/// Sends short calls through every node for as long as `until` lies ahead.
async fn load_until(cluster: &LocalCluster, until: Instant) {
    let mut number = 0;
    while Instant::now() < until {
        for address in cluster.caller_addresses() {
            number += 1;
            let mut caller = steward(cluster);
            caller.nodes = vec![address];
            begin(&caller, params(&format!("question {number}"), 3));
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

async fn leaves_without_new_work(cluster: &LocalCluster) {
    load_until(cluster, Instant::now() + Duration::from_millis(500)).await;
    let leaving = cluster.most_opened_runner();
    let engine = &cluster.runners[leaving].engine;
    engine.set_faults(RunnerFaults {
        leaving: true,
        ..RunnerFaults::default()
    });
    let bound = Instant::now() + LEAVING_BOUND;

    load_until(cluster, bound + WATCHED).await;

    let late = engine
        .opened_at()
        .into_iter()
        .filter(|at| *at > bound)
        .count();
    assert_eq!(
        late, 0,
        "{} got new work after {LEAVING_BOUND:?}",
        cluster.runners[leaving].name
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_work_while_the_vm_list_lags() {
    let cluster = start(plan(3, 4)).await;
    cluster.platform.set_faults(PlatformFaults {
        vm_lag_ms: 30_000,
        ..PlatformFaults::default()
    });

    leaves_without_new_work(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_work_while_the_platform_is_down() {
    let cluster = start(plan(3, 4)).await;
    cluster.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });

    leaves_without_new_work(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_work_from_nodes_cut_off_from_each_other() {
    let cluster = start(plan(3, 4)).await;
    let all: Vec<_> = (0..3).map(|n| cluster.peer_address(n)).collect();
    for links in &cluster.links {
        links.cut(all.clone());
    }

    leaves_without_new_work(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_the_vm_list_marks_as_leaving_gets_no_new_work() {
    let cluster = start(plan(2, 3)).await;
    let mut vms = cluster.vms();
    vms[0].state = zinniawing::VmState::Leaving;

    cluster.platform.set_vms(vms);
    let bound = Instant::now() + LEAVING_BOUND;
    load_until(&cluster, bound + WATCHED).await;

    let opened = cluster.runners[0].engine.opened_at();
    assert_eq!(opened.into_iter().filter(|at| *at > bound).count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_all_nodes_under_load_loses_nothing() {
    let mut cluster = start(plan(3, 4)).await;
    let caller = steward(&cluster);
    let mut calls = Vec::new();
    for number in 0..30 {
        calls.push(begin(&caller, params(&format!("draft {number}"), 200)));
    }
    wait_for_tokens(&cluster, 100).await;

    for number in 0..3 {
        for late in 0..10 {
            calls.push(begin(
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
        assert_whole(&report, tokens);
        assert_eq!(report.attempt_count, 1, "no request is cut off: {report:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_drops_out_of_the_address_answer() {
    let cluster = start(plan(2, 1)).await;
    let gone = cluster.caller_addresses()[0];

    cluster.nodes[0].as_ref().expect("the node runs").leave();
    let mut elsewhere = steward(&cluster);
    elsewhere.nodes = vec![cluster.caller_addresses()[1]];
    let mut answer = elsewhere.addresses().await;
    for _ in 0..100 {
        if !answer.contains(&gone) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        answer = elsewhere.addresses().await;
    }

    assert!(!answer.contains(&gone), "{answer:?}");
    let own = steward(&cluster).addresses().await;
    assert!(!own.contains(&gone), "{own:?}");
    let mut keeps_old_answer = steward(&cluster);
    keeps_old_answer.nodes = vec![gone];
    let report = keeps_old_answer.complete(&params("old answer", 20)).await;
    assert_whole(&report, 20);
}
