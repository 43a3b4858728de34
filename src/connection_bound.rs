//! Bounds the number of connections that a server keeps open.
//!
//! At the bound, the connection that has been idle longest makes room for the new one.
//! Callers expect at any time that an idle connection is closed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio_util::sync::CancellationToken;

use crate::connection_activity::ConnectionActivity;
use crate::memory::budget::MemoryBudget;
use crate::observe::metrics::{Counter, Metrics};

type ConnectionNumber = u64;

/// The open connections of one server, or of several that share a bound.
#[derive(Debug)]
pub(crate) struct ConnectionBound {
    connections_max: usize,
    memory: Arc<MemoryBudget>,
    metrics: Arc<Metrics>,
    open: Mutex<OpenConnections>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next_number: ConnectionNumber,
    by_number: BTreeMap<ConnectionNumber, OpenConnection>,
}

#[derive(Debug)]
struct OpenConnection {
    activity: ConnectionActivity,
    closed: CancellationToken,
}

impl OpenConnections {
    fn longest_idle(&self) -> Option<ConnectionNumber> {
        let idle = self.by_number.iter().filter_map(|(number, connection)| {
            let since: Instant = connection.activity.unused_since()?;
            Some((since, *number))
        });
        idle.min().map(|(_, number)| number)
    }
}

impl ConnectionBound {
    pub(crate) fn new(
        connections_max: usize,
        memory: Arc<MemoryBudget>,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new(Self {
            connections_max,
            memory,
            metrics,
            open: Mutex::default(),
        })
    }

    /// Admits a new connection, and closes another one if there are too many. Returns
    /// `None` if all of them are in use.
    pub(crate) fn admit(
        self: &Arc<Self>,
        activity: ConnectionActivity,
    ) -> Option<AdmittedConnection> {
        let mut open = self.lock();
        if open.by_number.len() >= self.connections_max {
            let Some(longest_idle) = open.longest_idle() else {
                drop(open);
                self.refuse();
                return None;
            };
            if let Some(evicted) = open.by_number.remove(&longest_idle) {
                evicted.closed.cancel();
                self.metrics.add(Counter::ConnectionsEvicted, 1);
            }
        }
        let closed = CancellationToken::new();
        let number = open.next_number;
        open.next_number += 1;
        let connection = OpenConnection {
            activity,
            closed: closed.clone(),
        };
        open.by_number.insert(number, connection);
        drop(open);
        Some(AdmittedConnection {
            bound: self.clone(),
            number,
            closed,
        })
    }

    /// Records a refusal. A stalled body loses its connection, so that a later one is
    /// admitted.
    fn refuse(&self) {
        self.memory.reclaim(1);
        self.metrics.add(Counter::ConnectionsRefused, 1);
        log::info!(
            "event=connection_refused open_max={} held_bytes={} budget_bytes={}",
            self.connections_max,
            self.memory.held_bytes(),
            self.memory.budget_bytes()
        );
    }

    fn lock(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that counts as open until this is dropped.
#[derive(Debug)]
pub(crate) struct AdmittedConnection {
    bound: Arc<ConnectionBound>,
    number: ConnectionNumber,
    closed: CancellationToken,
}

impl AdmittedConnection {
    /// Completes when the connection must make room for another one.
    pub(crate) async fn wait_until_evicted(&self) {
        self.closed.cancelled().await;
    }
}

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.bound.lock().by_number.remove(&self.number);
    }
}
