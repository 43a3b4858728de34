//! A counted gate that lets waiters through in the order of their tickets.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Lets a limited number of holders through, the lowest ticket first.
///
/// The tickets' type decides the order; equal tickets keep their arrival.
#[derive(Debug)]
pub(crate) struct Gate<T: Ord> {
    state: Mutex<State<T>>,
}

#[derive(Debug)]
struct State<T: Ord> {
    slot_count: usize,
    held_count: usize,
    arrivals: u64,
    waiting: BTreeMap<(T, u64), oneshot::Sender<Permit<T>>>,
}

/// A place behind the gate, given back when dropped.
#[derive(Debug)]
pub(crate) struct Permit<T: Ord> {
    gate: Arc<Gate<T>>,
}

/// What a newcomer gets from the gate.
#[derive(Debug)]
pub(crate) enum Entry<T: Ord> {
    /// There was room.
    Open(Permit<T>),
    /// The permit comes through the channel.
    Wait(oneshot::Receiver<Permit<T>>),
}

/// How full the gate is, as a newcomer with some ticket sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Occupancy {
    /// Places in all.
    pub(crate) slot_count: usize,
    /// Places taken.
    pub(crate) held_count: usize,
    /// Waiters that go first.
    pub(crate) ahead_count: usize,
}

impl<T: Ord> Gate<T> {
    /// Makes a gate with `slot_count` places.
    pub(crate) fn new(slot_count: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                slot_count,
                held_count: 0,
                arrivals: 0,
                waiting: BTreeMap::new(),
            }),
        })
    }

    /// Takes a place or a position in the queue.
    pub(crate) fn enter(self: &Arc<Self>, ticket: T) -> Entry<T> {
        let mut state = self.lock();
        if state.held_count < state.slot_count && state.waiting.is_empty() {
            state.held_count += 1;
            return Entry::Open(Permit { gate: self.clone() });
        }
        let (sender, receiver) = oneshot::channel();
        state.arrivals += 1;
        let arrival = state.arrivals;
        state.waiting.insert((ticket, arrival), sender);
        Entry::Wait(receiver)
    }

    /// Waits for a place.
    pub(crate) async fn acquire(self: &Arc<Self>, ticket: T) -> Permit<T> {
        match self.enter(ticket) {
            Entry::Open(permit) => permit,
            Entry::Wait(receiver) => match receiver.await {
                Ok(permit) => permit,
                // The gate owns every sender, so it cannot close first.
                Err(_) => std::future::pending().await,
            },
        }
    }

    /// Counts what stands before a newcomer with `ticket`.
    pub(crate) fn occupancy(&self, ticket: T) -> Occupancy {
        self.occupancy_below((ticket, u64::MAX))
    }

    /// Counts what stands before a waiter with `ticket`, its equals left out.
    pub(crate) fn occupancy_before(&self, ticket: T) -> Occupancy {
        self.occupancy_below((ticket, 0))
    }

    fn occupancy_below(&self, bound: (T, u64)) -> Occupancy {
        let state = self.lock();
        let ahead = state.waiting.range(..bound);
        Occupancy {
            slot_count: state.slot_count,
            held_count: state.held_count,
            ahead_count: ahead.filter(|(_, sender)| !sender.is_closed()).count(),
        }
    }

    /// Places in all.
    pub(crate) fn slot_count(&self) -> usize {
        self.lock().slot_count
    }

    /// Holders and waiters together.
    pub(crate) fn demand_count(&self) -> usize {
        let state = self.lock();
        let waiting = state.waiting.values().filter(|s| !s.is_closed());
        state.held_count + waiting.count()
    }

    /// Waiters alone.
    pub(crate) fn queued_count(&self) -> usize {
        let state = self.lock();
        state.waiting.values().filter(|s| !s.is_closed()).count()
    }

    /// Holders alone.
    pub(crate) fn held_count(&self) -> usize {
        self.lock().held_count
    }

    /// Changes the number of places; holders above it keep theirs.
    pub(crate) fn resize(self: &Arc<Self>, slot_count: usize) {
        self.lock().slot_count = slot_count;
        self.let_in();
    }

    fn let_in(self: &Arc<Self>) {
        while let Some(sender) = self.next_waiter() {
            // A waiter that left drops the permit, which lets in the next.
            let _ = sender.send(Permit { gate: self.clone() });
        }
    }

    fn next_waiter(&self) -> Option<oneshot::Sender<Permit<T>>> {
        let mut state = self.lock();
        if state.held_count >= state.slot_count {
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
        self.gate.lock().held_count -= 1;
        self.gate.let_in();
    }
}
