use std::time::Duration;

use crate::edge::stored_crashes::ages;
use crate::policy::crash_evidence::{Crash, Incarnation, StoredCrash};
use crate::policy::crash_time::CrashTime;

fn stored(known_unix_ms: u64) -> StoredCrash {
    StoredCrash {
        crash: Crash {
            upstream: Incarnation {
                id: "e-1".to_owned(),
                born_unix_ms: 1,
            },
            request: 1,
            parts: Vec::new(),
            was_writing: true,
            time: CrashTime::IMMEDIATE,
            version: known_unix_ms,
        },
        known_unix_ms,
    }
}

fn ages_ms(now_unix_ms: u64) -> Vec<u128> {
    let crashes = [1_000, 1_600, 2_400].map(stored);
    let ages = ages(&crashes, now_unix_ms);
    let in_ms = |(_, age): (&Crash, Duration)| age.as_millis();
    ages.into_iter().map(in_ms).collect()
}

/// Guards against crashes that all count as one event because the clock of the node that wrote
/// them was ahead.
#[test]
fn stored_crashes_keep_the_times_between_them_whatever_the_clock_says() {
    assert_eq!(ages_ms(3_000), [2_000, 1_400, 600]);
    assert_eq!(ages_ms(500), [1_400, 800, 0]);
}
