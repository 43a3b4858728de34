//! Membership and announcements used on their own, as by a program that embeds
//! this crate.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use zinniawing::{Announcement, LinkFaults, Member, Membership, MembershipSettings};

const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const WAIT_MAX: Duration = Duration::from_secs(30);
const ANNOUNCEMENT_COUNT: usize = 300;

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
