//! A semaphore whose waiters get permits in the order of their tickets.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Limits how many permits are held at once. Waiters are served in the order of
/// their tickets, which have the type `T`: the lowest ticket first, and equal
/// tickets in the order in which they arrived.
#[derive(Debug)]
pub(crate) struct PrioritySemaphore<T: Ord> {
    state: Mutex<State<T>>,
}

#[derive(Debug)]
struct State<T: Ord> {
    permit_count: usize,
    held_count: usize,
    arrival_count: u64,
    /// Waiters by ticket and order of arrival.
    waiting: BTreeMap<(T, u64), oneshot::Sender<Permit<T>>>,
}

/// A permit, returned to its semaphore when dropped.
#[derive(Debug)]
pub(crate) struct Permit<T: Ord> {
    semaphore: Arc<PrioritySemaphore<T>>,
}

/// Result of a request for a permit.
#[derive(Debug)]
pub(crate) enum Acquisition<T: Ord> {
    /// A permit was free.
    Granted(Permit<T>),
    /// The request waits in the queue; the channel delivers its permit.
    Queued(oneshot::Receiver<Permit<T>>),
}

/// Permits and queue of a semaphore, as seen from one position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Occupancy {
    /// All permits, free and held.
    pub(crate) permit_count: usize,
    pub(crate) held_count: usize,
    /// Waiters that are served before this position.
    pub(crate) ahead_count: usize,
}

impl<T: Ord> PrioritySemaphore<T> {
    pub(crate) fn new(permit_count: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                permit_count,
                held_count: 0,
                arrival_count: 0,
                waiting: BTreeMap::new(),
            }),
        })
    }

    /// Takes a permit, or a position in the queue if none is free.
    pub(crate) fn acquire_or_queue(self: &Arc<Self>, ticket: T) -> Acquisition<T> {
        let mut state = self.lock();
        if state.held_count < state.permit_count && state.waiting.is_empty() {
            state.held_count += 1;
            return Acquisition::Granted(Permit {
                semaphore: self.clone(),
            });
        }
        let (sender, receiver) = oneshot::channel();
        state.arrival_count += 1;
        let arrival = state.arrival_count;
        state.waiting.insert((ticket, arrival), sender);
        Acquisition::Queued(receiver)
    }

    pub(crate) async fn acquire(self: &Arc<Self>, ticket: T) -> Permit<T> {
        match self.acquire_or_queue(ticket) {
            Acquisition::Granted(permit) => permit,
            Acquisition::Queued(receiver) => match receiver.await {
                Ok(permit) => permit,
                // The semaphore owns every sender and outlives this future, so
                // the channel does not close.
                Err(_) => std::future::pending().await,
            },
        }
    }

    /// The occupancy as seen by a new request with `ticket`, which would be
    /// served after all waiters with an equal ticket.
    pub(crate) fn occupancy(&self, ticket: T) -> Occupancy {
        self.occupancy_ahead_of((ticket, u64::MAX))
    }

    /// The occupancy as seen by a waiter with `ticket`. Waiters with an equal
    /// ticket are not counted, because the waiter itself is one of them.
    pub(crate) fn occupancy_before(&self, ticket: T) -> Occupancy {
        self.occupancy_ahead_of((ticket, 0))
    }

    fn occupancy_ahead_of(&self, bound: (T, u64)) -> Occupancy {
        let state = self.lock();
        let ahead = state.waiting.range(..bound);
        Occupancy {
            permit_count: state.permit_count,
            held_count: state.held_count,
            ahead_count: ahead.filter(|(_, sender)| !sender.is_closed()).count(),
        }
    }

    /// All permits, free and held.
    pub(crate) fn permit_count(&self) -> usize {
        self.lock().permit_count
    }

    /// Number of permits held and of waiters together.
    pub(crate) fn demand_count(&self) -> usize {
        let state = self.lock();
        let waiting = state.waiting.values().filter(|s| !s.is_closed());
        state.held_count + waiting.count()
    }

    /// Number of waiters.
    pub(crate) fn queued_count(&self) -> usize {
        let state = self.lock();
        state.waiting.values().filter(|s| !s.is_closed()).count()
    }

    pub(crate) fn held_count(&self) -> usize {
        self.lock().held_count
    }

    /// Changes the number of permits. If more are held already, their holders
    /// keep them.
    pub(crate) fn resize(self: &Arc<Self>, permit_count: usize) {
        self.lock().permit_count = permit_count;
        self.grant_to_waiters();
    }

    fn grant_to_waiters(self: &Arc<Self>) {
        while let Some(sender) = self.next_waiter() {
            // If the waiter has gone, its permit is dropped and goes to the next.
            let _ = sender.send(Permit {
                semaphore: self.clone(),
            });
        }
    }

    fn next_waiter(&self) -> Option<oneshot::Sender<Permit<T>>> {
        let mut state = self.lock();
        if state.held_count >= state.permit_count {
            return None;
        }
        let (_, sender) = state.waiting.pop_first()?;
        state.held_count += 1;
        Some(sender)
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Ord> Drop for Permit<T> {
    fn drop(&mut self) {
        self.semaphore.lock().held_count -= 1;
        self.semaphore.grant_to_waiters();
    }
}
