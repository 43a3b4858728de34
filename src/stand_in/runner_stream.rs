//! One stream of a stand-in runner: the events generated so far and the number
//! of its readers. A reader is an HTTP response that receives the events.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use http_body_util::channel::Sender;
use tokio::sync::watch;

use crate::stand_in::server::FreezeSwitch;

/// A stream that keeps all its events, so that a reader can start at any of
/// them.
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
    /// Makes a stream whose first event has this index.
    pub(crate) fn new(first_index: u64) -> Self {
        Self {
            events: Mutex::new(Vec::new()),
            first_index,
            progress: watch::Sender::new(Progress::default()),
            reader_count: AtomicUsize::new(0),
            cancelled: AtomicBool::new(false),
        }
    }

    pub(crate) fn first_index(&self) -> u64 {
        self.first_index
    }

    pub(crate) fn push(&self, event: Bytes) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(event);
        let event_count = events.len();
        drop(events);
        self.progress.send_modify(|p| p.event_count = event_count);
    }

    /// Marks the stream as ended; no event follows.
    pub(crate) fn end(&self) {
        self.progress.send_modify(|p| p.ended = true);
    }

    /// Marks the stream as cancelled by a client, so that its generation stops.
    pub(crate) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    /// Whether a client has cancelled the stream.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }

    pub(crate) fn has_reader(&self) -> bool {
        self.reader_count.load(Ordering::Relaxed) > 0
    }

    pub(crate) fn event_count(&self) -> usize {
        self.progress.borrow().event_count
    }

    /// Counts a new reader. [`RunnerStream::send_to`], which sends the events to
    /// the reader, removes it from the count at the end.
    pub(crate) fn add_reader(&self) {
        self.reader_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends all events but the first `skip` to a reader, each as soon as it is
    /// generated.
    pub(crate) async fn send_to(
        self: Arc<Self>,
        mut sender: Sender<Bytes>,
        skip: usize,
        freeze_switch: FreezeSwitch,
    ) {
        let mut progress = self.progress.subscribe();
        let mut position = skip;
        loop {
            let ready = progress.wait_for(|p| p.event_count > position || p.ended);
            let Ok(current) = ready.await.map(|p| *p) else {
                break;
            };
            freeze_switch.wait_while_frozen().await;
            let is_finished = current.ended && current.event_count <= position;
            let events = self.events_from(position);
            position = current.event_count.max(position);
            if is_finished || sender.send_data(events).await.is_err() {
                break;
            }
        }
        self.reader_count.fetch_sub(1, Ordering::Relaxed);
    }

    fn events_from(&self, position: usize) -> Bytes {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let mut unsent = BytesMut::new();
        for event in events.iter().skip(position) {
            unsent.extend_from_slice(event);
        }
        unsent.freeze()
    }
}
