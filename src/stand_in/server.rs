//! What the three stand-ins share: a server that can be killed or frozen.
//!
//! The stand-ins take the place of outside systems in tests, experiments and
//! the walk-through; they are no part of what a node runs.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http::{Handler, serve};
use crate::shutdown::{Shutdown, ShutdownTrigger};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// A running stand-in.
#[derive(Debug)]
pub struct StandIn {
    address: SocketAddr,
    trigger: Arc<ShutdownTrigger>,
    task: JoinHandle<()>,
}

impl StandIn {
    /// Starts serving with `handler`.
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
            trigger,
            task,
        })
    }

    /// Where the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts every connection and stops listening, as a killed process would.
    pub async fn kill(self) {
        self.trigger.abort();
        let _ = self.task.await;
    }

    /// Waits until the stand-in dies of a fault it was ordered to have.
    pub async fn ended(self) {
        let _ = self.task.await;
    }
}

/// Binds a listener that can take over the address of a dead process.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A switch that holds up everything that waits for it.
#[derive(Clone, Debug)]
pub(crate) struct Freezer {
    frozen: watch::Sender<bool>,
}

impl Freezer {
    /// Makes a switch that holds up nothing.
    pub(crate) fn new() -> Self {
        Self {
            frozen: watch::Sender::new(false),
        }
    }

    /// Sets the switch.
    pub(crate) fn set(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits while the switch is on.
    pub(crate) async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}
