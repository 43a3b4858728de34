//! Moves a stream away from an upstream that is silent.
//!
//! A silent upstream may be lost, or it may go on after a second. Moving its
//! streams early keeps their pauses short if it is lost, but a stream that leaves
//! it and finds no other upstream is cut for nothing. A stream is therefore sent
//! elsewhere only if that is allowed, its retry is paid for, and the other upstream
//! responds; once it has begun, it leaves its upstream only when the other one has
//! answered. Otherwise the stream stays until its upstream goes on, its connection
//! breaks, or its deadline passes.
//! `docs/RESUME.md` compares this with other ways.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::attempt::{Answered, Attempt};
use super::forwarder::{Forwarder, NodeContext};
use super::probe::probe_engine;
use super::run_replica::lock;
use super::stream_call::{NextUpstream, OpenFailure, StreamRun};
use super::upstream::Upstream;
use crate::observe::metrics::Counter;
use crate::policy::failure_response::GiveUpReason;

/// Maximum number of upstreams that are considered for one move.
const CANDIDATES_MAX: u32 = 3;
/// Age of the last answer or event of an upstream up to which it is not probed
/// before a stream moves to it.
const CONTACT_MAX_AGE: Duration = Duration::from_millis(250);

impl<N: NodeContext> StreamRun<N> {
    /// Prepares the move of the stream to another upstream, and returns whether it
    /// can move. The caller then leaves the present upstream and calls
    /// [`Self::open`].
    pub(super) async fn prepare_move(&mut self) -> bool {
        match self.next_responsive_upstream().await {
            Ok(next) => {
                self.next = Some(next);
                true
            }
            Err(failure) => {
                log::info!(
                    "event=stream_held call={} cause={failure:?} silent_ms={} sends={} age_ms={}",
                    self.call.id(),
                    self.silence().as_millis(),
                    self.sends.sent_count(),
                    self.call.age().as_millis()
                );
                false
            }
        }
    }

    /// Opens the stream at another upstream, while its present one is silent but not
    /// given up. Returns `None` if no other upstream takes it.
    ///
    /// The caller of this may drop the future, if the present upstream goes on, and
    /// then calls [`Self::stay`].
    pub(super) async fn open_elsewhere(&mut self) -> Option<Attempt<Answered>> {
        let has_sent_event = self.has_upstream_sent_event;
        loop {
            if self.next.is_none() && !self.prepare_move().await {
                return None;
            }
            let next = self.next.take()?;
            if let Ok(Ok(attempt)) = self.try_upstream(next).await {
                return Some(attempt);
            }
            self.stay(has_sent_event);
        }
    }

    /// Returns to the present upstream after a try to open the stream at another one.
    pub(super) fn stay(&mut self, has_upstream_sent_event: bool) {
        self.has_upstream_sent_event = has_upstream_sent_event;
        // It is a replica of the run at the other upstream.
        lock(&self.replica).take();
    }

    async fn next_responsive_upstream(&self) -> Result<NextUpstream, OpenFailure> {
        if !self.may_repeat() {
            return Err(OpenFailure::given_up(
                GiveUpReason::UpstreamsFailed,
                "the stream must not run twice",
            ));
        }
        self.check_may_send()?;
        for _ in 0..CANDIDATES_MAX {
            let upstream = self.choose_upstream()?;
            if self.forwarder.responds(&upstream).await {
                self.spend_retry().await?;
                return Ok(self.next_at(upstream));
            }
            self.exclude(&upstream);
        }
        Err(OpenFailure::given_up(
            GiveUpReason::NoUpstream,
            "no other upstream responds",
        ))
    }

    /// Ranks an upstream that does not respond behind all others for a while. It is
    /// not declared lost: only the streams that run at it can tell whether it is.
    fn exclude(&self, upstream: &Arc<Upstream>) {
        upstream.avoid(Instant::now());
        lock(&self.replica).take_if(|replica| Arc::ptr_eq(&replica.holder, upstream));
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Whether the upstream responds: it sent something just now, or answers a
    /// probe.
    async fn responds(&self, upstream: &Arc<Upstream>) -> bool {
        let silence = upstream.time_since_contact(Instant::now());
        if silence.is_some_and(|silence| silence < CONTACT_MAX_AGE) {
            return true;
        }
        self.metrics.add(Counter::EngineProbes, 1);
        probe_engine(upstream).await.is_some()
    }
}
