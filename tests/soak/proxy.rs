//! A loopback proxy whose connections can be delayed, reset, silenced or cut
//! one way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What becomes of bytes on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Each piece waits for so long.
    Delay(Duration),
    /// Nothing passes, in neither direction; connections stay open.
    Silent,
    /// Requests pass, answers do not.
    NoAnswers,
    /// Connections are reset, new ones too.
    Reset,
}

pub struct Proxy {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mode = watch::Sender::new(Mode::Pass);
        let modes = mode.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(join(near, target, modes.subscribe()));
            }
        });
        Arc::new(Self { address, mode })
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

fn reset(stream: &TcpStream) {
    // Closing then sends a reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn join(near: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    if *modes.borrow() == Mode::Reset {
        return reset(&near);
    }
    let _ = modes.wait_for(|mode| *mode != Mode::Silent).await;
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&near);
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    reset(&near);
    reset(&far);
    let (mut near_in, mut near_out) = near.into_split();
    let (mut far_in, mut far_out) = far.into_split();
    let mut cuts = modes.clone();
    let is_cut = async { cuts.wait_for(|mode| *mode == Mode::Reset).await.is_ok() };
    let there = pass(&mut near_in, &mut far_out, modes.clone(), false);
    let back = pass(&mut far_in, &mut near_out, modes.clone(), true);
    tokio::select! {
        _ = is_cut => {}
        () = there => {}
        () = back => {}
    }
}

async fn pass(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    is_answer: bool,
) {
    let mut piece = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut piece).await {
        if count == 0 {
            return;
        }
        let holds = |mode: &Mode| *mode == Mode::Silent || (is_answer && *mode == Mode::NoAnswers);
        let mode = modes.wait_for(|mode| !holds(mode)).await.map(|mode| *mode);
        if let Ok(Mode::Delay(delay)) = mode {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&piece[..count]).await.is_err() {
            return;
        }
    }
}
