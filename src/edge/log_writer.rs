//! A rate-limited log writer that does not block the logging threads.
//!
//! Lines pass through a bounded queue to a thread that writes them to standard
//! output. A line is dropped and counted if the queue is full or the limit of
//! lines per second is reached.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use crate::observe::metrics::{Counter, Metrics};

/// Capacity of the queue of lines to be written.
const QUEUE_MAX_LINES: usize = 2_048;
/// Maximum number of lines that are written per second.
const MAX_LINES_PER_S: u32 = 600;
/// Time for which lines are collected before they are written in one batch.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Maximum time that a flush, as at the end of the process, waits for queued
/// lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A message to the writer thread.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Requests an acknowledgement once all lines queued before it are written.
    Flush(SyncSender<()>),
}

/// Queues the logger's formatted lines for the writer thread.
#[derive(Debug)]
pub struct LogWriter {
    line: Vec<u8>,
    queue: SyncSender<Item>,
    /// Start of the current one-second window of the rate limit.
    window_start: Instant,
    remaining_lines: u32,
    metrics: Arc<Metrics>,
}

impl LogWriter {
    /// Starts the writer thread.
    pub fn start(metrics: Arc<Metrics>) -> Self {
        let (queue, lines) = sync_channel(QUEUE_MAX_LINES);
        std::thread::spawn(move || write_batches(&lines));
        Self {
            line: Vec::new(),
            queue,
            window_start: Instant::now(),
            remaining_lines: MAX_LINES_PER_S,
            metrics,
        }
    }

    fn queue_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let now = Instant::now();
        if now.saturating_duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.remaining_lines = MAX_LINES_PER_S;
        }
        if self.remaining_lines == 0 || self.queue.try_send(Item::Line(line)).is_err() {
            self.metrics.add(Counter::LogLinesDropped, 1);
            return;
        }
        self.remaining_lines -= 1;
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            self.queue_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (ack, written) = sync_channel(1);
        let is_queued = self.queue.try_send(Item::Flush(ack)).is_ok();
        if is_queued {
            // After the time-out the last lines may be lost, because standard
            // output is read too slowly.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_batches(items: &Receiver<Item>) {
    while let Ok(first) = items.recv() {
        if matches!(first, Item::Line(_)) {
            std::thread::sleep(BATCH_DELAY);
        }
        let mut batch = Vec::new();
        let mut flush_acks = Vec::new();
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Flush(ack) => flush_acks.push(ack),
            }
        }
        let mut output = io::stdout().lock();
        // The error is ignored: if standard output is closed, there is nowhere
        // to report it.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        for ack in flush_acks {
            // The flushing thread may have timed out.
            let _ = ack.try_send(());
        }
    }
}
