//! The limit on the requests of all nodes together that an upstream names in its
//! answers.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The limit that an upstream names, and when requests arrived at it.
#[derive(Debug, Default)]
pub struct NamedLimit {
    text: Mutex<Option<String>>,
    arrivals: Mutex<Vec<Instant>>,
}

impl NamedLimit {
    /// Names a limit in each answer from now on, or none.
    pub fn set(&self, text: Option<&str>) {
        *self.text.lock().expect("unpoisoned") = text.map(str::to_owned);
    }

    pub fn header(&self) -> String {
        let text = self.text.lock().expect("unpoisoned");
        text.as_ref()
            .map(|text| format!("server-limit: {text}\r\n"))
            .unwrap_or_default()
    }

    pub fn record_arrival(&self) {
        let mut arrivals = self.arrivals.lock().expect("unpoisoned");
        arrivals.push(Instant::now());
    }

    /// When requests arrived that were not earlier than `since`.
    pub fn arrivals_since(&self, since: Instant) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().expect("unpoisoned");
        arrivals.iter().copied().filter(|at| *at >= since).collect()
    }

    /// Largest number of requests that arrived within one window of this length.
    pub fn arrivals_max(&self, since: Instant, window: Duration) -> usize {
        let arrivals = self.arrivals_since(since);
        let in_window = arrivals.iter().map(|first| {
            let within = |at: &&Instant| **at >= *first && **at < *first + window;
            arrivals.iter().filter(within).count()
        });
        in_window.max().unwrap_or(0)
    }
}
