//! What this node finds out and other nodes may not know.

use tokio::sync::broadcast;

use super::sessions::SessionId;
use super::upstream::{UpstreamEntry, UpstreamId};
use crate::fleet::poison::Fingerprint;
use crate::id::DataCentreId;

/// Sightings that may wait to be told.
const UNTOLD_MAX: usize = 1_024;

/// Something that this node found out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Sighting {
    /// An upstream is out of reach or down.
    Lost {
        /// Its name.
        id: UpstreamId,
        /// Data centre it stands in.
        data_centre: DataCentreId,
    },
    /// An upstream runs, and the store could not be asked.
    Found(UpstreamEntry),
    /// An upstream crashed while it began to run a request.
    Crash {
        /// The request.
        request: Fingerprint,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A stream is cut here, and its caller will come back for the rest.
    Handover {
        /// Session of the stream.
        session: SessionId,
        /// Where its prompt lies.
        upstream: UpstreamId,
    },
}

/// Takes what is found out to whoever tells it to other nodes.
#[derive(Clone, Debug)]
pub(crate) struct Sightings {
    sender: broadcast::Sender<Sighting>,
}

impl Default for Sightings {
    fn default() -> Self {
        Self {
            sender: broadcast::Sender::new(UNTOLD_MAX),
        }
    }
}

impl Sightings {
    /// Has other nodes told of something.
    pub(crate) fn tell(&self, sighting: Sighting) {
        // Nobody listens in a node without peers.
        let _ = self.sender.send(sighting);
    }

    /// Hears what there is to tell from now on.
    pub(crate) fn subscribe(&self) -> broadcast::Receiver<Sighting> {
        self.sender.subscribe()
    }
}
