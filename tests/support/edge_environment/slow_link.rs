//! A link to an upstream with a small window, over which the upstream reads a
//! request with pauses.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};

/// Size of the receive buffer; the kernel doubles it.
const BUFFER_BYTES: u32 = 4_096;
const PIECE_BYTES: usize = 1_024;

/// A pause after a number of bytes of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    pub after_bytes: usize,
    pub length: Duration,
}

/// Relays connections to `target`, and returns the address of the link.
pub async fn start(target: SocketAddr, pauses: Vec<Pause>) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket is created");
    let sized = socket.set_recv_buffer_size(BUFFER_BYTES);
    sized.expect("the size is set");
    let bound = socket.bind(([127, 0, 0, 1], 0).into());
    bound.expect("a free port");
    let listener = socket.listen(64).expect("the socket listens");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(relay(client, target, pauses.clone()));
        }
    });
    address
}

async fn relay(client: TcpStream, target: SocketAddr, pauses: Vec<Pause>) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (from_client, mut to_client) = client.into_split();
    let (mut from_upstream, to_upstream) = upstream.into_split();
    tokio::select! {
        () = relay_requests(from_client, to_upstream, pauses) => {}
        _ = tokio::io::copy(&mut from_upstream, &mut to_client) => {}
    }
}

async fn relay_requests(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, pauses: Vec<Pause>) {
    let mut pauses = pauses.into_iter().peekable();
    let mut piece = vec![0; PIECE_BYTES];
    let mut byte_count = 0;
    while let Ok(count) = from.read(&mut piece).await {
        if count == 0 || to.write_all(&piece[..count]).await.is_err() {
            return;
        }
        byte_count += count;
        while let Some(pause) = pauses.next_if(|pause| pause.after_bytes <= byte_count) {
            tokio::time::sleep(pause.length).await;
        }
    }
}
