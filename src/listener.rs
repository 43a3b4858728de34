//! TCP listeners of nodes and stand-ins.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Largest number of connections that wait at a listener to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Binds a listener, also at an address that a process used which has just
/// ended.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
