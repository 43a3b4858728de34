//! Reads the start of an answer's body before the caller gets any of it, so that
//! a short answer reaches the caller completely or not at all. A node never holds more than
//! [`LONG_ANSWER_BYTES`] of an answer, however long it is.

use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::http::response::Parts;
use tokio_util::sync::CancellationToken;

use super::attempt::{Answered, Attempt};
use super::connection::READ_BUFFER_MAX_BYTES;
use super::forwarder::{Forwarder, NodeContext};
use super::request::Call;
use crate::connection_activity::AnswerEnd;
use crate::http::{self, HttpResponse, TruncatedResponse};
use crate::memory::budget::{Charge, MemoryBudget};
use crate::memory::charged_bytes::charged;
use crate::memory::unread_answers::UnreadAnswer;
use crate::platform::call::strip_hop_headers;

/// Number of bytes of an answer that are read before the caller gets any.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Size up to which an answer is covered by what its call has reserved.
const UNCHARGED_BYTES: usize = 4 * 1024;
/// Largest start of an answer without an announced length that fits into [`READ_AHEAD_BYTES`]
/// together with the read buffer of the upstream's connection.
const SHORT_START_BYTES: usize = READ_AHEAD_BYTES - READ_BUFFER_MAX_BYTES;
/// Bytes that are held for an answer that is longer than its start: the start, a frame of
/// it at the caller's connection, one on its way there, and one at the upstream's.
const LONG_ANSWER_BYTES: usize = READ_AHEAD_BYTES + 3 * READ_BUFFER_MAX_BYTES;

/// A body of which the start has been read.
pub(super) enum BodyStart {
    Whole(Bytes),
    Long(LongBody),
}

/// The start of a body, what follows it, and the reservation for both.
pub(super) struct LongBody {
    /// The first [`READ_AHEAD_BYTES`], and the rest of the frame in which they end.
    start: [Bytes; 2],
    rest: Incoming,
    charge: Charge,
}

/// Reads the answer. The part of the body that exceeds [`READ_AHEAD_BYTES`] is
/// passed on to the caller as it arrives, until the deadline of the call.
pub(crate) async fn read<N: NodeContext>(
    attempt: Attempt<Answered>,
    forwarder: &Forwarder<N>,
    call: &Call,
) -> Result<HttpResponse, hyper::Error> {
    let Attempt {
        upstream,
        work,
        state,
    } = attempt;
    let reuse = state.reuse();
    let (mut parts, body) = state.response.into_parts();
    strip_hop_headers(&mut parts.headers);
    let response = match read_start(body, &forwarder.memory).await? {
        BodyStart::Whole(bytes) => {
            if let Some(idle_timeout) = reuse {
                upstream.pool.put(state.connection, idle_timeout);
            }
            HttpResponse::from_parts(parts, http::full(bytes))
        }
        BodyStart::Long(body) => {
            let kept = (state.connection, work);
            body.pass_on(parts, forwarder, call, kept)
        }
    };
    Ok(response)
}

/// Reads a body to its end, or until [`READ_AHEAD_BYTES`] of it have arrived. The body
/// stays unread while there is no memory for it, so the caller of this function bounds the
/// time.
pub(super) async fn read_start(
    mut body: Incoming,
    memory: &MemoryBudget,
) -> Result<BodyStart, hyper::Error> {
    let mut reader = StartReader::new(body.size_hint().exact());
    // Reserves before the first read: a body that was asked for fills the buffers of its
    // connection.
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    reader.reserve(announced_bytes, memory).await;
    loop {
        let Some(frame) = body.frame().await else {
            return Ok(BodyStart::Whole(reader.into_whole()));
        };
        let Ok(mut data) = frame?.into_data() else {
            continue;
        };
        reader
            .reserve(reader.bytes.len() + data.len(), memory)
            .await;
        let room = READ_AHEAD_BYTES - reader.bytes.len();
        let start = data.split_to(room.min(data.len()));
        reader.bytes.extend_from_slice(&start);
        if reader.bytes.len() == READ_AHEAD_BYTES
            && let Some(charge) = reader.charge
        {
            return Ok(BodyStart::Long(LongBody {
                start: [reader.bytes.into(), data],
                rest: body,
                charge,
            }));
        }
    }
}

/// The bytes read so far, and the reservation for them and for the buffers of the connection.
struct StartReader {
    /// Length of a body that ends within [`READ_AHEAD_BYTES`], if it is announced.
    short_length: Option<usize>,
    bytes: Vec<u8>,
    charge: Option<Charge>,
    reserved_bytes: usize,
}

impl StartReader {
    fn new(length: Option<u64>) -> Self {
        let length = length.and_then(|length| usize::try_from(length).ok());
        Self {
            short_length: length.filter(|length| *length < READ_AHEAD_BYTES),
            bytes: Vec::new(),
            charge: None,
            reserved_bytes: 0,
        }
    }

    /// Reserves memory for an answer of at least `needed` bytes. A long one is reserved before
    /// its start is complete, since an answer that waits for memory would otherwise hold more
    /// than is reserved for it.
    async fn reserve(&mut self, needed: usize, memory: &MemoryBudget) {
        let (reserved_bytes, capacity) = if needed <= UNCHARGED_BYTES {
            return;
        } else if let Some(length) = self.short_length {
            (READ_AHEAD_BYTES, length)
        } else if needed <= SHORT_START_BYTES {
            (READ_AHEAD_BYTES, SHORT_START_BYTES)
        } else {
            (LONG_ANSWER_BYTES, READ_AHEAD_BYTES)
        };
        if reserved_bytes <= self.reserved_bytes {
            return;
        }
        self.charge = Some(reserve(memory, reserved_bytes).await);
        self.reserved_bytes = reserved_bytes;
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }

    fn into_whole(mut self) -> Bytes {
        let Some(mut charge) = self.charge else {
            return self.bytes.into();
        };
        self.bytes.shrink_to_fit();
        charge.shrink_to(self.bytes.len());
        charged(self.bytes, charge)
    }
}

/// Waits for memory as long as it takes.
async fn reserve(memory: &MemoryBudget, bytes: usize) -> Charge {
    loop {
        if let Some(charge) = memory.reserve(bytes).await {
            return charge;
        }
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// When the answer to a call must have been read.
    pub(super) fn answer_end(&self, call: &Call, reclaimed: CancellationToken) -> AnswerEnd {
        AnswerEnd {
            deadline: call.deadline,
            reclaimed,
            unread: UnreadAnswer {
                call: call.id().to_owned(),
                memory: self.memory.clone(),
                metrics: self.metrics.clone(),
            },
        }
    }
}

impl LongBody {
    /// Passes on the body of a long answer until the call's deadline: a faulty upstream may
    /// send without end. Its connection is not reused; `kept` is held until the body has ended.
    pub(super) fn pass_on<N: NodeContext, K: Send + 'static>(
        self,
        head: Parts,
        forwarder: &Forwarder<N>,
        call: &Call,
        kept: K,
    ) -> HttpResponse {
        let deadline = call.deadline;
        let registration = forwarder.memory.register(LONG_ANSWER_BYTES);
        let end = forwarder.answer_end(call, registration.reclaimed().clone());
        let held = (registration, self.charge, kept);
        let start = self.start.into_iter().filter(|bytes| !bytes.is_empty());
        let state = (start, self.rest, held);
        let frames = stream::unfold(state, move |(mut start, mut body, held)| async move {
            if let Some(bytes) = start.next() {
                held.0.record_progress(LONG_ANSWER_BYTES);
                return Some((Ok(Frame::data(bytes)), (start, body, held)));
            }
            held.0.record_own_wait();
            // The time-out alone would not end a body that always has a frame.
            let in_time = (Instant::now() < deadline)
                .then(|| tokio::time::timeout_at(deadline.into(), body.frame()));
            let frame = match in_time {
                Some(frame) => frame.await.ok(),
                None => None,
            };
            held.0.record_progress(LONG_ANSWER_BYTES);
            let passed_on = match frame {
                Some(frame) => frame?.map_err(|_| TruncatedResponse),
                None => Err(TruncatedResponse),
            };
            Some((passed_on, (start, body, held)))
        });
        let body = StreamBody::new(frames).boxed_unsync();
        let mut response = HttpResponse::from_parts(head, body);
        response.extensions_mut().insert(end);
        response
    }
}
