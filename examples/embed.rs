//! A program that embeds parts of the library without running a node.
//!
//! It starts two members that know each other, spreads an announcement between
//! them, acquires a lease, which comes with a fence (a number that rises with
//! each new holder), and takes a claim, which lets a call be sent at most once.

use std::net::SocketAddr;
use std::time::Duration;

use zinniawing::{
    Announcement, ClaimOutcome, ClaimSettings, Lease, LinkFaults, LocalClaims, Member, Membership,
    MembershipEvent, MembershipSettings, MemoryStore, take_claim,
};

/// Settings of one of the two members.
fn settings(number: u16) -> MembershipSettings {
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 18_700 + number));
    MembershipSettings {
        me: Member {
            node: format!("part-{number}"),
            incarnation: 1,
            peer_address: address(number),
            caller_address: address(number),
            relay_port: 0,
            data_centre: "here".to_owned(),
            leaving: false,
            demand_count: 0,
        },
        seeds: vec![address(0)],
        interval: Duration::from_millis(100),
        faults: LinkFaults::default(),
    }
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let first = Membership::start(settings(0)).await?;
    let second = Membership::start(settings(1)).await?;
    let mut events = second.subscribe();
    while second.alive_count() < 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    first.announce(Announcement {
        topic: 100,
        key: "greeting".to_owned(),
        version: 1,
        ttl: Duration::from_secs(60),
        body: "hello".into(),
    });
    while let Ok(event) = events.recv().await {
        if let MembershipEvent::Announced(announcement) = event {
            println!("received announcement {}", announcement.key);
            break;
        }
    }

    let store = MemoryStore::default();
    let mut lease = Lease::new(
        store.clone(),
        "lease/work",
        "part-0",
        Duration::from_secs(5),
    );
    println!("fence {:?}", lease.acquire_or_renew().await);

    let claims = LocalClaims::start(
        &store,
        ClaimSettings {
            shard_count: 2,
            write_spacing: Duration::from_millis(1),
            retention: Duration::from_secs(3600),
        },
    );
    if let ClaimOutcome::Granted(claim) = take_claim(&claims, "pay-17", 1, "part-0@1").await
        && let Some(sent) = claim.begin_send()
    {
        sent.finish(&claims, 200, "paid".into()).await;
    }
    let again = take_claim(&claims, "pay-17", 1, "part-1@1").await;
    println!("second claim of the same key: {again:?}");
    Ok(())
}
