use std::collections::BTreeMap;
use std::time::Duration;

use crate::policy::engine_speed::SpeedEstimate;
use crate::policy::placement::{
    Candidate, choose_engine, choose_for_plain_call, choose_replica_holder, is_assigned,
};

/// Length of a typical prompt, whose prefill takes about a second.
const PROMPT_TOKENS: u64 = 8_200;

fn candidate<'a>(id: &'a str, data_centre: &'a str) -> Candidate<'a> {
    Candidate {
        id,
        data_centre,
        pending_prompt_tokens: 0,
        kv_cache_tokens: 0,
        call_count: 0,
        latency: Duration::from_millis(16),
        failure_share: 0.0,
        is_avoided: false,
        was_tried: false,
        is_assigned: false,
        speed: SpeedEstimate::default(),
    }
}

#[test]
fn every_upstream_is_assigned_and_every_node_has_an_assigned_upstream() {
    for (upstreams, nodes) in [(24, 7), (36, 6), (180, 89), (3, 7), (1, 1)] {
        let nodes_of = |u| {
            (0..nodes)
                .filter(|n| is_assigned(u, upstreams, *n, nodes))
                .count()
        };
        assert!(
            (0..upstreams).all(|u| nodes_of(u) >= 1),
            "{upstreams} upstreams, {nodes} nodes"
        );
        let upstreams_of = |n| {
            (0..upstreams)
                .filter(|u| is_assigned(*u, upstreams, n, nodes))
                .count()
        };
        assert!(
            (0..nodes).all(|n| upstreams_of(n) >= 1),
            "{upstreams} upstreams, {nodes} nodes"
        );
    }
}

/// Seven nodes each place three prompts within the same second, and none knows
/// what the others send. No two prompts may be sent to one engine.
#[test]
fn prompts_that_arrive_together_at_all_nodes_go_to_different_engines() {
    let names: Vec<String> = (0..24).map(|n| format!("r{n:02}")).collect();
    let mut load: BTreeMap<usize, u32> = BTreeMap::new();
    for node in 0..7 {
        let mut pending_tokens = [0_u64; 24];
        for draw in 0..3 {
            let candidates: Vec<Candidate<'_>> = names
                .iter()
                .enumerate()
                .map(|(at, id)| Candidate {
                    pending_prompt_tokens: pending_tokens[at],
                    is_assigned: is_assigned(at, names.len(), node, 7),
                    ..candidate(id, "dc")
                })
                .collect();
            let chosen = choose_engine(&candidates, PROMPT_TOKENS, draw * 31 + node as u64)
                .expect("there are candidates");
            pending_tokens[chosen] += PROMPT_TOKENS;
            *load.entry(chosen).or_default() += 1;
        }
    }
    assert_eq!(load.len(), 21, "prompts by engine: {load:?}");
}

#[test]
fn a_prompt_goes_to_another_node_s_engine_when_all_assigned_ones_are_in_prefill() {
    let mut assigned = candidate("assigned", "dc");
    assigned.is_assigned = true;
    assigned.pending_prompt_tokens = PROMPT_TOKENS;
    let other = candidate("other", "dc");

    assert_eq!(choose_engine(&[assigned, other], PROMPT_TOKENS, 0), Some(1));
}

/// An engine whose speed is `factor` times that of one that reads 8 tokens a millisecond and
/// sends an event each 31 ms, idle as far as this node knows.
fn engine_of_speed(id: &str, factor: f64) -> Candidate<'_> {
    Candidate {
        speed: SpeedEstimate {
            prefill_ms_per_token: Some(0.125 / factor),
            event_gap_ms: Some(31.0 / factor),
            age: Some(Duration::from_secs(1)),
        },
        ..candidate(id, "dc")
    }
}

fn choose_for_prompt(candidates: &[Candidate<'_>]) -> Option<usize> {
    choose_engine(candidates, PROMPT_TOKENS, 0)
}

/// Streams waited five seconds for their first event at a slow engine with several prompts,
/// while fast engines were idle.
#[test]
fn a_prompt_goes_to_a_fast_engine_with_a_short_queue_before_a_slow_one_with_none() {
    let mut slow = engine_of_speed("slow", 0.55);
    let mut fast = engine_of_speed("fast", 1.2);
    (slow.is_assigned, fast.is_assigned) = (true, true);
    fast.pending_prompt_tokens = 5_000;
    assert_eq!(choose_for_prompt(&[slow, fast, fast]), Some(1));

    let mut fast_of_other_node = engine_of_speed("other", 1.2);
    fast_of_other_node.is_assigned = false;
    slow.pending_prompt_tokens = 1_000;
    assert_eq!(choose_for_prompt(&[slow, fast_of_other_node]), Some(1));
}

#[test]
fn an_idle_slow_engine_is_not_passed_by_when_the_fast_ones_have_long_queues() {
    let mut slow = engine_of_speed("slow", 0.55);
    let mut fast = engine_of_speed("fast", 1.2);
    (slow.is_assigned, fast.is_assigned) = (true, true);
    fast.pending_prompt_tokens = 2 * PROMPT_TOKENS;

    assert_eq!(choose_for_prompt(&[fast, slow, fast]), Some(1));
}

/// A node that prefers the engines that it has measured would never learn of others.
#[test]
fn an_engine_without_samples_counts_as_the_median() {
    let mut slow = engine_of_speed("slow", 0.55);
    let mut fast = engine_of_speed("fast", 1.2);
    let mut unknown = candidate("unknown", "dc");
    (slow.is_assigned, fast.is_assigned, unknown.is_assigned) = (true, true, true);

    assert_eq!(choose_for_prompt(&[slow, unknown]), Some(0), "one is known");
    fast.pending_prompt_tokens = 1_000;
    assert_eq!(choose_for_prompt(&[slow, fast, fast, unknown]), Some(3));
}

/// Under overload every prefill that a node measures contains the wait for prompts of other
/// nodes, so that its own engines looked slower than those that it had never measured.
#[test]
fn prefills_behind_prompts_of_other_nodes_do_not_drive_prompts_away() {
    let mut waiting = engine_of_speed("waiting", 1.0);
    waiting.is_assigned = true;
    waiting.speed.prefill_ms_per_token = Some(0.6);
    let other = engine_of_speed("other", 1.0);

    assert_eq!(choose_for_prompt(&[other, waiting, other]), Some(1));
}

/// The prefill of a short prompt costs so little that an idle engine seemed as good as one
/// that runs a stream.
#[test]
fn a_short_prompt_goes_to_an_idle_engine_before_one_that_runs_a_stream() {
    let idle = engine_of_speed("idle", 1.0);
    let mut running = engine_of_speed("running", 1.0);
    running.call_count = 1;

    for draw in 0..10 {
        assert_eq!(choose_engine(&[running, idle], 200, draw), Some(1));
    }
}

/// The prefill of a prompt pauses all streams that run at the engine.
#[test]
fn of_two_equal_engines_the_one_with_fewer_streams_reads_the_prompt() {
    let mut busy = engine_of_speed("busy", 1.0);
    let mut calm = engine_of_speed("calm", 1.0);
    (busy.call_count, calm.call_count) = (4, 1);

    assert_eq!(choose_for_prompt(&[busy, calm]), Some(1));
}

/// Two engines of one speed are measured while other nodes' prompts are read there.
#[test]
fn engines_that_differ_as_little_as_measurements_do_count_as_equal() {
    let calm = engine_of_speed("calm", 0.75);
    let mut busy = engine_of_speed("busy", 1.0);
    busy.call_count = 1;

    assert_eq!(choose_for_prompt(&[busy, calm, busy]), Some(1));
}

/// Sixty-seven nodes know the same engine, which is three times as fast as all others.
#[test]
fn the_nodes_do_not_all_send_their_prompts_to_the_same_fast_engine() {
    let names: Vec<String> = (0..120).map(|n| format!("r{n:03}")).collect();
    let mut load = [0_u32; 120];
    for node in 0..67_u64 {
        let candidates: Vec<Candidate<'_>> = names
            .iter()
            .enumerate()
            .map(|(at, id)| Candidate {
                is_assigned: is_assigned(at, 120, node as usize, 67),
                ..engine_of_speed(id, if at == 119 { 3.0 } else { 1.0 })
            })
            .collect();
        let draw = (node + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let chosen = choose_engine(&candidates, PROMPT_TOKENS, draw).expect("there are candidates");
        load[chosen] += 1;
    }
    assert!((1..=12).contains(&load[119]), "prompts by engine: {load:?}");
}

#[test]
fn an_avoided_engine_is_chosen_only_when_no_other_is_left() {
    let mut avoided = candidate("avoided", "dc");
    avoided.is_avoided = true;
    let mut busy = candidate("busy", "dc");
    busy.pending_prompt_tokens = 10 * PROMPT_TOKENS;
    let mut tried = busy;
    tried.was_tried = true;

    assert_eq!(choose_engine(&[avoided, busy], PROMPT_TOKENS, 0), Some(1));
    assert_eq!(choose_engine(&[avoided, tried], PROMPT_TOKENS, 0), Some(0));
    assert_eq!(choose_engine(&[tried], PROMPT_TOKENS, 0), None);
}

#[test]
fn a_replica_goes_to_the_least_loaded_engine_of_another_data_centre() {
    let same = candidate("same", "a");
    let mut full = candidate("full", "b");
    full.kv_cache_tokens = 60_000;
    let empty = candidate("empty", "c");

    let chosen = choose_replica_holder(&[same, full, empty], Some("source"), "a", 5);

    assert_eq!(chosen, Some(2));
}

#[test]
fn with_one_data_centre_left_a_replica_goes_to_another_engine_in_it() {
    let source = candidate("source", "a");
    let other = candidate("other", "a");

    assert_eq!(
        choose_replica_holder(&[source, other], Some("source"), "a", 1),
        Some(1)
    );
    assert_eq!(
        choose_replica_holder(&[source], Some("source"), "a", 1),
        None
    );
}

#[test]
fn a_plain_call_stays_in_its_data_centre_until_the_upstream_there_is_busy() {
    let mut local = candidate("local", "a");
    let remote = candidate("remote", "b");
    assert_eq!(choose_for_plain_call(&[local, remote], "a", 3), Some(0));

    local.call_count = 1;

    assert_eq!(choose_for_plain_call(&[local, remote], "a", 3), Some(1));
}

/// A service has three upstreams, of which one is slow and one fails two of five
/// calls although its health check passes.
#[test]
fn a_slow_or_failing_upstream_gets_no_call_while_a_healthy_one_exists() {
    let remote = candidate("remote", "b");
    let mut slow = candidate("slow", "a");
    slow.latency = Duration::from_millis(80);
    let mut failing = candidate("failing", "a");
    failing.failure_share = 0.4;

    for draw in 0..10 {
        assert_eq!(
            choose_for_plain_call(&[slow, failing, remote], "a", draw),
            Some(2)
        );
    }
}

#[test]
fn upstreams_with_equal_failure_shares_are_chosen_by_distance() {
    let mut local = candidate("local", "a");
    let mut remote = candidate("remote", "b");
    local.failure_share = 0.14;
    remote.failure_share = 0.14;

    assert_eq!(choose_for_plain_call(&[local, remote], "a", 3), Some(0));
}
