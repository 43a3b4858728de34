//! A lease in an object store, with a fence that rises with each new holder.
//!
//! A lease of another process has expired once this process has seen the same
//! version for the duration of the lease; clocks are never compared. A holder
//! that was paused may still believe that it holds the lease, but its actions
//! then carry an old fence.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::{Fence, Version};
use crate::store::object_store::{ABSENT, ObjectStore, StoreError};

#[derive(Clone, Debug, Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    fence: Fence,
    /// Number of the holder's write, by which a holder recognises its own write
    /// after the reply was lost.
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
    holder: String,
    duration: Duration,
    /// Version of the lease that was last read, and when it was first seen.
    observed: Option<(Version, Instant)>,
    held: Option<HeldLease>,
    renewal: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: Fence,
    version: Version,
    expires_at: Instant,
}

impl<S: ObjectStore> Lease<S> {
    /// Makes a handle of the lease stored at `key`. `holder` must be unique
    /// among all processes, including earlier runs.
    pub fn new(store: S, key: &str, holder: &str, duration: Duration) -> Self {
        Self {
            store,
            key: key.to_owned(),
            holder: holder.to_owned(),
            duration,
            observed: None,
            held: None,
            renewal: 0,
        }
    }

    /// The fence under which this process may act now; `None` without the
    /// lease.
    pub fn fence(&self) -> Option<Fence> {
        let held = self.held?;
        (Instant::now() < held.expires_at).then_some(held.fence)
    }

    /// Renews the lease or, once it is free or has expired, acquires it. Gives
    /// the fence if this process holds the lease.
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
        let since = match self.observed {
            Some((version, since)) if version == object.version => since,
            _ => {
                self.observed = Some((object.version, began));
                began
            }
        };
        let is_own_write = record.holder == self.holder && record.renewal == self.renewal;
        if is_own_write {
            // An earlier write of this process, whose reply was lost, took
            // effect.
            self.held = Some(HeldLease {
                fence: record.fence,
                version: object.version,
                expires_at: since + self.duration,
            });
            return Ok(());
        }
        if began.duration_since(since) < self.duration {
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
            holder: self.holder.clone(),
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
