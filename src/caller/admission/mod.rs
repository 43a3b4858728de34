//! Admission control: admits only requests that can begin within their caller's
//! maximum wait.
//!
//! A slot is one of the streams that the runners of a model can generate
//! concurrently; each node has a share of them. Each model has its own queue.
//! Kinds of caller are served by priority, and customers of the same priority by
//! weighted fair queueing. A request that cannot begin in time is refused at
//! once, with a retry time that spreads the refused callers out. See
//! `docs/ADMISSION.md`.

mod flow;
mod model_queue;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::caller::admission::model_queue::{ModelQueue, Ticket};
use crate::caller::priority_semaphore::{Acquisition, Permit};
use crate::error::{Error, ErrorKind};
use crate::id::{CustomerId, ModelId};

/// Safety factor on the expected wait of a request that is not queued yet. Later
/// requests may go first.
const UNQUEUED_WAIT_FACTOR: f64 = 1.5;
/// How often a queued request checks whether it can still begin in time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the maximum wait that is reserved for the runner to generate the
/// first token, but never more than a quarter of the maximum wait.
const FIRST_TOKEN_RESERVE: Duration = Duration::from_millis(100);

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

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let service_s = self.began_at.elapsed().as_secs_f64();
        if let Some(queue) = self.admission.queues().get_mut(&self.model) {
            queue.record_service_time(service_s);
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
