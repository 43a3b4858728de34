use std::time::{Duration, Instant};

use crate::policy::conviction::Convictions;

const REQUEST: u64 = 7;

fn crash(convictions: &mut Convictions, request: u64, upstreams: &[&str]) {
    for upstream in upstreams {
        convictions.crashed(request, &(*upstream).to_owned(), Instant::now());
    }
}

#[test]
fn the_third_crash_convicts_and_a_crash_known_twice_counts_once() {
    let mut convictions = Convictions::default();

    crash(&mut convictions, REQUEST, &["a", "b", "b", "a"]);
    assert!(!convictions.is_convicted(REQUEST));

    crash(&mut convictions, REQUEST, &["c"]);
    assert!(convictions.is_convicted(REQUEST));
    assert!(!convictions.is_convicted(REQUEST + 1));
}

/// Replays a sound request that is caught by the crashes of three data
/// centres, with events between them.
#[test]
fn a_request_that_made_progress_is_cleared() {
    let mut convictions = Convictions::default();

    crash(&mut convictions, REQUEST, &["a", "b"]);
    convictions.ran(REQUEST);
    crash(&mut convictions, REQUEST, &["c", "d"]);

    assert!(!convictions.is_convicted(REQUEST));
}

#[test]
fn a_conviction_lasts_and_is_forgotten_in_the_end() {
    let mut convictions = Convictions::default();
    crash(&mut convictions, REQUEST, &["a", "b", "c"]);

    convictions.ran(REQUEST);
    assert!(convictions.is_convicted(REQUEST));

    let later = Instant::now() + Duration::from_secs(600);
    convictions.crashed(REQUEST + 1, &"x".to_owned(), later);
    assert!(!convictions.is_convicted(REQUEST));
}
