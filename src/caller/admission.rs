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
use tokio::sync::oneshot;

use crate::caller::gate::{Entry, Gate, Occupancy, Permit};
use crate::error::{Error, ErrorKind};
use crate::id::{CustomerId, ModelId};

/// Service time that is assumed until one was seen.
const SERVICE_GUESS: Duration = Duration::from_secs(1);
/// Weight of the newest service time in the mean.
const SERVICE_WEIGHT: f64 = 0.05;
/// Weight of the newest gap between two that are let in, in the mean.
const GAP_WEIGHT: f64 = 0.3;
/// Factor on the expected wait of a request that is not in line yet.
const ENTRY_CAUTION: f64 = 1.5;
/// How often a waiting request looks whether waiting is still worth it.
const RECHECK: Duration = Duration::from_millis(20);
/// Part of a patience that is left for the runner to give the first token.
const START_MARGIN: Duration = Duration::from_millis(100);
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
    classes: BTreeMap<ClassKey, Class>,
}

/// Requests that wait in one line: one customer's, of one priority.
type ClassKey = (u8, CustomerId);

/// How fast one line moves. It cannot be told from what stands ahead, because
/// others that come later may go first.
#[derive(Clone, Copy, Debug)]
struct Class {
    waiting_count: usize,
    moved_at: Instant,
    mean_gap_s: f64,
}

impl Class {
    fn new(now: Instant) -> Self {
        Self {
            waiting_count: 0,
            moved_at: now,
            mean_gap_s: 0.0,
        }
    }

    fn join(&mut self, now: Instant) {
        if self.waiting_count == 0 {
            self.moved_at = now;
        }
        self.waiting_count += 1;
    }

    fn let_in(&mut self, now: Instant) {
        let gap_s = (now - self.moved_at).as_secs_f64();
        self.mean_gap_s += GAP_WEIGHT * (gap_s - self.mean_gap_s);
        self.moved_at = now;
        self.waiting_count -= 1;
    }

    fn give_up(&mut self) {
        self.waiting_count -= 1;
    }

    /// How long the line takes to let in `ahead_count` and one more. A line
    /// that nobody stands in says nothing.
    fn wait(&self, ahead_count: usize, now: Instant) -> Duration {
        if self.waiting_count == 0 {
            return Duration::ZERO;
        }
        let standing_s = (now - self.moved_at).as_secs_f64();
        let gap_s = self.mean_gap_s.max(standing_s);
        Duration::from_secs_f64(gap_s * (ahead_count + 1) as f64)
    }
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
        let (entry, ticket) = self.enter(request)?;
        let permit = match entry {
            Entry::Open(permit) => permit,
            Entry::Wait(receiver) => self.wait(request, ticket, receiver).await?,
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

    fn enter(&self, request: &AdmissionRequest<'_>) -> Result<(Entry<Ticket>, Ticket), Error> {
        let now = Instant::now();
        let mut pools = self.pools();
        let Some(pool) = pools.get_mut(request.model) else {
            return Err(no_runner());
        };
        let ticket = pool.ticket(request);
        let occupancy = pool.gate.occupancy(ticket);
        if occupancy.slot_count == 0 {
            return Err(no_runner());
        }
        let ahead_count = pool.class(request, now).waiting_count;
        let wait = pool.expected_wait(request, occupancy, ahead_count, now);
        // Others may yet go first, and a refusal now is worth more than later.
        if wait.mul_f64(ENTRY_CAUTION) > start_within(request.patience) {
            return Err(pool.refuse(wait, request.patience, occupancy.slot_count));
        }
        pool.charge(request, ticket);
        let entry = pool.gate.enter(ticket);
        if matches!(entry, Entry::Wait(_)) {
            pool.class(request, now).join(now);
        }
        Ok((entry, ticket))
    }

    /// Waits in line, and looks now and then whether it is still worth it.
    async fn wait(
        &self,
        request: &AdmissionRequest<'_>,
        ticket: Ticket,
        mut receiver: oneshot::Receiver<Permit<Ticket>>,
    ) -> Result<Permit<Ticket>, Error> {
        let began_at = Instant::now();
        let mut place = Place {
            admission: self,
            request,
            let_in: false,
        };
        loop {
            let waited = tokio::time::timeout(RECHECK, &mut receiver).await;
            if let Ok(Ok(permit)) = waited {
                place.let_in = true;
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
        let left = start_within(request.patience).saturating_sub(now - began_at);
        let mut pools = self.pools();
        let Some(pool) = pools.get_mut(request.model) else {
            return Err(no_runner());
        };
        // Whoever waits is itself in the line, and at worst its last.
        let occupancy = pool.gate.occupancy_before(ticket);
        let wait = pool.expected_wait(request, occupancy, 0, now);
        if wait > left {
            return Err(pool.refuse(wait, left, occupancy.slot_count));
        }
        Ok(())
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
            classes: BTreeMap::new(),
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

    fn class(&mut self, request: &AdmissionRequest<'_>, now: Instant) -> &mut Class {
        let key = (request.priority, request.customer.clone());
        self.classes.entry(key).or_insert_with(|| Class::new(now))
    }

    fn expected_wait(
        &mut self,
        request: &AdmissionRequest<'_>,
        occupancy: Occupancy,
        ahead_in_line: usize,
        now: Instant,
    ) -> Duration {
        let Occupancy {
            slot_count,
            held_count,
            ahead_count,
        } = occupancy;
        if held_count < slot_count && ahead_count == 0 {
            return Duration::ZERO;
        }
        let turns = (ahead_count + 1) as f64 / slot_count.max(1) as f64;
        let by_slots = Duration::from_secs_f64(turns * self.mean_service_s);
        by_slots.max(self.class(request, now).wait(ahead_in_line, now))
    }

    fn refuse(&mut self, wait: Duration, patience: Duration, slot_count: usize) -> Error {
        let return_in = self.return_in(wait, patience, slot_count.max(1));
        Error::new(
            ErrorKind::Overloaded,
            "the wait would exceed this caller's patience",
        )
        .with_retry_after(return_in)
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

/// A place in line, which is left when it is dropped.
struct Place<'a> {
    admission: &'a Admission,
    request: &'a AdmissionRequest<'a>,
    let_in: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        if let Some(pool) = self.admission.pools().get_mut(self.request.model) {
            let class = pool.class(self.request, now);
            if self.let_in {
                class.let_in(now);
            } else {
                class.give_up();
            }
        }
    }
}

/// Time within which a request must be let in, so that its first token comes
/// within its caller's patience.
fn start_within(patience: Duration) -> Duration {
    patience.saturating_sub(START_MARGIN.min(patience / 4))
}

fn no_runner() -> Error {
    Error::new(ErrorKind::NoUpstream, "no runner holds the model")
}
