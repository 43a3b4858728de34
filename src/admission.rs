//! Lets in what can begin within its caller's patience, and nothing else.
//!
//! Each model has its own gate. Kinds of caller go by priority, customers of
//! one kind by weighted fair queueing; a request that cannot begin in time is
//! refused at once with a time to come back that spreads callers out. See
//! `docs/ADMISSION.md`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::error::{Error, ErrorKind};
use crate::gate::{Entry, Gate, Permit};
use crate::id::{CustomerId, ModelId};

/// Service time that is assumed until one was seen.
const SERVICE_GUESS: Duration = Duration::from_secs(1);
/// Weight of the newest service time in the mean.
const SERVICE_WEIGHT: f64 = 0.05;
/// Units of virtual time for one token at weight one.
const VIRTUAL_UNITS: u64 = 1000;
/// Shortest time to come back.
const RETURN_MIN: Duration = Duration::from_millis(250);
/// Longest time to come back.
const RETURN_MAX: Duration = Duration::from_secs(60);

/// Order of waiting requests: priority first, then virtual start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ticket {
    priority: u8,
    virtual_start: u64,
}

/// What admission needs to know of a request.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest<'a> {
    /// Customer that pays.
    pub(crate) customer: &'a CustomerId,
    /// Weight of the customer.
    pub(crate) weight: u32,
    /// Model it wants.
    pub(crate) model: &'a ModelId,
    /// Priority of its kind.
    pub(crate) priority: u8,
    /// How long it waits.
    pub(crate) patience: Duration,
    /// Tokens it asks for.
    pub(crate) token_count: u64,
}

/// The gates of one node.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    pools: Mutex<BTreeMap<ModelId, Pool>>,
}

#[derive(Debug)]
struct Pool {
    gate: Arc<Gate<Ticket>>,
    mean_service_s: f64,
    virtual_time: u64,
    finish_times: BTreeMap<CustomerId, u64>,
    next_return: Instant,
}

/// A request that was let in, until it is dropped.
#[derive(Debug)]
pub(crate) struct Admitted {
    admission: Arc<Admission>,
    model: ModelId,
    began_at: Instant,
    _permit: Permit<Ticket>,
}

impl Admission {
    /// Sets this node's share of the slots of a model.
    pub(crate) fn set_slots(&self, model: &ModelId, slot_count: usize) {
        let mut pools = self.pools();
        let pool = pools
            .entry(model.clone())
            .or_insert_with(|| Pool::new(slot_count));
        let gate = pool.gate.clone();
        drop(pools);
        gate.resize(slot_count);
    }

    /// Whether requests for a model can be let in at all.
    pub(crate) fn has_slots(&self, model: &ModelId) -> bool {
        let pools = self.pools();
        let pool = pools.get(model);
        pool.is_some_and(|pool| pool.gate.slot_count() > 0)
    }

    /// Requests in flight and waiting, over all models.
    pub(crate) fn demand_count(&self) -> usize {
        self.pools().values().map(|p| p.gate.demand_count()).sum()
    }

    /// Lets a request in, makes it wait within its patience, or refuses it.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &AdmissionRequest<'_>,
    ) -> Result<Admitted, Error> {
        let (entry, ticket, refused) = self.enter(request)?;
        let permit = match entry {
            Entry::Open(permit) => permit,
            Entry::Wait(receiver) => {
                let waited = tokio::time::timeout(request.patience, receiver).await;
                waited.ok().and_then(Result::ok).ok_or(refused)?
            }
        };
        if let Some(pool) = self.pools().get_mut(request.model) {
            pool.let_in(ticket);
        }
        Ok(Admitted {
            admission: self.clone(),
            model: request.model.clone(),
            began_at: Instant::now(),
            _permit: permit,
        })
    }

    fn enter(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> Result<(Entry<Ticket>, Ticket, Error), Error> {
        let mut pools = self.pools();
        let Some(pool) = pools.get_mut(request.model) else {
            return Err(Error::new(
                ErrorKind::NoUpstream,
                "no runner holds the model",
            ));
        };
        let ticket = pool.ticket(request);
        let occupancy = pool.gate.occupancy(ticket);
        if occupancy.slot_count == 0 {
            return Err(Error::new(
                ErrorKind::NoUpstream,
                "no runner holds the model",
            ));
        }
        let wait = pool.expected_wait(
            occupancy.held_count,
            occupancy.ahead_count,
            occupancy.slot_count,
        );
        if wait > request.patience {
            let return_in = pool.return_in(wait, request.patience, occupancy.slot_count);
            return Err(refusal(return_in));
        }
        let refused = refusal(wait.clamp(RETURN_MIN, RETURN_MAX));
        pool.charge(request, ticket);
        Ok((pool.gate.enter(ticket), ticket, refused))
    }

    fn pools(&self) -> MutexGuard<'_, BTreeMap<ModelId, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    fn new(slot_count: usize) -> Self {
        Self {
            gate: Gate::new(slot_count),
            mean_service_s: SERVICE_GUESS.as_secs_f64(),
            virtual_time: 0,
            finish_times: BTreeMap::new(),
            next_return: Instant::now(),
        }
    }

    fn ticket(&self, request: &AdmissionRequest<'_>) -> Ticket {
        let last_finish = self.finish_times.get(request.customer).copied();
        Ticket {
            priority: request.priority,
            virtual_start: last_finish.unwrap_or(0).max(self.virtual_time),
        }
    }

    fn charge(&mut self, request: &AdmissionRequest<'_>, ticket: Ticket) {
        let weight = u64::from(request.weight.max(1));
        let cost = request.token_count.saturating_mul(VIRTUAL_UNITS) / weight;
        let finish = ticket.virtual_start.saturating_add(cost);
        self.finish_times.insert(request.customer.clone(), finish);
    }

    /// Moves virtual time on to the start tag of what is let in, as start-time
    /// fair queueing does; customers behind it are owed nothing from before.
    fn let_in(&mut self, ticket: Ticket) {
        self.virtual_time = self.virtual_time.max(ticket.virtual_start);
        let virtual_time = self.virtual_time;
        self.finish_times.retain(|_, finish| *finish > virtual_time);
    }

    fn expected_wait(&self, held: usize, ahead: usize, slots: usize) -> Duration {
        if held < slots && ahead == 0 {
            return Duration::ZERO;
        }
        let turns = (ahead + 1) as f64 / slots as f64;
        Duration::from_secs_f64(turns * self.mean_service_s)
    }

    /// A time to come back at which there may be room; each caller that is
    /// refused gets a later one, at the pace at which slots come free.
    fn return_in(&mut self, wait: Duration, patience: Duration, slots: usize) -> Duration {
        let now = Instant::now();
        let earliest = now + wait.saturating_sub(patience);
        let pace = Duration::from_secs_f64(self.mean_service_s / slots as f64);
        let latest = now + RETURN_MAX;
        self.next_return = (self.next_return + pace).clamp(earliest.min(latest), latest);
        let spread = rand::rng().random_range(1.0..1.1);
        let return_in = (self.next_return - now).mul_f64(spread);
        return_in.clamp(RETURN_MIN, RETURN_MAX)
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let service_s = self.began_at.elapsed().as_secs_f64();
        if let Some(pool) = self.admission.pools().get_mut(&self.model) {
            pool.mean_service_s += SERVICE_WEIGHT * (service_s - pool.mean_service_s);
        }
    }
}

fn refusal(return_in: Duration) -> Error {
    Error::new(
        ErrorKind::Overloaded,
        "the wait would exceed this caller's patience",
    )
    .with_retry_after(return_in)
}
