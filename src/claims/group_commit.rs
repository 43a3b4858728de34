//! Group commit of operations on claims: several operations are stored with one
//! write.
//!
//! Claims are divided among shards, each stored as one object in the platform's
//! object store. In each node, one task writes each shard. Operations that arrive
//! during a write go into the next write, so that the rate of writes is limited
//! and does not grow with the rate of calls. If two nodes write the same shard,
//! conditional writes on the version of its object detect the conflict.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::claims::shard::ClaimShard;
use crate::clock::unix_ms;
use crate::hash::Fnv;
use crate::id::Version;
use crate::membership::message::{ClaimOperation, ClaimReply, ClaimResult};
use crate::store::object_store::{ABSENT, ObjectStore, StoreError};

/// Maximum number of operations queued for one shard.
const QUEUE_CAPACITY: usize = 4096;
/// Maximum number of operations in one write.
const BATCH_OPERATIONS_MAX: usize = 512;
/// Maximum number of attempts to write a batch, in case of conflicts and lost
/// replies.
const WRITE_ATTEMPTS_MAX: u32 = 8;
/// Delay before a write whose reply was lost is tried again.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How claims, the reservations of idempotency keys, are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Number of objects (shards) among which keys are divided. Must be the same
    /// at all nodes and must never change, because it decides which object holds
    /// a key.
    pub shard_count: u32,
    /// Minimum time between two writes of the same shard by one process.
    pub write_spacing: Duration,
    /// How long a key is remembered after it was claimed.
    pub retention: Duration,
}

/// Writes the claims of one node to an object store.
#[derive(Clone, Debug)]
pub(crate) struct GroupCommit {
    shards: Arc<Vec<mpsc::Sender<PendingOperation>>>,
}

#[derive(Debug)]
struct PendingOperation {
    operation: ClaimOperation,
    reply: oneshot::Sender<ClaimReply>,
}

impl GroupCommit {
    /// Starts a task for each shard.
    pub(crate) fn start<S: ObjectStore>(store: &S, settings: ClaimSettings) -> Self {
        let shards = (0..settings.shard_count).map(|number| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            let writer = ShardWriter {
                store: store.clone(),
                settings,
                object_key: format!("claims/{number:04}"),
                cached: None,
                last_known: ClaimShard::default(),
            };
            tokio::spawn(writer.run(receiver));
            sender
        });
        Self {
            shards: Arc::new(shards.collect()),
        }
    }

    /// Number of the shard that holds `key`.
    pub(crate) fn shard_of(&self, key: &str) -> u32 {
        let hash = Fnv::new().text(key).finish();
        (hash % self.shards.len() as u64) as u32
    }

    /// Applies an operation and replies once it is written.
    pub(crate) async fn apply(&self, operation: ClaimOperation) -> ClaimReply {
        let shard = &self.shards[self.shard_of(&operation.key) as usize];
        let (sender, receiver) = oneshot::channel();
        let pending = PendingOperation {
            operation,
            reply: sender,
        };
        if shard.try_send(pending).is_err() {
            return ClaimReply::from(ClaimResult::Unavailable);
        }
        receiver
            .await
            .unwrap_or(ClaimReply::from(ClaimResult::OutcomeUnknown))
    }
}

struct ShardWriter<S> {
    store: S,
    settings: ClaimSettings,
    object_key: String,
    /// The shard as last written or read, and its version; `None` if the next
    /// write has to read it first.
    cached: Option<(Version, ClaimShard)>,
    /// An earlier value of `cached`, which may be outdated. While no write
    /// succeeds, calls that repeat an ended call are answered from it.
    last_known: ClaimShard,
}

impl<S: ObjectStore> ShardWriter<S> {
    async fn run(mut self, mut queue: mpsc::Receiver<PendingOperation>) {
        let mut batch = Vec::new();
        while queue.recv_many(&mut batch, BATCH_OPERATIONS_MAX).await > 0 {
            let spacing = tokio::time::sleep(self.settings.write_spacing);
            let operations: Vec<ClaimOperation> =
                batch.iter().map(|p| p.operation.clone()).collect();
            let replies = self.write(&operations).await;
            for (pending, reply) in batch.drain(..).zip(replies) {
                // Without a receiver the reply is dropped; a repeat of the
                // operation is recognised by its nonce.
                let _ = pending.reply.send(reply);
            }
            spacing.await;
        }
    }

    async fn write(&mut self, operations: &[ClaimOperation]) -> Vec<ClaimReply> {
        let mut may_be_written = false;
        for _ in 0..WRITE_ATTEMPTS_MAX {
            match self.try_write(operations).await {
                Ok(replies) => return replies,
                Err(StoreError::Conflict) => {}
                Err(StoreError::Unavailable) => break,
                Err(StoreError::Unknown) => {
                    may_be_written = true;
                    tokio::time::sleep(UNKNOWN_RETRY_DELAY).await;
                }
            }
        }
        let failed = if may_be_written {
            ClaimResult::OutcomeUnknown
        } else {
            ClaimResult::Unavailable
        };
        operations
            .iter()
            .map(|op| {
                self.last_known
                    .replay_if_ended(op)
                    .unwrap_or(ClaimReply::from(failed))
            })
            .collect()
    }

    async fn try_write(
        &mut self,
        operations: &[ClaimOperation],
    ) -> Result<Vec<ClaimReply>, StoreError> {
        let (version, shard) = match self.cached.take() {
            Some(cached) => {
                self.last_known = cached.1.clone();
                cached
            }
            None => self.read().await?,
        };
        let mut changed = shard.clone();
        changed.remove_expired(unix_ms(), self.settings.retention);
        let replies = operations.iter().map(|op| changed.apply(op)).collect();
        if changed == shard {
            // Without a write, nothing checks whether another node has changed
            // the shard since it was cached. A reply from an outdated shard
            // would be wrong, so the shard is read again.
            let (current, fresh) = self.read().await?;
            let is_current = current == version;
            self.cached = Some((current, fresh));
            return if is_current {
                Ok(replies)
            } else {
                Err(StoreError::Conflict)
            };
        }
        let body = changed.encode();
        let version = self.store.put(&self.object_key, version, body).await?;
        self.cached = Some((version, changed));
        Ok(replies)
    }

    async fn read(&self) -> Result<(Version, ClaimShard), StoreError> {
        // A read changes nothing, so it makes no difference whether the request
        // or the reply was lost.
        let read = self.store.get(&self.object_key).await;
        let object = read.map_err(|_| StoreError::Unavailable)?;
        match object {
            None => Ok((ABSENT, ClaimShard::default())),
            Some(object) => {
                let shard = ClaimShard::decode(object.body).ok_or(StoreError::Unavailable)?;
                Ok((object.version, shard))
            }
        }
    }
}
