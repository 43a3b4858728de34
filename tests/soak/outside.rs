//! What other parties than nodes, callers and the operator get wrong.

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;

use crate::edge_environment::error_answer::ErrorAnswer;
use crate::history::UpstreamAt;
use crate::node::SoakEnvironment;

/// Number of names that another writer uses in turn.
const ODD_NAMES: usize = 5;
const NESTING_DEPTH: usize = 5_000;

/// Puts an entry that can't be read among those of the upstreams.
pub fn put_odd_entry(environment: &SoakEnvironment, random: &mut StdRng) {
    let nested = "[".repeat(NESTING_DEPTH) + &"]".repeat(NESTING_DEPTH);
    let odd: [&[u8]; 5] = [
        nested.as_bytes(),
        b"{\"service\":\"pay\",\"slots\":1e999}",
        b"{\"service\":\"llm\",\"address\":\"127.0.0.1:99999\",\"state\":\"ready\"}",
        b"{\"service\":\"\xff\xfe\"}",
        b"Infinity",
    ];
    let name = format!("other {}", random.random_range(0..ODD_NAMES));
    let entry = odd[random.random_range(0..odd.len())];
    environment.store.put_text("servers", &name, entry);
}

/// Start that another writer states, later than any that an upstream does.
const CLAIMED_START_UNIX_MS: u64 = 9_000_000;

/// Puts an entry of another writer with the address of an upstream among those of the upstreams:
/// of the same service, of another one, or of one that is not named.
pub fn claim_address(environment: &SoakEnvironment, upstream: UpstreamAt, random: &mut StdRng) {
    let mut entry = match upstream {
        UpstreamAt::Engine(at) => environment.engines[at].0.entry("ready"),
        UpstreamAt::Service(at) => environment.services[at].0.entry("ready"),
    };
    entry["born"] = json!(CLAIMED_START_UNIX_MS + random.random_range(0..1_000));
    match random.random_range(0..5) {
        0 => entry["service"] = json!("probe"),
        1 => entry["service"] = json!("llm"),
        2 => entry["state"] = json!("draining"),
        3 => entry["version"] = json!("v9"),
        _ => {}
    }
    let name = format!("claim {}", random.random_range(0..ODD_NAMES));
    if random.random_bool(0.3) {
        environment.store.delete("servers", &name);
    } else {
        environment.store.put("servers", &name, entry);
    }
}

/// Has an engine answer the next call that goes on with a stream with an error.
pub fn fail_next_resume(environment: &SoakEnvironment, engine: usize, random: &mut StdRng) {
    let errors = ErrorAnswer::ALL;
    let error = errors[random.random_range(0..errors.len())];
    let (engine, _) = &environment.engines[engine];
    *engine.error_answers.lock().expect("unpoisoned") = vec![error];
}
