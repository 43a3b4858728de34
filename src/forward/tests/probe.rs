//! Tests of probing engines that fall silent one after the other.

use std::sync::Arc;
use std::time::Instant;

use crate::forward::directory::Directory;
use crate::forward::observation::Observations;
use crate::forward::probe::{LossReason, LossWatch};
use crate::forward::upstream::{Upstream, UpstreamEntry};
use crate::observe::metrics::Metrics;
use crate::policy::liveness::{StreamPhase, probe_delay};

/// A port on which nothing listens.
const CLOSED_PORT: u16 = 1;

fn unreachable_upstream(id: &str) -> Arc<Upstream> {
    Arc::new(Upstream::new(UpstreamEntry {
        id: id.to_owned(),
        born_unix_ms: 1,
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], CLOSED_PORT).into(),
        data_centre: "a".to_owned(),
        software_version: Some("v1".to_owned()),
        slot_count: 4,
        draining: false,
    }))
}

fn record_losses(directory: &Directory, ids: &[&str]) {
    for id in ids {
        directory.record_loss(&"a".to_owned(), &(*id).to_owned(), Instant::now());
    }
}

/// An outage is reported while an event is being relayed, just before the engine
/// that sent the event dies as well. The report must not be missed.
#[tokio::test]
async fn an_outage_reported_between_two_events_shortens_the_probe_delay() {
    let directory = Directory::new(Observations::default());
    let mut watch = LossWatch::new(&directory, unreachable_upstream("e3"));

    record_losses(&directory, &["e1", "e2"]);
    let since = Instant::now();
    let metrics = Metrics::default();
    let loss = watch
        .wait_for_loss(&directory, StreamPhase::Decode, &metrics)
        .await;

    assert_eq!(loss, LossReason::UpstreamLost);
    let usual_delay = probe_delay(StreamPhase::Decode, false);
    assert!(since.elapsed() < usual_delay, "{:?}", since.elapsed());
}

#[tokio::test]
async fn without_an_outage_a_silent_engine_is_probed_after_the_usual_delay() {
    let directory = Directory::new(Observations::default());
    let mut watch = LossWatch::new(&directory, unreachable_upstream("e3"));

    record_losses(&directory, &["e1"]);
    let since = Instant::now();
    let metrics = Metrics::default();
    let loss = watch
        .wait_for_loss(&directory, StreamPhase::Decode, &metrics)
        .await;

    assert_eq!(loss, LossReason::UpstreamLost);
    let usual_delay = probe_delay(StreamPhase::Decode, false);
    assert!(since.elapsed() >= usual_delay, "{:?}", since.elapsed());
}
