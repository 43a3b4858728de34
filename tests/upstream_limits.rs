//! Upstreams that name a limit on the requests of all nodes together.

mod support;

use std::time::{Duration, Instant};

use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::load::{call_in_turn, served_share};
use support::edge_environment::named_limit::NamedLimit;
use support::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH, TestEnvironment,
};
use zinniawing::EdgeNode;

/// Time after which all nodes know what one of them saw.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const NODE_COUNT: usize = 7;
const SERVICE_COUNT: usize = 6;
/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor of the limit that may reach an upstream in a window.
const TOLERANCE: f64 = 1.5;
/// Number of requests that may reach an upstream in a window beside those.
const SLACK: f64 = 5.0;
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Most requests that may reach an upstream in one window.
fn allowed(limit_per_s: f64) -> usize {
    (TOLERANCE * limit_per_s * WINDOW.as_secs_f64() + SLACK) as usize
}

async fn start() -> (TestEnvironment, Vec<EdgeNode>, Vec<Caller>) {
    let mut environment = TestEnvironment::start(0).await;
    environment.add_services(SERVICE_COUNT - 2).await;
    let (nodes, callers) = environment.start_ready_nodes(NODE_COUNT).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    (environment, nodes, callers)
}

/// Sends calls to the nodes in turn for `duration`, every second one idempotent.
/// Returns when each was sent, and its answer.
async fn send_calls(callers: &[Caller], duration: Duration) -> Vec<(Instant, Response)> {
    const HEADERS: &str = "x-zinniawing-deadline-ms: 1500\r\n";
    let shape_of = |n: usize| match n % 2 {
        0 => ("GET", IDEMPOTENT_PATH, HEADERS),
        _ => ("POST", NON_IDEMPOTENT_PATH, HEADERS),
    };
    call_in_turn(callers, duration, CALL_INTERVAL, shape_of).await
}

fn assert_within(limit: &NamedLimit, limit_per_s: f64, since: Instant) {
    let most = limit.arrivals_max(since, Duration::ZERO, WINDOW);
    let all = limit.arrivals_since(since).len() as f64;
    let mean_per_s = all / since.elapsed().as_secs_f64();
    println!("limit {limit_per_s}: {most} in a window, {mean_per_s:.2} a second");
    assert!(
        most <= allowed(limit_per_s),
        "{most} for {limit_per_s} a second"
    );
    assert!(
        mean_per_s >= limit_per_s / 2.0,
        "left idle: {mean_per_s:.2} a second"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_limit_that_an_upstream_names_holds_over_all_nodes_and_the_others_get_the_rest() {
    let (environment, _nodes, callers) = start().await;
    let limits = [2.1, 0.5, 4.0];
    for (service, limit) in environment.services.iter().zip(limits) {
        service.named_limit.set(Some(&limit.to_string()));
    }

    let before = send_calls(&callers, CONTACT_TIME).await;
    let since = Instant::now();
    let answers = send_calls(&callers, Duration::from_secs(9)).await;

    for (service, limit) in environment.services.iter().zip(limits) {
        assert_within(&service.named_limit, limit, since);
    }
    assert!(served_share(&before) >= 0.98, "{}", served_share(&before));
    assert!(served_share(&answers) >= 0.98, "{}", served_share(&answers));
}

/// Each upstream takes one request a second, and forty come.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_beyond_the_limits_of_all_upstreams_are_refused_at_once_until_these_end() {
    let (environment, _nodes, callers) = start().await;
    for service in &environment.services {
        service.named_limit.set(Some("1"));
    }

    send_calls(&callers, CONTACT_TIME).await;
    let since = Instant::now();
    let answers = send_calls(&callers, Duration::from_secs(8)).await;
    for service in &environment.services {
        assert_within(&service.named_limit, 1.0, since);
        service.named_limit.set(None);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    send_calls(&callers, Duration::from_secs(2)).await;
    let after = send_calls(&callers, Duration::from_secs(2)).await;

    let refused: Vec<&Response> = answers
        .iter()
        .map(|(_, answer)| answer)
        .filter(|answer| answer.status != 200)
        .collect();
    let mut return_times_ms = Vec::new();
    for answer in &refused {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.elapsed < Duration::from_millis(300), "{answer:?}");
        let text = answer.header("retry-after").expect("a time to return");
        let seconds: f64 = text.parse().expect("a number");
        return_times_ms.push((seconds * 1_000.0) as u64);
    }
    return_times_ms.sort_unstable();
    let median_ms = return_times_ms[return_times_ms.len() / 2];
    let same = return_times_ms
        .iter()
        .filter(|ms| ms.abs_diff(median_ms) < 20);
    assert!(same.count() * 3 < refused.len(), "callers return together");
    assert!(served_share(&after) >= 0.98, "{}", served_share(&after));
}

/// Engines get probes, and requests for replicas, beside the streams. One with a limit
/// falls silent for a second again and again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn probes_and_replicas_of_streams_count_towards_the_limit() {
    const LIMIT_PER_S: f64 = 0.5;
    let environment = TestEnvironment::start(6).await;
    let (_nodes, callers) = environment.start_ready_nodes(NODE_COUNT).await;
    let limited = &environment.engines[0];
    limited.named_limit.set(Some(&LIMIT_PER_S.to_string()));

    let mut streams = Vec::new();
    let mut since = Instant::now();
    for number in 0..90 {
        let caller = callers[number % callers.len()].clone();
        let headers = "x-zinniawing-deadline-ms: 6000\r\nx-zinniawing-token-usage: 800,100\r\n";
        streams.push(tokio::spawn(async move {
            caller.call("POST", STREAM_PATH, headers).await
        }));
        limited.set_frozen(number % 20 < 10);
        tokio::time::sleep(Duration::from_millis(100)).await;
        if number == 30 {
            since = Instant::now();
        }
    }
    limited.set_frozen(false);

    assert_within(&limited.named_limit, LIMIT_PER_S, since);
    for stream in streams {
        let got = stream.await.expect("no panic");
        assert!(got.is_complete, "{} events", got.event_ids().len());
    }
}
