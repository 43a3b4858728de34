//! The queue of one model: fair queueing among customers, and the expected wait.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::caller::admission::AdmissionRequest;
use crate::caller::admission::flow::{Flow, FlowKey};
use crate::caller::priority_semaphore::{Occupancy, PrioritySemaphore};
use crate::error::{Error, ErrorKind};
use crate::id::CustomerId;

/// Mean service time that is assumed before the first request has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(1);
/// Weight of the newest service time in its moving average.
const SERVICE_TIME_EWMA_WEIGHT: f64 = 0.05;
/// Virtual time that one token costs a customer of weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1000;
/// Shortest retry time that a refused caller gets.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
/// Longest retry time that a refused caller gets.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Order of queued requests: by priority, then by virtual start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ticket {
    priority: u8,
    virtual_start: u64,
}

/// The queue of one model, with what is known of its slots and flows.
#[derive(Debug)]
pub(super) struct ModelQueue {
    pub(super) slots: Arc<PrioritySemaphore<Ticket>>,
    mean_service_s: f64,
    virtual_time: u64,
    /// Virtual time at which the latest request of each customer finishes.
    finish_times: BTreeMap<CustomerId, u64>,
    /// Retry time that the last refused caller got, without jitter.
    next_retry_at: Instant,
    flows: BTreeMap<FlowKey, Flow>,
}

impl ModelQueue {
    pub(super) fn new(slot_count: usize) -> Self {
        Self {
            slots: PrioritySemaphore::new(slot_count),
            mean_service_s: INITIAL_SERVICE_TIME.as_secs_f64(),
            virtual_time: 0,
            finish_times: BTreeMap::new(),
            next_retry_at: Instant::now(),
            flows: BTreeMap::new(),
        }
    }

    pub(super) fn ticket(&self, request: &AdmissionRequest<'_>) -> Ticket {
        let last_finish = self.finish_times.get(request.customer).copied();
        Ticket {
            priority: request.priority,
            virtual_start: last_finish.unwrap_or(0).max(self.virtual_time),
        }
    }

    /// Adds the cost of a request to its customer's virtual finish time.
    pub(super) fn charge(&mut self, request: &AdmissionRequest<'_>, ticket: Ticket) {
        let weight = u64::from(request.weight.max(1));
        let cost = request.token_count.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / weight;
        let finish = ticket.virtual_start.saturating_add(cost);
        self.finish_times.insert(request.customer.clone(), finish);
    }

    /// Advances virtual time to the start tag of an admitted request, as in
    /// start-time fair queueing. Finish times that have passed are dropped, so
    /// that a customer earns no credit while it is idle.
    pub(super) fn advance_virtual_time(&mut self, ticket: Ticket) {
        self.virtual_time = self.virtual_time.max(ticket.virtual_start);
        let virtual_time = self.virtual_time;
        self.finish_times.retain(|_, finish| *finish > virtual_time);
    }

    pub(super) fn flow(&mut self, request: &AdmissionRequest<'_>, now: Instant) -> &mut Flow {
        let key = (request.priority, request.customer.clone());
        self.flows.entry(key).or_insert_with(|| Flow::new(now))
    }

    pub(super) fn expected_wait(
        &mut self,
        request: &AdmissionRequest<'_>,
        occupancy: Occupancy,
        ahead_in_flow_count: usize,
        now: Instant,
    ) -> Duration {
        let Occupancy {
            permit_count,
            held_count,
            ahead_count,
        } = occupancy;
        if held_count < permit_count && ahead_count == 0 {
            return Duration::ZERO;
        }
        let turn_count = (ahead_count + 1) as f64 / permit_count.max(1) as f64;
        let wait_by_slots = Duration::from_secs_f64(turn_count * self.mean_service_s);
        wait_by_slots.max(
            self.flow(request, now)
                .expected_wait(ahead_in_flow_count, now),
        )
    }

    pub(super) fn refuse(
        &mut self,
        wait: Duration,
        time_left: Duration,
        slot_count: usize,
    ) -> Error {
        let retry_after = self.retry_after(wait, time_left, slot_count.max(1));
        Error::new(
            ErrorKind::Overloaded,
            "the expected wait in the queue exceeds this caller's maximum wait",
        )
        .with_retry_after(retry_after)
    }

    /// Time after which a refused caller may find a free slot. Each refused
    /// caller gets a later time, at the rate at which slots become free.
    fn retry_after(&mut self, wait: Duration, time_left: Duration, slot_count: usize) -> Duration {
        let now = Instant::now();
        let earliest = now + wait.saturating_sub(time_left);
        let slot_interval = Duration::from_secs_f64(self.mean_service_s / slot_count as f64);
        let latest = now + RETRY_AFTER_MAX;
        self.next_retry_at =
            (self.next_retry_at + slot_interval).clamp(earliest.min(latest), latest);
        let jitter = rand::rng().random_range(1.0..1.1);
        let retry_after = (self.next_retry_at - now).mul_f64(jitter);
        retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Adds the service time of a request that has finished to the moving average.
    pub(super) fn record_service_time(&mut self, service_s: f64) {
        self.mean_service_s += SERVICE_TIME_EWMA_WEIGHT * (service_s - self.mean_service_s);
    }
}
