//! Interface of an object store with versions and conditional writes.
//!
//! A conditional write succeeds only if the object is at the version that the
//! writer expects. The safety of this system depends only on conditional writes
//! that the platform accepted. See `docs/DESIGN.md`, "Truth and speed".

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::id::Version;

/// The version of an object that does not exist.
pub const ABSENT: Version = 0;

/// One object and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version that the write of this content gave the object.
    pub version: Version,
    /// Content of the object at this version.
    pub body: Bytes,
}

/// Why a request to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The object is not at the expected version; nothing was written.
    #[error("object is not at the expected version; nothing was written")]
    Conflict,
    /// The request did not reach the store, or the store refused it.
    #[error("object store is unavailable; nothing was written")]
    Unavailable,
    /// The reply was lost; a write may have taken effect.
    #[error("object store did not reply; the write may have taken effect")]
    Unknown,
}

/// A store of objects with versions and conditional writes.
///
/// ```
/// use zinniawing::{ABSENT, MemoryStore, ObjectStore, StoreError};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let store = MemoryStore::default();
/// let version = store.put("key", ABSENT, "first".into()).await.unwrap();
/// assert_eq!(store.put("key", ABSENT, "second".into()).await, Err(StoreError::Conflict));
/// assert_eq!(store.get("key").await.unwrap().unwrap().version, version);
/// # });
/// ```
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads the object at `key`; `None` if there is none.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Writes the object at `key` if it is at version `expected` ([`ABSENT`] to
    /// create it), and returns its new version.
    fn put(
        &self,
        key: &str,
        expected: Version,
        body: Bytes,
    ) -> impl Future<Output = Result<Version, StoreError>> + Send;
}

/// Time after which [`create`] stops writing again after a lost reply.
const CREATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before [`create`] retries after a lost reply.
const CREATE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Writes a new object under a key that no other writer uses. After a lost reply
/// it writes again; a conflict then means that an earlier write took effect.
pub(crate) async fn create<S: ObjectStore>(
    store: &S,
    key: &str,
    body: Bytes,
) -> Result<(), StoreError> {
    let deadline = Instant::now() + CREATE_TIMEOUT;
    loop {
        match store.put(key, ABSENT, body.clone()).await {
            Ok(_) | Err(StoreError::Conflict) => return Ok(()),
            Err(StoreError::Unavailable) => return Err(StoreError::Unavailable),
            Err(StoreError::Unknown) if Instant::now() >= deadline => {
                return Err(StoreError::Unknown);
            }
            Err(StoreError::Unknown) => tokio::time::sleep(CREATE_RETRY_DELAY).await,
        }
    }
}

/// An object store in memory, for tests and examples.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    objects: Arc<Mutex<BTreeMap<String, Object>>>,
}

impl ObjectStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let objects = self.objects.lock().map_err(|_| StoreError::Unavailable)?;
        Ok(objects.get(key).cloned())
    }

    async fn put(&self, key: &str, expected: Version, body: Bytes) -> Result<Version, StoreError> {
        let mut objects = self.objects.lock().map_err(|_| StoreError::Unavailable)?;
        let current = objects.get(key).map_or(ABSENT, |object| object.version);
        if current != expected {
            return Err(StoreError::Conflict);
        }
        let version = current + 1;
        objects.insert(key.to_owned(), Object { version, body });
        Ok(version)
    }
}
