//! The HTTP server on which the three stand-ins run, and the switch that freezes
//! a stand-in.
//!
//! The stand-ins take the place of the platform, of runners and of services in
//! tests, experiments and the demonstration.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http::{Handler, serve};
use crate::shutdown::{Shutdown, ShutdownTrigger};

/// The server of one stand-in, by which the stand-in can be killed.
#[derive(Debug)]
pub struct StandIn {
    address: SocketAddr,
    shutdown_trigger: Arc<ShutdownTrigger>,
    task: JoinHandle<()>,
}

impl StandIn {
    /// Starts to serve the listener's connections with `handler`.
    pub(crate) fn start<H: Handler>(
        listener: TcpListener,
        handler: Arc<H>,
        trigger: Arc<ShutdownTrigger>,
        shutdown: Shutdown,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let task = tokio::spawn(serve(listener, handler, shutdown));
        Ok(Self {
            address,
            shutdown_trigger: trigger,
            task,
        })
    }

    /// Address at which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once, as if the process had
    /// been killed.
    pub async fn kill(self) {
        self.shutdown_trigger.abort();
        let _ = self.task.await;
    }

    /// Waits until the server has ended, as it does after a fault that kills the
    /// stand-in.
    pub async fn ended(self) {
        let _ = self.task.await;
    }
}

/// Switch that freezes a stand-in: while it is on, tasks that wait for it do
/// not proceed.
#[derive(Clone, Debug)]
pub(crate) struct FreezeSwitch {
    frozen: watch::Sender<bool>,
}

impl FreezeSwitch {
    /// Makes a switch that is off.
    pub(crate) fn new() -> Self {
        Self {
            frozen: watch::Sender::new(false),
        }
    }

    /// Turns the switch on or off.
    pub(crate) fn set(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until the switch is off.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}
