//! Requests between nodes over framed TCP.
//!
//! One task owns each connection. A request fails if no reply arrives in time.
//! This module never sends a request twice, since only the code that made the
//! request knows whether that is safe.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::membership::message::{PeerReply, PeerRequest, ReplyBody, RequestBody};
use crate::policy::memory_shares::PEER_MESSAGE_MAX_BYTES;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without a frame after which a connection on which a reply is due counts as silent.
const SILENCE_MAX: Duration = Duration::from_millis(250);
/// Requests that may be queued for one connection.
const QUEUE_CAPACITY: usize = 1024;

/// A request got no reply: the queue of its connection was full, no connection
/// could be made, the connection ended first, no reply arrived in time, or the
/// reply was empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("peer did not reply")]
pub(crate) struct NoReply;

/// Bytes of the requests and replies that one node exchanged with others.
#[derive(Debug, Default)]
pub(crate) struct PeerTraffic {
    /// Bytes sent in frames.
    pub(crate) sent_bytes: AtomicU64,
    /// Bytes received in frames.
    pub(crate) received_bytes: AtomicU64,
}

impl PeerTraffic {
    pub(crate) fn count_sent(&self, frame: &[u8]) {
        self.sent_bytes
            .fetch_add(frame.len() as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, frame: &[u8]) {
        self.received_bytes
            .fetch_add(frame.len() as u64, Ordering::Relaxed);
    }
}

/// The reply to one request; `None` if the peer gives none.
type Reply = oneshot::Receiver<Option<ReplyBody>>;

struct PendingRequest {
    body: RequestBody,
    reply: oneshot::Sender<Option<ReplyBody>>,
}

/// A connection to one peer, as its users see it.
#[derive(Clone, Debug)]
struct PeerConnection {
    requests: mpsc::Sender<PendingRequest>,
    /// When the last frame arrived; `None` before the first.
    heard_at: Arc<Mutex<Option<Instant>>>,
}

impl PeerConnection {
    fn send(&self, body: RequestBody) -> Result<Reply, NoReply> {
        let (sender, reply) = oneshot::channel();
        let request = PendingRequest {
            body,
            reply: sender,
        };
        self.requests.try_send(request).map_err(|_| NoReply)?;
        Ok(reply)
    }

    fn heard_at(&self) -> Option<Instant> {
        *self.heard_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn was_heard_since(&self, since: Instant) -> bool {
        self.heard_at().is_some_and(|at| at >= since)
    }
}

/// Sends requests to other nodes, over one connection to each.
///
/// An open connection may fall silent for good, without a reset, while new ones work.
/// Nothing but a reply that does not come shows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerClient {
    connections: Arc<Mutex<BTreeMap<SocketAddr, PeerConnection>>>,
    traffic: Arc<PeerTraffic>,
}

impl PeerClient {
    /// Bytes sent and received so far.
    pub(crate) fn traffic(&self) -> &Arc<PeerTraffic> {
        &self.traffic
    }

    /// Sends a request to the node at `address` and waits for the reply. If its connection
    /// is silent, later requests use a new one, and this one too if it may be repeated.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        body: RequestBody,
        timeout: Duration,
    ) -> Result<ReplyBody, NoReply> {
        let sent_at = Instant::now();
        let (what, repeated) = (body.kind(), body.may_be_repeated().then(|| body.clone()));
        let connection = self.connection(address);
        let has_worked = connection.heard_at().is_some();
        let mut first = connection.send(body)?;
        let patience = SILENCE_MAX.min(timeout);
        if let Ok(reply) = tokio::time::timeout(patience, &mut first).await {
            return reply.ok().flatten().ok_or(NoReply);
        }
        let is_dead = has_worked && !connection.was_heard_since(sent_at);
        let second = is_dead.then(|| self.send_again(address, &connection, repeated));
        let reply = first_of(first, second.flatten());
        let reply = tokio::time::timeout(timeout - patience, reply).await;
        if reply.is_err() {
            log_unanswered(address, what, timeout, &connection);
            if !connection.was_heard_since(sent_at) {
                self.leave(address, &connection);
            }
        }
        reply.ok().flatten().ok_or(NoReply)
    }

    /// Leaves a connection that may be dead, and sends the request over a new one if it may
    /// be repeated.
    fn send_again(
        &self,
        address: SocketAddr,
        dead: &PeerConnection,
        repeated: Option<RequestBody>,
    ) -> Option<Reply> {
        self.leave(address, dead);
        self.connection(address).send(repeated?).ok()
    }

    fn connection(&self, address: SocketAddr) -> PeerConnection {
        let mut connections = self.connections();
        let known = connections.get(&address);
        if let Some(open) = known.filter(|c| !c.requests.is_closed()) {
            return open.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let connection = PeerConnection {
            requests: sender,
            heard_at: Arc::default(),
        };
        connections.insert(address, connection.clone());
        let heard_at = connection.heard_at.clone();
        let traffic = self.traffic.clone();
        tokio::spawn(run_connection(address, receiver, heard_at, traffic));
        connection
    }

    /// Has later requests use a new connection. Those that wait for replies over this one go
    /// on waiting, after which it is closed.
    fn leave(&self, address: SocketAddr, connection: &PeerConnection) {
        let mut connections = self.connections();
        let known = connections.get(&address);
        if known.is_some_and(|known| known.requests.same_channel(&connection.requests)) {
            connections.remove(&address);
        }
    }

    fn connections(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, PeerConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for the first of two replies to one request.
async fn first_of(first: Reply, second: Option<Reply>) -> Option<ReplyBody> {
    let Some(second) = second else {
        return first.await.ok().flatten();
    };
    tokio::select! {
        Ok(reply) = first => reply,
        Ok(reply) = second => reply,
        else => None,
    }
}

fn log_unanswered(address: SocketAddr, what: &str, timeout: Duration, connection: &PeerConnection) {
    let heard_ms_ago = connection.heard_at().map(|at| at.elapsed().as_millis());
    log::info!(
        "event=peer_unanswered peer={address} what={what} waited_ms={} heard_ms_ago={heard_ms_ago:?}",
        timeout.as_millis()
    );
}

async fn run_connection(
    address: SocketAddr,
    mut requests: mpsc::Receiver<PendingRequest>,
    heard_at: Arc<Mutex<Option<Instant>>>,
    traffic: Arc<PeerTraffic>,
) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connecting.await else {
        requests.close();
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, codec());
    let mut pending_replies = BTreeMap::new();
    let mut next_id = 0;
    loop {
        tokio::select! {
            request = requests.recv() => {
                let Some(request) = request else { return };
                next_id += 1;
                let frame = encode(next_id, request.body);
                traffic.count_sent(&frame);
                pending_replies.insert(next_id, request.reply);
                if framed.send(frame).await.is_err() {
                    return;
                }
            }
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else { return };
                let now = Instant::now();
                *heard_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
                traffic.count_received(&frame);
                let Ok(reply) = PeerReply::decode(frame) else { return };
                if let Some(sender) = pending_replies.remove(&reply.id) {
                    let _ = sender.send(reply.body);
                }
            }
            () = tokio::time::sleep(IDLE_TIMEOUT) => return,
        }
    }
}

fn encode(id: u64, body: RequestBody) -> Bytes {
    let request = PeerRequest {
        id,
        body: Some(body),
    };
    request.encode_to_vec().into()
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(PEER_MESSAGE_MAX_BYTES)
        .new_codec()
}
