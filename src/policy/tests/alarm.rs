use std::time::{Duration, Instant};

use crate::policy::alarm::Alarms;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn lose(alarms: &mut Alarms, upstream: &str, at: Instant) -> bool {
    alarms.lost(&"a".to_owned(), &upstream.to_owned(), at)
}

#[test]
fn one_engine_s_loss_is_not_its_data_centre_s() {
    let mut alarms = Alarms::default();
    let now = Instant::now();

    assert!(lose(&mut alarms, "r1", now));
    assert!(!lose(&mut alarms, "r1", now), "it is no news twice");

    assert!(!alarms.is_alarmed("a", now));
}

/// Replays a data centre that is dark for 1.2 s, of which this node sees two
/// engines and hears of the others.
#[test]
fn losses_that_come_together_alarm_for_as_long_as_engines_need_to_come_back() {
    let mut alarms = Alarms::default();
    let start = Instant::now();

    lose(&mut alarms, "r1", start);
    lose(&mut alarms, "r2", start + ms(40));

    assert!(alarms.is_alarmed("a", start + ms(50)));
    assert!(!alarms.is_alarmed("b", start + ms(50)));
    assert!(!alarms.is_alarmed("a", start + ms(1_200)));
}

#[test]
fn single_losses_seconds_apart_alarm_nobody() {
    let mut alarms = Alarms::default();
    let start = Instant::now();

    lose(&mut alarms, "r1", start);
    lose(&mut alarms, "r2", start + ms(800));

    assert!(!alarms.is_alarmed("a", start + ms(810)));
}
