use std::collections::BTreeMap;
use std::time::Duration;

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
            let chosen =
                choose_engine(&candidates, draw * 31 + node as u64).expect("there are candidates");
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

    assert_eq!(choose_engine(&[assigned, other], 0), Some(1));
}

#[test]
fn an_avoided_engine_is_chosen_only_when_no_other_is_left() {
    let mut avoided = candidate("avoided", "dc");
    avoided.is_avoided = true;
    let mut busy = candidate("busy", "dc");
    busy.pending_prompt_tokens = 10 * PROMPT_TOKENS;
    let mut tried = busy;
    tried.was_tried = true;

    assert_eq!(choose_engine(&[avoided, busy], 0), Some(1));
    assert_eq!(choose_engine(&[avoided, tried], 0), Some(0));
    assert_eq!(choose_engine(&[tried], 0), None);
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
