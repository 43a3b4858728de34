//! The limit on the requests of all nodes together that an upstream names in its
//! answers.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The limit that an upstream names, and when requests arrived at it.
#[derive(Debug, Default)]
pub struct NamedLimit {
    text: Mutex<Option<String>>,
    arrivals: Mutex<Vec<Instant>>,
    /// When later incarnations of the upstream started.
    starts: Mutex<Vec<Instant>>,
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

    /// Records that the upstream started again, and names its limit anew.
    pub fn record_start(&self) {
        self.starts.lock().expect("unpoisoned").push(Instant::now());
    }

    /// Largest number of requests that arrived within one window of this length, later
    /// than `grace` after the limit was named at `named_at` or the upstream started.
    pub fn arrivals_max(&self, named_at: Instant, grace: Duration, window: Duration) -> usize {
        let arrivals = self.arrivals_since(named_at);
        let starts = self.starts.lock().expect("unpoisoned");
        let incarnation = |at: Instant| starts.iter().filter(|start| **start <= at).max().copied();
        let is_counted = |at: &Instant| {
            let since = incarnation(*at).map_or(named_at, |start| start.max(named_at));
            *at >= since + grace
        };
        let counted: Vec<Instant> = arrivals.into_iter().filter(is_counted).collect();
        let in_window = counted.iter().map(|first| {
            let within = |at: &&Instant| {
                **at >= *first && **at < *first + window && incarnation(**at) == incarnation(*first)
            };
            counted.iter().filter(within).count()
        });
        in_window.max().unwrap_or(0)
    }
}
