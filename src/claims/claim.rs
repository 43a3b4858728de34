//! The life of one claim on a call that may not be repeated.
//!
//! The type says what may still be done: only a [`Claim<Held>`] can be sent or
//! released, and sending turns it into a [`Claim<Sent>`], which can only end.
//! See `docs/CLAIMS.md`.

use std::marker::PhantomData;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::claims::group_commit::{ClaimSettings, GroupCommit};
use crate::clock::unix_ms;
use crate::hash::Fnv;
use crate::membership::message::{ClaimAction, ClaimOperation, ClaimReply, ClaimResult};
use crate::store::object_store::ObjectStore;

/// How long a claim may be held before it must not be sent any more. It only
/// has to be far below the retention, after which a key may be claimed anew.
const SEND_WITHIN: Duration = Duration::from_secs(30);
/// Pause between tries to write down how a claim ended.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
/// Tries to write down how a claim ended.
const SETTLE_TRIES: u32 = 240;

/// State of a claim that has not been used.
#[derive(Clone, Copy, Debug)]
pub struct Held;
/// State of a claim whose call has left this node.
#[derive(Clone, Copy, Debug)]
pub struct Sent;

/// The right to make one call.
#[derive(Debug)]
pub struct Claim<S> {
    operation: ClaimOperation,
    held_since: Instant,
    state: PhantomData<S>,
}

/// What became of an attempt to claim a key.
#[derive(Debug)]
pub enum Taken {
    /// The key is claimed for this call.
    Granted(Claim<Held>),
    /// The call has ended before; this is its answer. Status zero: none came.
    Ended {
        /// Status of the service's answer.
        status: u32,
        /// The service's answer.
        answer: Bytes,
    },
    /// Another call with the key is under way, or its claimant is gone.
    Busy {
        /// Node and life that hold the key.
        claimant: String,
    },
    /// The key was used for another call.
    Reused,
    /// The key is new, and no more keys can be remembered.
    Full,
    /// The platform cannot be asked. Nothing was sent, and nothing will be,
    /// but an earlier call with the key may have run.
    Refused,
}

/// Where the operations of claims are carried out.
///
/// A node sends them to the shard's owner; an embedder may write them itself
/// through [`LocalClaims`].
pub trait ClaimWriter: Clone + Send + Sync + 'static {
    /// Carries out one operation.
    #[doc(hidden)]
    fn write(&self, operation: WireOperation) -> impl Future<Output = WireReply> + Send;
}

/// An operation on its way to a shard.
#[derive(Clone, Debug)]
pub struct WireOperation(pub(crate) ClaimOperation);
/// A shard's reply.
#[derive(Clone, Debug)]
pub struct WireReply(pub(crate) ClaimReply);

/// Claims written by this process itself.
#[derive(Clone, Debug)]
pub struct LocalClaims {
    group_commit: GroupCommit,
}

impl LocalClaims {
    /// Keeps claims in `store`.
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
/// use zinniawing::{ClaimSettings, LocalClaims, MemoryStore, Taken, take_claim};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let settings = ClaimSettings {
///     shard_count: 4,
///     write_spacing: Duration::from_millis(1),
///     retention: Duration::from_secs(3600),
/// };
/// let claims = LocalClaims::start(&MemoryStore::default(), settings);
/// let Taken::Granted(claim) = take_claim(&claims, "key-1", 7, "me@1").await else {
///     panic!("a new key is granted");
/// };
/// let sent = claim.send().expect("the claim is fresh");
/// sent.finish(&claims, 200, "paid".into()).await;
/// let again = take_claim(&claims, "key-1", 7, "me@1").await;
/// assert!(matches!(again, Taken::Ended { status: 200, .. }));
/// # });
/// ```
pub async fn take_claim<W: ClaimWriter>(
    writer: &W,
    key: &str,
    call_hash: u64,
    claimant: &str,
) -> Taken {
    let claim = Claim::<Held>::new(key, call_hash, claimant);
    let operation = WireOperation(claim.operation.clone());
    let WireReply(reply) = writer.write(operation).await;
    match reply.result() {
        ClaimResult::Accepted => Taken::Granted(claim),
        ClaimResult::Ended => Taken::Ended {
            status: reply.status,
            answer: reply.answer,
        },
        ClaimResult::Busy => Taken::Busy {
            claimant: reply.claimant,
        },
        ClaimResult::Reused => Taken::Reused,
        ClaimResult::Full => Taken::Full,
        ClaimResult::Unavailable => Taken::Refused,
        ClaimResult::Unsure => {
            let writer = writer.clone();
            tokio::spawn(async move { claim.release(&writer).await });
            Taken::Refused
        }
    }
}

/// Hashes a call, so that its key cannot stand for another one.
pub fn call_hash(path: &str, body: &[u8]) -> u64 {
    Fnv::new().text(path).bytes(body).finish()
}

impl Claim<Held> {
    fn new(key: &str, call_hash: u64, claimant: &str) -> Self {
        let operation = ClaimOperation {
            action: ClaimAction::Take.into(),
            key: key.to_owned(),
            mark: uuid::Uuid::new_v4().simple().to_string(),
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

    /// Uses the claim: the call may leave now, once. Nothing when it is too
    /// late, because the process was paused for longer than keys are kept.
    pub fn send(self) -> Option<Claim<Sent>> {
        if self.held_since.elapsed() > SEND_WITHIN {
            return None;
        }
        Some(Claim {
            operation: self.operation,
            held_since: self.held_since,
            state: PhantomData,
        })
    }

    /// Gives the key back; the call has not left and never will. Ends once
    /// this is written down, however long the platform is away.
    pub async fn release<W: ClaimWriter>(self, writer: &W) {
        let operation = ClaimOperation {
            action: ClaimAction::Release.into(),
            ..self.operation
        };
        settle(writer, operation).await;
    }
}

impl Claim<Sent> {
    /// Turns back a claim whose call provably never left this process.
    pub fn unsent(self) -> Claim<Held> {
        Claim {
            operation: self.operation,
            held_since: self.held_since,
            state: PhantomData,
        }
    }

    /// Writes down the service's answer. Ends once this is done, however long
    /// the platform is away.
    pub async fn finish<W: ClaimWriter>(self, writer: &W, status: u16, answer: Bytes) {
        let operation = ClaimOperation {
            action: ClaimAction::Finish.into(),
            status: status.into(),
            answer,
            ..self.operation
        };
        settle(writer, operation).await;
    }

    /// Writes down that no answer came, so that nobody waits for one.
    pub async fn lose<W: ClaimWriter>(self, writer: &W) {
        self.finish(writer, 0, Bytes::new()).await;
    }
}

async fn write_once<W: ClaimWriter>(writer: &W, operation: &ClaimOperation) -> bool {
    let WireReply(reply) = writer.write(WireOperation(operation.clone())).await;
    let is_open = matches!(
        reply.result(),
        ClaimResult::Unavailable | ClaimResult::Unsure | ClaimResult::Full
    );
    !is_open
}

async fn settle<W: ClaimWriter>(writer: &W, operation: ClaimOperation) {
    for _ in 0..SETTLE_TRIES {
        if write_once(writer, &operation).await {
            return;
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
    log::warn!("claim {} could not be settled", operation.key);
}
