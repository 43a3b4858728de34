//! A lease on the platform whose fence rises with each holder.
//!
//! Expiry is judged by how long this process has seen the same version, never
//! by comparing clocks. A holder that was paused may still believe it holds
//! the lease; what it then does carries an old fence.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::{Fence, Version};
use crate::store::object_store::{ABSENT, ObjectStore, StoreError};

#[derive(Clone, Debug, Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    fence: Fence,
    renewal: u64,
}

/// One process's view of a lease.
///
/// ```
/// use std::time::Duration;
/// use zinniawing::{Lease, MemoryStore};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let store = MemoryStore::default();
/// let mut first = Lease::new(store.clone(), "lease/x", "first", Duration::from_millis(20));
/// let mut second = Lease::new(store, "lease/x", "second", Duration::from_millis(20));
/// assert_eq!(first.keep().await, Some(1));
/// assert_eq!(second.keep().await, None);
/// tokio::time::sleep(Duration::from_millis(30)).await;
/// assert_eq!(second.keep().await, Some(2));
/// assert_eq!(first.keep().await, None);
/// # });
/// ```
#[derive(Debug)]
pub struct Lease<S> {
    store: S,
    key: String,
    holder: String,
    duration: Duration,
    seen: Option<(Version, Instant)>,
    held: Option<Held>,
    renewal: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    version: Version,
    until: Instant,
}

impl<S: ObjectStore> Lease<S> {
    /// Makes a view of the lease at `key`; `holder` must be unique.
    pub fn new(store: S, key: &str, holder: &str, duration: Duration) -> Self {
        Self {
            store,
            key: key.to_owned(),
            holder: holder.to_owned(),
            duration,
            seen: None,
            held: None,
            renewal: 0,
        }
    }

    /// The fence under which this process may act now, if it may.
    pub fn fence(&self) -> Option<Fence> {
        let held = self.held?;
        (Instant::now() < held.until).then_some(held.fence)
    }

    /// Renews the lease or takes it over, and gives the fence if it is held.
    pub async fn keep(&mut self) -> Option<Fence> {
        let began = Instant::now();
        let kept = match self.held {
            Some(held) => self.write(held.version, held.fence, began).await,
            None => self.take_over(began).await,
        };
        if kept.is_err() {
            // Whoever wrote meanwhile is seen at the next call.
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
        let since = match self.seen {
            Some((version, since)) if version == object.version => since,
            _ => {
                self.seen = Some((object.version, began));
                began
            }
        };
        let is_mine = record.holder == self.holder && record.renewal == self.renewal;
        if is_mine {
            // This is the write whose reply was lost.
            self.held = Some(Held {
                fence: record.fence,
                version: object.version,
                until: since + self.duration,
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
        self.held = Some(Held {
            fence,
            version,
            until: began + self.duration,
        });
        Ok(())
    }
}
