//! Tells when the bytes of a call begin to leave this node.
//!
//! A call may wait for a probe, a connection or a permit after its upstream was chosen.
//! Until its bytes leave, no upstream can have run it.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::watch;

/// When the bytes of a send began to leave. Its clones share the time.
#[derive(Clone, Debug)]
pub(crate) struct WriteSignal {
    written_at: Arc<watch::Sender<Option<Instant>>>,
}

impl Default for WriteSignal {
    fn default() -> Self {
        Self {
            written_at: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl WriteSignal {
    /// Records that the bytes begin to leave now, unless that is recorded.
    pub(crate) fn set(&self) {
        self.written_at.send_if_modified(|at| {
            let is_first = at.is_none();
            at.get_or_insert_with(Instant::now);
            is_first
        });
    }

    /// When the bytes began to leave, if they did.
    pub(crate) fn written_at(&self) -> Option<Instant> {
        *self.written_at.borrow()
    }

    /// Waits until the bytes begin to leave.
    pub(crate) async fn wait(&self) {
        let mut changes = self.written_at.subscribe();
        // Fails only if the sender is gone, which `self` holds.
        let _ = changes.wait_for(Option::is_some).await;
    }
}
