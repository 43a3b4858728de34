//! What the coordination parts ask of the platform's object API.
//!
//! Safety in this system rests on one thing only: a conditional write that
//! the platform accepted. See `docs/DESIGN.md`, "Truth and speed".

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::id::Version;

/// The version of an object that does not exist.
pub const ABSENT: Version = 0;

/// One object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version of the accepted write that made this content.
    pub version: Version,
    /// Content.
    pub body: Bytes,
}

/// Why the platform did not do what it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The object is not at the expected version; nothing was written.
    #[error("the object changed meanwhile")]
    Conflict,
    /// The request did not reach the platform, or the platform refused it.
    #[error("the platform is away")]
    Unavailable,
    /// The reply is missing: a write may have taken effect.
    #[error("the platform's reply is missing")]
    Unknown,
}

/// Objects with versions and conditional updates.
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
    /// Reads an object.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Writes an object if it is still at `expected`, and gives its new version.
    fn put(
        &self,
        key: &str,
        expected: Version,
        body: Bytes,
    ) -> impl Future<Output = Result<Version, StoreError>> + Send;
}

/// How long an object with a new key is written against lost replies.
const CREATE_PATIENCE: Duration = Duration::from_secs(2);
/// Pause before it is written again.
const CREATE_PAUSE: Duration = Duration::from_millis(20);

/// Writes an object whose key nobody else uses. A reply that is lost is
/// resolved by writing again: a conflict then means that the first took effect.
pub(crate) async fn create<S: ObjectStore>(
    store: &S,
    key: &str,
    body: Bytes,
) -> Result<(), StoreError> {
    let give_up_at = Instant::now() + CREATE_PATIENCE;
    loop {
        match store.put(key, ABSENT, body.clone()).await {
            Ok(_) | Err(StoreError::Conflict) => return Ok(()),
            Err(StoreError::Unavailable) => return Err(StoreError::Unavailable),
            Err(StoreError::Unknown) if Instant::now() >= give_up_at => {
                return Err(StoreError::Unknown);
            }
            Err(StoreError::Unknown) => tokio::time::sleep(CREATE_PAUSE).await,
        }
    }
}

/// An object store in memory, for tests and examples of embedding.
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
