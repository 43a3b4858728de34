use std::time::{Duration, Instant};

use proptest::prelude::*;

use crate::policy::entry_expiry::{EntryExpiry, ExpiryDecision};

/// Longest pause between two store heartbeats that a node receives from its peers.
const HEARTBEAT_PAUSE_MAX_MS: u64 = 1_000;
/// Shortest outage in which the entry of a live upstream expires: the upstream renews it
/// every 1,200 ms, and three renewals must be missing.
const EXPIRY_OUTAGE_MIN_MS: u64 = 2_400;
const SERVICE_SIZE: usize = 24;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a node learns of the store: heartbeats from peers (true) and failures of its own,
/// in the order of the times in ms. Those of one time stay in the order given: the scenes begin
/// with a heartbeat, without which a node can't tell how long the store had been away.
fn apply(expiry: &mut EntryExpiry, start: Instant, mut contacts: Vec<(u64, bool)>) {
    contacts.sort_by_key(|(at_ms, _)| *at_ms);
    for (at_ms, is_heartbeat) in contacts {
        let at = start + ms(at_ms);
        if is_heartbeat {
            expiry.record_peer_heartbeat(at);
        } else {
            expiry.set_store_reachable(false, at);
        }
    }
}

fn remove_entry(expiry: &mut EntryExpiry, at: Instant) -> ExpiryDecision {
    let (id, service) = ("a".to_owned(), "llm".to_owned());
    expiry.entry_removed(&id, &service, SERVICE_SIZE, at)
}

proptest! {
    #[test]
    fn an_entry_that_goes_while_only_this_node_lost_the_store_is_removed(
        pauses_ms in prop::collection::vec(50..HEARTBEAT_PAUSE_MAX_MS, 1..20),
        failures_ms in prop::collection::vec(0..20_000_u64, 0..40),
        removal_delay_ms in 0..HEARTBEAT_PAUSE_MAX_MS,
    ) {
        let (mut expiry, start) = (EntryExpiry::default(), Instant::now());
        let last_ms: u64 = pauses_ms.iter().sum();
        let heartbeats = pauses_ms.iter().scan(0, |at_ms, pause_ms| {
            *at_ms += pause_ms;
            Some((*at_ms, true))
        });
        let failures = failures_ms.into_iter().filter(|at_ms| *at_ms < last_ms);
        let failures = failures.map(|at_ms| (at_ms, false));
        let first = std::iter::once((0, true));

        apply(&mut expiry, start, first.chain(heartbeats).chain(failures).collect());
        expiry.set_store_reachable(false, start + ms(last_ms));
        let decision = remove_entry(&mut expiry, start + ms(last_ms + removal_delay_ms));

        prop_assert_eq!(decision, ExpiryDecision::Remove);
    }

    #[test]
    fn an_entry_that_expires_in_an_outage_of_the_store_is_kept(
        outage_ms in EXPIRY_OUTAGE_MIN_MS..20_000,
        failures_ms in prop::collection::vec(0..EXPIRY_OUTAGE_MIN_MS, 1..20),
        removal_delay_ms in 0..1_500_u64,
    ) {
        let (mut expiry, start) = (EntryExpiry::default(), Instant::now());
        let failures = failures_ms.into_iter().map(|at_ms| (at_ms, false));

        expiry.record_peer_heartbeat(start);
        apply(&mut expiry, start, failures.collect());
        expiry.record_peer_heartbeat(start + ms(outage_ms));
        let decision = remove_entry(&mut expiry, start + ms(outage_ms + removal_delay_ms));

        prop_assert!(matches!(decision, ExpiryDecision::KeepUntil(_)));
    }
}
