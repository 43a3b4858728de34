//! Calls between nodes over framed TCP.
//!
//! One task owns each connection. A call that gets no reply in time fails, and
//! its caller decides what that means; nothing is sent again here.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::membership::message::{PeerCall, PeerReply, Question, ReplyBody};
use crate::shutdown::Shutdown;

/// Largest frame between nodes: a platform value with its envelope.
const FRAME_MAX_BYTES: usize = 1024 * 1024 + 4096;
/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Calls that may wait for one connection.
const QUEUE_LENGTH: usize = 1024;

/// Answers the calls of other nodes.
pub(crate) trait PeerHandler: Send + Sync + 'static {
    /// Answers one question, or gives nothing when it cannot.
    fn answer(&self, question: Question) -> impl Future<Output = Option<ReplyBody>> + Send;
}

/// No reply came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer gave no reply")]
pub(crate) struct NoReply;

/// Bytes that calls have moved, for the control budget.
#[derive(Debug, Default)]
pub(crate) struct PeerTraffic {
    /// Bytes sent in frames.
    pub(crate) sent_bytes: AtomicU64,
    /// Bytes received in frames.
    pub(crate) received_bytes: AtomicU64,
}

impl PeerTraffic {
    fn count_sent(&self, frame: &[u8]) {
        self.sent_bytes
            .fetch_add(frame.len() as u64, Ordering::Relaxed);
    }

    fn count_received(&self, frame: &[u8]) {
        self.received_bytes
            .fetch_add(frame.len() as u64, Ordering::Relaxed);
    }
}

struct Pending {
    question: Question,
    reply: oneshot::Sender<Option<ReplyBody>>,
}

/// Asks other nodes, over one connection to each.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerClient {
    connections: Arc<Mutex<BTreeMap<SocketAddr, mpsc::Sender<Pending>>>>,
    traffic: Arc<PeerTraffic>,
}

impl PeerClient {
    /// Bytes moved so far.
    pub(crate) fn traffic(&self) -> &Arc<PeerTraffic> {
        &self.traffic
    }

    /// Asks the node at `address`.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        question: Question,
        timeout: Duration,
    ) -> Result<ReplyBody, NoReply> {
        let (sender, receiver) = oneshot::channel();
        let pending = Pending {
            question,
            reply: sender,
        };
        let connection = self.connection(address);
        connection.try_send(pending).map_err(|_| NoReply)?;
        let reply = tokio::time::timeout(timeout, receiver).await;
        reply.ok().and_then(Result::ok).flatten().ok_or(NoReply)
    }

    fn connection(&self, address: SocketAddr) -> mpsc::Sender<Pending> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(open) = connections.get(&address).filter(|c| !c.is_closed()) {
            return open.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        connections.insert(address, sender.clone());
        tokio::spawn(run_connection(address, receiver, self.traffic.clone()));
        sender
    }
}

async fn run_connection(
    address: SocketAddr,
    mut calls: mpsc::Receiver<Pending>,
    traffic: Arc<PeerTraffic>,
) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connecting.await else {
        calls.close();
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, codec());
    let mut waiting = BTreeMap::new();
    let mut next_id = 0;
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else { return };
                next_id += 1;
                let frame = encode(next_id, call.question);
                traffic.count_sent(&frame);
                waiting.insert(next_id, call.reply);
                if framed.send(frame).await.is_err() {
                    return;
                }
            }
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else { return };
                traffic.count_received(&frame);
                let Ok(reply) = PeerReply::decode(frame) else { return };
                if let Some(sender) = waiting.remove(&reply.id) {
                    let _ = sender.send(reply.body);
                }
            }
            () = tokio::time::sleep(IDLE_TIMEOUT) => return,
        }
    }
}

fn encode(id: u64, question: Question) -> Bytes {
    let call = PeerCall {
        id,
        question: Some(question),
    };
    call.encode_to_vec().into()
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec()
}

/// Answers other nodes until `shutdown` begins.
pub(crate) async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    traffic: Arc<PeerTraffic>,
    mut shutdown: Shutdown,
) -> io::Result<()> {
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => continue,
            },
            () = shutdown.begun() => return Ok(()),
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(answer_connection(
            stream,
            handler.clone(),
            traffic.clone(),
            shutdown.clone(),
        ));
    }
}

async fn answer_connection<H: PeerHandler>(
    stream: TcpStream,
    handler: Arc<H>,
    traffic: Arc<PeerTraffic>,
    mut shutdown: Shutdown,
) {
    let (mut sink, mut calls) = Framed::new(stream, codec()).split();
    let (replies, mut ready) = mpsc::channel::<Bytes>(QUEUE_LENGTH);
    loop {
        tokio::select! {
            frame = calls.next() => {
                // Garbage on the port ends the connection and nothing else.
                let Some(Ok(frame)) = frame else { return };
                traffic.count_received(&frame);
                let Ok(call) = PeerCall::decode(frame) else { return };
                tokio::spawn(answer_call(call, handler.clone(), replies.clone()));
            }
            Some(frame) = ready.recv() => {
                traffic.count_sent(&frame);
                if sink.send(frame).await.is_err() {
                    return;
                }
            }
            () = shutdown.begun() => return,
        }
    }
}

async fn answer_call<H: PeerHandler>(
    call: PeerCall,
    handler: Arc<H>,
    replies: mpsc::Sender<Bytes>,
) {
    let body = match call.question {
        Some(question) => handler.answer(question).await,
        None => None,
    };
    let reply = PeerReply { id: call.id, body };
    let _ = replies.send(reply.encode_to_vec().into()).await;
}
