//! Finds which process holds the client's end of a loopback connection.

use std::collections::BTreeMap;
use std::fs;
use std::io::Read;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// Bytes of a request: `nlmsghdr` and `inet_diag_req_v2`.
const REQUEST_BYTES: u32 = 72;
/// Place of the inode in an answer: after `nlmsghdr` and most of `inet_diag_msg`.
const INODE_AT: usize = 84;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The process at the client's end of a connection, as far as it is known.
pub struct ClientProcess {
    /// Name of the socket, as a process holds it.
    socket: Option<String>,
    /// Whether these processes hold the socket.
    is_holder: BTreeMap<u32, bool>,
}

impl ClientProcess {
    pub fn of_connection(client: SocketAddrV4, server: SocketAddrV4) -> Self {
        Self {
            socket: inode(client, server).map(|inode| format!("socket:[{inode}]")),
            is_holder: BTreeMap::new(),
        }
    }

    pub fn is(&mut self, process_id: u32) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        let is_holder = self.is_holder.entry(process_id);
        *is_holder.or_insert_with(|| holds_socket(process_id, socket))
    }
}

/// Asks the kernel for the inode of the client's socket.
fn inode(client: SocketAddrV4, server: SocketAddrV4) -> Option<u32> {
    let (domain, protocol) = (Domain::from(AF_NETLINK), Protocol::from(NETLINK_SOCK_DIAG));
    let mut kernel = Socket::new(domain, Type::DGRAM, Some(protocol)).ok()?;
    kernel.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    kernel.send(&request(client, server)).ok()?;
    let mut answer = [0; 512];
    let length = kernel.read(&mut answer).ok()?;
    let is_found = u16::from_ne_bytes([answer[4], answer[5]]) == SOCK_DIAG_BY_FAMILY;
    let inode = answer[..length].get(INODE_AT..INODE_AT + 4)?;
    is_found.then(|| u32::from_ne_bytes(inode.try_into().expect("four bytes")))
}

fn request(client: SocketAddrV4, server: SocketAddrV4) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend(REQUEST_BYTES.to_ne_bytes());
    bytes.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    bytes.extend(NLM_F_REQUEST.to_ne_bytes());
    bytes.extend([0; 8]);
    bytes.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    // Sockets in any state.
    bytes.extend(u32::MAX.to_ne_bytes());
    bytes.extend(client.port().to_be_bytes());
    bytes.extend(server.port().to_be_bytes());
    for address in [client, server] {
        bytes.extend(address.ip().octets());
        bytes.extend([0; 12]);
    }
    // Any interface, and no cookie.
    bytes.extend([0; 4]);
    bytes.extend([0xff; 8]);
    bytes
}

fn holds_socket(process_id: u32, socket: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process_id}/fd")) else {
        return false;
    };
    let mut targets = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    targets.any(|target| target.as_os_str() == socket)
}
