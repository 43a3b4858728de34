//! Poison requests, which crash every runner that runs them.

mod support;

use std::time::{Duration, Instant};

use support::cluster::{
    assert_complete, cluster_plan, params, spawn_completion, start, steward_caller, wait_for_tokens,
};
use zinniawing::{CRASH_MARK, Counter, ErrorKind, LocalCluster};

/// Maximum number of runners that one poison request may crash, whichever nodes it
/// is sent to.
const CRASHED_RUNNERS_MAX: usize = 3;

/// Time after which all nodes know what one of them saw.
const CONTACT_TIME: Duration = Duration::from_secs(3);

fn crashed_runner_count(cluster: &LocalCluster) -> usize {
    let runners = cluster.runners.iter();
    runners.filter(|runner| runner.engine.is_dead()).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_crashes_three_runners_at_most_and_breaks_no_other_call() {
    let cluster = start(cluster_plan(4, 10)).await;
    let caller = steward_caller(&cluster);
    let other_calls: Vec<_> = (0..24)
        .map(|n| spawn_completion(&caller, params(&format!("innocent {n}"), 300)))
        .collect();
    wait_for_tokens(&cluster, 100).await;
    let poison = params(&format!("please {CRASH_MARK} now"), 50);

    let mut reports = Vec::new();
    for round in 0..12 {
        let mut sender = steward_caller(&cluster);
        sender.nodes = vec![cluster.caller_addresses()[round % 4]];
        reports.push(sender.complete(&poison).await);
    }

    assert!(
        crashed_runner_count(&cluster) <= CRASHED_RUNNERS_MAX,
        "{} runners crashed",
        crashed_runner_count(&cluster)
    );
    for report in &reports {
        let error = report.error.as_ref().expect("the call fails");
        assert_eq!(error.kind, ErrorKind::CrashesRunners, "{report:?}");
        assert!(error.retry_after_ms.is_some(), "{report:?}");
    }
    for call in other_calls {
        assert_complete(&call.await.expect("the call ends"), 300);
    }
}

/// A poison request is sent to all nodes at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn sent_to_all_nodes_at_once_it_takes_down_three_runners_at_most() {
    let cluster = start(cluster_plan(4, 10)).await;
    let poison = params(&format!("please {CRASH_MARK} now"), 50);

    let sent: Vec<_> = cluster
        .caller_addresses()
        .into_iter()
        .map(|address| {
            let mut sender = steward_caller(&cluster);
            sender.nodes = vec![address];
            spawn_completion(&sender, poison.clone())
        })
        .collect();
    for call in sent {
        let report = call.await.expect("the call ends");
        assert!(!report.ended, "{report:?}");
    }

    assert!(
        crashed_runner_count(&cluster) <= CRASHED_RUNNERS_MAX,
        "{} runners crashed",
        crashed_runner_count(&cluster)
    );
}

/// No request comes twice: the prompts share the line that crashes runners, and sound
/// ones share their first line.
#[tokio::test(flavor = "multi_thread")]
async fn a_line_of_prompts_that_crashes_runners_reaches_three_more_after_all_nodes_know() {
    const INTRO: &str = "You advise the stewards of a union.";
    let cluster = start(cluster_plan(4, 40)).await;
    let addresses = cluster.caller_addresses();
    let send = |number: usize, node: usize, line: &str| {
        let mut sender = steward_caller(&cluster);
        sender.nodes = vec![addresses[node % addresses.len()]];
        let prompt = format!("{INTRO}\n{line}Question number {number}");
        spawn_completion(&sender, params(&prompt, 100))
    };
    let crashing_line = format!("The federation's rules: {CRASH_MARK}\n");
    let mut crash_times = Vec::new();
    let mut sound = Vec::new();

    let began_at = Instant::now();
    for number in 0..80 {
        if number % 4 == 0 {
            send(number, number / 4, &crashing_line);
        }
        sound.push((Instant::now(), send(number, number, "")));
        tokio::time::sleep(Duration::from_millis(100)).await;
        crash_times.resize(crashed_runner_count(&cluster), Instant::now());
    }

    let known_at = *crash_times.get(4).unwrap_or(&began_at) + CONTACT_TIME;
    let late = crash_times.iter().filter(|at| **at > known_at);
    assert!(
        late.count() <= CRASHED_RUNNERS_MAX,
        "{} crashed",
        crash_times.len()
    );
    let mut served_count = 0;
    let mut sent_count = 0;
    for (sent_at, call) in sound {
        let report = call.await.expect("the call ends");
        if sent_at > known_at {
            sent_count += 1;
            served_count += usize::from(report.ended && report.broken.is_none());
        }
    }
    assert!(sent_count >= 20, "{sent_count} sound requests counted");
    assert!(
        2 * served_count >= sent_count,
        "{served_count} of {sent_count}"
    );
    println!(
        "{} runners crashed, {served_count} of {sent_count} served",
        crash_times.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rack_failure_marks_no_request_as_poison() {
    let mut cluster = start(cluster_plan(2, 8)).await;
    let caller = steward_caller(&cluster);
    let calls: Vec<_> = (0..24)
        .map(|n| spawn_completion(&caller, params(&format!("rack {n}"), 250)))
        .collect();
    wait_for_tokens(&cluster, 200).await;

    for _ in 0..5 {
        let lost = cluster.busiest_runner();
        assert!(cluster.runners[lost].engine.running_count() > 0);
        cluster.kill_runner(lost).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    for call in calls {
        assert_complete(&call.await.expect("the call ends"), 250);
    }
    for node in cluster.nodes.iter().flatten() {
        let metrics = node.metrics();
        assert_eq!(metrics.get(Counter::PoisonRequests), 0);
        assert_eq!(metrics.get(Counter::PoisonRefusals), 0);
    }
}
