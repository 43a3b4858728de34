//! Reads the start of an answer's body before the caller gets any of it, so that
//! a short answer reaches the caller completely or not at all. A node never holds more than
//! this start of an answer, however long it is.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::attempt::{Answered, Attempt};
use crate::http::{self, HttpResponse, ResponseBody, TruncatedResponse};
use crate::platform::call::strip_hop_headers;

/// Number of bytes of an answer that are read before the caller gets any.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// A body of which the start has been read.
pub(super) enum BodyStart {
    Whole(Bytes),
    /// The start, and what follows it.
    Long(Bytes, Incoming),
}

/// Reads the answer. The part of the body that exceeds [`READ_AHEAD_BYTES`] is
/// passed on to the caller as it arrives, until `deadline`.
pub(crate) async fn read(
    attempt: Attempt<Answered>,
    deadline: Instant,
) -> Result<HttpResponse, hyper::Error> {
    let Attempt {
        upstream,
        work,
        state,
    } = attempt;
    let reuse = state.reuse();
    let (mut parts, body) = state.response.into_parts();
    strip_hop_headers(&mut parts.headers);
    let body = match read_start(body).await? {
        BodyStart::Whole(bytes) => {
            if let Some(idle_timeout) = reuse {
                upstream.pool.put(state.connection, idle_timeout);
            }
            http::full(bytes)
        }
        BodyStart::Long(start, rest) => pass_on(start, rest, deadline, (state.connection, work)),
    };
    Ok(HttpResponse::from_parts(parts, body))
}

/// Reads a body to its end, or until [`READ_AHEAD_BYTES`] of it have arrived.
pub(super) async fn read_start(mut body: Incoming) -> Result<BodyStart, hyper::Error> {
    let mut start = BytesMut::new();
    while start.len() < READ_AHEAD_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(BodyStart::Whole(start.freeze()));
        };
        if let Ok(data) = frame?.into_data() {
            start.extend_from_slice(&data);
        }
    }
    Ok(BodyStart::Long(start.freeze(), body))
}

/// Passes on the body of a long answer until `deadline`: a faulty upstream may send
/// without end. Its connection is not reused; `kept` is held until the body has ended.
pub(super) fn pass_on<K: Send + 'static>(
    start: Bytes,
    body: Incoming,
    deadline: Instant,
    kept: K,
) -> ResponseBody {
    let state = (Some(start), body, kept);
    let frames = stream::unfold(state, move |(start, mut body, kept)| async move {
        if let Some(start) = start {
            return Some((Ok(Frame::data(start)), (None, body, kept)));
        }
        // The time-out alone would not end a body that always has a frame.
        let in_time = (Instant::now() < deadline)
            .then(|| tokio::time::timeout_at(deadline.into(), body.frame()));
        let frame = match in_time {
            Some(frame) => frame.await.ok(),
            None => None,
        };
        let passed_on = match frame {
            Some(frame) => frame?.map_err(|_| TruncatedResponse),
            None => Err(TruncatedResponse),
        };
        Some((passed_on, (None, body, kept)))
    });
    StreamBody::new(frames).boxed_unsync()
}
