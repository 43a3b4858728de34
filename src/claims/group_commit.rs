//! Writes claims to the platform, many with one write.
//!
//! One task owns each shard. While a write is under way, operations gather and
//! go with the next, so writes grow with time rather than with calls. Two
//! nodes that both write a shard are settled by the object's version.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::claims::shard::ClaimShard;
use crate::clock::unix_ms;
use crate::hash::Fnv;
use crate::id::Version;
use crate::membership::message::{ClaimOperation, ClaimReply, ClaimResult};
use crate::store::object_store::{ABSENT, ObjectStore, StoreError};

/// Operations that may wait for one shard.
const QUEUE_LENGTH: usize = 4096;
/// Operations that go with one write.
const BATCH_MAX: usize = 512;
/// Times a write is tried against other writers and lost replies.
const TRIES_MAX: u32 = 8;
/// Pause before a write whose reply was lost is resolved.
const RESOLVE_PAUSE: Duration = Duration::from_millis(20);

/// How claims are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Objects over which keys are spread; the same at all nodes, for ever.
    pub shard_count: u32,
    /// Least time between two writes of a shard.
    pub write_spacing: Duration,
    /// How long an ended call is remembered.
    pub retention: Duration,
}

/// The claims of one node, on any object store.
#[derive(Clone, Debug)]
pub(crate) struct GroupCommit {
    shards: Arc<Vec<mpsc::Sender<Pending>>>,
}

#[derive(Debug)]
struct Pending {
    operation: ClaimOperation,
    reply: oneshot::Sender<ClaimReply>,
}

impl GroupCommit {
    /// Starts a task for each shard.
    pub(crate) fn start<S: ObjectStore>(store: &S, settings: ClaimSettings) -> Self {
        let shards = (0..settings.shard_count).map(|number| {
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
            let writer = ShardWriter {
                store: store.clone(),
                settings,
                object_key: format!("claims/{number:04}"),
                held: None,
                outdated: ClaimShard::default(),
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

    /// Applies an operation and writes it.
    pub(crate) async fn apply(&self, operation: ClaimOperation) -> ClaimReply {
        let shard = &self.shards[self.shard_of(&operation.key) as usize];
        let (sender, receiver) = oneshot::channel();
        let pending = Pending {
            operation,
            reply: sender,
        };
        if shard.try_send(pending).is_err() {
            return result(ClaimResult::Unavailable);
        }
        receiver.await.unwrap_or(result(ClaimResult::Unsure))
    }
}

struct ShardWriter<S> {
    store: S,
    settings: ClaimSettings,
    object_key: String,
    held: Option<(Version, ClaimShard)>,
    outdated: ClaimShard,
}

impl<S: ObjectStore> ShardWriter<S> {
    async fn run(mut self, mut queue: mpsc::Receiver<Pending>) {
        let mut batch = Vec::new();
        while queue.recv_many(&mut batch, BATCH_MAX).await > 0 {
            let spacing = tokio::time::sleep(self.settings.write_spacing);
            let operations: Vec<ClaimOperation> =
                batch.iter().map(|p| p.operation.clone()).collect();
            let replies = self.write(&operations).await;
            for (pending, reply) in batch.drain(..).zip(replies) {
                // A caller that no longer waits has its claim resolved by mark.
                let _ = pending.reply.send(reply);
            }
            spacing.await;
        }
    }

    async fn write(&mut self, operations: &[ClaimOperation]) -> Vec<ClaimReply> {
        let mut may_be_written = false;
        for _ in 0..TRIES_MAX {
            match self.try_write(operations).await {
                Ok(replies) => return replies,
                Err(StoreError::Conflict) => {}
                Err(StoreError::Unavailable) => break,
                Err(StoreError::Unknown) => {
                    may_be_written = true;
                    tokio::time::sleep(RESOLVE_PAUSE).await;
                }
            }
        }
        let failed = if may_be_written {
            ClaimResult::Unsure
        } else {
            ClaimResult::Unavailable
        };
        operations
            .iter()
            .map(|op| self.outdated.ended(op).unwrap_or(result(failed)))
            .collect()
    }

    async fn try_write(
        &mut self,
        operations: &[ClaimOperation],
    ) -> Result<Vec<ClaimReply>, StoreError> {
        let (version, shard) = match self.held.take() {
            Some(held) => {
                self.outdated = held.1.clone();
                held
            }
            None => self.read().await?,
        };
        let mut changed = shard.clone();
        changed.trim(unix_ms(), self.settings.retention);
        let replies = operations.iter().map(|op| changed.apply(op)).collect();
        if changed == shard {
            // A reply from a shard that another node has since changed would
            // be wrong, so what was held is only trusted for writing.
            let (current, fresh) = self.read().await?;
            let confirmed = current == version;
            self.held = Some((current, fresh));
            return if confirmed {
                Ok(replies)
            } else {
                Err(StoreError::Conflict)
            };
        }
        let body = changed.encode();
        let version = self.store.put(&self.object_key, version, body).await?;
        self.held = Some((version, changed));
        Ok(replies)
    }

    async fn read(&self) -> Result<(Version, ClaimShard), StoreError> {
        // Reading writes nothing, so a missing reply leaves no doubt.
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

/// A reply that carries nothing but its result.
pub(crate) fn result(result: ClaimResult) -> ClaimReply {
    ClaimReply {
        result: result.into(),
        ..ClaimReply::default()
    }
}
