use std::time::{Duration, Instant};

use crate::policy::entry_expiry::{EntryExpiry, ExpiryDecision};

const SERVICE_SIZE: usize = 8;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> String {
    "llm".to_owned()
}

fn is_kept(decision: ExpiryDecision) -> bool {
    matches!(decision, ExpiryDecision::KeepUntil(_))
}

#[test]
fn a_single_removal_while_the_store_is_reachable_removes_the_upstream() {
    let mut expiry = EntryExpiry::default();
    let start = Instant::now();
    expiry.set_store_reachable(true, start);

    let decision = expiry.entry_removed(&"a".to_owned(), &service(), SERVICE_SIZE, start + ms(500));

    assert_eq!(decision, ExpiryDecision::Remove);
}

#[test]
fn entries_that_expire_in_a_store_outage_are_kept_until_live_upstreams_registered_again() {
    let mut expiry = EntryExpiry::default();
    let start = Instant::now();
    expiry.set_store_reachable(false, start);
    expiry.set_store_reachable(true, start + ms(4_000));
    let removed_at = start + ms(4_100);

    let names: Vec<String> = (0..SERVICE_SIZE).map(|n| format!("r{n}")).collect();
    let are_all_kept = names
        .iter()
        .all(|n| is_kept(expiry.entry_removed(n, &service(), SERVICE_SIZE, removed_at)));
    for name in &names[1..] {
        expiry.registered_again(name);
    }

    assert!(are_all_kept);
    assert!(expiry.take_expired(removed_at + ms(1_500)).is_empty());
    assert_eq!(
        expiry.take_expired(start + ms(6_300)),
        vec!["r0".to_owned()]
    );
}

#[test]
fn kept_upstreams_do_not_expire_while_the_store_is_unreachable_again() {
    let mut expiry = EntryExpiry::default();
    let start = Instant::now();
    expiry.set_store_reachable(false, start);
    expiry.set_store_reachable(true, start + ms(3_000));
    let removed_at = start + ms(3_100);
    let decision = expiry.entry_removed(&"a".to_owned(), &service(), SERVICE_SIZE, removed_at);

    expiry.set_store_reachable(false, start + ms(4_000));

    assert!(is_kept(decision));
    assert!(expiry.take_expired(start + ms(9_000)).is_empty());
}

#[test]
fn a_mass_expiry_is_kept_even_when_no_store_outage_was_noticed() {
    let mut expiry = EntryExpiry::default();
    let now = Instant::now();

    let kept: Vec<bool> = (0..SERVICE_SIZE)
        .map(|n| is_kept(expiry.entry_removed(&format!("r{n}"), &service(), SERVICE_SIZE, now)))
        .collect();

    assert_eq!(
        kept.iter().filter(|is_kept| !**is_kept).count(),
        SERVICE_SIZE / 2
    );
    assert!(kept[SERVICE_SIZE / 2..].iter().all(|is_kept| *is_kept));
}

#[test]
fn a_quarter_of_a_service_that_leaves_at_once_is_removed() {
    let mut expiry = EntryExpiry::default();
    let now = Instant::now();

    let decisions = (0..6).map(|n| expiry.entry_removed(&format!("r{n}"), &service(), 24, now));

    assert!(
        decisions
            .into_iter()
            .all(|decision| decision == ExpiryDecision::Remove)
    );
}
