//! Claims: the right to make a call that must not run twice.
//!
//! A caller gives such a call an idempotency key. Before the call is sent to its
//! service, the key is claimed by a write to the platform's object store. The
//! claim is refused if another call holds the key. The claims of all keys are
//! divided among a fixed number of objects, the shards, by the hash of the key.
//! The process that claimed a key is the claimant.
//!
//! The type of a claim restricts what may be done with it: only a [`Claim<Held>`]
//! gives the right to send the call, and only it can be released.
//! [`Claim::begin_send`] turns it into a [`Claim<Sent>`], and the end of its call
//! has to be recorded. See `docs/CLAIMS.md`.

use std::marker::PhantomData;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::claims::group_commit::{ClaimSettings, GroupCommit};
use crate::clock::unix_ms;
use crate::hash::Fnv;
use crate::membership::message::{ClaimAction, ClaimOperation, ClaimReply, ClaimResult};
use crate::store::object_store::ObjectStore;

/// Time after which a held claim no longer gives the right to send its call.
/// Must be far below the retention of claims, after which the key may be claimed
/// again.
const HOLD_TIME_MAX: Duration = Duration::from_secs(30);
/// Delay between two attempts to record that a call has ended or that its key is
/// released.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of attempts to record that a call has ended or that its key is
/// released.
const SETTLE_ATTEMPTS_MAX: u32 = 240;

/// State of a claim whose call has not been sent.
#[derive(Clone, Copy, Debug)]
pub struct Held;
/// State of a claim whose call may have been sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent;

/// The right to make one call, in the state `S`: [`Held`] or [`Sent`].
#[derive(Debug)]
pub struct Claim<S> {
    operation: ClaimOperation,
    held_since: Instant,
    state: PhantomData<S>,
}

/// Outcome of an attempt to claim a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The key is claimed for this call.
    Granted(Claim<Held>),
    /// The call with this key has ended before. Status zero means that no
    /// answer is stored.
    Ended {
        /// HTTP status of the service's answer.
        status: u32,
        /// The service's answer.
        answer: Bytes,
    },
    /// Another call with the key is in progress, or the process that made it
    /// stopped before it recorded the end of the call.
    Busy {
        /// Claimant that holds the key, as `node@incarnation`.
        claimant: String,
    },
    /// The key was used for a different call.
    Reused,
    /// The key is new, and the shard (the stored object) that it belongs to has
    /// no room for another key.
    Full,
    /// The platform is unavailable. This call was not and will not be sent, but
    /// an earlier call with the key may have run.
    Unavailable,
}

/// Applies operations on claims.
///
/// A node forwards an operation to the node that owns the shard of the claim's
/// key, or writes it itself if it is the owner or cannot reach the owner. A
/// program that embeds this library can write operations to the object store
/// itself, with [`LocalClaims`].
pub trait ClaimWriter: Clone + Send + Sync + 'static {
    /// Applies one operation and returns the reply once the operation is stored
    /// or has failed.
    #[doc(hidden)]
    fn write(&self, operation: WireOperation) -> impl Future<Output = WireReply> + Send;
}

/// An operation on a claim, opaque to programs that embed this library.
#[derive(Clone, Debug)]
pub struct WireOperation(pub(crate) ClaimOperation);
/// The reply to an operation, opaque to programs that embed this library.
#[derive(Clone, Debug)]
pub struct WireReply(pub(crate) ClaimReply);

/// A [`ClaimWriter`] that writes to the object store from this process.
#[derive(Clone, Debug)]
pub struct LocalClaims {
    group_commit: GroupCommit,
}

impl LocalClaims {
    /// Stores claims in `store`. Starts one task for each shard.
    pub fn start<S: ObjectStore>(store: &S, settings: ClaimSettings) -> Self {
        Self {
            group_commit: GroupCommit::start(store, settings),
        }
    }
}

impl ClaimWriter for LocalClaims {
    async fn write(&self, operation: WireOperation) -> WireReply {
        WireReply(self.group_commit.apply(operation.0).await)
    }
}

/// Claims `key` for the call whose content hashes to `call_hash`.
///
/// ```
/// use std::time::Duration;
/// use zinniawing::{ClaimOutcome, ClaimSettings, LocalClaims, MemoryStore, take_claim};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let settings = ClaimSettings {
///     shard_count: 4,
///     write_spacing: Duration::from_millis(1),
///     retention: Duration::from_secs(3600),
/// };
/// let claims = LocalClaims::start(&MemoryStore::default(), settings);
/// let ClaimOutcome::Granted(claim) = take_claim(&claims, "key-1", 7, "me@1").await else {
///     panic!("a new key is granted");
/// };
/// let sent = claim.begin_send().expect("the claim is fresh");
/// sent.finish(&claims, 200, "paid".into()).await;
/// let again = take_claim(&claims, "key-1", 7, "me@1").await;
/// assert!(matches!(again, ClaimOutcome::Ended { status: 200, .. }));
/// # });
/// ```
pub async fn take_claim<W: ClaimWriter>(
    writer: &W,
    key: &str,
    call_hash: u64,
    claimant: &str,
) -> ClaimOutcome {
    let claim = Claim::<Held>::new(key, call_hash, claimant);
    let operation = WireOperation(claim.operation.clone());
    let WireReply(reply) = writer.write(operation).await;
    match reply.result() {
        ClaimResult::Accepted => ClaimOutcome::Granted(claim),
        ClaimResult::Ended => ClaimOutcome::Ended {
            status: reply.status,
            answer: reply.answer,
        },
        ClaimResult::Busy => ClaimOutcome::Busy {
            claimant: reply.claimant,
        },
        ClaimResult::Reused => ClaimOutcome::Reused,
        ClaimResult::Full => ClaimOutcome::Full,
        ClaimResult::Unavailable => ClaimOutcome::Unavailable,
        ClaimResult::OutcomeUnknown => {
            // The claim may have been written, which would block the key. The
            // call will not be sent, so the key is released.
            let writer = writer.clone();
            tokio::spawn(async move { claim.release(&writer).await });
            ClaimOutcome::Unavailable
        }
    }
}

/// Hashes a call, to detect a key that is used for two different calls.
pub fn call_hash(path: &str, body: &[u8]) -> u64 {
    Fnv::new().text(path).bytes(body).finish()
}

impl Claim<Held> {
    fn new(key: &str, call_hash: u64, claimant: &str) -> Self {
        let operation = ClaimOperation {
            action: ClaimAction::Take.into(),
            key: key.to_owned(),
            nonce: uuid::Uuid::new_v4().simple().to_string(),
            claimant: claimant.to_owned(),
            call_hash,
            at_unix_ms: unix_ms(),
            ..ClaimOperation::default()
        };
        Self {
            operation,
            held_since: Instant::now(),
            state: PhantomData,
        }
    }

    /// Gives the right to send the call now, once. `None` if the claim was held
    /// for too long, as in a process that was paused: the key may have been
    /// claimed again since.
    pub fn begin_send(self) -> Option<Claim<Sent>> {
        if self.held_since.elapsed() > HOLD_TIME_MAX {
            return None;
        }
        Some(Claim {
            operation: self.operation,
            held_since: self.held_since,
            state: PhantomData,
        })
    }

    /// Releases the key; the call has not been and will not be sent. Retries
    /// for at least two minutes while the platform is unavailable.
    pub async fn release<W: ClaimWriter>(self, writer: &W) {
        let operation = ClaimOperation {
            action: ClaimAction::Release.into(),
            ..self.operation
        };
        settle(writer, operation).await;
    }
}

impl Claim<Sent> {
    /// Turns the claim back into a held one. Only for a call that provably never
    /// left this process.
    pub fn into_unsent(self) -> Claim<Held> {
        Claim {
            operation: self.operation,
            held_since: self.held_since,
            state: PhantomData,
        }
    }

    /// Records the service's answer. Retries for at least two minutes while the
    /// platform is unavailable.
    pub async fn finish<W: ClaimWriter>(self, writer: &W, status: u16, answer: Bytes) {
        let operation = ClaimOperation {
            action: ClaimAction::Finish.into(),
            status: status.into(),
            answer,
            ..self.operation
        };
        settle(writer, operation).await;
    }

    /// Records that the call ended and no answer is known, so that a repeated
    /// call with the key does not wait for an answer.
    pub async fn finish_without_answer<W: ClaimWriter>(self, writer: &W) {
        self.finish(writer, 0, Bytes::new()).await;
    }
}

async fn try_settle<W: ClaimWriter>(writer: &W, operation: &ClaimOperation) -> bool {
    let WireReply(reply) = writer.write(WireOperation(operation.clone())).await;
    let is_unsettled = matches!(
        reply.result(),
        ClaimResult::Unavailable | ClaimResult::OutcomeUnknown | ClaimResult::Full
    );
    !is_unsettled
}

async fn settle<W: ClaimWriter>(writer: &W, operation: ClaimOperation) {
    for _ in 0..SETTLE_ATTEMPTS_MAX {
        if try_settle(writer, &operation).await {
            return;
        }
        tokio::time::sleep(SETTLE_RETRY_DELAY).await;
    }
    log::warn!(
        "claim {}: its end could not be stored in {SETTLE_ATTEMPTS_MAX} attempts; \
         the key may stay claimed until its retention ends",
        operation.key
    );
}
