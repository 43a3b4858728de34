//! Compression of documents for peers, and the versions of confirmed intents.

use bytes::Bytes;

use crate::configuration::config::{ConfigRecord, Confirmation};
use crate::configuration::document::DocumentStore;
use crate::membership::compression::decompress;
use crate::membership::message::DocumentVersion;
use crate::store::object_store::Object;
use crate::store::revision::Revision;

/// Maximum compressed size of a configuration of 350 routes, so that a node with
/// a link of 10 Mbit/s can send it to thirty peers within a second. The document
/// in the test has 1,200 routes and must still be smaller.
const COMPRESSED_MAX_BYTES: usize = 40_000;

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
fn a_large_document_is_compressed_for_peers_and_decompresses_unchanged() {
    let store = DocumentStore::default();
    let body = large_config();
    store.offer(
        "routing",
        Object {
            version: 7,
            body: body.clone(),
        },
    );
    let peer_held = DocumentVersion::new("routing".to_owned(), Revision::without_era(3));

    let reply = store.reply(&peer_held);

    assert_eq!(reply.version, 7);
    assert!(
        reply.body.len() < COMPRESSED_MAX_BYTES,
        "{}",
        reply.body.len()
    );
    assert_eq!(decompress(&reply.body), Some(body));
}

#[test]
fn decompressing_garbage_fails() {
    assert_eq!(decompress(b"garbage"), None);
}

/// The reply to a confirmation may be lost, and the confirmation looked up only
/// after another intent was confirmed. The result must be the version that the
/// operator's own intent became, not the newer one.
#[test]
fn a_confirmed_intent_keeps_its_own_version_after_later_confirmations() {
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

    assert_eq!(record.confirmed_version("first", 3), Some(2));
    assert_eq!(record.confirmed_version("second", 3), Some(3));
    assert_eq!(record.confirmed_version("third", 3), None);
}
