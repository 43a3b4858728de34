//! What nodes that lose their upstreams tell the others.

use std::time::Duration;

use crate::scene::Scene;
use crate::support::edge_environment::STREAM_PATH;
use crate::support::edge_environment::proxy::Mode;

const CUT_NODES: [usize; 3] = [0, 1, 2];
const OTHER_NODE: usize = 3;
/// Calls of the same request at each node that is cut.
const CALLS_PER_NODE: usize = 4;
/// A stream that is still being written when the links are reset.
const LONG_STREAM: &str = "x-zinniawing-deadline-ms: 3000\r\nx-zinniawing-token-usage: 800,30\r\n";
/// Time after which the calls are being answered, and after which what the nodes found
/// out has reached all.
const SPREAD_TIME: Duration = Duration::from_millis(400);

#[tokio::test]
async fn a_request_is_not_refused_as_poison_after_the_links_of_its_nodes_were_reset() {
    let scene = Scene::start(4).await;
    scene.slow_down_upstreams();
    let mut calls = Vec::new();
    for node in CUT_NODES.into_iter().cycle().take(3 * CALLS_PER_NODE) {
        let caller = scene.callers[node].clone();
        let call = async move { caller.call("POST", STREAM_PATH, LONG_STREAM).await };
        calls.push(tokio::spawn(call));
    }
    tokio::time::sleep(SPREAD_TIME).await;

    scene.cut(&CUT_NODES, Mode::Reset);
    tokio::time::sleep(SPREAD_TIME).await;
    let caller = &scene.callers[OTHER_NODE];
    let response = caller.call("POST", STREAM_PATH, LONG_STREAM).await;

    assert_eq!(response.status, 200, "{response:?}");
}
