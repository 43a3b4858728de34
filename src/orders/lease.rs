//! A lease in an object store: the right of one process at a time to act for all,
//! until it expires. Its fence is a number that rises with each new holder and is
//! sent with each action.
//!
//! A process considers another's lease expired once it has seen the lease object
//! at the same version for the duration of the lease; clocks of two machines are
//! never compared. A holder that was paused may still believe that it holds the
//! lease, but its actions then carry an old fence, by which they can be refused.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::{Fence, Version};
use crate::store::object_store::{ABSENT, ObjectStore, StoreError};

#[derive(Clone, Debug, Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    fence: Fence,
    /// Number of the write that stored this record, counted by the holder. After
    /// a lost reply, the holder recognises its own write by this number.
    renewal: u64,
}

/// A lease, as seen by one process that wants to hold it.
///
/// ```
/// use std::time::Duration;
/// use zinniawing::{Lease, MemoryStore};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let store = MemoryStore::default();
/// let mut first = Lease::new(store.clone(), "lease/x", "first", Duration::from_millis(20));
/// let mut second = Lease::new(store, "lease/x", "second", Duration::from_millis(20));
/// assert_eq!(first.acquire_or_renew().await, Some(1));
/// assert_eq!(second.acquire_or_renew().await, None);
/// tokio::time::sleep(Duration::from_millis(30)).await;
/// assert_eq!(second.acquire_or_renew().await, Some(2));
/// assert_eq!(first.acquire_or_renew().await, None);
/// # });
/// ```
#[derive(Debug)]
pub struct Lease<S> {
    store: S,
    key: String,
    /// Name under which this process holds the lease.
    own_name: String,
    duration: Duration,
    /// Version of the lease object that was last read while this process did not
    /// hold the lease, and when that version was first seen.
    observed: Option<(Version, Instant)>,
    held: Option<HeldLease>,
    /// Number of the last write of this process, as in [`LeaseRecord`].
    renewal: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: Fence,
    version: Version,
    expires_at: Instant,
}

impl<S: ObjectStore> Lease<S> {
    /// Makes a handle of the lease stored at `key`, without acquiring it. No
    /// other process may ever use `own_name`, nor may an earlier process of the
    /// same node have used it.
    pub fn new(store: S, key: &str, own_name: &str, duration: Duration) -> Self {
        Self {
            store,
            key: key.to_owned(),
            own_name: own_name.to_owned(),
            duration,
            observed: None,
            held: None,
            renewal: 0,
        }
    }

    /// The fence under which this process may act now; `None` if it does not hold
    /// the lease.
    pub fn fence(&self) -> Option<Fence> {
        let held = self.held?;
        (Instant::now() < held.expires_at).then_some(held.fence)
    }

    /// Renews the lease if this process holds it, or acquires it if it is free or
    /// has expired. Returns the fence if this process then holds the lease.
    pub async fn acquire_or_renew(&mut self) -> Option<Fence> {
        let began = Instant::now();
        let result = match self.held {
            Some(held) => self.write(held.version, held.fence, began).await,
            None => self.take_over(began).await,
        };
        if result.is_err() {
            // The next call reads the lease and finds out who holds it.
            self.held = None;
        }
        self.fence()
    }

    async fn take_over(&mut self, began: Instant) -> Result<(), StoreError> {
        let Some(object) = self.store.get(&self.key).await? else {
            return self.write(ABSENT, 1, began).await;
        };
        let record: LeaseRecord =
            serde_json::from_slice(&object.body).map_err(|_| StoreError::Unavailable)?;
        let first_seen_at = match self.observed {
            Some((version, first_seen_at)) if version == object.version => first_seen_at,
            _ => {
                self.observed = Some((object.version, began));
                began
            }
        };
        let is_own_write = record.holder == self.own_name && record.renewal == self.renewal;
        if is_own_write {
            // An earlier write of this process, whose reply was lost, took
            // effect.
            self.held = Some(HeldLease {
                fence: record.fence,
                version: object.version,
                expires_at: first_seen_at + self.duration,
            });
            return Ok(());
        }
        if began.duration_since(first_seen_at) < self.duration {
            return Ok(());
        }
        self.write(object.version, record.fence + 1, began).await
    }

    async fn write(
        &mut self,
        expected: Version,
        fence: Fence,
        began: Instant,
    ) -> Result<(), StoreError> {
        self.renewal += 1;
        let record = LeaseRecord {
            holder: self.own_name.clone(),
            fence,
            renewal: self.renewal,
        };
        let body = serde_json::to_vec(&record).unwrap_or_default();
        let version = self.store.put(&self.key, expected, body.into()).await?;
        self.held = Some(HeldLease {
            fence,
            version,
            expires_at: began + self.duration,
        });
        Ok(())
    }
}
