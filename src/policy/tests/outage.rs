use std::time::{Duration, Instant};

use crate::policy::outage::OutageDetector;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record_loss(detector: &mut OutageDetector, upstream: &str, at: Instant) -> bool {
    detector.record_loss(&"a".to_owned(), &upstream.to_owned(), at)
}

#[test]
fn a_single_loss_is_no_outage() {
    let mut detector = OutageDetector::default();
    let now = Instant::now();

    assert!(record_loss(&mut detector, "r1", now));
    assert!(
        !record_loss(&mut detector, "r1", now),
        "the same loss is not new twice"
    );

    assert!(!detector.is_outage_suspected("a", now));
}

/// A data centre is down for 1.2 s, and this node knows that two of its engines
/// are lost.
#[test]
fn correlated_losses_raise_a_suspicion_that_ends_when_engines_are_back() {
    let mut detector = OutageDetector::default();
    let start = Instant::now();

    record_loss(&mut detector, "r1", start);
    record_loss(&mut detector, "r2", start + ms(40));

    assert!(detector.is_outage_suspected("a", start + ms(50)));
    assert!(!detector.is_outage_suspected("b", start + ms(50)));
    assert!(!detector.is_outage_suspected("a", start + ms(1_200)));
}

#[test]
fn losses_outside_the_correlation_window_are_no_outage() {
    let mut detector = OutageDetector::default();
    let start = Instant::now();

    record_loss(&mut detector, "r1", start);
    record_loss(&mut detector, "r2", start + ms(800));

    assert!(!detector.is_outage_suspected("a", start + ms(810)));
}

#[test]
fn only_the_data_centres_of_correlated_losses_are_suspected() {
    let mut detector = OutageDetector::default();
    let now = Instant::now();

    record_loss(&mut detector, "r1", now);
    record_loss(&mut detector, "r2", now);
    detector.record_loss(&"b".to_owned(), &"r3".to_owned(), now);

    let suspected: Vec<_> = detector.suspected(now).into_iter().collect();
    assert_eq!(suspected, ["a"]);
}
