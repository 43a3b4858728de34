//! Relays the events of a stream to the caller.
//!
//! The stream consists of segments. A segment is the part that one upstream
//! sends; when that upstream is lost, the stream resumes at another one with the
//! next segment.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::attempt::{Answered, Attempt};
use super::directory::Directory;
use super::forwarder::NodeContext;
use super::present_answer::{OpenAnswer, PresentAnswer};
use super::probe::{LossReason, LossWatch};
use super::request_crashes::AnswerPhase;
use super::run_replica::{free_replica, lock, maintain_replica};
use super::stream_call::StreamRun;
use super::stream_move::MoveOutcome;
use super::upstream::{Upstream, Work, version_for_log};
use crate::caller::sse::EventBuffer;
use crate::http::{HttpResponse, TruncatedResponse};
use crate::memory::budget::MemoryBudget;
use crate::memory::charged_bytes::charged;
use crate::observe::metrics::{Counter, Span};
use crate::platform::call::strip_hop_headers;
use crate::platform::event_stream::{StreamPart, read_part};
use crate::policy::crash_time::{LATE_CRASH_MAX, SURVIVAL_TIME, Survival};
use crate::policy::engine_speed::GapMeter;
use crate::policy::liveness::StreamPhase;

/// Maximum number of events that are queued for a slow caller.
const QUEUED_EVENTS_MAX: usize = 8;
/// Interval at which a run that goes on refutes crashes which took longer.
const SURVIVAL_INTERVAL: Duration = Duration::from_millis(250);

/// Size up to which queued events are covered by what their call has reserved.
const UNCHARGED_EVENT_BYTES: usize = 512;
/// Number of events of a segment over which the time between events is measured.
const GAP_EVENT_COUNT: u32 = 16;

/// Time that an event waits for the caller from which the times of the events that follow
/// show the speed of the caller, and not that of the engine.
const CALLER_WAIT_MIN: Duration = Duration::from_millis(5);

/// The part of the stream that one upstream sends.
#[derive(Debug)]
struct Segment {
    upstream: Arc<Upstream>,
    work: Work,
    answer: OpenAnswer,
    /// `None` if the connection closes after the answer. Otherwise the idle
    /// time-out of the upstream, if the answer states one.
    reuse: Option<Option<Duration>>,
    /// Whether the answer ends with its connection, because it has neither a length
    /// nor chunks.
    is_close_delimited: bool,
    loss_watch: LossWatch,
}

/// The move of a stream to another upstream.
#[derive(Debug)]
struct Move {
    attempt: Box<Attempt<Answered>>,
    began_at: Instant,
}

/// How a segment, or the whole stream, ended.
#[derive(Debug)]
enum SegmentEnd {
    Complete,
    /// The upstream was lost, for the given cause.
    Lost(String),
    /// Another upstream has answered, while this one was silent.
    Moved(Move),
    CallerGone,
    /// The deadline of the call has passed.
    TimeOver,
}

pub(super) type EventSender = mpsc::Sender<Result<Frame<Bytes>, TruncatedResponse>>;

impl<N: NodeContext> StreamRun<N> {
    /// Returns the response to the caller, with the head of the first upstream's
    /// answer, and starts the task that relays the events.
    pub(super) fn respond(self, attempt: Attempt<Answered>) -> HttpResponse {
        let (mut head, segment) = Segment::new(&self.forwarder.directory, attempt);
        strip_hop_headers(&mut head.headers);
        // The length of the whole stream is unknown, since it may resume at
        // another upstream.
        head.headers.remove(CONTENT_LENGTH);
        let (sender, mut receiver) = mpsc::channel(QUEUED_EVENTS_MAX);
        let end = self
            .forwarder
            .answer_end(&self.call, CancellationToken::new());
        head.extensions.insert(end);
        tokio::spawn(self.relay(segment, sender));
        let events = stream::poll_fn(move |cx| receiver.poll_recv(cx));
        HttpResponse::from_parts(head, StreamBody::new(events).boxed_unsync())
    }

    async fn relay(mut self, mut segment: Segment, sender: EventSender) {
        loop {
            let upstream = segment.upstream.clone();
            let (lost_at, attempt) = match self.relay_segment(segment, &sender).await {
                SegmentEnd::Moved(moved) => (moved.began_at, *moved.attempt),
                SegmentEnd::Lost(cause) => {
                    self.record_loss(&upstream, &cause);
                    let lost_at = Instant::now();
                    match self.reopen(cause, &sender).await {
                        Ok(attempt) => (lost_at, attempt),
                        Err(end) => return self.finish(&end, &sender).await,
                    }
                }
                end => return self.finish(&end, &sender).await,
            };
            segment = Segment::new(&self.forwarder.directory, attempt).1;
            self.record_resume(&segment.upstream, lost_at);
        }
    }

    /// Opens the stream again after its upstream was lost.
    async fn reopen(
        &mut self,
        cause: String,
        sender: &EventSender,
    ) -> Result<Attempt<Answered>, SegmentEnd> {
        if !self.may_repeat() {
            return Err(SegmentEnd::Lost(cause));
        }
        let deadline = self.call.deadline.into();
        let opened = tokio::select! {
            opened = tokio::time::timeout_at(deadline, self.open()) => opened,
            () = sender.closed() => return Err(SegmentEnd::CallerGone),
        };
        match opened {
            Ok(Ok(attempt)) => Ok(attempt),
            Ok(Err(failure)) => Err(SegmentEnd::Lost(format!("{failure:?}"))),
            Err(_) => Err(SegmentEnd::TimeOver),
        }
    }

    fn record_loss(&self, upstream: &Upstream, cause: &str) {
        self.forwarder.metrics.add(Counter::StreamsLost, 1);
        if self.has_upstream_sent_event {
            self.forwarder.rollouts.record_broken(&self.call, upstream);
        } else {
            self.forwarder.rollouts.record_failed(&self.call, upstream);
        }
        let silence = upstream.time_since_contact(Instant::now());
        log::info!(
            "event=stream_lost call={} upstream={} version={} began_at={} cause={cause:?} last_event={:?} silent_ms={} heard_ms_ago={:?} wrote_ms={:?} sends={} sends_max={} age_ms={}",
            self.call.id(),
            upstream.entry.id,
            version_for_log(upstream.software_version()),
            self.origin_for_log(),
            self.last_event,
            self.silence().as_millis(),
            silence.map(|silence| silence.as_millis()),
            self.upstream_began_at.map(|at| at.elapsed().as_millis()),
            self.sends.sent_count(),
            self.call.sends_max,
            self.call.age().as_millis()
        );
    }

    fn record_resume(&self, upstream: &Upstream, lost_at: Instant) {
        let metrics = &self.forwarder.metrics;
        metrics.add(Counter::StreamsResumed, 1);
        metrics.record(Span::Resume, lost_at.elapsed());
        log::info!(
            "event=stream_resumed call={} upstream={} version={} began_at={} after_ms={}",
            self.call.id(),
            upstream.entry.id,
            version_for_log(upstream.software_version()),
            self.origin_for_log(),
            lost_at.elapsed().as_millis()
        );
    }

    /// Relays the events of one upstream until its segment ends.
    async fn relay_segment(&mut self, segment: Segment, sender: &EventSender) -> SegmentEnd {
        let Segment {
            upstream,
            mut work,
            mut answer,
            reuse,
            is_close_delimited,
            mut loss_watch,
        } = segment;
        let forwarder = self.forwarder.clone();
        let mut events = EventBuffer::default();
        let mut phase = StreamPhase::Prefill;
        let mut first_event_at = None;
        self.upstream_began_at = None;
        let mut segment_event_count = 0;
        let mut last_index = None;
        let mut gap_meter = GapMeter::default();
        let mut _replica_task = None;
        let deadline = self.call.deadline.into();
        let mut is_handed_over = false;
        let mut survival_due = SURVIVAL_TIME;
        let mut later_start_wait: Option<AbortHandle> = None;
        let is_resumed = self.last_event.is_some();
        loop {
            let frame = tokio::select! {
                () = forwarder.node.shutdown_imminent(), if !is_handed_over => {
                    is_handed_over = true;
                    if let Some(session) = &self.call.headers.session {
                        forwarder.sessions.publish_handover(session, &upstream.entry.id);
                    }
                    continue;
                }
                frame = answer.body.frame() => frame,
                loss = loss_watch.wait_for_loss(&forwarder.directory, phase, &forwarder.metrics) => {
                    let began_at = Instant::now();
                    if later_start_wait.is_none() {
                        later_start_wait = self.check_for_later_start(&upstream, first_event_at);
                    }
                    let present = PresentAnswer::new(answer, &upstream, self.call.id());
                    match self.try_move(present, sender).await {
                        MoveOutcome::GoesOn(present, frame) => {
                            answer = present;
                            frame
                        }
                        MoveOutcome::Stays(present) => {
                            answer = present;
                            loss_watch.hold();
                            continue;
                        }
                        MoveOutcome::Moved(attempt, error) => {
                            self.handle_departure(&upstream, loss, error, first_event_at);
                            self.record_loss(&upstream, &format!("{loss:?}"));
                            return SegmentEnd::Moved(Move { attempt, began_at });
                        }
                        MoveOutcome::Left(cause, error) => {
                            self.handle_departure(&upstream, loss, error, first_event_at);
                            return SegmentEnd::Lost(format!("{loss:?}, {cause}"));
                        }
                        MoveOutcome::CallerGone => {
                            self.free_current_replica(&upstream);
                            return SegmentEnd::CallerGone;
                        }
                        MoveOutcome::TimeOver => return SegmentEnd::TimeOver,
                    }
                }
                () = sender.closed() => {
                    self.free_current_replica(&upstream);
                    return SegmentEnd::CallerGone;
                }
                () = tokio::time::sleep_until(deadline) => return SegmentEnd::TimeOver,
            };
            let data = match frame {
                None if events.is_empty() && !self.is_end(last_index) => {
                    self.handle_disconnect(&upstream, first_event_at);
                    let cause = format!("the answer ended after event {last_index:?}");
                    return SegmentEnd::Lost(cause);
                }
                None if events.is_empty() => {
                    if let Some(idle_timeout) = reuse {
                        upstream.pool.put(answer.connection, idle_timeout);
                    }
                    self.free_current_replica(&upstream);
                    // An upstream that crashes may seem to end such an answer.
                    if !is_close_delimited {
                        self.record_end(first_event_at, is_resumed);
                    }
                    return SegmentEnd::Complete;
                }
                None => {
                    self.handle_disconnect(&upstream, first_event_at);
                    return SegmentEnd::Lost("the answer ended within an event".to_owned());
                }
                Some(Err(error)) => {
                    self.handle_disconnect(&upstream, first_event_at);
                    return SegmentEnd::Lost(error.to_string());
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            upstream.record_contact(Instant::now());
            // The upstream goes on, so a later restart of it is no crash under this call.
            if let Some(wait) = later_start_wait.take() {
                wait.abort();
            }
            if events.push(&data).is_err() {
                return SegmentEnd::Lost("an event exceeds the maximum size".to_owned());
            }
            while let Some(event) = events.next_raw() {
                let index = match read_part(&event) {
                    StreamPart::Event(index) => index,
                    StreamPart::Comment => continue,
                    StreamPart::Other => {
                        self.handle_disconnect(&upstream, first_event_at);
                        let cause = "the answer has bytes that are no event";
                        return SegmentEnd::Lost(cause.to_owned());
                    }
                };
                last_index = Some(index);
                let arrived_at = Instant::now();
                if phase == StreamPhase::Prefill {
                    self.record_prefill(&upstream);
                    self.reread_turn = None;
                    _replica_task = self.maintain_replica(&upstream);
                }
                phase = StreamPhase::Decode;
                segment_event_count += 1;
                let began_at = *first_event_at.get_or_insert_with(Instant::now);
                self.upstream_began_at = first_event_at;
                if segment_event_count == GAP_EVENT_COUNT {
                    let gap = began_at.elapsed() / (GAP_EVENT_COUNT - 1);
                    let rollouts = &forwarder.rollouts;
                    rollouts.record_gap(&self.call, &upstream, gap);
                }
                if began_at.elapsed() >= survival_due {
                    survival_due = began_at.elapsed() + SURVIVAL_INTERVAL;
                    self.record_survival(began_at);
                }
                if self.event_count == 0
                    && let Err(end) = self.begin_run(&upstream, sender).await
                {
                    return end;
                }
                work.first_event_arrived(arrived_at);
                if let Some(gap) = gap_meter.record_event(arrived_at) {
                    upstream.learn_speed(|speed| speed.record_gap(gap, arrived_at));
                }
                if let Err(end) = self.relay_event(event, index, sender).await {
                    return end;
                }
                if arrived_at.elapsed() >= CALLER_WAIT_MIN {
                    gap_meter.record_wait();
                }
            }
        }
    }

    /// Records that the run begins at the upstream, and holds its first event back until the
    /// store can't name another version as its origin. The upstream is sound meanwhile, and the
    /// stream goes on at no other one.
    async fn begin_run(
        &mut self,
        upstream: &Arc<Upstream>,
        sender: &EventSender,
    ) -> Result<(), SegmentEnd> {
        let Some(run) = self.record_origin(upstream).await else {
            return Ok(());
        };
        tokio::select! {
            biased;
            () = self.forwarder.node.wait_for_origin_correction(run) => Ok(()),
            () = sender.closed() => {
                self.free_current_replica(upstream);
                Err(SegmentEnd::CallerGone)
            }
            () = tokio::time::sleep_until(self.call.deadline.into()) => Err(SegmentEnd::TimeOver),
        }
    }

    /// Whether an answer that ended in order, with `last_index` as its last event, ends the
    /// stream. One that ends before what the caller has, or brings no event, looks like the
    /// answer of an upstream that failed.
    fn is_end(&self, last_index: Option<u64>) -> bool {
        last_index.is_some_and(|index| self.last_event <= Some(index))
    }

    /// Records that the upstream finished the prefill of the call.
    fn record_prefill(&self, upstream: &Upstream) {
        let forwarder = &self.forwarder;
        let time = self.sent_at.elapsed();
        forwarder.rollouts.record_time(&self.call, upstream, time);
        if let Some(session) = &self.call.headers.session {
            let now = Instant::now();
            forwarder
                .sessions
                .record_prefill(session, &upstream.entry.id, now);
        }
    }

    /// Starts to maintain a replica of the run at `upstream`, if its service supports
    /// replicas.
    fn maintain_replica(&self, upstream: &Arc<Upstream>) -> Option<AbortOnDropHandle<()>> {
        if !self.can_be_replicated() {
            return None;
        }
        let (run, slot) = (self.replicated_run(), self.replica.clone());
        Some(maintain_replica(
            &self.forwarder,
            run,
            upstream.clone(),
            slot,
        ))
    }

    /// Records that an upstream goes on with the answer that it began to write at `began_at`.
    fn record_survival(&mut self, began_at: Instant) {
        self.has_survived |= began_at.elapsed() >= LATE_CRASH_MAX;
        if let Some(survival) = Survival::of_running(began_at, Instant::now()) {
            let crashes = &self.forwarder.request_crashes;
            crashes.record_survival(&self.call, survival);
        }
    }

    /// Records that an upstream wrote the answer, or the rest of a resumed one, to its end.
    fn record_end(&self, first_event_at: Option<Instant>, is_resumed: bool) {
        let began_at = first_event_at.unwrap_or_else(Instant::now);
        let crashes = &self.forwarder.request_crashes;
        if is_resumed {
            crashes.record_rest(&self.call, began_at);
        } else {
            crashes.record_whole_answer(&self.call, began_at);
        }
    }

    /// Checks what became of an upstream whose connection broke. One that had sent
    /// events for long did not crash under the call.
    fn handle_disconnect(&mut self, upstream: &Arc<Upstream>, first_event_at: Option<Instant>) {
        upstream.avoid(Instant::now());
        let written = self.time_written(upstream, first_event_at);
        if written < LATE_CRASH_MAX {
            self.check_for_crash(upstream, AnswerPhase::Writing(written));
        }
        self.forwarder.probe_after_disconnect(upstream);
    }

    /// Time from the first event of an upstream to the last bytes from it. A crash may leave the
    /// connection open and silent for seconds.
    fn time_written(&self, upstream: &Upstream, first_event_at: Option<Instant>) -> Duration {
        let since_first = first_event_at.map_or(Duration::ZERO, |at| at.elapsed());
        let silence = upstream.time_since_contact(Instant::now());
        since_first.saturating_sub(silence.unwrap_or_default())
    }

    /// Checks whether an upstream that is silent has crashed and left its connection open, which
    /// its next start tells. The stream may take seconds to leave it.
    fn check_for_later_start(
        &self,
        upstream: &Arc<Upstream>,
        first_event_at: Option<Instant>,
    ) -> Option<AbortHandle> {
        let written = self.time_written(upstream, first_event_at);
        if written >= LATE_CRASH_MAX {
            return None;
        }
        let phase = AnswerPhase::Writing(written);
        let wait = self
            .forwarder
            .check_for_later_start(&self.call, upstream, phase);
        Some(wait)
    }

    /// Applies what the move of the stream away from an upstream says of that upstream.
    fn handle_departure(
        &mut self,
        upstream: &Arc<Upstream>,
        loss: LossReason,
        error: Option<hyper::Error>,
        first_event_at: Option<Instant>,
    ) {
        if loss == LossReason::NoProgress {
            upstream.avoid(Instant::now());
        }
        if error.is_some() {
            self.handle_disconnect(upstream, first_event_at);
        }
    }

    fn free_current_replica(&self, upstream: &Arc<Upstream>) {
        if let Some(replica) = lock(&self.replica).take() {
            free_replica(upstream.clone(), replica);
        }
    }

    /// Relays one event, unless the caller has received it already. A gap in
    /// the indices ends the segment.
    async fn relay_event(
        &mut self,
        bytes: Bytes,
        index: u64,
        sender: &EventSender,
    ) -> Result<(), SegmentEnd> {
        if let Some(last) = self.last_event {
            if index <= last {
                return Ok(());
            }
            if index > last + 1 {
                return Err(SegmentEnd::Lost(format!(
                    "events are missing: event {index} follows event {last}"
                )));
            }
        }
        let deadline = self.call.deadline.into();
        let sending = async {
            let bytes = charged_event(&self.forwarder.memory, bytes).await;
            sender.send(Ok(Frame::data(bytes))).await
        };
        match tokio::time::timeout_at(deadline, sending).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(SegmentEnd::CallerGone),
            Err(_) => return Err(SegmentEnd::TimeOver),
        }
        self.last_event = Some(index);
        self.has_upstream_sent_event = true;
        self.record_event();
        Ok(())
    }

    /// Time since the last event was passed on, or since the call arrived.
    pub(super) fn silence(&self) -> Duration {
        self.last_event_at
            .map_or_else(|| self.call.age(), |at| at.elapsed())
    }

    fn record_event(&mut self) {
        let now = Instant::now();
        if let Some(previous) = self.last_event_at.replace(now) {
            let pause_ms = now.saturating_duration_since(previous).as_millis();
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(self.call.age().as_millis());
            let metrics = &self.forwarder.metrics;
            metrics.record(Span::FirstEvent, self.call.age());
        }
        self.event_count += 1;
    }

    /// Logs the end of the stream, and breaks off the response of an incomplete
    /// one, so that it does not look complete to the caller.
    async fn finish(&self, end: &SegmentEnd, sender: &EventSender) {
        let pause = Duration::from_millis(self.longest_pause_ms as u64);
        self.forwarder.metrics.record(Span::LongestPause, pause);
        log::info!(
            "event=stream_done call={} route={} end={end:?} events={} sends={} first_event_ms={:?} longest_pause_ms={} age_ms={} parts={}",
            self.call.id(),
            self.call.matched.route.name,
            self.event_count,
            self.sends.sent_count(),
            self.first_event_ms,
            self.longest_pause_ms,
            self.call.age().as_millis(),
            self.call.shared_parts_for_log()
        );
        if matches!(end, SegmentEnd::Complete) {
            return;
        }
        self.forwarder.metrics.add(Counter::StreamsBrokenOff, 1);
        // Fails if the caller has disconnected.
        let _ = sender.send(Err(TruncatedResponse)).await;
    }
}

/// Reserves memory for an event that is too large for what its call has reserved.
pub(super) async fn charged_event(memory: &MemoryBudget, event: Bytes) -> Bytes {
    if event.len() <= UNCHARGED_EVENT_BYTES {
        return event;
    }
    loop {
        if let Some(charge) = memory.reserve(event.len()).await {
            return charged(event, charge);
        }
    }
}

impl Segment {
    /// Splits an answer into its head and the segment that follows.
    fn new(
        directory: &Directory,
        attempt: Attempt<Answered>,
    ) -> (hyper::http::response::Parts, Self) {
        let reuse = attempt.state.reuse();
        let loss_watch = LossWatch::new(directory, attempt.upstream.clone());
        let (head, body) = attempt.state.response.into_parts();
        let is_framed = |name| head.headers.contains_key(name);
        let is_close_delimited = !is_framed(CONTENT_LENGTH) && !is_framed(TRANSFER_ENCODING);
        let segment = Self {
            upstream: attempt.upstream,
            work: attempt.work,
            answer: OpenAnswer {
                body,
                connection: attempt.state.connection,
            },
            reuse,
            is_close_delimited,
            loss_watch,
        };
        (head, segment)
    }
}
