//! Once a caller has closed its connection, nothing more is sent for it, and no
//! runner works for it if it can't come back for the answer.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::cluster::{
    CUSTOMER_KEY, MODEL, cluster_plan, generating_runner, opened_count, set_frozen, start,
    steward_caller, wait_for_tokens,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use zinniawing::{CallReport, LocalCluster, PlatformFaults, ServiceFaults};

/// Time after a caller's close within which its call must have ended.
const CLOSE_GRACE: Duration = Duration::from_millis(500);

/// Sends a call; dropping the connection makes its caller leave.
async fn send_call(node: SocketAddr, target: &str, headers: &str, body: &str) -> TcpStream {
    let request = format!(
        "{target} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         {headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut connection = TcpStream::connect(node).await.expect("connected");
    let written = connection.write_all(request.as_bytes()).await;
    written.expect("sent");
    connection
}

async fn send_completion(node: SocketAddr, kind: &str, stream: bool) -> TcpStream {
    let body = serde_json::json!({
        "model": MODEL, "prompt": "left alone", "max_tokens": 800, "stream": stream,
    });
    let kind = format!("x-caller-kind: {kind}\r\n");
    let target = "POST /v1/completions";
    send_call(node, target, &kind, &body.to_string()).await
}

#[tokio::test(flavor = "multi_thread")]
async fn no_standby_is_opened_for_a_caller_that_left() {
    let cluster = start(cluster_plan(1, 2)).await;
    let caller = send_completion(cluster.caller_addresses()[0], "steward", true).await;
    wait_for_tokens(&cluster, 30).await;

    set_frozen(&cluster, generating_runner(&cluster), true);
    drop(caller);
    tokio::time::sleep(Duration::from_secs(2)).await;

    assert_eq!(opened_count(&cluster), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_whose_caller_left_is_not_resumed() {
    let mut cluster = start(cluster_plan(1, 2)).await;
    let caller = send_completion(cluster.caller_addresses()[0], "clerk", true).await;
    wait_for_tokens(&cluster, 30).await;
    let runner = generating_runner(&cluster);

    set_frozen(&cluster, runner, true);
    drop(caller);
    tokio::time::sleep(CLOSE_GRACE).await;
    cluster.kill_runner(runner).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert_eq!(opened_count(&cluster), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_run_of_a_caller_that_left_before_its_complete_answer_ends() {
    let cluster = start(cluster_plan(1, 2)).await;
    let caller = send_completion(cluster.caller_addresses()[0], "steward", false).await;
    wait_for_tokens(&cluster, 30).await;
    let runner = generating_runner(&cluster);

    drop(caller);
    tokio::time::sleep(CLOSE_GRACE).await;

    assert_eq!(cluster.runners[runner].engine.running_count(), 0);
}

async fn start_with_payments(instance_count: usize, is_idempotent: bool) -> LocalCluster {
    let mut plan = cluster_plan(1, 1).with_service("payments", instance_count);
    let service = plan.intent.services.get_mut("payments");
    service.expect("the service is configured").idempotent = is_idempotent;
    start(plan).await
}

fn executed_count(cluster: &LocalCluster) -> usize {
    let services = cluster.services.iter();
    services.map(|(service, _)| service.ledger().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_goes_to_no_second_instance_after_its_caller_left() {
    let cluster = start_with_payments(2, true).await;
    let slow_then_dead = ServiceFaults {
        slow_ms: 800,
        die_after: true,
        ..ServiceFaults::default()
    };
    for (service, _) in &cluster.services {
        service.set_faults(slow_then_dead);
    }
    let node = cluster.caller_addresses()[0];
    let caller = send_call(node, "POST /v1/services/payments/disburse", "", "{}").await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    drop(caller);
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert!(executed_count(&cluster) <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimed_call_is_not_sent_after_its_caller_left_and_can_be_made_again() {
    let cluster = start_with_payments(1, false).await;
    let slow = PlatformFaults {
        slow_ms: 1500,
        ..PlatformFaults::default()
    };
    cluster.platform.set_faults(slow);
    let node = cluster.caller_addresses()[0];
    let key = "idempotency-key: left-1\r\n";
    let caller = send_call(node, "POST /v1/services/payments/disburse", key, "{}").await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    drop(caller);
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.platform.set_faults(PlatformFaults::default());

    assert_eq!(executed_count(&cluster), 0);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let steward = steward_caller(&cluster);
    let again = steward.call_at(node, "payments", "disburse", "left-1", "{}");
    let report = again.await;
    assert!(matches!(report, CallReport::Answered { .. }), "{report:?}");
    assert_eq!(executed_count(&cluster), 1);
}
