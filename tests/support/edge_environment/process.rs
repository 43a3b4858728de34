//! A thread on which one stand-in runs, so that it can be paused as SIGSTOP pauses a
//! process.
//!
//! The kernel goes on for a paused stand-in: it completes handshakes, acknowledges
//! bytes and queues them. When the stand-in goes on, it first reads the requests that
//! wait, and then sees which connections were closed.

use std::future::pending;
use std::sync::{Mutex, mpsc};

use tokio::runtime::{self, Handle};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// The thread of one stand-in. It ends with the runtime on which it was started.
pub struct StandInProcess {
    handle: Handle,
    /// Set while the thread is paused; dropping the sender ends the pause.
    pause: Mutex<Option<mpsc::Sender<()>>>,
}

impl StandInProcess {
    pub fn start() -> Self {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let handle = runtime.handle().clone();
        let (owner, owner_ended) = oneshot::channel::<()>();
        tokio::spawn(async move {
            let _owner = owner;
            pending::<()>().await;
        });
        std::thread::spawn(move || runtime.block_on(owner_ended));
        Self {
            handle,
            pause: Mutex::default(),
        }
    }

    pub fn spawn<F>(&self, task: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.handle.spawn(task)
    }

    /// Pauses the thread or ends its pause.
    pub fn set_paused(&self, is_paused: bool) {
        let mut pause = self.pause.lock().expect("unpoisoned");
        if !is_paused {
            pause.take();
        } else if pause.is_none() {
            let (sender, receiver) = mpsc::channel::<()>();
            self.handle.spawn(async move {
                let _ = receiver.recv();
            });
            *pause = Some(sender);
        }
    }
}
