//! Documents on their way between nodes.

use bytes::Bytes;

use crate::configuration::config::{ConfigRecord, Confirmation};
use crate::configuration::document::DocumentStore;
use crate::membership::compression::decompress;
use crate::membership::message::DocumentVersion;
use crate::store::object_store::Object;

/// Room that a configuration of 350 routes may take on a link of 10 Mbit/s
/// that hands it to thirty nodes within a second.
const PACKED_MAX_BYTES: usize = 40_000;

fn large_config() -> Bytes {
    let route = |n: u32| {
        format!(
            "{{\"name\":\"r-{n:06x}\",\"host\":\"h{}.example\",\"prefix\":\"/p{:x}/\",\"timeout\":25000}}",
            n % 7,
            n.wrapping_mul(2_654_435_761)
        )
    };
    let routes: Vec<String> = (0..1_200).map(route).collect();
    routes.join(",").into()
}

#[test]
fn a_large_document_travels_packed_and_arrives_as_it_was() {
    let store = DocumentStore::default();
    let body = large_config();
    store.offer(
        "routing",
        Object {
            version: 7,
            body: body.clone(),
        },
    );
    let wanted = DocumentVersion {
        name: "routing".to_owned(),
        version: 3,
    };

    let reply = store.reply(&wanted);

    assert_eq!(reply.version, 7);
    assert!(reply.body.len() < PACKED_MAX_BYTES, "{}", reply.body.len());
    assert_eq!(decompress(&reply.body), Some(body));
}

#[test]
fn what_is_no_packed_document_is_refused() {
    assert_eq!(decompress(b"garbage"), None);
}

/// Replays an operator whose reply was lost and who looks again only after
/// another one has confirmed the next version.
#[test]
fn an_intent_is_told_its_own_version_and_not_a_later_one() {
    let confirmation = |intent: &str, base| Confirmation {
        intent_id: intent.to_owned(),
        operator: "o".to_owned(),
        at_unix_ms: 0,
        base,
    };
    let record = ConfigRecord {
        confirmations: vec![confirmation("first", 1), confirmation("second", 2)],
        ..ConfigRecord::default()
    };

    assert_eq!(record.confirmed_as("first", 3), Some(2));
    assert_eq!(record.confirmed_as("second", 3), Some(3));
    assert_eq!(record.confirmed_as("third", 3), None);
}
