//! What this node observes and publishes to the other nodes.

use std::collections::BTreeSet;

use tokio::sync::broadcast;

use super::sessions::SessionId;
use super::upstream::UpstreamEntry;
use crate::id::{DataCentreId, ServiceId, UpstreamId};
use crate::policy::crash_evidence::{Clearance, Crash};
use crate::policy::upstream_limit::Rate;

/// Maximum number of observations that may wait to be published.
const QUEUE_MAX: usize = 1_024;

/// Something that this node observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// An upstream is silent, unreachable or down.
    Lost {
        id: UpstreamId,
        data_centre: DataCentreId,
    },
    /// The services of which this node reaches no upstream.
    Unreachable(BTreeSet<ServiceId>),
    /// An upstream named a limit on the requests of all nodes together.
    Limited { id: UpstreamId, rate: Rate },
    /// An upstream was found running while the store was unreachable.
    Discovered(UpstreamEntry),
    /// An upstream crashed while it ran a call.
    Crash(Crash),
    /// A sound run refuted a suspicion of what crashes upstreams.
    Cleared(Clearance),
    /// This node is about to cut a stream, whose caller will request the rest
    /// elsewhere.
    Handover {
        session: SessionId,
        /// The upstream that has the session's prompt cached.
        upstream: UpstreamId,
    },
}

/// A channel from the parts that observe something to the task that publishes
/// it to other nodes.
#[derive(Clone, Debug)]
pub(crate) struct Observations {
    sender: broadcast::Sender<Observation>,
}

impl Default for Observations {
    fn default() -> Self {
        Self {
            sender: broadcast::Sender::new(QUEUE_MAX),
        }
    }
}

impl Observations {
    /// Queues an observation for publication.
    pub(crate) fn publish(&self, observation: Observation) {
        // The channel has no receiver in a node without peers.
        let _ = self.sender.send(observation);
    }

    /// Receives all observations that are published from now on.
    pub(crate) fn subscribe(&self) -> broadcast::Receiver<Observation> {
        self.sender.subscribe()
    }
}
