//! The queue of streams that were taken up and wait to have their prompts read again.

use std::collections::BTreeMap;
use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

/// Place in the queue: the route's priority, and then the order of arrival.
type Place = (u32, u64);

/// Streams whose prompts are read again, and those that wait for it. The more urgent enter
/// first.
#[derive(Debug, Default)]
pub(crate) struct RereadQueue {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    reading_count: usize,
    /// Number of prompts that may be read again at once, as the last stream stated it.
    reading_max: usize,
    arrival_count: u64,
    waiting: BTreeMap<Place, oneshot::Sender<RereadTurn>>,
}

/// Permission to have one prompt read again. Dropping it admits the next stream.
#[derive(Debug)]
pub(crate) struct RereadTurn {
    state: Arc<Mutex<State>>,
}

impl RereadQueue {
    /// Waits for a turn, for `wait_max` at most; then the stream gets one although `reading_max`
    /// prompts are read again.
    pub(crate) async fn wait_for_turn(
        &self,
        priority: u32,
        reading_max: usize,
        wait_max: Duration,
    ) -> RereadTurn {
        let (place, admitted) = {
            let mut state = lock(&self.state);
            state.reading_max = reading_max;
            if state.reading_count < reading_max {
                return self.admit(&mut state);
            }
            state.join(priority)
        };
        match tokio::time::timeout(wait_max, admitted).await {
            Ok(Ok(turn)) => turn,
            _ => {
                let mut state = lock(&self.state);
                state.waiting.remove(&place);
                self.admit(&mut state)
            }
        }
    }

    fn admit(&self, state: &mut State) -> RereadTurn {
        state.reading_count += 1;
        RereadTurn {
            state: self.state.clone(),
        }
    }
}

impl State {
    fn join(&mut self, priority: u32) -> (Place, oneshot::Receiver<RereadTurn>) {
        let place = (priority, self.arrival_count);
        self.arrival_count += 1;
        let (sender, admitted) = oneshot::channel();
        self.waiting.insert(place, sender);
        (place, admitted)
    }
}

impl Drop for RereadTurn {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.reading_count -= 1;
        while state.reading_count < state.reading_max
            && let Some((_, waiting)) = state.waiting.pop_first()
        {
            let turn = Self {
                state: self.state.clone(),
            };
            match waiting.send(turn) {
                Ok(()) => state.reading_count += 1,
                // The caller has left. Dropping the turn would lock the state again.
                Err(turn) => mem::forget(turn),
            }
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
