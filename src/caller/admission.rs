//! Admission control: admits only requests that can begin within their caller's
//! maximum wait.
//!
//! A slot is one of the streams that the runners of a model can generate
//! concurrently; each node has a share of them. Each model has its own queue.
//! Kinds of caller are served by priority, and customers of the same priority by
//! weighted fair queueing. A request that cannot begin in time is refused at
//! once, with a retry time that spreads the refused callers out. See
//! `docs/ADMISSION.md`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;
use tokio::sync::oneshot;

use crate::caller::priority_semaphore::{Acquisition, Occupancy, Permit, PrioritySemaphore};
use crate::error::{Error, ErrorKind};
use crate::id::{CustomerId, ModelId};

/// Mean service time that is assumed before the first request has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(1);
/// Weight of the newest service time in its moving average.
const SERVICE_TIME_EWMA_WEIGHT: f64 = 0.05;
/// Weight of the newest gap between two admissions in its moving average.
const GAP_EWMA_WEIGHT: f64 = 0.3;
/// Safety factor on the expected wait of a request that is not queued yet. Later
/// requests may go first.
const UNQUEUED_WAIT_FACTOR: f64 = 1.5;
/// How often a queued request checks whether it can still begin in time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the maximum wait that is reserved for the runner to generate the
/// first token, but never more than a quarter of the maximum wait.
const FIRST_TOKEN_RESERVE: Duration = Duration::from_millis(100);
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

/// The properties of a request that decide its admission.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest<'a> {
    /// Customer that sent the request.
    pub(crate) customer: &'a CustomerId,
    /// The customer's weight in fair queueing.
    pub(crate) weight: u32,
    /// Requested model.
    pub(crate) model: &'a ModelId,
    /// Priority; lower goes first.
    pub(crate) priority: u8,
    /// How long the caller waits for the first token at most.
    pub(crate) max_wait: Duration,
    /// Number of tokens still to be generated.
    pub(crate) token_count: u64,
}

/// Admission control of one node.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    queues: Mutex<BTreeMap<ModelId, ModelQueue>>,
}

#[derive(Debug)]
struct ModelQueue {
    slots: Arc<PrioritySemaphore<Ticket>>,
    mean_service_s: f64,
    virtual_time: u64,
    /// Virtual time at which the latest request of each customer finishes.
    finish_times: BTreeMap<CustomerId, u64>,
    /// Retry time that the last refused caller got, without jitter.
    next_retry_at: Instant,
    flows: BTreeMap<FlowKey, Flow>,
}

/// Identifies a flow: the requests of one customer at one priority.
type FlowKey = (u8, CustomerId);

/// Measures how fast requests of one flow are admitted. The number of requests
/// ahead does not show it, because requests that arrive later may go first.
#[derive(Clone, Copy, Debug)]
struct Flow {
    waiting_count: usize,
    last_progress_at: Instant,
    mean_gap_s: f64,
}

impl Flow {
    fn new(now: Instant) -> Self {
        Self {
            waiting_count: 0,
            last_progress_at: now,
            mean_gap_s: 0.0,
        }
    }

    fn add_waiting(&mut self, now: Instant) {
        if self.waiting_count == 0 {
            self.last_progress_at = now;
        }
        self.waiting_count += 1;
    }

    fn record_admission(&mut self, now: Instant) {
        let gap_s = (now - self.last_progress_at).as_secs_f64();
        self.mean_gap_s += GAP_EWMA_WEIGHT * (gap_s - self.mean_gap_s);
        self.last_progress_at = now;
        self.waiting_count -= 1;
    }

    fn remove_waiting(&mut self) {
        self.waiting_count -= 1;
    }

    /// Expected time until `ahead_count` requests of the flow and one more are
    /// admitted; zero for a flow without waiting requests, whose rate is unknown.
    fn expected_wait(&self, ahead_count: usize, now: Instant) -> Duration {
        if self.waiting_count == 0 {
            return Duration::ZERO;
        }
        let stalled_s = (now - self.last_progress_at).as_secs_f64();
        let gap_s = self.mean_gap_s.max(stalled_s);
        Duration::from_secs_f64(gap_s * (ahead_count + 1) as f64)
    }
}

/// Slot of an admitted request. Dropping it frees the slot and records the
/// request's service time.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    admission: Arc<Admission>,
    model: ModelId,
    began_at: Instant,
    _permit: Permit<Ticket>,
}

impl Admission {
    /// Sets this node's share of a model's slots.
    pub(crate) fn set_slots(&self, model: &ModelId, slot_count: usize) {
        let mut queues = self.queues();
        let queue = queues
            .entry(model.clone())
            .or_insert_with(|| ModelQueue::new(slot_count));
        let slots = queue.slots.clone();
        drop(queues);
        slots.resize(slot_count);
    }

    /// Whether this node has any slot for a model.
    pub(crate) fn has_slots(&self, model: &ModelId) -> bool {
        let queues = self.queues();
        let queue = queues.get(model);
        queue.is_some_and(|queue| queue.slots.permit_count() > 0)
    }

    /// Number of requests in flight and queued, over all models.
    pub(crate) fn demand_count(&self) -> usize {
        self.queues()
            .values()
            .map(|queue| queue.slots.demand_count())
            .sum()
    }

    /// Admits a request, at once or after it has waited in the queue, or refuses
    /// it.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &AdmissionRequest<'_>,
    ) -> Result<AdmissionPermit, Error> {
        let (acquisition, ticket) = self.acquire_or_queue(request)?;
        let permit = match acquisition {
            Acquisition::Granted(permit) => permit,
            Acquisition::Queued(receiver) => self.wait(request, ticket, receiver).await?,
        };
        if let Some(queue) = self.queues().get_mut(request.model) {
            queue.advance_virtual_time(ticket);
        }
        Ok(AdmissionPermit {
            admission: self.clone(),
            model: request.model.clone(),
            began_at: Instant::now(),
            _permit: permit,
        })
    }

    fn acquire_or_queue(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> Result<(Acquisition<Ticket>, Ticket), Error> {
        let now = Instant::now();
        let mut queues = self.queues();
        let Some(queue) = queues.get_mut(request.model) else {
            return Err(no_runner());
        };
        let ticket = queue.ticket(request);
        let occupancy = queue.slots.occupancy(ticket);
        if occupancy.permit_count == 0 {
            return Err(no_runner());
        }
        let ahead_count = queue.flow(request, now).waiting_count;
        let wait = queue.expected_wait(request, occupancy, ahead_count, now);
        // Later requests may still go first, and an early refusal lets the
        // caller turn elsewhere sooner.
        if wait.mul_f64(UNQUEUED_WAIT_FACTOR) > admission_timeout(request.max_wait) {
            return Err(queue.refuse(wait, request.max_wait, occupancy.permit_count));
        }
        queue.charge(request, ticket);
        let acquisition = queue.slots.acquire_or_queue(ticket);
        if matches!(acquisition, Acquisition::Queued(_)) {
            queue.flow(request, now).add_waiting(now);
        }
        Ok((acquisition, ticket))
    }

    /// Waits in the queue, and fails as soon as the request cannot begin in
    /// time.
    async fn wait(
        &self,
        request: &AdmissionRequest<'_>,
        ticket: Ticket,
        mut receiver: oneshot::Receiver<Permit<Ticket>>,
    ) -> Result<Permit<Ticket>, Error> {
        let began_at = Instant::now();
        let mut guard = WaitGuard {
            admission: self,
            request,
            is_admitted: false,
        };
        loop {
            let waited = tokio::time::timeout(RECHECK_INTERVAL, &mut receiver).await;
            if let Ok(Ok(permit)) = waited {
                guard.is_admitted = true;
                return Ok(permit);
            }
            self.recheck(request, ticket, began_at)?;
        }
    }

    fn recheck(
        &self,
        request: &AdmissionRequest<'_>,
        ticket: Ticket,
        began_at: Instant,
    ) -> Result<(), Error> {
        let now = Instant::now();
        let time_left = admission_timeout(request.max_wait).saturating_sub(now - began_at);
        let mut queues = self.queues();
        let Some(queue) = queues.get_mut(request.model) else {
            return Err(no_runner());
        };
        // The request is itself in the queue and does not count as ahead of
        // itself. How many of its flow are ahead is not known, so the flow's
        // rate is applied to one admission only.
        let occupancy = queue.slots.occupancy_before(ticket);
        let wait = queue.expected_wait(request, occupancy, 0, now);
        if wait > time_left {
            return Err(queue.refuse(wait, time_left, occupancy.permit_count));
        }
        Ok(())
    }

    fn queues(&self) -> MutexGuard<'_, BTreeMap<ModelId, ModelQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ModelQueue {
    fn new(slot_count: usize) -> Self {
        Self {
            slots: PrioritySemaphore::new(slot_count),
            mean_service_s: INITIAL_SERVICE_TIME.as_secs_f64(),
            virtual_time: 0,
            finish_times: BTreeMap::new(),
            next_retry_at: Instant::now(),
            flows: BTreeMap::new(),
        }
    }

    fn ticket(&self, request: &AdmissionRequest<'_>) -> Ticket {
        let last_finish = self.finish_times.get(request.customer).copied();
        Ticket {
            priority: request.priority,
            virtual_start: last_finish.unwrap_or(0).max(self.virtual_time),
        }
    }

    /// Adds the cost of a request to its customer's virtual finish time.
    fn charge(&mut self, request: &AdmissionRequest<'_>, ticket: Ticket) {
        let weight = u64::from(request.weight.max(1));
        let cost = request.token_count.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / weight;
        let finish = ticket.virtual_start.saturating_add(cost);
        self.finish_times.insert(request.customer.clone(), finish);
    }

    /// Advances virtual time to the start tag of an admitted request, as in
    /// start-time fair queueing. Finish times that have passed are dropped, so
    /// that a customer earns no credit while it is idle.
    fn advance_virtual_time(&mut self, ticket: Ticket) {
        self.virtual_time = self.virtual_time.max(ticket.virtual_start);
        let virtual_time = self.virtual_time;
        self.finish_times.retain(|_, finish| *finish > virtual_time);
    }

    fn flow(&mut self, request: &AdmissionRequest<'_>, now: Instant) -> &mut Flow {
        let key = (request.priority, request.customer.clone());
        self.flows.entry(key).or_insert_with(|| Flow::new(now))
    }

    fn expected_wait(
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

    fn refuse(&mut self, wait: Duration, time_left: Duration, slot_count: usize) -> Error {
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
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let service_s = self.began_at.elapsed().as_secs_f64();
        if let Some(queue) = self.admission.queues().get_mut(&self.model) {
            queue.mean_service_s += SERVICE_TIME_EWMA_WEIGHT * (service_s - queue.mean_service_s);
        }
    }
}

/// Counts a request as waiting in its flow until it is dropped.
struct WaitGuard<'a> {
    admission: &'a Admission,
    request: &'a AdmissionRequest<'a>,
    is_admitted: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        if let Some(queue) = self.admission.queues().get_mut(self.request.model) {
            let flow = queue.flow(self.request, now);
            if self.is_admitted {
                flow.record_admission(now);
            } else {
                flow.remove_waiting();
            }
        }
    }
}

/// Time within which a request must be admitted, so that its first token comes
/// within its caller's maximum wait.
fn admission_timeout(max_wait: Duration) -> Duration {
    max_wait.saturating_sub(FIRST_TOKEN_RESERVE.min(max_wait / 4))
}

fn no_runner() -> Error {
    Error::new(
        ErrorKind::NoUpstream,
        "this node has no slot at any runner that serves the model",
    )
}
