//! The answer of the upstream that runs a stream, while the stream may move away.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};

use super::connection::Connection;
use super::upstream::Upstream;
use super::write_signal::WriteSignal;

/// The part of an answer that has not arrived. Dropping it closes the connection,
/// which cancels the run.
#[derive(Debug)]
pub(super) struct OpenAnswer {
    pub(super) body: Incoming,
    pub(super) connection: Connection,
}

/// The answer of a stream's present upstream, beside which another upstream is asked
/// for the stream.
pub(super) struct PresentAnswer {
    answer: OpenAnswer,
    upstream: Arc<Upstream>,
    call_id: String,
    broke: Option<hyper::Error>,
    /// Set when the call is sent to the other upstream.
    sent_elsewhere: Option<WriteSignal>,
}

impl PresentAnswer {
    pub(super) fn new(answer: OpenAnswer, upstream: &Arc<Upstream>, call_id: &str) -> Self {
        Self {
            answer,
            upstream: upstream.clone(),
            call_id: call_id.to_owned(),
            broke: None,
            sent_elsewhere: None,
        }
    }

    /// Records that the call goes to another upstream, and the signal of that send.
    pub(super) fn moves_with(&mut self, written: WriteSignal) {
        self.sent_elsewhere = Some(written);
    }

    /// Whether the upstream reads a close, as far as is known. One that can't be reached
    /// does not, and goes on with the stream if it returns before the other has answered.
    pub(super) fn is_reached(&self) -> bool {
        !self.upstream.is_unreachable()
    }

    /// Waits for the next frame or the end of the answer. Never completes once the
    /// connection broke.
    pub(super) async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        if self.broke.is_none() {
            match self.answer.body.frame().await {
                Some(Err(broken)) => self.broke = Some(broken),
                frame => return frame,
            }
        }
        std::future::pending().await
    }

    /// Gives the answer back, with the error of its connection if that broke.
    pub(super) fn into_parts(self) -> (OpenAnswer, Option<hyper::Error>) {
        (self.answer, self.broke)
    }

    /// Closes the connection, since the stream goes on elsewhere. Returns the error of
    /// the connection if that had broken before.
    ///
    /// Until the upstream reads the close, both may work on the call, so the log states
    /// for how long, see `docs/OPERATIONS.md`.
    pub(super) fn close(self) -> Option<hyper::Error> {
        let sent_elsewhere_at = self.sent_elsewhere.and_then(|signal| signal.written_at());
        let overlap = sent_elsewhere_at.map(|at| at.elapsed().as_millis());
        let silence = self.upstream.time_since_contact(Instant::now());
        log::info!(
            "event=run_closed call={} upstream={} had_broken={} overlap_ms={overlap:?} heard_ms_ago={:?}",
            self.call_id,
            self.upstream.entry.id,
            self.broke.is_some(),
            silence.map(|silence| silence.as_millis())
        );
        self.broke
    }
}
