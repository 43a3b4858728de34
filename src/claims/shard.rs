//! One shard of claims: the rules that make a call run at most once.
//!
//! A claim reserves an idempotency key for one call. A shard holds the claims of
//! a part of all keys and is stored as one object in the platform's object
//! store. The rules are pure functions of the shard's state and an operation.
//! Each operation carries a nonce, unique to one attempt to claim the key, by
//! which a repeated operation is recognised. `docs/CLAIMS.md` gives the reasons
//! for the rules.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use prost::{Enumeration, Message};

use crate::membership::message::{ClaimAction, ClaimOperation, ClaimReply, ClaimResult};

/// Maximum size of an encoded shard, below the platform's limit of 1 MiB per
/// object.
const SHARD_MAX_BYTES: usize = 900 * 1024;
/// Upper estimate of how many bytes an encoded entry takes beside its strings
/// and its stored answer.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// State of the claim of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum ClaimState {
    /// A claimant holds the key and may send the call.
    Taken = 0,
    /// The call has ended, with an answer or without one.
    Ended = 1,
    /// The claimant released the key without sending the call.
    Released = 2,
}

/// Entry of one key in a shard.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ClaimEntry {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(string, tag = "2")]
    nonce: String,
    #[prost(string, tag = "3")]
    claimant: String,
    #[prost(enumeration = "ClaimState", tag = "4")]
    state: i32,
    #[prost(fixed64, tag = "5")]
    call_hash: u64,
    #[prost(uint64, tag = "6")]
    at_unix_ms: u64,
    #[prost(uint32, tag = "7")]
    status: u32,
    #[prost(bytes = "bytes", tag = "8")]
    answer: Bytes,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct ShardRecord {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<ClaimEntry>,
}

/// All entries of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClaimShard {
    entries: BTreeMap<String, ClaimEntry>,
    size_bytes: usize,
}

impl ClaimShard {
    /// Decodes the content of the shard's object.
    pub(crate) fn decode(body: Bytes) -> Option<Self> {
        let record = ShardRecord::decode(body).ok()?;
        let mut shard = Self::default();
        for entry in record.entries {
            shard.insert(entry);
        }
        Some(shard)
    }

    /// Encodes the content of the shard's object.
    pub(crate) fn encode(&self) -> Bytes {
        let record = ShardRecord {
            entries: self.entries.values().cloned().collect(),
        };
        record.encode_to_vec().into()
    }

    /// Applies an operation. The reply is valid once the shard is written.
    pub(crate) fn apply(&mut self, operation: &ClaimOperation) -> ClaimReply {
        match operation.action() {
            ClaimAction::Take => self.take(operation),
            ClaimAction::Finish => self.finish(operation),
            ClaimAction::Release => self.release(operation),
        }
    }

    /// Removes the keys that were claimed more than `retention` ago.
    pub(crate) fn remove_expired(&mut self, now_unix_ms: u64, retention: Duration) {
        let oldest_unix_ms = now_unix_ms.saturating_sub(retention.as_millis() as u64);
        let expired_keys: Vec<String> = self
            .entries
            .values()
            .filter(|entry| entry.at_unix_ms < oldest_unix_ms)
            .map(|entry| entry.key.clone())
            .collect();
        for key in expired_keys {
            self.remove(&key);
        }
    }

    /// The reply to `operation` if it is a `Take` for a call that has ended. The
    /// reply is valid even if the stored shard has changed since this one was
    /// read.
    pub(crate) fn replay_if_ended(&self, operation: &ClaimOperation) -> Option<ClaimReply> {
        let entry = self.entries.get(&operation.key)?;
        let is_ended = entry.state() == ClaimState::Ended;
        let is_same_call = entry.call_hash == operation.call_hash;
        let is_take = operation.action() == ClaimAction::Take;
        (is_ended && is_same_call && is_take).then(|| ended_reply(entry))
    }

    fn take(&mut self, operation: &ClaimOperation) -> ClaimReply {
        let Some(entry) = self.entries.get(&operation.key) else {
            return self.insert_taken(operation);
        };
        let is_same_attempt = entry.nonce == operation.nonce;
        match entry.state() {
            ClaimState::Taken if is_same_attempt => ClaimReply::from(ClaimResult::Accepted),
            // The attempt to claim the key that made this operation has already
            // released it.
            ClaimState::Released if is_same_attempt => ClaimReply::from(ClaimResult::Unavailable),
            ClaimState::Released => self.insert_taken(operation),
            _ if entry.call_hash != operation.call_hash => ClaimReply::from(ClaimResult::Reused),
            ClaimState::Taken => ClaimReply {
                claimant: entry.claimant.clone(),
                ..ClaimReply::from(ClaimResult::Busy)
            },
            ClaimState::Ended => ended_reply(entry),
        }
    }

    fn insert_taken(&mut self, operation: &ClaimOperation) -> ClaimReply {
        if self.size_bytes >= SHARD_MAX_BYTES {
            return ClaimReply::from(ClaimResult::Full);
        }
        self.insert(entry(operation, ClaimState::Taken));
        ClaimReply::from(ClaimResult::Accepted)
    }

    fn finish(&mut self, operation: &ClaimOperation) -> ClaimReply {
        let mut finished = entry(operation, ClaimState::Ended);
        if self.size_bytes + finished.answer.len() >= SHARD_MAX_BYTES {
            // The answer is left out for lack of room. Even without it the entry
            // prevents the call from running again.
            finished.answer = Bytes::new();
            finished.status = 0;
        }
        match self.entries.get(&operation.key) {
            Some(existing) if existing.nonce != operation.nonce => {
                ClaimReply::from(ClaimResult::Busy)
            }
            _ => {
                self.insert(finished);
                ClaimReply::from(ClaimResult::Accepted)
            }
        }
    }

    /// Releases a key, also if the shard has no entry of it: the write that takes
    /// the key may still be on its way to the store. The entry that is added here
    /// gives the shard a newer version, so that the late write fails.
    fn release(&mut self, operation: &ClaimOperation) -> ClaimReply {
        match self.entries.get(&operation.key) {
            Some(existing) if existing.nonce != operation.nonce => {
                ClaimReply::from(ClaimResult::Busy)
            }
            Some(existing) if existing.state() == ClaimState::Ended => {
                ClaimReply::from(ClaimResult::Busy)
            }
            _ => {
                self.insert(entry(operation, ClaimState::Released));
                ClaimReply::from(ClaimResult::Accepted)
            }
        }
    }

    fn insert(&mut self, entry: ClaimEntry) {
        self.remove(&entry.key.clone());
        self.size_bytes += encoded_bytes(&entry);
        self.entries.insert(entry.key.clone(), entry);
    }

    fn remove(&mut self, key: &str) {
        if let Some(removed) = self.entries.remove(key) {
            self.size_bytes -= encoded_bytes(&removed);
        }
    }
}

fn ended_reply(entry: &ClaimEntry) -> ClaimReply {
    ClaimReply {
        status: entry.status,
        answer: entry.answer.clone(),
        ..ClaimReply::from(ClaimResult::Ended)
    }
}

fn entry(operation: &ClaimOperation, state: ClaimState) -> ClaimEntry {
    ClaimEntry {
        key: operation.key.clone(),
        nonce: operation.nonce.clone(),
        claimant: operation.claimant.clone(),
        state: state.into(),
        call_hash: operation.call_hash,
        at_unix_ms: operation.at_unix_ms,
        status: operation.status,
        answer: operation.answer.clone(),
    }
}

fn encoded_bytes(entry: &ClaimEntry) -> usize {
    let strings_bytes = entry.key.len() + entry.nonce.len() + entry.claimant.len();
    ENTRY_OVERHEAD_BYTES + strings_bytes + entry.answer.len()
}
