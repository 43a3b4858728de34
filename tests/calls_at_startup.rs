//! Calls that reach a node before it has a configuration.

mod support;

use std::time::{Duration, Instant};

use support::edge_environment::caller::Caller;
use support::edge_environment::proxy::{Mode, Proxy};
use support::edge_environment::{IDEMPOTENT_PATH, NodeSpec, TestEnvironment, start_node};

/// Time for which the store stays away after the node has started.
const STORE_AWAY: Duration = Duration::from_millis(400);
/// A caller that waits for as long as those of long streams do.
const PATIENT: &str = "X-Zinniawing-Deadline-Ms: 20000\r\n";
/// A call that takes longer than this was held for longer than its caller's share.
const HELD_MAX: Duration = Duration::from_secs(3);

/// Guards against refusing the callers of a restarted node just before the store is back.
#[tokio::test]
async fn calls_that_arrive_before_the_first_configuration_are_served_once_the_store_is_back() {
    let environment = TestEnvironment::start(0).await;
    let link = Proxy::start(environment.store.address).await;
    link.set_mode(Mode::Silent);
    let spec = NodeSpec::new("n1", "dc-1");
    let _node = start_node(&spec, link.address).await;
    let caller = Caller::new(&spec);

    let first = caller.call("GET", IDEMPOTENT_PATH, PATIENT);
    let returns = async {
        tokio::time::sleep(STORE_AWAY).await;
        link.set_mode(Mode::Pass);
    };
    let (got, ()) = tokio::join!(first, returns);

    assert_eq!(got.status, 200, "{got:?}");
}

/// Guards against holding a call until its caller has no time left.
#[tokio::test]
async fn a_call_is_refused_in_time_if_no_configuration_comes() {
    let environment = TestEnvironment::start(0).await;
    let link = Proxy::start(environment.store.address).await;
    link.set_mode(Mode::Silent);
    let spec = NodeSpec::new("n1", "dc-1");
    let _node = start_node(&spec, link.address).await;
    let sent_at = Instant::now();

    let got = Caller::new(&spec)
        .call("GET", IDEMPOTENT_PATH, PATIENT)
        .await;

    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.header("retry-after").is_some(), "{got:?}");
    assert!(sent_at.elapsed() < HELD_MAX, "{:?}", sent_at.elapsed());
}
