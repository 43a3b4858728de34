//! The server of peers' requests beside peers that read no replies.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::membership::message::{
    DocumentReply, DocumentVersion, PeerRequest, ReplyBody, RequestBody,
};
use crate::membership::peer::{PeerClient, PeerTraffic};
use crate::membership::peer_server::{LARGE_REPLIES_MAX, PeerHandler, serve_peers};
use crate::memory::budget::MemoryBudget;
use crate::policy::memory_shares::MemoryShares;
use crate::shutdown::Shutdown;
use crate::store::revision::Revision;

const DOCUMENT_BYTES: usize = 256 * 1_024;
const CONNECTION_COUNT: usize = 8;
const REQUESTS_PER_CONNECTION: u64 = 64;
/// Memory of the smallest machine that sites have.
const MEMORY_MB: u64 = 88;
/// Longer than replies wait for memory, and than the server waits for a peer to read one.
const CROWD_TIME: Duration = Duration::from_secs(5);
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of decoded replies that exist, and the most so far.
#[derive(Debug, Default)]
struct LiveReplies {
    count: AtomicUsize,
    most: AtomicUsize,
}

struct CountedDocument {
    content: Bytes,
    live: Arc<LiveReplies>,
}

impl AsRef<[u8]> for CountedDocument {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl Drop for CountedDocument {
    fn drop(&mut self) {
        self.live.count.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Documents {
    content: Bytes,
    live: Arc<LiveReplies>,
    memory: Arc<MemoryBudget>,
}

impl PeerHandler for Documents {
    async fn handle(&self, _request: RequestBody) -> Option<ReplyBody> {
        let count = self.live.count.fetch_add(1, Ordering::Relaxed) + 1;
        self.live.most.fetch_max(count, Ordering::Relaxed);
        let body = Bytes::from_owner(CountedDocument {
            content: self.content.clone(),
            live: self.live.clone(),
        });
        Some(ReplyBody::Document(DocumentReply {
            version: 1,
            body,
            era: None,
        }))
    }

    fn message_memory(&self) -> Arc<MemoryBudget> {
        self.memory.clone()
    }
}

fn fetch() -> RequestBody {
    RequestBody::Fetch(DocumentVersion::new(
        "upstreams".to_owned(),
        Revision::without_era(0),
    ))
}

async fn send_requests(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    for id in 0..REQUESTS_PER_CONNECTION {
        let request = PeerRequest {
            id,
            body: Some(fetch()),
        };
        let message = request.encode_to_vec();
        let length = u32::try_from(message.len()).expect("a short message");
        stream.write_u32(length).await.expect("sent");
        stream.write_all(&message).await.expect("sent");
    }
    stream
}

// Guards against a node that holds a document for each request of peers that read no replies.
#[tokio::test]
async fn few_replies_wait_for_memory_while_peers_read_none() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let live = Arc::new(LiveReplies::default());
    let handler = Arc::new(Documents {
        content: vec![0; DOCUMENT_BYTES].into(),
        live: live.clone(),
        memory: MemoryBudget::new(MemoryShares::of_peer_messages(Some(MEMORY_MB))),
    });
    let (_trigger, shutdown) = Shutdown::channel();
    let traffic = Arc::new(PeerTraffic::default());
    tokio::spawn(serve_peers(listener, handler, traffic, shutdown));
    let mut crowd = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        crowd.push(send_requests(address).await);
    }
    tokio::time::sleep(CROWD_TIME).await;

    let most = live.most.load(Ordering::Relaxed);
    let client = PeerClient::default();
    let ordinary = client.call(address, fetch(), REPLY_TIMEOUT).await;

    assert!(ordinary.is_ok(), "a request is not answered");
    assert!(most <= LARGE_REPLIES_MAX, "{most} replies at once");
}
