//! Tests of rests of upstreams whose entries disappear and return.

use std::time::{Duration, Instant};

use crate::forward::directory::Directory;
use crate::forward::observation::Observations;
use crate::forward::upstream::UpstreamEntry;

const REST: Duration = Duration::from_secs(60);

fn entry(born_unix_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: "u1".to_owned(),
        born_unix_ms,
        service: "pay".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".to_owned(),
        software_version: None,
        slot_count: 4,
        draining: false,
    }
}

fn is_resting(directory: &Directory) -> bool {
    let upstream = directory.get(&"u1".to_owned()).expect("known");
    upstream.is_resting()
}

#[test]
fn a_rest_outlives_the_entry_but_not_the_incarnation() {
    let directory = Directory::new(Observations::default());
    directory.put(entry(1));
    let earlier = directory.get(&"u1".to_owned()).expect("known");
    directory.remove_misdirected(&earlier, None, Instant::now());
    directory.put(entry(1));
    assert!(!is_resting(&directory));

    // The answer to a call that was under way when the entry disappeared.
    earlier.record_rest(REST);

    assert!(is_resting(&directory), "the same incarnation returned");
    directory.put(entry(2));
    assert!(!is_resting(&directory), "a new incarnation");
}
