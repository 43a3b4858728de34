//! One shard of claims: the rules that make a call run at most once.
//!
//! A shard is one platform object. Its rules are plain functions of the
//! shard's state, and every operation names a mark that makes applying it
//! twice the same as applying it once. `docs/CLAIMS.md` gives the reasons.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use prost::{Enumeration, Message};

use crate::membership::message::{ClaimAction, ClaimOperation, ClaimReply, ClaimResult};

/// Largest encoded shard, below the platform's limit of a megabyte.
const SHARD_MAX_BYTES: usize = 900 * 1024;
/// Bytes of one entry beside its texts and answer.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// How far a claimed call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub(crate) enum ClaimState {
    /// A claimant holds the key and may send.
    Taken = 0,
    /// The call has ended, with an answer or without one.
    Ended = 1,
    /// The claimant gave the key back without sending.
    Released = 2,
}

/// One key of a shard.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ClaimEntry {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(string, tag = "2")]
    mark: String,
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

/// All keys of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClaimShard {
    entries: BTreeMap<String, ClaimEntry>,
    size_bytes: usize,
}

impl ClaimShard {
    /// Reads a shard from its object.
    pub(crate) fn decode(body: Bytes) -> Option<Self> {
        let record = ShardRecord::decode(body).ok()?;
        let mut shard = Self::default();
        for entry in record.entries {
            shard.insert(entry);
        }
        Some(shard)
    }

    /// Writes the shard as its object.
    pub(crate) fn encode(&self) -> Bytes {
        let record = ShardRecord {
            entries: self.entries.values().cloned().collect(),
        };
        record.encode_to_vec().into()
    }

    /// Applies an operation; the reply holds once the shard is written.
    pub(crate) fn apply(&mut self, operation: &ClaimOperation) -> ClaimReply {
        match operation.action() {
            ClaimAction::Take => self.take(operation),
            ClaimAction::Finish => self.finish(operation),
            ClaimAction::Release => self.release(operation),
        }
    }

    /// Forgets calls that ended longer than `retention` ago.
    pub(crate) fn trim(&mut self, now_unix_ms: u64, retention: Duration) {
        let oldest_unix_ms = now_unix_ms.saturating_sub(retention.as_millis() as u64);
        let outdated: Vec<String> = self
            .entries
            .values()
            .filter(|entry| entry.at_unix_ms < oldest_unix_ms)
            .map(|entry| entry.key.clone())
            .collect();
        for key in outdated {
            self.remove(&key);
        }
    }

    /// The answer to a take whose call has ended, which stays true however
    /// old this copy of the shard is.
    pub(crate) fn ended(&self, operation: &ClaimOperation) -> Option<ClaimReply> {
        let entry = self.entries.get(&operation.key)?;
        let is_ended = entry.state() == ClaimState::Ended;
        let is_same = entry.call_hash == operation.call_hash;
        let is_take = operation.action() == ClaimAction::Take;
        (is_ended && is_same && is_take).then(|| ended(entry))
    }

    fn take(&mut self, operation: &ClaimOperation) -> ClaimReply {
        let Some(entry) = self.entries.get(&operation.key) else {
            return self.insert_taken(operation);
        };
        let is_mine = entry.mark == operation.mark;
        match entry.state() {
            ClaimState::Taken if is_mine => reply(ClaimResult::Accepted),
            // A release by the same mark is the end of this very try.
            ClaimState::Released if is_mine => reply(ClaimResult::Unavailable),
            ClaimState::Released => self.insert_taken(operation),
            _ if entry.call_hash != operation.call_hash => reply(ClaimResult::Reused),
            ClaimState::Taken => ClaimReply {
                claimant: entry.claimant.clone(),
                ..reply(ClaimResult::Busy)
            },
            ClaimState::Ended => ended(entry),
        }
    }

    fn insert_taken(&mut self, operation: &ClaimOperation) -> ClaimReply {
        if self.size_bytes >= SHARD_MAX_BYTES {
            return reply(ClaimResult::Full);
        }
        self.insert(entry(operation, ClaimState::Taken));
        reply(ClaimResult::Accepted)
    }

    fn finish(&mut self, operation: &ClaimOperation) -> ClaimReply {
        let mut finished = entry(operation, ClaimState::Ended);
        if self.size_bytes + finished.answer.len() >= SHARD_MAX_BYTES {
            // Without its answer the entry still keeps the call from running again.
            finished.answer = Bytes::new();
            finished.status = 0;
        }
        match self.entries.get(&operation.key) {
            Some(held) if held.mark != operation.mark => reply(ClaimResult::Busy),
            _ => {
                self.insert(finished);
                reply(ClaimResult::Accepted)
            }
        }
    }

    /// Gives a key back, and leaves a trace even where the take is not seen:
    /// the take's write may still be on its way, and must then find a newer
    /// version of the shard.
    fn release(&mut self, operation: &ClaimOperation) -> ClaimReply {
        match self.entries.get(&operation.key) {
            Some(held) if held.mark != operation.mark => reply(ClaimResult::Busy),
            Some(held) if held.state() == ClaimState::Ended => reply(ClaimResult::Busy),
            _ => {
                self.insert(entry(operation, ClaimState::Released));
                reply(ClaimResult::Accepted)
            }
        }
    }

    fn insert(&mut self, entry: ClaimEntry) {
        self.remove(&entry.key.clone());
        self.size_bytes += entry_bytes(&entry);
        self.entries.insert(entry.key.clone(), entry);
    }

    fn remove(&mut self, key: &str) {
        if let Some(removed) = self.entries.remove(key) {
            self.size_bytes -= entry_bytes(&removed);
        }
    }
}

fn ended(entry: &ClaimEntry) -> ClaimReply {
    ClaimReply {
        status: entry.status,
        answer: entry.answer.clone(),
        ..reply(ClaimResult::Ended)
    }
}

fn entry(operation: &ClaimOperation, state: ClaimState) -> ClaimEntry {
    ClaimEntry {
        key: operation.key.clone(),
        mark: operation.mark.clone(),
        claimant: operation.claimant.clone(),
        state: state.into(),
        call_hash: operation.call_hash,
        at_unix_ms: operation.at_unix_ms,
        status: operation.status,
        answer: operation.answer.clone(),
    }
}

fn entry_bytes(entry: &ClaimEntry) -> usize {
    let texts = entry.key.len() + entry.mark.len() + entry.claimant.len();
    ENTRY_OVERHEAD_BYTES + texts + entry.answer.len()
}

fn reply(result: ClaimResult) -> ClaimReply {
    ClaimReply {
        result: result.into(),
        ..ClaimReply::default()
    }
}
