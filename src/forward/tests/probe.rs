//! Tests of probing engines that fall silent one after the other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use tokio::net::TcpStream;

use crate::forward::directory::Directory;
use crate::forward::observation::Observations;
use crate::forward::probe::{LossReason, LossWatch, ProbeFailure, check_alive};
use crate::forward::upstream::{Upstream, UpstreamEntry};
use crate::observe::metrics::Metrics;
use crate::policy::liveness::{SOUND_SILENCE_MAX, StreamPhase, probe_delay};

/// A port on which nothing listens.
const CLOSED_PORT: u16 = 1;

fn unreachable_upstream(id: &str) -> Arc<Upstream> {
    upstream_at(id, ([127, 0, 0, 1], CLOSED_PORT).into())
}

fn upstream_at(id: &str, address: SocketAddr) -> Arc<Upstream> {
    Arc::new(Upstream::new(UpstreamEntry {
        id: id.to_owned(),
        born_unix_ms: 1,
        service: "llm".to_owned(),
        address,
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

/// A listener that accepts nothing. Its host completes handshakes until its queue is
/// full.
fn listener_that_stands_still() -> (Socket, SocketAddr) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    listener.bind(&any_port.into()).expect("a port");
    listener.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address.as_socket().expect("an IP address"))
}

#[tokio::test]
async fn an_engine_is_silent_if_its_host_completes_handshakes_and_unreachable_if_not() {
    let (_listener, address) = listener_that_stands_still();
    let standing_still = upstream_at("e1", address);

    let silent = check_alive(&standing_still).await;
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(address)).await
    {
        queued.push(stream);
    }
    let unreachable = check_alive(&upstream_at("e2", address)).await;
    let refused = check_alive(&unreachable_upstream("e3")).await;

    assert_eq!(silent, Err(ProbeFailure::Silent));
    assert_eq!(unreachable, Err(ProbeFailure::Unreachable));
    assert_eq!(refused, Err(ProbeFailure::Broken));
}

/// It is probed once, so nothing else keeps new calls away from it.
#[test]
fn a_silent_engine_is_avoided_until_it_is_heard_or_may_be_probed_again() {
    let engine = unreachable_upstream("e1");
    let now = Instant::now();

    engine.mark_silent(now);
    let before_next_probe = now + SOUND_SILENCE_MAX - Duration::from_millis(1);
    let is_avoided = engine.avoided_until(before_next_probe).is_some();
    engine.record_contact(now);
    let is_avoided_when_heard = engine.avoided_until(now).is_some();

    assert!(is_avoided);
    assert!(!is_avoided_when_heard);
}
