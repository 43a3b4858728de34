//! Reads the bodies of requests into memory that was reserved before.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use super::budget::{Charge, MemoryBudget, Registration};
use super::charged_bytes::charged;
use crate::error::{Error, ErrorKind};
use crate::policy::memory_shares::{FIRST_CAPACITY_BYTES, next_capacity};

/// Time within which a caller must send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Received bytes of a body that its connection buffers before the reader has room for them.
const CONNECTION_BUFFERS_BYTES: usize = 32 * 1024;

/// Why the body of a request was not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyRefusal {
    /// The budget has no room for it.
    #[error("this node holds as many bytes for callers as its memory allows")]
    Full,
    /// It made no progress while others needed its memory.
    #[error("the request body made no progress while its memory was needed")]
    Stalled,
    /// It did not arrive in time.
    #[error("the request body did not arrive in time")]
    TooSlow,
    /// It exceeds the limit.
    #[error("the body exceeds the limit of {0} bytes")]
    OverLimit(usize),
    /// It is malformed, or its connection broke.
    #[error("{0}")]
    Unreadable(String),
}

impl BodyRefusal {
    /// Name of the cause, for the log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Full => "Full",
            Self::Stalled => "Stalled",
            Self::TooSlow => "TooSlow",
            Self::OverLimit(_) => "OverLimit",
            Self::Unreadable(_) => "Unreadable",
        }
    }

    /// The error that the caller gets. No upstream has seen any of the request.
    pub(crate) fn error(&self) -> Error {
        let kind = match self {
            Self::Full => ErrorKind::MemoryFull,
            Self::Stalled | Self::TooSlow => ErrorKind::TooSlow,
            Self::OverLimit(_) => ErrorKind::TooLarge,
            Self::Unreadable(_) => ErrorKind::BadRequest,
        };
        Error::new(kind, self.to_string())
    }
}

/// Reads a body of at most `max_bytes` into memory of the budget. `head_bytes` are
/// reserved with it, since the call keeps its headers as long as its body.
pub(crate) async fn read_request_body(
    budget: &Arc<MemoryBudget>,
    body: Incoming,
    head_bytes: usize,
    max_bytes: usize,
) -> Result<Bytes, BodyRefusal> {
    let overhead_bytes = head_bytes + CONNECTION_BUFFERS_BYTES;
    let room = budget
        .reservation_max_bytes()
        .saturating_sub(overhead_bytes);
    let max_bytes = max_bytes.min(room);
    let announced = body.size_hint();
    if announced.lower() > max_bytes as u64 {
        return Err(BodyRefusal::OverLimit(max_bytes));
    }
    let first_capacity = announced
        .exact()
        .map_or(FIRST_CAPACITY_BYTES.min(max_bytes), |length| {
            length as usize
        });
    let buffers_bytes = announced
        .exact()
        .map_or(CONNECTION_BUFFERS_BYTES, |length| {
            CONNECTION_BUFFERS_BYTES.min(length as usize)
        });
    let reading = async {
        let reader =
            BodyReader::start(budget, head_bytes, buffers_bytes, first_capacity, max_bytes).await?;
        reader.read(body).await
    };
    let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
    read.unwrap_or(Err(BodyRefusal::TooSlow))
}

struct BodyReader {
    budget: Arc<MemoryBudget>,
    charge: Charge,
    registration: Registration,
    bytes: Vec<u8>,
    head_bytes: usize,
    /// Reserved until the body is read.
    buffers_bytes: usize,
    max_bytes: usize,
}

impl BodyReader {
    async fn start(
        budget: &Arc<MemoryBudget>,
        head_bytes: usize,
        buffers_bytes: usize,
        capacity: usize,
        max_bytes: usize,
    ) -> Result<Self, BodyRefusal> {
        let bytes = head_bytes + buffers_bytes + capacity;
        let reserved = budget.reserve(bytes).await;
        Ok(Self {
            charge: reserved.ok_or(BodyRefusal::Full)?,
            registration: budget.register(bytes),
            budget: budget.clone(),
            bytes: Vec::with_capacity(capacity),
            head_bytes,
            buffers_bytes,
            max_bytes,
        })
    }

    async fn read(mut self, mut body: Incoming) -> Result<Bytes, BodyRefusal> {
        let reclaimed = self.registration.reclaimed().clone();
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = reclaimed.cancelled() => return Err(BodyRefusal::Stalled),
            };
            let Some(frame) = frame else {
                return Ok(self.into_bytes());
            };
            let frame = frame.map_err(|error| BodyRefusal::Unreadable(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.push(&data).await?;
            }
        }
    }

    async fn push(&mut self, data: &[u8]) -> Result<(), BodyRefusal> {
        let needed = self.bytes.len() + data.len();
        if needed > self.max_bytes {
            return Err(BodyRefusal::OverLimit(self.max_bytes));
        }
        if needed > self.bytes.capacity() {
            self.grow(needed).await?;
        }
        self.bytes.extend_from_slice(data);
        self.registration
            .record_progress(self.reserved_bytes(self.bytes.capacity()));
        Ok(())
    }

    /// Moves the body to a reservation that has room for `needed` bytes. The present one is
    /// released after that, since both hold bytes while the body is copied.
    async fn grow(&mut self, needed: usize) -> Result<(), BodyRefusal> {
        let capacity = next_capacity(self.bytes.capacity(), needed, self.max_bytes);
        self.registration.record_own_wait();
        let reserved = self.budget.reserve(self.reserved_bytes(capacity)).await;
        let charge = reserved.ok_or(BodyRefusal::Full)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.charge = charge;
        Ok(())
    }

    fn reserved_bytes(&self, capacity: usize) -> usize {
        self.head_bytes + self.buffers_bytes + capacity
    }

    fn into_bytes(mut self) -> Bytes {
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
        self.charge
            .shrink_to(self.head_bytes + self.bytes.capacity());
        charged(self.bytes, self.charge)
    }
}
