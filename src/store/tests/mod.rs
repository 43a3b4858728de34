//! Tests of writes whose replies are lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;

use crate::id::Version;
use crate::store::object_store::{ABSENT, MemoryStore, Object, ObjectStore, StoreError, create};

/// A store that loses the first replies to writes, after the writes took
/// effect.
#[derive(Clone, Debug)]
struct LossyStore {
    objects: MemoryStore,
    replies_to_lose: Arc<AtomicU32>,
}

fn store_losing_replies(reply_count: u32) -> LossyStore {
    LossyStore {
        objects: MemoryStore::default(),
        replies_to_lose: Arc::new(AtomicU32::new(reply_count)),
    }
}

impl ObjectStore for LossyStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.objects.get(key).await
    }

    async fn put(&self, key: &str, expected: Version, body: Bytes) -> Result<Version, StoreError> {
        let written = self.objects.put(key, expected, body).await;
        let count_down = |left: u32| left.checked_sub(1);
        let lost_reply =
            self.replies_to_lose
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, count_down);
        match lost_reply {
            Ok(_) => Err(StoreError::Unknown),
            Err(_) => written,
        }
    }
}

/// Guards against giving up after a few attempts: when 30 % of the replies are
/// lost, one write in 400 loses five replies in a row, and a cluster writes
/// thousands of objects.
#[tokio::test]
async fn create_succeeds_after_several_lost_replies() {
    let store = store_losing_replies(8);

    let written = create(&store, "audit/1", "record".into()).await;

    assert_eq!(written, Ok(()));
    let object = store.get("audit/1").await.expect("the store answers");
    assert_eq!(object.expect("it is written").version, ABSENT + 1);
}

#[tokio::test]
async fn create_gives_up_when_no_reply_arrives() {
    let store = store_losing_replies(u32::MAX);

    let written = tokio::time::timeout(
        Duration::from_secs(10),
        create(&store, "audit/1", "record".into()),
    );

    assert_eq!(written.await, Ok(Err(StoreError::Unknown)));
}
