//! The body of a plain answer, read ahead so that it goes out whole or not.

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::send::{Answered, Attempt};
use crate::http::{self, BrokenOff, HttpResponse, ResponseBody};
use crate::platform::call::strip_hop_headers;

/// Bytes of a plain answer that are read before the caller gets any.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// Reads the answer, and passes on as it comes what exceeds the read-ahead.
pub(crate) async fn read(attempt: Attempt<Answered>) -> Result<HttpResponse, hyper::Error> {
    let Attempt {
        upstream,
        work,
        state,
    } = attempt;
    let reuse = state.reuse();
    let (mut parts, mut body) = state.response.into_parts();
    strip_hop_headers(&mut parts.headers);
    let mut start = BytesMut::new();
    while start.len() < READ_AHEAD_BYTES {
        let Some(frame) = body.frame().await else {
            if let Some(idle_timeout) = reuse {
                upstream.pool.put(state.connection, idle_timeout);
            }
            let whole = http::full(start.freeze());
            return Ok(HttpResponse::from_parts(parts, whole));
        };
        if let Ok(data) = frame?.into_data() {
            start.extend_from_slice(&data);
        }
    }
    let rest = rest(start.freeze(), body, (state.connection, work));
    Ok(HttpResponse::from_parts(parts, rest))
}

/// Passes on a long body; its connection is not used again.
fn rest<K: Send + 'static>(start: Bytes, body: Incoming, kept: K) -> ResponseBody {
    let frames = stream::unfold((Some(start), body, kept), |(start, mut body, kept)| async {
        if let Some(start) = start {
            return Some((Ok(Frame::data(start)), (None, body, kept)));
        }
        let frame = body.frame().await?;
        Some((frame.map_err(|_| BrokenOff), (None, body, kept)))
    });
    StreamBody::new(frames).boxed_unsync()
}
