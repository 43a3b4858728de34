//! A log writer that never blocks and never floods.
//!
//! Lines go through a bounded queue to a thread that writes them; a line that
//! finds the queue full, or the budget of its second spent, is dropped and
//! counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use crate::observe::metrics::{Counter, Metrics};

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 2_048;
/// Lines that are written in one second.
const LINES_PER_S: u32 = 600;
/// Time in which lines gather before they are written together.
const GATHER: Duration = Duration::from_millis(20);

/// Longest wait for lines that are still to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What the writing thread is handed.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// All lines before it are to be written now.
    Flush(SyncSender<()>),
}

/// Takes formatted lines from the logger.
#[derive(Debug)]
pub struct LogWriter {
    line: Vec<u8>,
    queue: SyncSender<Item>,
    second: Instant,
    left_count: u32,
    metrics: Arc<Metrics>,
}

impl LogWriter {
    /// Starts the thread that writes to standard output.
    pub fn start(metrics: Arc<Metrics>) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_all(&lines));
        Self {
            line: Vec::new(),
            queue,
            second: Instant::now(),
            left_count: LINES_PER_S,
            metrics,
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let now = Instant::now();
        if now.saturating_duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.left_count = LINES_PER_S;
        }
        if self.left_count == 0 || self.queue.try_send(Item::Line(line)).is_err() {
            self.metrics.add(Counter::LogLinesDropped, 1);
            return;
        }
        self.left_count -= 1;
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            self.end_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, written) = sync_channel(1);
        let is_queued = self.queue.try_send(Item::Flush(done)).is_ok();
        if is_queued {
            // Whoever reads standard output too slowly misses the last lines.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_all(items: &Receiver<Item>) {
    while let Ok(first) = items.recv() {
        if matches!(first, Item::Line(_)) {
            std::thread::sleep(GATHER);
        }
        let mut batch = Vec::new();
        let mut waiting = Vec::new();
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Flush(done) => waiting.push(done),
            }
        }
        let mut output = io::stdout().lock();
        // Nobody is left to tell when standard output is gone.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        for done in waiting {
            // The one that waited may have given up.
            let _ = done.try_send(());
        }
    }
}
