//! Calls of a cut node at a peer whose process is paused and goes on.

use std::time::Duration;

use crate::scene::Scene;
use crate::support::edge_environment::first_tries::CONTACT_TIME;
use crate::support::edge_environment::proxy::Mode;

/// Longer than the deadline of the calls, so that the cut node answers before the peer
/// reads them.
const PAUSE: Duration = Duration::from_millis(2_000);

#[tokio::test]
async fn calls_at_a_peer_that_stands_still_run_once_and_not_after_a_refusal() {
    let scene = Scene::start(3).await;
    scene.slow_down_upstreams();
    let load = scene.start_load().await;
    scene.cut(&[0], Mode::Unreachable);
    tokio::time::sleep(CONTACT_TIME).await;

    for node in [1, 2] {
        scene.set_paused(node, true);
        tokio::time::sleep(PAUSE).await;
        scene.set_paused(node, false);
        tokio::time::sleep(PAUSE).await;
    }
    let tries = load.stop().await;

    scene.assert_run_at_most_once(&tries);
}

/// The call's first send lies in the queue of a link that was cut, while a peer has the
/// call.
#[tokio::test]
async fn calls_that_went_to_a_peer_run_once_when_their_first_send_arrives_late() {
    let scene = Scene::start(3).await;
    scene.slow_down_upstreams();
    let load = scene.start_load().await;

    for _ in 0..3 {
        scene.cut(&[0], Mode::Unreachable);
        tokio::time::sleep(CONTACT_TIME / 2).await;
        scene.heal(&[0]);
        tokio::time::sleep(CONTACT_TIME / 2).await;
    }
    let tries = load.stop().await;

    scene.assert_run_at_most_once(&tries);
}
