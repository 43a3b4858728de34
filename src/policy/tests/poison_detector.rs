use std::time::{Duration, Instant};

use crate::policy::poison_detector::PoisonDetector;

const REQUEST: u64 = 7;

fn record_crashes(detector: &mut PoisonDetector, request: u64, upstreams: &[&str]) {
    for upstream in upstreams {
        detector.record_crash(request, &(*upstream).to_owned(), Instant::now());
    }
}

#[test]
fn a_request_is_poison_at_the_third_crashed_upstream_and_each_counts_once() {
    let mut detector = PoisonDetector::default();

    record_crashes(&mut detector, REQUEST, &["a", "b", "b", "a"]);
    assert!(!detector.is_poison(REQUEST));

    record_crashes(&mut detector, REQUEST, &["c"]);
    assert!(detector.is_poison(REQUEST));
    assert!(!detector.is_poison(REQUEST + 1));
}

/// A harmless request is running when engines of several data centres crash, and
/// makes progress in between.
#[test]
fn a_request_that_made_progress_is_cleared() {
    let mut detector = PoisonDetector::default();

    record_crashes(&mut detector, REQUEST, &["a", "b"]);
    detector.record_progress(REQUEST);
    record_crashes(&mut detector, REQUEST, &["c", "d"]);

    assert!(!detector.is_poison(REQUEST));
}

#[test]
fn a_poison_request_is_not_cleared_by_progress_but_after_the_retention_time() {
    let mut detector = PoisonDetector::default();
    record_crashes(&mut detector, REQUEST, &["a", "b", "c"]);

    detector.record_progress(REQUEST);
    assert!(detector.is_poison(REQUEST));

    let later = Instant::now() + Duration::from_secs(600);
    detector.record_crash(REQUEST + 1, &"x".to_owned(), later);
    assert!(!detector.is_poison(REQUEST));
}
