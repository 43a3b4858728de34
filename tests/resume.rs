//! When runners or nodes are lost during an answer, the caller still gets every
//! token exactly once.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::cluster::{
    CUSTOMER_KEY, MODEL, OTHER_KEY, assert_complete, cluster_plan, generating_runner, params,
    set_frozen, slow_down, spawn_completion, start, steward_caller, wait_for_tokens,
};
use support::edge_environment::caller::send_request;
use zinniawing::{Counter, LocalCluster, TokenChain};

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_runner_loses_no_token() {
    let mut cluster = start(cluster_plan(1, 3)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("reset", 120));
    wait_for_tokens(&cluster, 30).await;

    let lost = generating_runner(&cluster);
    cluster.kill_runner(lost).await;

    let report = call.await.expect("the call ends");
    assert_complete(&report, 120);
    assert_eq!(report.attempt_count, 2, "{report:?}");
    assert_eq!(report.connection_count, 1, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_thaws_after_its_generation_was_resumed_elsewhere_adds_no_token() {
    let cluster = start(cluster_plan(1, 3)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("silence", 400));
    wait_for_tokens(&cluster, 30).await;
    let lost = generating_runner(&cluster);

    set_frozen(&cluster, lost, true);
    let resumed = |c: &zinniawing::LocalCluster| {
        c.nodes[0]
            .as_ref()
            .is_some_and(|n| n.metrics().get(Counter::Resumes) == 1)
    };
    cluster
        .wait_for("a resume", resumed)
        .await
        .expect("the generation is resumed");
    set_frozen(&cluster, lost, false);

    let report = call.await.expect("the call ends");
    assert_complete(&report, 400);
    assert_eq!(report.generation_count, 1, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_runner_is_not_treated_as_lost() {
    let cluster = start(cluster_plan(1, 3)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("slow", 60));
    wait_for_tokens(&cluster, 20).await;

    slow_down(&cluster, generating_runner(&cluster), 10);

    let report = call.await.expect("the call ends");
    assert_complete(&report, 60);
    let metrics = cluster.nodes[0].as_ref().expect("the node runs").metrics();
    assert_eq!(metrics.get(Counter::LostBySilence), 0);
    assert_eq!(metrics.get(Counter::Resumes), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_loss_during_the_resume_loses_no_token() {
    let mut cluster = start(cluster_plan(1, 4)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("twice", 200));
    wait_for_tokens(&cluster, 30).await;

    let first = generating_runner(&cluster);
    cluster.kill_runner(first).await;
    let runs_elsewhere = |c: &zinniawing::LocalCluster| {
        c.runners
            .iter()
            .any(|r| r.server.is_some() && r.engine.running_count() > 0)
    };
    cluster
        .wait_for("a second attempt", runs_elsewhere)
        .await
        .expect("another runner takes over");
    let second = cluster.busiest_runner();
    cluster.kill_runner(second).await;

    assert_complete(&call.await.expect("the call ends"), 200);
    let metrics = cluster.nodes[0].as_ref().expect("the node runs").metrics();
    assert_eq!(metrics.get(Counter::LostByReset), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_with_the_same_prompt_never_share_a_text() {
    let mut cluster = start(cluster_plan(2, 3)).await;
    let caller = steward_caller(&cluster);
    let calls: Vec<_> = (0..8)
        .map(|_| spawn_completion(&caller, params("the same words", 80)))
        .collect();
    wait_for_tokens(&cluster, 100).await;

    let lost = cluster.busiest_runner();
    cluster.kill_runner(lost).await;

    let mut texts = BTreeSet::new();
    for call in calls {
        let report = call.await.expect("the call ends");
        assert_complete(&report, 80);
        texts.insert(report.text);
    }
    // A token that reaches two callers is generated once.
    assert!(generated_count(&cluster) >= 8 * 80);
    // Two streams of the same text differ only in a random salt of 16 bits, so
    // that two texts may be the same by chance, but hardly three or two pairs.
    assert!(texts.len() >= 7, "{texts:?}");
}

fn generated_count(cluster: &LocalCluster) -> u64 {
    let runners = cluster.runners.iter();
    runners.map(|r| r.engine.ledger().token_count).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_customer_gets_no_text_of_another_customer_with_the_same_prompt() {
    let cluster = start(cluster_plan(1, 2)).await;
    let call = spawn_completion(&steward_caller(&cluster), params("private words", 100));
    wait_for_tokens(&cluster, 10).await;

    let other_customer = cluster.caller(support::cluster::OTHER_KEY, "steward");
    let report = other_customer.complete(&params("private words", 100)).await;

    assert_complete(&report, 100);
    let own = call.await.expect("the call ends");
    assert_complete(&own, 100);
    assert_ne!(own.text, report.text);
}

/// A streamed answer as one connection received it.
#[derive(Debug)]
struct StreamedAnswer {
    generation: String,
    start_index: u64,
    event_ids: Vec<String>,
    text: String,
}

/// Requests the rest of an answer after the event `last_event`, without the text
/// before it; the whole answer if there is no such event.
async fn stream_answer(
    node: SocketAddr,
    key: &str,
    prompt: &str,
    last_event: Option<&str>,
) -> StreamedAnswer {
    let body = serde_json::json!({
        "model": MODEL, "prompt": prompt, "max_tokens": 60, "stream": true,
    })
    .to_string();
    let last_event = last_event.map_or(String::new(), |id| format!("last-event-id: {id}\r\n"));
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         x-caller-kind: steward\r\n{last_event}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = send_request(node, request.as_bytes()).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.body.ends_with("data: [DONE]\n\n"), "{response:?}");
    parse_answer(&response.body)
}

fn parse_answer(body: &str) -> StreamedAnswer {
    let values = |field: &'static str| body.lines().filter_map(move |l| l.strip_prefix(field));
    let mut data = values("data: ").filter(|data| *data != "[DONE]");
    let parse = |data: &str| -> serde_json::Value { serde_json::from_str(data).expect("JSON") };
    let start = parse(data.next().expect("a start event"));
    let token_text = |data| {
        let token = parse(data);
        token["choices"][0]["text"]
            .as_str()
            .expect("a text")
            .to_owned()
    };
    StreamedAnswer {
        generation: start["generation"].as_str().expect("a name").to_owned(),
        start_index: start["index"].as_u64().expect("an index"),
        event_ids: values("id: ").map(str::to_owned).collect(),
        text: data.map(token_text).collect(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_event_id_of_another_customer_begins_a_new_generation_with_a_text_of_its_own() {
    let cluster = start(cluster_plan(1, 2)).await;
    let node = cluster.caller_addresses()[0];
    let prompt = "private words";
    let own = stream_answer(node, CUSTOMER_KEY, prompt, None).await;
    let seen_id = own.event_ids[9].as_str();

    let resumed = stream_answer(node, CUSTOMER_KEY, prompt, Some(seen_id)).await;
    let other = stream_answer(node, OTHER_KEY, prompt, Some(seen_id)).await;

    // The runner still holds the stream and gives it to the customer it is for.
    assert_eq!(resumed.generation, own.generation);
    assert_eq!(resumed.start_index, 10);
    assert!(own.text.ends_with(&resumed.text), "{own:?}, {resumed:?}");
    assert_eq!(resumed.event_ids, own.event_ids[10..]);
    // Another customer gets an answer from its beginning, of another generation.
    assert_ne!(other.generation, own.generation);
    assert_eq!(other.start_index, 0);
    assert_eq!(TokenChain::check(prompt, &other.text), Ok(60));
    assert_ne!(other.text, own.text);
    let is_own = |id: &String| id.starts_with(&format!("{}.", other.generation));
    assert!(other.event_ids.iter().all(is_own), "{other:?}");
}

/// Runs calls while runners and nodes have random faults, drawn from `seed`, and
/// checks that no answer mixes tokens of different generations. The check needs
/// only the text, in which each token carries a hash of all tokens before it.
async fn check_answers_under_faults(seed: u64) {
    const CALL_COUNT: u64 = 24;
    const FAULT_COUNT: u32 = 10;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = start(cluster_plan(3, 6)).await;
    let caller = steward_caller(&cluster);
    let calls: Vec<_> = (0..CALL_COUNT)
        .map(|n| {
            spawn_completion(
                &caller,
                params(&format!("question {n} of seed {seed}"), 150 + n),
            )
        })
        .collect();
    for _ in 0..FAULT_COUNT {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..250))).await;
        let runner = rng.random_range(0..cluster.runners.len());
        match rng.random_range(0..4) {
            0 => cluster.kill_runner(runner).await,
            1 => set_frozen(&cluster, runner, true),
            2 => slow_down(&cluster, runner, 10),
            _ => {
                let number = rng.random_range(0..cluster.nodes.len());
                if let Some(node) = cluster.nodes[number].take() {
                    node.kill().await;
                }
                cluster
                    .start_node(number)
                    .await
                    .expect("the node starts again");
            }
        }
        for number in 0..cluster.runners.len() {
            let is_down = cluster.runners[number].server.is_none();
            if is_down && rng.random_bool(0.7) {
                cluster
                    .restart_runner(number)
                    .expect("the runner starts again");
            } else if !is_down && rng.random_bool(0.5) {
                set_frozen(&cluster, number, false);
            }
        }
    }
    for number in 0..cluster.runners.len() {
        set_frozen(&cluster, number, false);
    }
    for (number, call) in calls.into_iter().enumerate() {
        let report = call.await.expect("the call ends");
        assert_eq!(
            report.broken, None,
            "seed {seed}, call {number}: {report:?}"
        );
        // A generation may be lost, but then its caller must get an error.
        assert!(
            report.ended || report.error.is_some(),
            "seed {seed}, call {number}: {report:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_mixed_under_faults_of_seed_1() {
    check_answers_under_faults(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_mixed_under_faults_of_seed_2() {
    check_answers_under_faults(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_mixed_under_faults_of_seed_3() {
    check_answers_under_faults(3).await;
}
