//! Stopping, as a value that is passed in.
//!
//! The drain order is written in [`crate::Node::drain`]; this type only
//! carries the two signals that every task listens for.

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// How far the stop of this process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Everything is served.
    Serving,
    /// The node has left the address answer and still serves.
    Leaving,
    /// No new connection is taken; what is open ends.
    Closing,
}

/// The receiving side of a stop.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    stage: watch::Receiver<Stage>,
    aborted: CancellationToken,
}

/// The side that starts a stop.
#[derive(Debug)]
pub(crate) struct ShutdownTrigger {
    stage: watch::Sender<Stage>,
    aborted: CancellationToken,
}

impl Shutdown {
    /// Makes both sides.
    pub(crate) fn channel() -> (ShutdownTrigger, Self) {
        let (sender, receiver) = watch::channel(Stage::Serving);
        let aborted = CancellationToken::new();
        let trigger = ShutdownTrigger {
            stage: sender,
            aborted: aborted.clone(),
        };
        let shutdown = Self {
            stage: receiver,
            aborted,
        };
        (trigger, shutdown)
    }

    /// Waits until no new connection is to be taken.
    pub(crate) async fn begun(&mut self) {
        let _ = self.stage.wait_for(|stage| *stage >= Stage::Closing).await;
    }

    /// Waits until the process is to stop at once.
    pub(crate) fn aborted_handle(&self) -> CancellationToken {
        self.aborted.clone()
    }
}

impl ShutdownTrigger {
    /// Moves the stop on; it never goes back.
    pub(crate) fn advance(&self, stage: Stage) {
        self.stage.send_if_modified(|current| {
            let moves = stage > *current;
            *current = stage.max(*current);
            moves
        });
    }

    /// Is cancelled when everything is cut.
    pub(crate) fn aborted(&self) -> CancellationToken {
        self.aborted.clone()
    }

    /// Cuts every connection, as the death of the process would.
    pub(crate) fn abort(&self) {
        self.advance(Stage::Closing);
        self.aborted.cancel();
    }
}
