//! Engines that fall silent one after the other.

use std::sync::Arc;
use std::time::Instant;

use crate::forward::directory::Directory;
use crate::forward::probe::{Loss, LossWatch};
use crate::forward::sighting::Sightings;
use crate::forward::upstream::{Upstream, UpstreamEntry};
use crate::observe::metrics::Metrics;
use crate::policy::silence::{Phase, pause_before_probe};

/// Where nothing listens.
const CLOSED_PORT: u16 = 1;

fn silent_upstream(id: &str) -> Arc<Upstream> {
    Arc::new(Upstream::new(UpstreamEntry {
        id: id.to_owned(),
        born_unix_ms: 1,
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], CLOSED_PORT).into(),
        data_centre: "a".to_owned(),
        slot_count: 4,
        draining: false,
    }))
}

fn lose(directory: &Directory, ids: &[&str]) {
    for id in ids {
        directory.heard_of_loss(&"a".to_owned(), &(*id).to_owned(), Instant::now());
    }
}

/// The alarm is raised while an event is being passed on, just before the
/// engine that sent it dies as well.
#[tokio::test]
async fn an_alarm_between_two_events_has_a_silent_engine_asked_early() {
    let directory = Directory::new(Sightings::default());
    let mut watch = LossWatch::new(&directory, silent_upstream("e3"));

    lose(&directory, &["e1", "e2"]);
    let since = Instant::now();
    let metrics = Metrics::default();
    let loss = watch.wait(&directory, Phase::Running, &metrics).await;

    assert_eq!(loss, Loss::Upstream);
    let unalarmed = pause_before_probe(Phase::Running, false);
    assert!(since.elapsed() < unalarmed, "{:?}", since.elapsed());
}

#[tokio::test]
async fn without_an_alarm_a_silent_engine_is_asked_after_its_pause() {
    let directory = Directory::new(Sightings::default());
    let mut watch = LossWatch::new(&directory, silent_upstream("e3"));

    lose(&directory, &["e1"]);
    let since = Instant::now();
    let metrics = Metrics::default();
    let loss = watch.wait(&directory, Phase::Running, &metrics).await;

    assert_eq!(loss, Loss::Upstream);
    let unalarmed = pause_before_probe(Phase::Running, false);
    assert!(since.elapsed() >= unalarmed, "{:?}", since.elapsed());
}
