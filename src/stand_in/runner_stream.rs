//! One stream of a stand-in engine: what it made, and who reads it.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use http_body_util::channel::Sender;
use tokio::sync::watch;

use crate::stand_in::server::Freezer;

/// Events that are kept, so that a reader can begin at any of them.
#[derive(Debug)]
pub(crate) struct RunnerStream {
    events: Mutex<Vec<Bytes>>,
    first_index: u64,
    progress: watch::Sender<Progress>,
    reader_count: AtomicUsize,
    cancelled: AtomicBool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    event_count: usize,
    ended: bool,
}

impl RunnerStream {
    /// Begins a stream whose first event has this index.
    pub(crate) fn new(first_index: u64) -> Self {
        Self {
            events: Mutex::new(Vec::new()),
            first_index,
            progress: watch::Sender::new(Progress::default()),
            reader_count: AtomicUsize::new(0),
            cancelled: AtomicBool::new(false),
        }
    }

    /// Index of its first event.
    pub(crate) fn first_index(&self) -> u64 {
        self.first_index
    }

    /// Adds an event.
    pub(crate) fn push(&self, event: Bytes) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(event);
        let event_count = events.len();
        drop(events);
        self.progress.send_modify(|p| p.event_count = event_count);
    }

    /// Notes that no event follows.
    pub(crate) fn end(&self) {
        self.progress.send_modify(|p| p.ended = true);
    }

    /// Notes that nobody wants it any more.
    pub(crate) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    /// Whether nobody wants it any more.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Whether somebody reads it.
    pub(crate) fn is_read(&self) -> bool {
        self.reader_count.load(Ordering::Relaxed) > 0
    }

    /// Events so far.
    pub(crate) fn event_count(&self) -> usize {
        self.progress.borrow().event_count
    }

    /// Counts a reader, whose events [`RunnerStream::send_to`] sends.
    pub(crate) fn add_reader(&self) {
        self.reader_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends what comes after the first `skip` events, as it is made.
    pub(crate) async fn send_to(
        self: Arc<Self>,
        mut sender: Sender<Bytes>,
        skip: usize,
        freezer: Freezer,
    ) {
        let mut progress = self.progress.subscribe();
        let mut position = skip;
        loop {
            let ready = progress.wait_for(|p| p.event_count > position || p.ended);
            let Ok(seen) = ready.await.map(|p| *p) else {
                break;
            };
            freezer.thawed().await;
            let is_end = seen.ended && seen.event_count <= position;
            let events = self.events_from(position);
            position = seen.event_count.max(position);
            if is_end || sender.send_data(events).await.is_err() {
                break;
            }
        }
        self.reader_count.fetch_sub(1, Ordering::Relaxed);
    }

    fn events_from(&self, position: usize) -> Bytes {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let mut joined = BytesMut::new();
        for event in events.iter().skip(position) {
            joined.extend_from_slice(event);
        }
        joined.freeze()
    }
}
