//! Relaying the events of a stream, from one upstream after the other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use tokio::sync::mpsc;

use super::connection::Connection;
use super::directory::Directory;
use super::forwarder::Surroundings;
use super::probe::{LossReason, LossWatch};
use super::run_copy::{free, guard, lock};
use super::send::{Answered, Attempt};
use super::stream_call::StreamRun;
use super::upstream::{Upstream, Work};
use crate::caller::sse::EventBuffer;
use crate::http::{BrokenOff, HttpResponse};
use crate::observe::metrics::{Counter, Span};
use crate::platform::call::strip_hop_headers;
use crate::policy::liveness::StreamPhase;

/// Events that may wait for a slow caller.
const UNSENT_EVENTS: usize = 8;

/// One upstream's part of the answer.
#[derive(Debug)]
struct Part {
    upstream: Arc<Upstream>,
    work: Work,
    connection: Connection,
    body: Incoming,
    reuse: Option<Option<Duration>>,
    watch: LossWatch,
}

/// How one upstream's part ended.
#[derive(Debug)]
enum PartEnd {
    Complete,
    Lost(String),
    CallerGone,
    TimeOver,
}

type EventSender = mpsc::Sender<Result<Frame<Bytes>, BrokenOff>>;

impl<S: Surroundings> StreamRun<S> {
    /// Gives the caller the head, and relays events from now on.
    pub(super) fn respond(self, attempt: Attempt<Answered>) -> HttpResponse {
        let (mut parts, part) = Part::new(&self.forwarder.directory, attempt);
        strip_hop_headers(&mut parts.headers);
        // How long the whole gets is not known where it may go on elsewhere.
        parts.headers.remove(CONTENT_LENGTH);
        let (sender, mut receiver) = mpsc::channel(UNSENT_EVENTS);
        tokio::spawn(self.relay(part, sender));
        let events = stream::poll_fn(move |cx| receiver.poll_recv(cx));
        HttpResponse::from_parts(parts, StreamBody::new(events).boxed_unsync())
    }

    async fn relay(mut self, mut part: Part, sender: EventSender) {
        loop {
            let upstream = part.upstream.clone();
            let cause = match self.relay_part(part, &sender).await {
                PartEnd::Lost(cause) => cause,
                end => return self.finish(&end, &sender).await,
            };
            let lost_at = Instant::now();
            self.forwarder.metrics.add(Counter::StreamsLost, 1);
            log::info!(
                "event=stream_lost call={} upstream={} cause={cause:?} last_event={:?} age_ms={}",
                self.call.id(),
                upstream.entry.id,
                self.last_event,
                self.call.age().as_millis()
            );
            if !self.may_repeat() {
                return self.finish(&PartEnd::Lost(cause), &sender).await;
            }
            let deadline = self.call.deadline.into();
            let opened = tokio::select! {
                opened = tokio::time::timeout_at(deadline, self.open()) => opened,
                () = sender.closed() => return self.finish(&PartEnd::CallerGone, &sender).await,
            };
            part = match opened {
                Ok(Ok(attempt)) => Part::new(&self.forwarder.directory, attempt).1,
                Ok(Err(failure)) => {
                    let cause = format!("{failure:?}");
                    return self.finish(&PartEnd::Lost(cause), &sender).await;
                }
                Err(_) => return self.finish(&PartEnd::TimeOver, &sender).await,
            };
            let metrics = &self.forwarder.metrics;
            metrics.add(Counter::StreamsResumed, 1);
            metrics.record(Span::Resume, lost_at.elapsed());
            log::info!(
                "event=stream_resumed call={} upstream={} after_ms={}",
                self.call.id(),
                part.upstream.entry.id,
                lost_at.elapsed().as_millis()
            );
        }
    }

    /// Relays what one upstream sends until it ends or is lost.
    async fn relay_part(&mut self, part: Part, sender: &EventSender) -> PartEnd {
        let Part {
            upstream,
            mut work,
            connection,
            mut body,
            reuse,
            mut watch,
        } = part;
        let forwarder = self.forwarder.clone();
        let mut events = EventBuffer::default();
        let mut phase = StreamPhase::Prefill;
        let mut _guard = None;
        let deadline = self.call.deadline.into();
        let mut is_handed_over = false;
        loop {
            let frame = tokio::select! {
                () = forwarder.node.cut_is_near(), if !is_handed_over => {
                    is_handed_over = true;
                    if let Some(session) = &self.call.headers.session {
                        forwarder.sessions.publish_handover(session, &upstream.entry.id);
                    }
                    continue;
                }
                frame = body.frame() => frame,
                loss = watch.wait_for_loss(&forwarder.directory, phase, &forwarder.metrics) => {
                    if loss == LossReason::NoProgress {
                        upstream.avoid(Instant::now());
                    }
                    return PartEnd::Lost(format!("{loss:?}"));
                }
                () = sender.closed() => {
                    self.free_copy(&upstream);
                    return PartEnd::CallerGone;
                }
                () = tokio::time::sleep_until(deadline) => return PartEnd::TimeOver,
            };
            let data = match frame {
                None if events.is_empty() => {
                    if let Some(idle_timeout) = reuse {
                        upstream.pool.put(connection, idle_timeout);
                    }
                    self.free_copy(&upstream);
                    return PartEnd::Complete;
                }
                None => return PartEnd::Lost("ended inside an event".to_owned()),
                Some(Err(error)) => {
                    upstream.avoid(Instant::now());
                    self.broke_before_event(&upstream);
                    self.forwarder.probe_after_disconnect(&upstream);
                    return PartEnd::Lost(error.to_string());
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            upstream.record_contact(Instant::now());
            if events.push(&data).is_err() {
                return PartEnd::Lost("an event without end".to_owned());
            }
            while let Some(event) = events.next_raw() {
                if phase == StreamPhase::Prefill {
                    forwarder.request_crashes.record_progress(&self.call);
                    if let Some(session) = &self.call.headers.session {
                        let now = Instant::now();
                        forwarder
                            .sessions
                            .record_prefill(session, &upstream.entry.id, now);
                    }
                }
                if phase == StreamPhase::Prefill && self.can_be_copied() {
                    let copy = self.copy.clone();
                    _guard = Some(guard(&forwarder, self.run_name(), upstream.clone(), copy));
                }
                phase = StreamPhase::Decode;
                work.prefill_done();
                if let Err(end) = self.relay_event(event.bytes, event.index, sender).await {
                    return end;
                }
            }
        }
    }

    fn free_copy(&self, upstream: &Arc<Upstream>) {
        if let Some(copy) = lock(&self.copy).take() {
            free(upstream.clone(), copy);
        }
    }

    /// Relays one event, unless the caller has it.
    async fn relay_event(
        &mut self,
        bytes: Bytes,
        index: Option<u64>,
        sender: &EventSender,
    ) -> Result<(), PartEnd> {
        if let (Some(index), Some(last)) = (index, self.last_event) {
            if index <= last {
                return Ok(());
            }
            if index > last + 1 {
                return Err(PartEnd::Lost(format!("event {index} follows {last}")));
            }
        }
        let deadline = self.call.deadline.into();
        let sent = tokio::time::timeout_at(deadline, sender.send(Ok(Frame::data(bytes)))).await;
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(PartEnd::CallerGone),
            Err(_) => return Err(PartEnd::TimeOver),
        }
        self.last_event = index.or(self.last_event);
        self.has_part_begun = true;
        self.count_event();
        Ok(())
    }

    fn count_event(&mut self) {
        let now = Instant::now();
        if let Some(earlier) = self.last_event_at.replace(now) {
            let pause_ms = now.saturating_duration_since(earlier).as_millis();
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(self.call.age().as_millis());
            let metrics = &self.forwarder.metrics;
            metrics.record(Span::FirstEvent, self.call.age());
        }
        self.event_count += 1;
    }

    /// Ends the response, so that an incomplete one does not look complete.
    async fn finish(&self, end: &PartEnd, sender: &EventSender) {
        let pause = Duration::from_millis(self.longest_pause_ms as u64);
        self.forwarder.metrics.record(Span::LongestPause, pause);
        log::info!(
            "event=stream_done call={} route={} end={end:?} events={} sends={} first_event_ms={:?} longest_pause_ms={} age_ms={}",
            self.call.id(),
            self.call.admitted.route.name,
            self.event_count,
            self.sends.sent_count(),
            self.first_event_ms,
            self.longest_pause_ms,
            self.call.age().as_millis()
        );
        if matches!(end, PartEnd::Complete) {
            return;
        }
        self.forwarder.metrics.add(Counter::StreamsBrokenOff, 1);
        // The caller may be gone already.
        let _ = sender.send(Err(BrokenOff)).await;
    }
}

impl Part {
    fn new(
        directory: &Directory,
        attempt: Attempt<Answered>,
    ) -> (hyper::http::response::Parts, Self) {
        let reuse = attempt.state.reuse();
        let watch = LossWatch::new(directory, attempt.upstream.clone());
        let (parts, body) = attempt.state.response.into_parts();
        let part = Self {
            upstream: attempt.upstream,
            work: attempt.work,
            connection: attempt.state.connection,
            body,
            reuse,
            watch,
        };
        (parts, part)
    }
}
