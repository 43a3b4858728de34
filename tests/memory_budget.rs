//! Crowds of callers that send large, endless or stalled bodies, or read nothing, do not
//! end a node: its memory and its descriptors stay within its settings, and an ordinary
//! call is answered beside the crowd.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use serde_json::json;
use support::edge_environment::caller::{Caller, new_call_id, read_response};
use support::edge_environment::node_process::{NodeProcess, ProcessLimits};
use support::edge_environment::{IDEMPOTENT_PATH, TestEnvironment, config};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Held by the one test that runs, since each takes much of the machine's memory.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

const CALLER_COUNT: usize = 100;
const BODY_MAX_BYTES: usize = 4_194_304;
const BODY_BYTES: usize = 4_000_000;
/// Bytes that a caller holds back at the end of its body.
const HELD_BACK_BYTES: usize = 10;
const PIECE_COUNT: usize = 100;
const PIECE_INTERVAL: Duration = Duration::from_millis(10);
const CHUNK_BYTES: usize = 64 * 1_024;
const SMALL_CHUNK_COUNT: usize = 100_000;
/// Sizes of the chunks of a body in very small chunks, which follow each other in turn.
const TINY_CHUNK_SIZES: std::ops::RangeInclusive<usize> = 1..=64;
const TINY_CHUNKS_BODY_BYTES: usize = 1_000_000;
const FAR_OVER_LIMIT_BYTES: usize = 400_000_000;
/// Bytes that one caller far over the limit may get rid of until its connection is
/// closed, most of which lie in buffers of the kernel.
const SENT_OVER_LIMIT_MAX_BYTES: u64 = 16_000_000;
/// Time that a crowd has to send, if the node does not read all of it.
const CROWD_TIME: Duration = Duration::from_secs(15);
/// Longest time that a node is given to read what a crowd has sent.
const READ_TIME_MAX: Duration = Duration::from_secs(30);
/// Longer than bodies wait for memory, so that those which wait are read before the check.
const READ_INTERVAL: Duration = Duration::from_millis(2_500);
/// Processor time within [`READ_INTERVAL`] of a node that has nothing left to read.
const IDLE_TICKS_MAX: u64 = 15;

const LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 110,
    descriptors_max: 1_024,
};
/// For bodies of which the node reads little in the time of a test.
const LOW_MEMORY: ProcessLimits = ProcessLimits {
    memory_mb: 40,
    ..LIMITS
};
/// For bodies of which the node reads a few hundred kilobytes each in the time of a test.
const REDUCED_MEMORY: ProcessLimits = ProcessLimits {
    memory_mb: 60,
    ..LIMITS
};
/// The two smallest machines that sites have.
const SMALLEST_MACHINES: [ProcessLimits; 2] = [
    ProcessLimits {
        memory_mb: 88,
        descriptors_max: 4_100,
    },
    ProcessLimits {
        memory_mb: 96,
        descriptors_max: 3_075,
    },
];
/// Connections of each crowd where all crowds come at once.
const JOINT_CROWD_COUNT: usize = 250;
/// A little less than the longest head that the node reads.
const HALF_HEAD_BYTES: usize = 15 * 1_024;
/// Length of the largest message of a peer, which its first four bytes state.
const PEER_MESSAGE_BYTES: u32 = 1_024 * 1_024;
const PEER_CONNECTION_COUNT: usize = 200;
const LOW_DESCRIPTORS: ProcessLimits = ProcessLimits {
    descriptors_max: 128,
    ..LIMITS
};

/// What each caller of a crowd sends after the start of its request's head.
#[derive(Clone, Debug)]
struct Sending {
    path: String,
    framing: String,
    pieces: Vec<Bytes>,
    interval: Duration,
}

impl Sending {
    fn announced(announced_bytes: usize, pieces: Vec<Bytes>) -> Self {
        Self {
            path: IDEMPOTENT_PATH.to_owned(),
            framing: format!("content-length: {announced_bytes}\r\n"),
            pieces,
            interval: Duration::ZERO,
        }
    }

    fn chunked(pieces: Vec<Bytes>) -> Self {
        Self {
            path: IDEMPOTENT_PATH.to_owned(),
            framing: "transfer-encoding: chunked\r\n".to_owned(),
            pieces,
            interval: Duration::ZERO,
        }
    }
}

fn zeros(count: usize) -> Bytes {
    Bytes::from(vec![b'0'; count])
}

/// `count` pieces with `bytes` in all.
fn pieces(bytes: usize, count: usize) -> Vec<Bytes> {
    let piece = zeros(bytes.div_ceil(count));
    let mut left = bytes;
    let mut pieces = Vec::new();
    while left > 0 {
        let length = left.min(piece.len());
        pieces.push(piece.slice(..length));
        left -= length;
    }
    pieces
}

/// Chunks of [`CHUNK_BYTES`] with `bytes` in all, without the last chunk.
fn large_chunks(bytes: usize) -> Vec<Bytes> {
    let chunk = |length: usize| {
        let head = format!("{length:x}\r\n");
        Bytes::from([head.as_bytes(), &zeros(length), b"\r\n"].concat())
    };
    let whole = chunk(CHUNK_BYTES);
    let mut chunks = vec![whole; bytes / CHUNK_BYTES];
    chunks.push(chunk(bytes % CHUNK_BYTES));
    chunks
}

/// `count` chunks of one byte, without the last chunk.
fn one_byte_chunks(count: usize) -> Vec<Bytes> {
    const CHUNKS_PER_PIECE: usize = 1_000;
    let piece = Bytes::from(b"1\r\n0\r\n".repeat(CHUNKS_PER_PIECE));
    vec![piece; count / CHUNKS_PER_PIECE]
}

/// Chunks of [`TINY_CHUNK_SIZES`] with about `bytes` in all, without the last chunk.
fn tiny_chunks(bytes: usize) -> Vec<Bytes> {
    let cycle_bytes: usize = TINY_CHUNK_SIZES.sum();
    let chunk = |length: usize| format!("{length:x}\r\n{}\r\n", "0".repeat(length));
    let cycle: String = TINY_CHUNK_SIZES.map(chunk).collect();
    vec![Bytes::from(cycle); bytes / cycle_bytes]
}

/// A node with its environment, for one crowd.
struct Scene {
    node: NodeProcess,
    limits: ProcessLimits,
    environment: TestEnvironment,
    _only: MutexGuard<'static, ()>,
}

impl Scene {
    async fn start(name: &str, limits: ProcessLimits) -> Self {
        let only = ONE_AT_A_TIME.lock().await;
        let environment = TestEnvironment::start(1).await;
        let mut large = config(2);
        large["limits"]["max-body-bytes"] = json!(BODY_MAX_BYTES);
        environment.store.put("config", "main", large);
        let node = NodeProcess::start(name, environment.store.address, limits).await;
        Self {
            node,
            limits,
            environment,
            _only: only,
        }
    }

    /// Waits until the node has read what it reads of a crowd, for up to [`READ_TIME_MAX`].
    async fn wait_until_read(&self) {
        let started_at = Instant::now();
        let mut ticks_before = self.node.processor_ticks();
        while started_at.elapsed() < READ_TIME_MAX {
            tokio::time::sleep(READ_INTERVAL).await;
            let ticks = self.node.processor_ticks();
            if ticks <= ticks_before + IDLE_TICKS_MAX {
                return;
            }
            ticks_before = ticks;
        }
    }

    /// Has each caller of a crowd send, and checks the node while the callers stay
    /// connected. Returns how many bytes the crowd sent.
    async fn check_beside_crowd(&mut self, sending: Sending) -> u64 {
        let (crowd, sent_bytes) = send_all(&self.node.caller, sending).await;
        self.check(crowd).await;
        sent_bytes
    }

    /// Checks that the node lives within its settings, and that an ordinary call is
    /// answered.
    async fn check(&mut self, crowd: Vec<TcpStream>) {
        self.wait_until_read().await;
        let descriptors = self.node.descriptor_count();
        let answer = self.node.caller.call("POST", IDEMPOTENT_PATH, "").await;
        let peak_bytes = self.node.peak_memory_bytes();
        println!(
            "peak_mb={} descriptors={descriptors} open_callers={} status={}",
            peak_bytes / 1_000_000,
            crowd.len(),
            answer.status
        );
        assert!(self.node.is_running(), "the node ended");
        assert!(
            peak_bytes <= self.limits.memory_mb * 1_000_000,
            "peak memory: {peak_bytes}"
        );
        assert!(
            descriptors <= self.limits.descriptors_max,
            "descriptors: {descriptors}"
        );
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}

/// Sends requests of [`CALLER_COUNT`] callers at once, and returns the connections that
/// could send everything, and the number of bytes that were sent.
async fn send_all(caller: &Caller, sending: Sending) -> (Vec<TcpStream>, u64) {
    send_each(caller, vec![sending], CALLER_COUNT).await
}

/// Like [`send_all`], with `caller_count` callers for each of the sendings.
async fn send_each(
    caller: &Caller,
    sendings: Vec<Sending>,
    caller_count: usize,
) -> (Vec<TcpStream>, u64) {
    let sent_bytes = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    for sending in sendings.into_iter().map(Arc::new) {
        for _ in 0..caller_count {
            callers.spawn(send(caller.clone(), sending.clone(), sent_bytes.clone()));
        }
    }
    let mut open = Vec::new();
    while let Some(sent) = callers.join_next().await {
        open.extend(sent.expect("no panic"));
    }
    (open, sent_bytes.load(Ordering::Relaxed))
}

/// Sends one request for up to [`CROWD_TIME`]. Returns the connection unless the node
/// closed it.
async fn send(
    caller: Caller,
    sending: Arc<Sending>,
    sent_bytes: Arc<AtomicU64>,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(caller.address).await.ok()?;
    let head = caller.head("POST", &sending.path, &new_call_id(), &sending.framing);
    let sends = async {
        stream.write_all(format!("{head}\r\n").as_bytes()).await?;
        for piece in &sending.pieces {
            stream.write_all(piece).await?;
            sent_bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
            if !sending.interval.is_zero() {
                tokio::time::sleep(sending.interval).await;
            }
        }
        std::io::Result::Ok(())
    };
    // A caller whose body is not read any further stays connected.
    match tokio::time::timeout(CROWD_TIME, sends).await {
        Ok(Err(_)) => None,
        Ok(Ok(())) | Err(_) => Some(stream),
    }
}

// Guards against a process that runs out of memory, as in the four tests below.
#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_that_stop_short_of_their_end_stay_within_the_memory() {
    let mut scene = Scene::start("whole", LIMITS).await;
    let body = pieces(BODY_BYTES - HELD_BACK_BYTES, 1);

    scene
        .check_beside_crowd(Sending::announced(BODY_BYTES, body))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_in_pieces_stay_within_the_memory() {
    let mut scene = Scene::start("pieces", LIMITS).await;
    let body = pieces(BODY_BYTES - HELD_BACK_BYTES, PIECE_COUNT);

    scene
        .check_beside_crowd(Sending {
            interval: PIECE_INTERVAL,
            ..Sending::announced(BODY_BYTES, body)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_stay_within_the_memory() {
    let mut scene = Scene::start("large-chunks", LIMITS).await;
    let body = large_chunks(BODY_BYTES - HELD_BACK_BYTES);

    scene.check_beside_crowd(Sending::chunked(body)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_stay_within_the_memory() {
    let mut scene = Scene::start("small-chunks", LOW_MEMORY).await;
    let body = one_byte_chunks(SMALL_CHUNK_COUNT);

    scene.check_beside_crowd(Sending::chunked(body)).await;
}

// Guards against bodies of small chunks that grow without a reservation.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_1_to_64_bytes_stay_within_the_memory() {
    let mut scene = Scene::start("tiny-chunks", REDUCED_MEMORY).await;
    let body = tiny_chunks(TINY_CHUNKS_BODY_BYTES);

    scene.check_beside_crowd(Sending::chunked(body)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_without_end_stay_within_the_memory() {
    let mut scene = Scene::start("endless-chunks", LIMITS).await;
    let body = large_chunks(FAR_OVER_LIMIT_BYTES);

    let sent_bytes = scene.check_beside_crowd(Sending::chunked(body)).await;

    assert!(
        sent_bytes <= CALLER_COUNT as u64 * SENT_OVER_LIMIT_MAX_BYTES,
        "bytes read: {sent_bytes}"
    );
}

// Guards against reading on after the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_far_over_the_limit_are_not_read() {
    let mut scene = Scene::start("far-over", LIMITS).await;
    let body = pieces(FAR_OVER_LIMIT_BYTES, FAR_OVER_LIMIT_BYTES / CHUNK_BYTES);

    let sent_bytes = scene
        .check_beside_crowd(Sending::announced(FAR_OVER_LIMIT_BYTES, body))
        .await;

    assert!(
        sent_bytes <= CALLER_COUNT as u64 * SENT_OVER_LIMIT_MAX_BYTES,
        "bytes read: {sent_bytes}"
    );
}

// Guards against waiting for a body that is refused anyway.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_announced_beyond_the_limit_gets_413_before_it_is_sent() {
    let mut scene = Scene::start("announced-over", LIMITS).await;
    let sending = Sending::announced(FAR_OVER_LIMIT_BYTES, Vec::new());
    let (mut crowd, _) = send_all(&scene.node.caller, sending).await;

    let answers = join_all(crowd.iter_mut().map(read_response)).await;

    assert_eq!(answers.len(), CALLER_COUNT);
    assert!(answers.iter().all(|answer| answer.status == 413));
    scene.check(crowd).await;
}

// Guards against refusals without a promise that the call never runs.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_find_no_room_are_refused_with_408_or_503_and_do_not_run() {
    let mut scene = Scene::start("no-room", LIMITS).await;
    let sending = Sending::announced(BODY_BYTES, Vec::new());
    let (mut crowd, _) = send_all(&scene.node.caller, sending).await;

    let answers = join_all(crowd.iter_mut().map(read_response)).await;

    assert_eq!(answers.len(), CALLER_COUNT);
    assert!(answers.iter().any(|answer| answer.status == 503));
    for answer in &answers {
        assert!(matches!(answer.status, 408 | 503), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
    assert_eq!(scene.environment.executed_count(), 0);
    scene.check(crowd).await;
}

// Guards against limits that refuse what today's callers send.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_over_slow_links_are_served_while_there_is_room() {
    const UPLOAD_COUNT: usize = 4;
    const UPLOAD_PIECES: usize = 40;
    const UPLOAD_INTERVAL: Duration = Duration::from_millis(60);
    let mut scene = Scene::start("slow-links", LIMITS).await;
    let sending = Arc::new(Sending {
        interval: UPLOAD_INTERVAL,
        ..Sending::announced(BODY_BYTES, pieces(BODY_BYTES, UPLOAD_PIECES))
    });
    let chunks = [large_chunks(BODY_BYTES), vec![Bytes::from("0\r\n\r\n")]].concat();
    let chunked = Arc::new(Sending {
        interval: UPLOAD_INTERVAL,
        ..Sending::chunked(chunks)
    });
    let caller = scene.node.caller.clone();
    let uploads = (0..UPLOAD_COUNT).map(async |n| {
        let sending = [&sending, &chunked][n % 2].clone();
        let sent = send(caller.clone(), sending, Arc::default()).await;
        read_response(&mut sent.expect("connected")).await.status
    });

    let statuses = join_all(uploads).await;

    assert_eq!(statuses, [200; UPLOAD_COUNT]);
    scene.check(Vec::new()).await;
}

// Guards against answers that pile up behind callers that do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_callers_do_not_read_stay_within_the_memory() {
    const READER_COUNT: usize = 200;
    const ANSWER_TIME_MAX: Duration = Duration::from_secs(8);
    let mut scene = Scene::start("unread", LIMITS).await;
    let mut crowd = Vec::new();
    for _ in 0..READER_COUNT {
        let path = format!("{IDEMPOTENT_PATH}?answer-bytes={BODY_BYTES}&answer-ms=1");
        let caller = &scene.node.caller;
        let head = caller.head("POST", &path, &new_call_id(), "content-length: 0\r\n");
        let mut stream = TcpStream::connect(caller.address).await.expect("connected");
        let sent = stream.write_all(format!("{head}\r\n").as_bytes()).await;
        sent.expect("sent");
        crowd.push(stream);
    }

    scene.check(crowd).await;

    // The route's time-out is 6 s, after which nothing may be held for the callers.
    tokio::time::sleep(ANSWER_TIME_MAX).await;
    let descriptors = scene.node.descriptor_count();
    assert!(
        descriptors < READER_COUNT as u64,
        "connections of callers that read nothing are kept: {descriptors}"
    );
}

// Guards against a process that exceeds its memory because each answer that waits for memory holds
// more than is reserved for it.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_of_1500_callers_stay_within_the_memory_of_the_smallest_machine() {
    const READER_COUNT: usize = 1_500;
    let mut scene = Scene::start("unread-1500", SMALLEST_MACHINES[0]).await;
    let unread = Sending {
        path: format!("{IDEMPOTENT_PATH}?answer-bytes={BODY_BYTES}&answer-ms=1"),
        ..Sending::announced(0, Vec::new())
    };

    let (crowd, _) = send_each(&scene.node.caller, vec![unread], READER_COUNT).await;

    scene.check(crowd).await;
}

// Guards against a node that has no descriptors left for its upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn more_connections_than_descriptors_leave_some_for_other_calls() {
    const CONNECTION_COUNT: usize = 200;
    let mut scene = Scene::start("descriptors", LOW_DESCRIPTORS).await;
    let mut crowd = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        let caller = &scene.node.caller;
        let head = caller.head("POST", IDEMPOTENT_PATH, &new_call_id(), "");
        let mut stream = TcpStream::connect(caller.address).await.expect("connected");
        // The head stays without its end. The node may close the connection before.
        let _ = stream.write_all(head.as_bytes()).await;
        crowd.push(stream);
    }

    scene.check(crowd).await;
}

/// Opens [`PEER_CONNECTION_COUNT`] connections to the node's listener for peers, and sends the
/// same bytes over each for up to [`CROWD_TIME`].
async fn send_as_peers(node: &NodeProcess, bytes: Bytes) -> Vec<TcpStream> {
    let address = node.peers;
    let mut senders = JoinSet::new();
    for _ in 0..PEER_CONNECTION_COUNT {
        let bytes = bytes.clone();
        senders.spawn(async move {
            let mut stream = TcpStream::connect(address).await.expect("connected");
            // The node may close the connection before.
            let _ = tokio::time::timeout(CROWD_TIME, stream.write_all(&bytes)).await;
            stream
        });
    }
    senders.join_all().await
}

// Guards against messages of peers that are held without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn messages_of_peers_that_stop_short_of_their_end_stay_within_the_memory() {
    let mut scene = Scene::start("peer-messages", LIMITS).await;
    let sent_bytes = PEER_MESSAGE_BYTES as usize - HELD_BACK_BYTES;
    let message = [&PEER_MESSAGE_BYTES.to_be_bytes()[..], &zeros(sent_bytes)].concat();

    let crowd = send_as_peers(&scene.node, message.into()).await;

    scene.check(crowd).await;
}

// Guards against a node whose peers leave it no descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn more_connections_of_peers_than_descriptors_leave_some_for_calls() {
    let mut scene = Scene::start("peer-connections", LOW_DESCRIPTORS).await;

    let crowd = send_as_peers(&scene.node, Bytes::new()).await;

    scene.check(crowd).await;
}

// Guards against shares that are each within the memory, but not their sum.
#[tokio::test(flavor = "multi_thread")]
async fn all_crowds_at_once_stay_within_the_memory_of_the_smallest_machines() {
    for (number, limits) in SMALLEST_MACHINES.into_iter().enumerate() {
        let mut scene = Scene::start(&format!("smallest-{number}"), limits).await;
        let body_bytes = BODY_BYTES - HELD_BACK_BYTES;
        let in_pieces = Sending {
            interval: PIECE_INTERVAL,
            ..Sending::announced(BODY_BYTES, pieces(body_bytes, PIECE_COUNT))
        };
        let half_head = Sending {
            framing: format!("x-padding: {}", "0".repeat(HALF_HEAD_BYTES)),
            ..Sending::announced(0, Vec::new())
        };
        let unread = Sending {
            path: format!("{IDEMPOTENT_PATH}?answer-bytes={BODY_BYTES}&answer-ms=1"),
            ..Sending::announced(0, Vec::new())
        };
        let crowds = vec![
            Sending::announced(BODY_BYTES, pieces(body_bytes, 1)),
            in_pieces,
            Sending::chunked(large_chunks(body_bytes)),
            Sending::chunked(tiny_chunks(TINY_CHUNKS_BODY_BYTES)),
            half_head,
            unread,
        ];

        let (crowd, _) = send_each(&scene.node.caller, crowds, JOINT_CROWD_COUNT).await;

        scene.check(crowd).await;
    }
}
