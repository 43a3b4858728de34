//! Cancels streams at runners that nobody needs any more.

use std::net::SocketAddr;

use tokio::runtime::Handle;

use crate::fleet::runner::{RunnerClient, StreamKey};

/// A stream at a runner, cancelled there when the guard is dropped, unless it was
/// released. A request that ends in any of its waits thus leaves no run behind.
#[derive(Debug)]
pub(crate) struct StreamGuard {
    client: RunnerClient,
    address: SocketAddr,
    key: StreamKey,
    is_released: bool,
}

impl StreamGuard {
    /// Guards the stream with this key at the runner with this address.
    pub(crate) fn new(client: RunnerClient, address: SocketAddr, key: StreamKey) -> Self {
        Self {
            client,
            address,
            key,
            is_released: false,
        }
    }

    /// Leaves the stream to its runner, which ends it by itself.
    pub(crate) fn release(&mut self) {
        self.is_released = true;
    }

    /// Cancels the stream, whether or not it was released.
    pub(crate) fn cancel(mut self) {
        self.is_released = false;
    }

    pub(crate) fn client(&self) -> &RunnerClient {
        &self.client
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        if self.is_released {
            return;
        }
        let (client, address) = (self.client.clone(), self.address);
        let key = std::mem::take(&mut self.key);
        runtime.spawn(async move { client.cancel(address, &key).await });
    }
}
