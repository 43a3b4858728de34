//! Membership and announcements on their own, as an embedder uses them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use zinniawing::{Announcement, LinkFaults, Member, Membership, MembershipSettings};

const INTERVAL: Duration = Duration::from_millis(100);
const PATIENCE: Duration = Duration::from_secs(30);
const ANNOUNCEMENTS: usize = 300;

fn settings(block: u8, number: u16, links: &LinkFaults) -> MembershipSettings {
    let process = std::process::id();
    let ip = [
        127,
        1 + (process / 250 % 250) as u8,
        (process % 250) as u8,
        block,
    ];
    let address = |number: u16| SocketAddr::from((ip, 6500 + number));
    MembershipSettings {
        me: Member {
            node: format!("m{number}"),
            incarnation: 1,
            peer_address: address(number),
            caller_address: address(number),
            data_centre: format!("dc-{}", number % 2),
            leaving: false,
            demand_count: 0,
        },
        seeds: vec![address(0)],
        interval: INTERVAL,
        faults: links.clone(),
    }
}

fn fresh_block() -> u8 {
    static BLOCKS: AtomicU8 = AtomicU8::new(200);
    BLOCKS.fetch_add(1, Ordering::Relaxed)
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

async fn start(count: u16, block: u8, links: &LinkFaults) -> Vec<Membership> {
    let mut nodes = Vec::new();
    for number in 0..count {
        let started = Membership::start(settings(block, number, links)).await;
        nodes.push(started.expect("it starts"));
    }
    wait_for("all to meet", || {
        nodes
            .iter()
            .all(|node| node.alive_count() == usize::from(count))
    })
    .await;
    nodes
}

async fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let give_up_at = Instant::now() + PATIENCE;
    while !holds() {
        assert!(
            Instant::now() < give_up_at,
            "{what}: not within {PATIENCE:?}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_announcements_reaches_all_while_datagrams_are_lost() {
    let links = LinkFaults::default();
    let nodes = start(6, fresh_block(), &links).await;
    links.lose(300);

    for number in 0..ANNOUNCEMENTS {
        nodes[number % nodes.len()].announce(announcement(number));
    }

    wait_for("all announcements", || {
        nodes
            .iter()
            .all(|node| node.announcement_count() == ANNOUNCEMENTS)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_joins_late_learns_everything() {
    let links = LinkFaults::default();
    let block = fresh_block();
    let nodes = start(3, block, &links).await;
    (0..ANNOUNCEMENTS).for_each(|number| nodes[0].announce(announcement(number)));
    wait_for("all announcements", || {
        nodes
            .iter()
            .all(|node| node.announcement_count() == ANNOUNCEMENTS)
    })
    .await;

    let late = Membership::start(settings(block, 3, &links))
        .await
        .expect("it starts");

    wait_for("the late node to learn", || {
        late.alive_count() == 4 && late.announcement_count() == ANNOUNCEMENTS
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_node_is_given_up_and_found_again() {
    let links = LinkFaults::default();
    let block = fresh_block();
    let mut nodes = start(4, block, &links).await;

    // The address is free once nothing holds the stopped membership.
    nodes.pop().expect("a node").stop();
    wait_for("the loss to be seen", || {
        nodes.iter().all(|node| node.alive_count() == 3)
    })
    .await;
    let mut again = settings(block, 3, &links);
    again.me.incarnation = 2;
    let revived = Membership::start(again).await.expect("it starts again");

    wait_for("it to be found again", || {
        revived.alive_count() == 4 && nodes.iter().all(|node| node.alive_count() == 4)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn halves_that_were_cut_apart_find_each_other_again() {
    let block = fresh_block();
    let mut links = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..4 {
        let own = LinkFaults::default();
        let started = Membership::start(settings(block, number, &own)).await;
        nodes.push(started.expect("it starts"));
        links.push(own);
    }
    let sees = |count: usize| nodes.iter().all(|node| node.alive_count() == count);
    wait_for("all to meet", || sees(4)).await;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.me().peer_address).collect();

    for (number, own) in links.iter().enumerate() {
        let other_half = if number < 2 {
            &addresses[2..]
        } else {
            &addresses[..2]
        };
        own.cut(other_half.iter().copied());
    }
    wait_for("the halves to part", || sees(2)).await;
    links.iter().for_each(|own| own.cut([]));

    wait_for("the halves to meet", || sees(4)).await;
}
