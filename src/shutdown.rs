//! Shutdown signals for tasks.
//!
//! [`crate::Node::drain`] defines the order of a graceful shutdown. These types
//! carry the two signals that tasks wait for: the stage of the graceful
//! shutdown, and the abort of everything.

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Stage of the graceful shutdown of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownStage {
    /// The server runs normally.
    Serving,
    /// The node has left the list of addresses for callers, but still serves
    /// requests.
    Leaving,
    /// No new connection is accepted, and open requests finish.
    Closing,
}

/// Receiver of the shutdown signals.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    stage: watch::Receiver<ShutdownStage>,
    abort: CancellationToken,
}

/// Sender of the shutdown signals.
#[derive(Debug)]
pub(crate) struct ShutdownTrigger {
    stage: watch::Sender<ShutdownStage>,
    abort: CancellationToken,
}

impl Shutdown {
    /// Creates a sender and a receiver.
    pub(crate) fn channel() -> (ShutdownTrigger, Self) {
        let (sender, receiver) = watch::channel(ShutdownStage::Serving);
        let abort = CancellationToken::new();
        let trigger = ShutdownTrigger {
            stage: sender,
            abort: abort.clone(),
        };
        let shutdown = Self {
            stage: receiver,
            abort,
        };
        (trigger, shutdown)
    }

    /// Waits for the stage in which no new connection may be accepted.
    pub(crate) async fn wait_for_closing(&mut self) {
        let _ = self
            .stage
            .wait_for(|stage| *stage >= ShutdownStage::Closing)
            .await;
    }

    /// Returns a token that is cancelled when everything must stop at once.
    pub(crate) fn abort_token(&self) -> CancellationToken {
        self.abort.clone()
    }
}

impl ShutdownTrigger {
    /// Advances the shutdown to `stage`, unless it has reached a later stage.
    pub(crate) fn advance(&self, stage: ShutdownStage) {
        self.stage.send_if_modified(|current| {
            let is_later = stage > *current;
            *current = stage.max(*current);
            is_later
        });
    }

    /// Returns a token that is cancelled when everything must stop at once.
    pub(crate) fn abort_token(&self) -> CancellationToken {
        self.abort.clone()
    }

    /// Stops all tasks and closes every connection at once, as if the process had
    /// been killed.
    pub(crate) fn abort(&self) {
        self.advance(ShutdownStage::Closing);
        self.abort.cancel();
    }
}
