use std::time::{Duration, Instant};

use crate::policy::freshness::Freshness;
use crate::policy::lapse::{Lapses, Verdict};

const SIZE: usize = 8;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> String {
    "llm".to_owned()
}

fn is_held(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::MayReturn(_))
}

#[test]
fn one_entry_that_vanishes_while_the_store_is_there_has_left() {
    let mut lapses = Lapses::default();
    let start = Instant::now();
    lapses.store_answers(true, start);

    let verdict = lapses.gone(&"a".to_owned(), &service(), SIZE, start + ms(500));

    assert_eq!(verdict, Verdict::Left);
}

#[test]
fn all_entries_that_lapse_in_an_outage_are_held_until_live_ones_are_back() {
    let mut lapses = Lapses::default();
    let start = Instant::now();
    lapses.store_answers(false, start);
    lapses.store_answers(true, start + ms(4_000));
    let back = start + ms(4_100);

    let names: Vec<String> = (0..SIZE).map(|n| format!("r{n}")).collect();
    let held = names
        .iter()
        .all(|n| is_held(lapses.gone(n, &service(), SIZE, back)));
    for name in &names[1..] {
        lapses.returned(name);
    }

    assert!(held);
    assert!(lapses.expired(back + ms(1_500)).is_empty());
    assert_eq!(lapses.expired(start + ms(6_300)), vec!["r0".to_owned()]);
}

#[test]
fn held_entries_do_not_expire_while_the_store_is_away_again() {
    let mut lapses = Lapses::default();
    let start = Instant::now();
    lapses.store_answers(false, start);
    lapses.store_answers(true, start + ms(1_000));
    lapses.gone(&"a".to_owned(), &service(), SIZE, start + ms(1_100));

    lapses.store_answers(false, start + ms(2_000));

    assert!(lapses.expired(start + ms(9_000)).is_empty());
}

#[test]
fn most_entries_at_once_are_held_even_when_no_outage_was_noticed() {
    let mut lapses = Lapses::default();
    let now = Instant::now();

    let verdicts: Vec<bool> = (0..SIZE)
        .map(|n| is_held(lapses.gone(&format!("r{n}"), &service(), SIZE, now)))
        .collect();

    assert_eq!(verdicts.iter().filter(|held| !**held).count(), SIZE / 2);
    assert!(verdicts[SIZE / 2..].iter().all(|held| *held));
}

#[test]
fn a_quarter_that_leaves_at_once_has_left() {
    let mut lapses = Lapses::default();
    let now = Instant::now();

    let verdicts = (0..6).map(|n| lapses.gone(&format!("r{n}"), &service(), 24, now));

    assert!(verdicts.into_iter().all(|verdict| verdict == Verdict::Left));
}

#[test]
fn a_configuration_is_fresh_only_on_the_store_s_recent_word() {
    let mut freshness = Freshness::default();
    let start = Instant::now();
    assert!(!freshness.is_fresh(start), "nothing was heard yet");

    freshness.store_answers(true, start);
    assert!(freshness.is_fresh(start + ms(4_000)));
    assert!(!freshness.is_fresh(start + ms(7_000)), "the word is old");

    freshness.store_answers(false, start + ms(4_000));
    assert!(!freshness.is_fresh(start + ms(4_001)), "the store is away");
}
