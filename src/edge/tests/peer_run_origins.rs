//! Tests of the choice of the nodes that keep the origin of a run.

use std::collections::BTreeSet;

use prost::Message;

use crate::edge::peer_run_origins::{COPY_COUNT, keepers_among, to_record};
use crate::forward::run_origin::RunOrigin;
use crate::membership::members::Member;
use crate::membership::message::{PeerRequest, RequestBody, RunOriginRequest};

const KEY_COUNT: u64 = 200;

/// Nodes in three data centres.
fn nodes(count: u8) -> Vec<Member> {
    let member = |n: u8| Member {
        node: format!("edge-{n}"),
        incarnation: 1,
        peer_address: ([10, 0, n % 3, n], 7340).into(),
        caller_address: ([10, 0, n % 3, n], 8227).into(),
        relay_port: 0,
        data_centre: format!("dc-{}", n % 3),
        leaving: false,
        demand_count: 0,
    };
    (0..count).map(member).collect()
}

#[test]
fn the_origin_of_a_run_is_kept_in_three_data_centres() {
    let nodes = nodes(90);
    let nodes: Vec<&Member> = nodes.iter().collect();

    for key in 0..KEY_COUNT {
        let keepers = keepers_among(key, &nodes);
        let first = keepers.iter().take(COPY_COUNT);
        let data_centres: BTreeSet<String> =
            first.map(|a| a.ip().to_string()[..6].into()).collect();
        assert_eq!(data_centres.len(), COPY_COUNT);
    }
}

#[test]
fn a_node_finds_the_keepers_although_it_does_not_know_a_whole_data_centre() {
    let nodes = nodes(90);
    let all: Vec<&Member> = nodes.iter().collect();
    let others: Vec<&Member> = nodes.iter().filter(|m| m.data_centre != "dc-1").collect();

    for key in 0..KEY_COUNT {
        let keepers = keepers_among(key, &all);
        let asked = keepers_among(key, &others);
        let found = keepers[..COPY_COUNT].iter().filter(|k| asked.contains(k));
        assert_eq!(found.count(), COPY_COUNT - 1);
    }
}

#[test]
fn a_request_to_keep_an_origin_is_small() {
    let origin = RunOrigin {
        service: "zw-counsel".to_owned(),
        software_version: Some("v1.2".to_owned()),
        upstream: "i-69ccc789ee".to_owned(),
        born_unix_ms: 1_796_370_000_000,
    };
    let request = PeerRequest {
        id: 1_000,
        body: Some(RequestBody::RunOrigin(RunOriginRequest {
            key: u64::MAX,
            origin: Some(to_record(origin)),
            ..RunOriginRequest::default()
        })),
    };

    let length = request.encoded_len();

    assert!(length <= 64, "{length} bytes");
}
