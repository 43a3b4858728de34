//! Open connections that fall silent for good, without a reset, while new ones work.

use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, RawFd};

use socket2::{SockFilter, SockRef, Type};

/// A packet filter's instruction to return a constant: the number of bytes to accept.
const RETURN_CONSTANT: u16 = 0x06;

/// Drops all that arrives from now on over the connections of this process that are open
/// and have this port at either end. Returns the number of their ends.
pub fn silence_open_connections(port: u16) -> usize {
    let ends = open_descriptors().into_iter();
    ends.filter(|descriptor| silence(*descriptor, port)).count()
}

fn open_descriptors() -> Vec<RawFd> {
    let entries = std::fs::read_dir("/proc/self/fd").expect("the list of descriptors");
    let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    names.filter_map(|name| name.parse().ok()).collect()
}

fn silence(descriptor: RawFd, port: u16) -> bool {
    // SAFETY: the descriptor is only asked for its addresses and given a filter. If it was
    // closed since it was listed, these calls fail.
    let descriptor = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let socket = SockRef::from(&descriptor);
    if !matches!(socket.r#type(), Ok(Type::STREAM)) || !has_port(&socket, port) {
        return false;
    }
    let accept_no_byte = SockFilter::new(RETURN_CONSTANT, 0, 0, 0);
    socket.attach_filter(&[accept_no_byte]).is_ok()
}

fn has_port(socket: &SockRef<'_>, port: u16) -> bool {
    // A listener has no peer.
    let (Ok(local), Ok(peer)) = (socket.local_addr(), socket.peer_addr()) else {
        return false;
    };
    let ports = [local, peer].map(|end| end.as_socket().map(|address| address.port()));
    ports.contains(&Some(port))
}

/// Drops all that arrives at sockets of this process with one of these addresses at either end,
/// listeners and datagram sockets included, or ends that. Returns the number of sockets.
pub fn set_cut(addresses: &[SocketAddr], is_cut: bool) -> usize {
    let mut changed_count = 0;
    for descriptor in open_descriptors() {
        // SAFETY: as in `silence`.
        let descriptor = unsafe { BorrowedFd::borrow_raw(descriptor) };
        let socket = SockRef::from(&descriptor);
        let ends = [socket.local_addr(), socket.peer_addr()].map(|end| end.ok()?.as_socket());
        if !ends.iter().flatten().any(|end| addresses.contains(end)) {
            continue;
        }
        // Fails only if the socket was closed, or opened during the cut.
        let changed = if is_cut {
            socket.attach_filter(&[SockFilter::new(RETURN_CONSTANT, 0, 0, 0)])
        } else {
            socket.detach_filter()
        };
        changed_count += usize::from(changed.is_ok());
    }
    changed_count
}
