//! Upstreams that turn a node away and ask it for rest.

mod support;

use std::time::{Duration, Instant};

use support::edge_environment::asked_rest::AskedRest;
use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::load::{call_in_turn, served_share};
use support::edge_environment::running_stream::assert_stream_complete;
use support::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH, TestEnvironment, eventually,
};

const NODE_COUNT: usize = 7;
/// Time for which an upstream turns everything away.
const REFUSING_TIME: Duration = Duration::from_millis(2_500);
/// The rest that it asks for.
const REST_S: f64 = 3.0;
/// Requests that may reach an upstream from one node while it rests.
const ALLOWED: usize = 2;
/// Events of the streams that run before, at 20 ms each: longer than the rest, and well
/// within the 6 s that the route allows.
const EVENT_COUNT: u64 = 180;
const CALL_INTERVAL: Duration = Duration::from_millis(8);

/// Calls the nodes in turn for `duration` with calls that may repeat, calls that may not,
/// and streams. Returns when each was sent, and its answer.
async fn send_calls(callers: &[Caller], duration: Duration) -> Vec<(Instant, Response)> {
    const HEADERS: &str = "x-zinniawing-deadline-ms: 1500\r\nx-zinniawing-token-usage: 200,8\r\n";
    let shape_of = |n: usize| match (n / callers.len()) % 3 {
        0 => ("GET", IDEMPOTENT_PATH, HEADERS),
        1 => ("POST", NON_IDEMPOTENT_PATH, HEADERS),
        _ => ("POST", STREAM_PATH, HEADERS),
    };
    call_in_turn(callers, duration, CALL_INTERVAL, shape_of).await
}

fn assert_kept(what: &str, rest: &AskedRest, since: Instant) {
    let most = rest.arrivals_in_rest_max(since);
    let (refused_count, returns) = (rest.refusal_count(), rest.return_times());
    println!(
        "{what}: {most} requests from one node in a rest, {refused_count} turned away, \
         {} nodes returned, the median after {:?}, the last after {:?}",
        returns.len(),
        returns.get(returns.len() / 2),
        returns.last()
    );
    assert!(most <= ALLOWED, "{what}: {most} requests in a rest");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_sends_two_requests_at_most_to_an_upstream_that_asked_it_for_rest() {
    let mut environment = TestEnvironment::start(4).await;
    environment.add_services(1).await;
    let (_nodes, callers) = environment.start_ready_nodes(NODE_COUNT).await;
    let callers: Vec<Caller> = callers.into_iter().map(Caller::naming_node).collect();
    environment.set_event_interval(Duration::from_millis(20));
    let mut streams = Vec::new();
    for caller in callers.iter().chain(&callers) {
        let caller = caller.clone();
        streams.push(tokio::spawn(
            async move { caller.stream(EVENT_COUNT).await },
        ));
    }
    let all_run = || environment.run_count() >= streams.len();
    eventually("all streams run", all_run).await;
    let (plain, engine) = (&environment.services[0], environment.running_engine());

    let asked_at = Instant::now();
    for rest in [&plain.asked_rest, &engine.asked_rest] {
        rest.refuse_all(REFUSING_TIME, &REST_S.to_string());
    }
    let answers = send_calls(&callers, Duration::from_secs_f64(REST_S)).await;
    let ended_at = Instant::now();
    let after = send_calls(&callers, Duration::from_secs(4)).await;

    let (share, share_after) = (served_share(&answers), served_share(&after));
    println!("served {share:.3} in the rest, {share_after:.3} after it");
    assert_kept("plain", &plain.asked_rest, asked_at);
    assert_kept("engine", &engine.asked_rest, asked_at);
    assert!(share >= 0.9, "{share}");
    assert!(share_after >= 0.98, "{share_after}");
    for rest in [&plain.asked_rest, &engine.asked_rest] {
        assert!(rest.arrivals_since(ended_at) > NODE_COUNT, "left idle");
    }
    for stream in streams {
        assert_stream_complete(&stream.await.expect("no panic"), EVENT_COUNT);
    }
}

/// Nothing waits for an upstream that can't be asked, and nobody presses it at the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_are_refused_at_once_with_the_time_of_the_first_rest_that_ends() {
    const SPREAD_S: f64 = 1.0;
    let environment = TestEnvironment::start(2).await;
    let (_nodes, callers) = environment.start_ready_nodes(NODE_COUNT).await;
    let callers: Vec<Caller> = callers.into_iter().map(Caller::naming_node).collect();
    let (plain, engines) = (&environment.services, &environment.engines);
    let all_rests = || {
        let of_engines = engines.iter().map(|engine| &engine.asked_rest);
        let of_services = plain.iter().map(|service| &service.asked_rest);
        of_engines.chain(of_services)
    };
    let asked_at = Instant::now();
    for rest in all_rests() {
        rest.refuse_all(REFUSING_TIME, &REST_S.to_string());
    }
    send_calls(&callers, Duration::from_millis(700)).await;
    let known_at = Instant::now();

    let answers = send_calls(&callers, Duration::from_millis(1_800)).await;
    tokio::time::sleep_until((asked_at + Duration::from_millis(4_000)).into()).await;
    let after = send_calls(&callers, Duration::from_secs(1)).await;

    for rest in all_rests() {
        assert_kept("one of all", rest, asked_at);
    }
    for (sent_at, answer) in &answers {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.elapsed < Duration::from_millis(300), "{answer:?}");
        let text = answer.header("retry-after").expect("a time to return");
        let returns_s: f64 = text.parse().expect("a number");
        let earliest_s = REST_S - sent_at.duration_since(asked_at).as_secs_f64() - 0.05;
        let latest_s = REST_S - sent_at.duration_since(known_at).as_secs_f64() + SPREAD_S;
        assert!((earliest_s..latest_s).contains(&returns_s), "{returns_s}");
    }
    println!("served {:.3} after the rests", served_share(&after));
    assert!(served_share(&after) >= 0.95, "{}", served_share(&after));
}
