//! Which peer gets the calls of a node that reaches no upstream.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::edge::peer_relay::PeerRelay;
use crate::membership::members::Member;

const TTL: Duration = Duration::from_secs(30);

/// A node in data centre `a` with three peers: `p1` there, `p2` and `p3` elsewhere.
fn relay() -> PeerRelay {
    let member = |n: u8| Member {
        node: format!("p{n}"),
        incarnation: 1,
        peer_address: ([10, 0, 0, n], 7340).into(),
        caller_address: ([10, 0, 0, n], 8227).into(),
        relay_port: 7341,
        data_centre: if n == 1 { "a" } else { "b" }.to_owned(),
        leaving: false,
        demand_count: 0,
    };
    let relay = PeerRelay::new("a".to_owned());
    relay.set_nodes((1..=3).map(member).collect());
    relay
}

fn services(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn a_peer_that_does_not_reach_the_service_gets_no_calls_for_it() {
    let relay = relay();
    relay.record_cut("p1".to_owned(), services(&["pay"]), TTL);

    let for_pay = relay.choose("pay", &[]).map(|peer| peer.node);
    let for_llm = relay.choose("llm", &[]).map(|peer| peer.node);

    assert_ne!(for_pay.as_deref(), Some("p1"));
    assert_eq!(for_llm.as_deref(), Some("p1"));
}

#[test]
fn a_call_goes_nowhere_if_no_peer_reaches_its_service() {
    let relay = relay();
    for peer in ["p1", "p2", "p3"] {
        relay.record_cut(peer.to_owned(), services(&["pay"]), TTL);
    }

    assert!(relay.choose("pay", &[]).is_none());
}

#[test]
fn one_peer_does_not_get_all_calls_of_its_data_centre() {
    let relay = relay();
    let chosen = (0..30).map_while(|_| relay.choose("pay", &[]));

    let peers: Vec<_> = chosen.collect();

    for node in ["p1", "p2", "p3"] {
        let count = peers.iter().filter(|peer| peer.node == node).count();
        assert!((8..=12).contains(&count), "{node} has {count} of 30 calls");
    }
}
