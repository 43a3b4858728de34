//! Serves the requests of other nodes, within bounds on their messages and, at entry nodes, on
//! their connections.
//!
//! The encoded messages of peers that send without end, stop within a message or read no replies
//! hold no more memory than their share. Decoded requests, and replies that wait for memory, are
//! not charged. `docs/design/memory-budget.md` states the share.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

use super::message::{PeerReply, PeerRequest, ReplyBody, RequestBody};
use super::peer::PeerTraffic;
use crate::connection_activity::{ActiveRequest, ConnectionActivity};
use crate::connection_bound::ConnectionBound;
use crate::memory::budget::{Charge, MemoryBudget};
use crate::policy::memory_shares::{MemoryShares, PEER_MESSAGE_MAX_BYTES};
use crate::shutdown::Shutdown;

/// Time without a request after which the server closes a connection. It exceeds the idle
/// time-out of clients, so that only connections of lost clients reach it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a message must be received or sent once it has memory.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time until the next attempt to accept a connection if no descriptor is free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Requests of one connection that are in progress at once.
const CONNECTION_REQUESTS_MAX: usize = 64;
/// Read buffer of a connection. Most messages are shorter.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// Bytes before each message, which state its length.
const LENGTH_BYTES: usize = 4;

/// Handles the requests of other nodes.
pub(crate) trait PeerHandler: Send + Sync + 'static {
    /// Handles one request. Returns `None` if this node cannot reply to it.
    fn handle(&self, request: RequestBody) -> impl Future<Output = Option<ReplyBody>> + Send;

    /// Bound on the number of open connections, if there is one.
    fn connection_bound(&self) -> Option<Arc<ConnectionBound>> {
        None
    }

    /// Memory that the messages of all connections may hold at once.
    fn message_memory(&self) -> Arc<MemoryBudget> {
        MemoryBudget::new(MemoryShares::of_peer_messages(None))
    }
}

/// A message with the memory that it holds.
struct ChargedMessage {
    bytes: Bytes,
    _charge: Charge,
}

struct PeerServer<H> {
    handler: Arc<H>,
    traffic: Arc<PeerTraffic>,
    /// Apart from the budget for calls, so that callers can't keep nodes from each other.
    memory: Arc<MemoryBudget>,
}

/// Serves the requests of other nodes until `shutdown` begins.
pub(crate) async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    traffic: Arc<PeerTraffic>,
    mut shutdown: Shutdown,
) -> io::Result<()> {
    let memory = handler.message_memory();
    let server = Arc::new(PeerServer {
        handler,
        traffic,
        memory,
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.wait_for_closing() => return Ok(()),
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let activity = ConnectionActivity::new();
        let served = server
            .clone()
            .serve_connection(stream, activity.clone(), shutdown.clone());
        let Some(bound) = server.handler.connection_bound() else {
            tokio::spawn(served);
            continue;
        };
        let Some(admitted) = bound.admit(activity) else {
            continue;
        };
        tokio::spawn(async move {
            tokio::select! {
                () = served => {}
                () = admitted.wait_until_evicted() => {}
            }
        });
    }
}

impl<H: PeerHandler> PeerServer<H> {
    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        activity: ConnectionActivity,
        mut shutdown: Shutdown,
    ) {
        let (reader, writer) = stream.into_split();
        let (reply_sender, replies) = mpsc::channel(CONNECTION_REQUESTS_MAX);
        tokio::select! {
            _ = self.read_requests(reader, activity, reply_sender) => {}
            _ = self.write_replies(writer, replies) => {}
            () = shutdown.wait_for_closing() => {}
        }
    }

    /// Reads requests until the connection ends, or one is invalid or finds no memory.
    async fn read_requests(
        self: &Arc<Self>,
        reader: OwnedReadHalf,
        activity: ConnectionActivity,
        replies: mpsc::Sender<ChargedMessage>,
    ) -> Option<()> {
        let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
        let in_progress = Arc::new(Semaphore::new(CONNECTION_REQUESTS_MAX));
        loop {
            let slot = in_progress.clone().acquire_owned().await.ok()?;
            let length = timeout(IDLE_TIMEOUT, reader.read_u32()).await.ok()?.ok()?;
            let message = self.read_message(&mut reader, length as usize).await?;
            self.traffic.count_received(&message.bytes);
            let request = PeerRequest::decode(message.bytes.clone()).ok()?;
            let active = activity.begin_request();
            let (server, replies) = (self.clone(), replies.clone());
            tokio::spawn(async move {
                server
                    .serve_request(request, message, active, replies)
                    .await;
                drop(slot);
            });
        }
    }

    async fn read_message(
        &self,
        reader: &mut BufReader<OwnedReadHalf>,
        length: usize,
    ) -> Option<ChargedMessage> {
        let charge = self.reserve(length).await?;
        let mut bytes = vec![0; length];
        let reading = reader.read_exact(&mut bytes);
        timeout(MESSAGE_TIMEOUT, reading).await.ok()?.ok()?;
        Some(ChargedMessage {
            bytes: bytes.into(),
            _charge: charge,
        })
    }

    async fn serve_request(
        &self,
        request: PeerRequest,
        message: ChargedMessage,
        _active: ActiveRequest,
        replies: mpsc::Sender<ChargedMessage>,
    ) {
        let body = match request.body {
            Some(body) => self.handler.handle(body).await,
            None => None,
        };
        // A request that kept its memory could wait for a reply that waits for the memory.
        drop(message);
        let reply = PeerReply {
            id: request.id,
            body,
        };
        let Some(charge) = self.reserve(reply.encoded_len()).await else {
            return;
        };
        let message = ChargedMessage {
            bytes: encode_frame(&reply),
            _charge: charge,
        };
        let _ = replies.send(message).await;
    }

    /// Writes replies until the peer does not read one in time.
    async fn write_replies(
        &self,
        mut writer: OwnedWriteHalf,
        mut replies: mpsc::Receiver<ChargedMessage>,
    ) -> Option<()> {
        while let Some(reply) = replies.recv().await {
            self.traffic.count_sent(&reply.bytes[LENGTH_BYTES..]);
            let writing = writer.write_all(&reply.bytes);
            timeout(MESSAGE_TIMEOUT, writing).await.ok()?.ok()?;
        }
        None
    }

    /// Waits for the memory of a message. Returns `None` if none is free in time, or the
    /// message exceeds [`PEER_MESSAGE_MAX_BYTES`].
    async fn reserve(&self, length: usize) -> Option<Charge> {
        if length > PEER_MESSAGE_MAX_BYTES {
            return None;
        }
        self.memory.reserve(length).await
    }
}

/// The reply after its length, which [`PEER_MESSAGE_MAX_BYTES`] bounds.
fn encode_frame(reply: &PeerReply) -> Bytes {
    let length = reply.encoded_len();
    let mut frame = Vec::with_capacity(LENGTH_BYTES + length);
    frame.extend_from_slice(&(length as u32).to_be_bytes());
    reply.encode_raw(&mut frame);
    frame.into()
}
