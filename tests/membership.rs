//! Membership and announcements used on their own, as by a program that embeds
//! this crate.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use zinniawing::{
    Announcement, LinkFaults, Member, Membership, MembershipEvent, MembershipSettings,
};

const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const WAIT_MAX: Duration = Duration::from_secs(30);
const ANNOUNCEMENT_COUNT: usize = 300;
/// Interval that is longer than a scene, so that no probe helps a push.
const PROBE_INTERVAL_WITHOUT_HELP: Duration = Duration::from_secs(2);
/// Time within which a document that is pushed is known to all nodes.
const PUSH_TIME_MAX: Duration = Duration::from_secs(1);
const DOCUMENT: &str = "routing";
/// TTL of announcements that are of use for a moment only, such as those of losses.
const SHORT_TTL: Duration = Duration::from_secs(2);
/// Time after which no node holds such an announcement, wherever it came from.
const SHORT_LIFETIME_MAX: Duration = Duration::from_secs(3);

fn settings(last_octet: u8, number: u16, links: &LinkFaults) -> MembershipSettings {
    let process = std::process::id();
    let ip = [
        127,
        1 + (process / 250 % 250) as u8,
        (process % 250) as u8,
        last_octet,
    ];
    let address = |number: u16| SocketAddr::from((ip, 6500 + number));
    MembershipSettings {
        me: Member {
            node: format!("m{number}"),
            incarnation: 1,
            peer_address: address(number),
            caller_address: address(number),
            relay_port: 0,
            data_centre: format!("dc-{}", number % 2),
            leaving: false,
            demand_count: 0,
        },
        seeds: vec![address(0)],
        interval: PROBE_INTERVAL,
        faults: links.clone(),
    }
}

/// Last octet of a loopback address that no other test of this process uses.
fn unused_last_octet() -> u8 {
    static NEXT_LAST_OCTET: AtomicU8 = AtomicU8::new(200);
    NEXT_LAST_OCTET.fetch_add(1, Ordering::Relaxed)
}

fn announcement(number: usize) -> Announcement {
    Announcement {
        topic: 100,
        key: format!("key-{number}"),
        version: 1,
        ttl: Duration::from_secs(600),
        body: vec![b'x'; 250].into(),
    }
}

async fn start(count: u16, last_octet: u8, links: &LinkFaults) -> Vec<Membership> {
    let mut nodes = Vec::new();
    for number in 0..count {
        let started = Membership::start(settings(last_octet, number, links)).await;
        nodes.push(started.expect("the node starts"));
    }
    wait_for("all nodes to see each other", || {
        nodes
            .iter()
            .all(|node| node.alive_count() == usize::from(count))
    })
    .await;
    nodes
}

async fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_MAX;
    while !holds() {
        assert!(Instant::now() < deadline, "{what}: not within {WAIT_MAX:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_announcements_reaches_all_nodes_while_datagrams_are_lost() {
    let links = LinkFaults::default();
    let nodes = start(6, unused_last_octet(), &links).await;
    links.lose(300);

    for number in 0..ANNOUNCEMENT_COUNT {
        nodes[number % nodes.len()].announce(announcement(number));
    }

    wait_for("all announcements", || {
        nodes
            .iter()
            .all(|node| node.announcement_count() == ANNOUNCEMENT_COUNT)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_joins_late_receives_all_announcements() {
    let links = LinkFaults::default();
    let last_octet = unused_last_octet();
    let nodes = start(3, last_octet, &links).await;
    (0..ANNOUNCEMENT_COUNT).for_each(|number| nodes[0].announce(announcement(number)));
    wait_for("all announcements", || {
        nodes
            .iter()
            .all(|node| node.announcement_count() == ANNOUNCEMENT_COUNT)
    })
    .await;

    let late = Membership::start(settings(last_octet, 3, &links))
        .await
        .expect("the node starts");

    wait_for("the late node to receive all announcements", || {
        late.alive_count() == 4 && late.announcement_count() == ANNOUNCEMENT_COUNT
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_node_is_removed_and_is_alive_again_after_a_restart() {
    let links = LinkFaults::default();
    let last_octet = unused_last_octet();
    let mut nodes = start(4, last_octet, &links).await;

    // The address can be bound again once the stopped `Membership` is dropped.
    nodes.pop().expect("a node").stop();
    wait_for("the stopped node to be removed", || {
        nodes.iter().all(|node| node.alive_count() == 3)
    })
    .await;
    let mut restart_settings = settings(last_octet, 3, &links);
    restart_settings.me.incarnation = 2;
    let restarted = Membership::start(restart_settings)
        .await
        .expect("the node starts again");

    wait_for("the restarted node to be alive everywhere", || {
        restarted.alive_count() == 4 && nodes.iter().all(|node| node.alive_count() == 4)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_halves_of_a_partition_see_each_other_again_after_it() {
    let last_octet = unused_last_octet();
    let mut links = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..4 {
        let node_links = LinkFaults::default();
        let started = Membership::start(settings(last_octet, number, &node_links)).await;
        nodes.push(started.expect("the node starts"));
        links.push(node_links);
    }
    let all_see = |count: usize| nodes.iter().all(|node| node.alive_count() == count);
    wait_for("all nodes to see each other", || all_see(4)).await;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.me().peer_address).collect();

    for (number, node_links) in links.iter().enumerate() {
        let other_half = if number < 2 {
            &addresses[2..]
        } else {
            &addresses[..2]
        };
        node_links.cut(other_half.iter().copied());
    }
    wait_for("each half to remove the other", || all_see(2)).await;
    links.iter().for_each(|node_links| node_links.cut([]));

    wait_for("each half to see the other again", || all_see(4)).await;
}

/// Passes each newer version of the document on, as a node does that has fetched it.
async fn hold_what_peers_hold(node: Membership) {
    let mut events = node.subscribe();
    while let Ok(event) = events.recv().await {
        if let MembershipEvent::Document { name, version, .. } = event {
            node.hold_document(&name, version);
        }
    }
}

/// Waits until a peer has told the node of `version` of the document.
async fn wait_for_version(node: &Membership, version: u64) {
    let mut events = node.subscribe();
    let is_told =
        |event| matches!(event, MembershipEvent::Document { version: told, .. } if told >= version);
    while !is_told(events.recv().await.expect("the node runs")) {}
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_pushed_to_all_data_centres_and_does_not_wait_for_a_probe() {
    let (data_centre_count, count) = (5, 30);
    let (last_octet, links) = (unused_last_octet(), LinkFaults::default());
    let mut nodes = Vec::new();
    for number in 0..count {
        let mut settings = settings(last_octet, number, &links);
        settings.me.data_centre = format!("dc-{}", number % data_centre_count);
        settings.interval = PROBE_INTERVAL_WITHOUT_HELP;
        nodes.push(Membership::start(settings).await.expect("the node starts"));
    }
    wait_for("all nodes to see each other", || {
        let is_met = |node: &Membership| node.alive_count() == usize::from(count);
        nodes.iter().all(is_met)
    })
    .await;
    for node in &nodes {
        tokio::spawn(hold_what_peers_hold(node.clone()));
    }

    let told = nodes[1..].iter().map(|node| wait_for_version(node, 1));
    let told = told.map(|waiting| tokio::time::timeout(PUSH_TIME_MAX, waiting));
    let told = futures_util::future::join_all(told);
    let (told, ()) = tokio::join!(told, async {
        tokio::task::yield_now().await;
        nodes[0].hold_document(DOCUMENT, 1);
    });

    let missed = told
        .iter()
        .zip(&nodes[1..])
        .filter(|(told, _)| told.is_err());
    let missed: Vec<String> = missed.map(|(_, node)| node.me().data_centre).collect();
    assert!(
        missed.is_empty(),
        "not told in time, by data centre: {missed:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn announcements_whose_time_has_passed_are_not_passed_on_as_new() {
    let links = LinkFaults::default();
    let nodes = start(24, unused_last_octet(), &links).await;

    for number in 0..ANNOUNCEMENT_COUNT {
        nodes[number % nodes.len()].announce(Announcement {
            ttl: SHORT_TTL,
            ..announcement(number)
        });
    }
    tokio::time::sleep(SHORT_LIFETIME_MAX).await;

    let held = nodes.iter().map(Membership::announcement_count);
    let held: Vec<usize> = held.collect();
    assert!(held.iter().all(|count| *count == 0), "held: {held:?}");
}
