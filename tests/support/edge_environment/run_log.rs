//! Calls that arrived at an upstream, with the times at which they began and ended.

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Arrival {
    pub call_id: String,
    pub arrived_at: Instant,
    /// `None` while the upstream works on the call.
    pub ended_at: Option<Instant>,
}

#[derive(Default)]
pub struct RunLog(Mutex<Vec<Arrival>>);

impl RunLog {
    /// Records the arrival of a call; dropping the guard records its end.
    pub fn begin(&self, call_id: &str) -> ArrivalGuard<'_> {
        let mut arrivals = self.lock();
        arrivals.push(Arrival {
            call_id: call_id.to_owned(),
            arrived_at: Instant::now(),
            ended_at: None,
        });
        ArrivalGuard {
            log: self,
            at: arrivals.len() - 1,
        }
    }

    pub fn of_call(&self, call_id: &str) -> Vec<Arrival> {
        let arrivals = self.lock();
        let of_call = arrivals.iter().filter(|a| a.call_id == call_id);
        of_call.cloned().collect()
    }

    pub fn all(&self) -> Vec<Arrival> {
        self.lock().clone()
    }

    /// Number of calls that arrived from `start` until `end`.
    pub fn count_between(&self, start: Instant, end: Instant) -> usize {
        let arrivals = self.lock();
        let is_counted = |arrival: &&Arrival| (start..end).contains(&arrival.arrived_at);
        arrivals.iter().filter(is_counted).count()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arrival>> {
        self.0.lock().expect("unpoisoned")
    }
}

pub struct ArrivalGuard<'a> {
    log: &'a RunLog,
    at: usize,
}

impl Drop for ArrivalGuard<'_> {
    fn drop(&mut self) {
        self.log.lock()[self.at].ended_at = Some(Instant::now());
    }
}
