use std::collections::BTreeMap;
use std::time::Duration;

use crate::policy::placement::{Candidate, choose_engine, choose_plain, choose_replica, is_own};

/// A prompt of the users' sheet holds an engine for about a second.
const PROMPT_TOKENS: u64 = 8_200;

fn candidate<'a>(id: &'a str, data_centre: &'a str) -> Candidate<'a> {
    Candidate {
        id,
        data_centre,
        prompt_tokens: 0,
        memory_tokens: 0,
        call_count: 0,
        latency: Duration::from_millis(16),
        failure_share: 0.0,
        is_avoided: false,
        was_tried: false,
        is_own: false,
    }
}

#[test]
fn every_upstream_is_dealt_to_some_node_and_every_node_has_one() {
    for (upstreams, nodes) in [(24, 7), (36, 6), (180, 89), (3, 7), (1, 1)] {
        let owners = |u| {
            (0..nodes)
                .filter(|n| is_own(u, upstreams, *n, nodes))
                .count()
        };
        assert!(
            (0..upstreams).all(|u| owners(u) >= 1),
            "{upstreams}/{nodes}"
        );
        let owned = |n| {
            (0..upstreams)
                .filter(|u| is_own(*u, upstreams, n, nodes))
                .count()
        };
        assert!((0..nodes).all(|n| owned(n) >= 1), "{upstreams}/{nodes}");
    }
}

/// Replays seven nodes that each get a prompt in the same second, none of
/// which sees the others' work: no two may meet at one engine.
#[test]
fn prompts_that_arrive_together_at_all_nodes_meet_at_no_engine() {
    let names: Vec<String> = (0..24).map(|n| format!("r{n:02}")).collect();
    let mut load: BTreeMap<usize, u32> = BTreeMap::new();
    for node in 0..7 {
        let mut reading = [0_u64; 24];
        for draw in 0..3 {
            let candidates: Vec<Candidate<'_>> = names
                .iter()
                .enumerate()
                .map(|(at, id)| Candidate {
                    prompt_tokens: reading[at],
                    is_own: is_own(at, names.len(), node, 7),
                    ..candidate(id, "dc")
                })
                .collect();
            let chosen = choose_engine(&candidates, draw * 31 + node as u64).expect("one");
            reading[chosen] += PROMPT_TOKENS;
            *load.entry(chosen).or_default() += 1;
        }
    }
    assert_eq!(load.len(), 21, "21 prompts at 21 engines: {load:?}");
}

#[test]
fn a_node_whose_own_engines_all_read_goes_to_another_s() {
    let mut own = candidate("own", "dc");
    own.is_own = true;
    own.prompt_tokens = PROMPT_TOKENS;
    let other = candidate("other", "dc");

    assert_eq!(choose_engine(&[own, other], 0), Some(1));
}

#[test]
fn one_that_failed_is_taken_only_when_nothing_else_is_left() {
    let mut failed = candidate("failed", "dc");
    failed.is_avoided = true;
    let mut busy = candidate("busy", "dc");
    busy.prompt_tokens = 10 * PROMPT_TOKENS;
    let mut tried = busy;
    tried.was_tried = true;

    assert_eq!(choose_engine(&[failed, busy], 0), Some(1));
    assert_eq!(choose_engine(&[failed, tried], 0), Some(0));
    assert_eq!(choose_engine(&[tried], 0), None);
}

#[test]
fn a_copy_goes_to_the_emptiest_engine_of_another_data_centre() {
    let same = candidate("same", "a");
    let mut full = candidate("full", "b");
    full.memory_tokens = 60_000;
    let empty = candidate("empty", "c");

    let chosen = choose_replica(&[same, full, empty], Some("source"), "a", 5);

    assert_eq!(chosen, Some(2));
}

#[test]
fn with_one_data_centre_left_a_copy_goes_to_a_second_engine_there() {
    let source = candidate("source", "a");
    let other = candidate("other", "a");

    assert_eq!(
        choose_replica(&[source, other], Some("source"), "a", 1),
        Some(1)
    );
    assert_eq!(choose_replica(&[source], Some("source"), "a", 1), None);
}

#[test]
fn a_plain_call_stays_near_until_the_near_one_is_busy() {
    let mut near = candidate("near", "a");
    let far = candidate("far", "b");
    assert_eq!(choose_plain(&[near, far], "a", 3), Some(0));

    near.call_count = 1;

    assert_eq!(choose_plain(&[near, far], "a", 3), Some(1));
}

/// Replays a service of three upstreams of which one has turned slow, or fails
/// two of five calls while its health is good.
#[test]
fn a_slow_or_failing_upstream_gets_no_call_while_a_sound_one_is_there() {
    let far = candidate("far", "b");
    let mut slow = candidate("slow", "a");
    slow.latency = Duration::from_millis(80);
    let mut failing = candidate("failing", "a");
    failing.failure_share = 0.4;

    for draw in 0..10 {
        assert_eq!(choose_plain(&[slow, failing, far], "a", draw), Some(2));
    }
}

#[test]
fn upstreams_that_fail_alike_are_not_told_apart_by_it() {
    let mut near = candidate("near", "a");
    let mut far = candidate("far", "b");
    near.failure_share = 0.14;
    far.failure_share = 0.14;

    assert_eq!(choose_plain(&[near, far], "a", 3), Some(0));
}
