//! Moves a stream away from an upstream that is silent.
//!
//! A silent upstream may be lost, or it may go on after a second. Moving its
//! streams early keeps their pauses short if it is lost, but a stream that leaves
//! it and finds no other upstream is cut for nothing. A stream therefore leaves a
//! silent upstream only when the next send is certain: it is allowed, its retry is
//! paid for, and its upstream responds. Otherwise the stream stays until its
//! upstream goes on, its connection breaks, or its deadline passes.
//! `docs/RESUME.md` compares this with other ways.

use std::sync::Arc;
use std::time::{Duration, Instant};

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
