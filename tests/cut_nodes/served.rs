//! First tries at nodes that are cut.

use std::time::{Duration, Instant};

use crate::scene::{CUT_TIME, Scene, assert_others_served, assert_served_alike};
use crate::support::edge_environment::first_tries::CONTACT_TIME;
use crate::support::edge_environment::proxy::Mode;

/// One node of each data centre.
const SOME: [usize; 2] = [0, 1];
/// All nodes of one data centre.
const DATA_CENTRE: [usize; 2] = [0, 2];
const MOST: [usize; 3] = [1, 2, 3];

#[tokio::test]
async fn callers_of_nodes_whose_upstream_links_are_silent_are_served() {
    let scene = Scene::start(4).await;

    let tries = scene.tries_in_cut(&SOME, Mode::Unreachable).await;

    assert_served_alike(&tries, &SOME);
}

#[tokio::test]
async fn callers_of_nodes_whose_upstream_links_are_reset_are_served() {
    let scene = Scene::start(4).await;

    let tries = scene.tries_in_cut(&SOME, Mode::Reset).await;

    assert_served_alike(&tries, &SOME);
}

/// Calls whose connections were reset by the cut are no evidence that they crash
/// upstreams.
#[tokio::test]
async fn callers_of_other_nodes_are_served_while_upstream_links_of_some_are_reset() {
    let scene = Scene::start(4).await;
    scene.slow_down_upstreams();

    let tries = scene.tries_in_cut(&SOME, Mode::Reset).await;

    assert_others_served(&tries, &SOME);
}

#[tokio::test]
async fn callers_of_nodes_that_can_open_no_upstream_connection_are_served() {
    let scene = Scene::start(4).await;

    let tries = scene.tries_in_cut(&SOME, Mode::RefuseNew).await;

    assert_served_alike(&tries, &SOME);
}

#[tokio::test]
async fn callers_of_a_data_centre_whose_nodes_reach_no_upstream_are_served() {
    let scene = Scene::start(4).await;

    let tries = scene.tries_in_cut(&DATA_CENTRE, Mode::Unreachable).await;

    assert_served_alike(&tries, &DATA_CENTRE);
}

#[tokio::test]
async fn callers_are_served_when_most_nodes_reach_no_upstream() {
    let scene = Scene::start(4).await;

    let tries = scene.tries_in_cut(&MOST, Mode::Unreachable).await;

    assert_served_alike(&tries, &MOST);
}

#[tokio::test]
async fn callers_of_nodes_whose_upstream_links_flap_are_served() {
    let scene = Scene::start(4).await;
    let load = scene.start_load().await;

    let began_at = Instant::now();
    while began_at.elapsed() < CUT_TIME + CONTACT_TIME {
        scene.cut(&SOME, Mode::Unreachable);
        tokio::time::sleep(Duration::from_secs(1)).await;
        scene.heal(&SOME);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let mut tries = load.stop().await;

    scene.assert_run_at_most_once(&tries);
    tries.retain(|t| t.began_at > began_at + CONTACT_TIME);
    assert_served_alike(&tries, &SOME);
}
