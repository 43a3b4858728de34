//! The store as one node sees it, with addresses of upstreams that only this node
//! uses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpStream;

use super::free_address;
use super::raw::{RawRequest, RequestHandler, serve};
use super::store::Store;

/// Answers as the store does, but replaces addresses of upstreams.
struct StoreView {
    store: Arc<Store>,
    /// This node's address of each upstream, by the address in the store.
    addresses: BTreeMap<SocketAddr, SocketAddr>,
}

/// Starts a view of the store, and returns the address at which it listens.
///
/// Revisions are those of the store. A node takes upstreams from a peer only if their
/// revision is newer than its own, so that the nodes must see a change at the same time.
pub async fn start(store: &Arc<Store>, addresses: BTreeMap<SocketAddr, SocketAddr>) -> SocketAddr {
    let address = free_address();
    let store = store.clone();
    serve(address, Arc::new(StoreView { store, addresses })).await;
    address
}

impl RequestHandler for StoreView {
    async fn handle(self: Arc<Self>, request: RawRequest, stream: &mut TcpStream) -> bool {
        let (status, body) = self.store.answer(&request).await;
        let mut body = body.to_string();
        for (stored, own) in &self.addresses {
            body = body.replace(&format!("\"{stored}\""), &format!("\"{own}\""));
        }
        self.store.reply(stream, status, &body).await
    }
}
