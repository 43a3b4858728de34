//! Writes whose replies are lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;

use crate::id::Version;
use crate::store::object_store::{ABSENT, MemoryStore, Object, ObjectStore, StoreError, create};

/// A store whose first replies to writes are lost after they took effect.
#[derive(Clone, Debug)]
struct LossyStore {
    objects: MemoryStore,
    losses_left: Arc<AtomicU32>,
}

fn store_that_loses(reply_count: u32) -> LossyStore {
    LossyStore {
        objects: MemoryStore::default(),
        losses_left: Arc::new(AtomicU32::new(reply_count)),
    }
}

impl ObjectStore for LossyStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.objects.get(key).await
    }

    async fn put(&self, key: &str, expected: Version, body: Bytes) -> Result<Version, StoreError> {
        let written = self.objects.put(key, expected, body).await;
        let spend = |left: u32| left.checked_sub(1);
        let lost = self
            .losses_left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend);
        match lost {
            Ok(_) => Err(StoreError::Unknown),
            Err(_) => written,
        }
    }
}

/// Of a store that loses three replies in ten, one write in 400 loses five in
/// a row, and a fleet writes thousands.
#[tokio::test]
async fn a_write_outlives_a_row_of_lost_replies() {
    let store = store_that_loses(8);

    let written = create(&store, "audit/1", "record".into()).await;

    assert_eq!(written, Ok(()));
    let object = store.get("audit/1").await.expect("the store answers");
    assert_eq!(object.expect("it is written").version, ABSENT + 1);
}

#[tokio::test]
async fn a_write_to_a_store_that_never_replies_ends() {
    let store = store_that_loses(u32::MAX);

    let written = tokio::time::timeout(
        Duration::from_secs(10),
        create(&store, "audit/1", "record".into()),
    );

    assert_eq!(written.await, Ok(Err(StoreError::Unknown)));
}
