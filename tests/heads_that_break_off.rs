//! Upstreams that stop in the middle of an answer's head and close: what the caller gets
//! never looks like a complete success.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::json;
use support::edge_environment::caller::{Caller, Response};
use support::edge_environment::raw::{RawRequest, RequestHandler, reply, serve};
use support::edge_environment::store::Store;
use support::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, NodeSpec, STREAM_PATH, config, free_address, start_node,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use zinniawing::EdgeNode;

const BODY: &str = "{\"receipt\":7}";
const EVENT: &str = "id: 1\ndata: {}\n\n";
const CALL_HEADERS: &str = "x-zinniawing-deadline-ms: 1500\r\nx-zinniawing-token-usage: 800,1\r\n";
/// Cut of an answer that is not cut.
const UNCUT: usize = usize::MAX;

/// An upstream that sends only the first bytes of its answers, and then closes.
struct CutUpstream {
    service: &'static str,
    is_framed: bool,
    /// Bytes of the next answers that it sends.
    cut_at: AtomicUsize,
    call_count: AtomicUsize,
}

impl CutUpstream {
    async fn start(store: &Store, service: &'static str, is_framed: bool) -> Arc<Self> {
        let upstream = Arc::new(Self {
            service,
            is_framed,
            cut_at: AtomicUsize::new(UNCUT),
            call_count: AtomicUsize::new(0),
        });
        let address = free_address();
        serve(address, upstream.clone()).await;
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "dc-a", "version": "v1",
            "slots": 8, "state": "ready", "sequence": 1, "born": 1000,
        });
        store.put("servers", &upstream.id(), entry);
        upstream
    }

    fn id(&self) -> String {
        format!("u-{}", self.service)
    }

    fn head(&self, call_id: &str) -> String {
        let body = self.body();
        let (kind, framing) = match (self.service, self.is_framed) {
            ("llm", true) => ("text/event-stream", "transfer-encoding: chunked\r\n".into()),
            ("llm", false) => ("text/event-stream", String::new()),
            (_, true) => (
                "application/json",
                format!("content-length: {}\r\n", body.len()),
            ),
            (_, false) => ("application/json", String::new()),
        };
        format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\nx-zinniawing-instance-id: {}\r\n\
             x-zinniawing-attempt-id: {call_id}\r\n{framing}keep-alive: timeout=5\r\n\
             x-zinniawing-server-signature: sig-{call_id}\r\n\r\n",
            self.id()
        )
    }

    fn body(&self) -> String {
        match (self.service, self.is_framed) {
            ("llm", true) => format!("{:x}\r\n{EVENT}\r\n0\r\n\r\n", EVENT.len()),
            ("llm", false) => EVENT.to_owned(),
            _ => BODY.to_owned(),
        }
    }
}

impl RequestHandler for CutUpstream {
    async fn handle(self: Arc<Self>, request: RawRequest, stream: &mut TcpStream) -> bool {
        let Some(call_id) = request.header("x-zinniawing-attempt-id") else {
            let report = json!({ "state": "ready", "born": 1000 }).to_string();
            return reply(stream, 200, "", report.as_bytes()).await;
        };
        self.call_count.fetch_add(1, Ordering::Relaxed);
        let answer = self.head(call_id) + &self.body();
        let cut_at = self.cut_at.load(Ordering::Relaxed);
        let sent = &answer.as_bytes()[..cut_at.min(answer.len())];
        stream.write_all(sent).await.is_ok() && cut_at == UNCUT && self.is_framed
    }
}

struct Scene {
    _node: EdgeNode,
    caller: Caller,
    upstream: Arc<CutUpstream>,
}

impl Scene {
    /// Starts a node before one upstream, whose requests can't be answered by another.
    async fn start(service: &'static str, is_framed: bool) -> Self {
        let store = Store::start().await;
        store.put("config", "main", config(1));
        let upstream = CutUpstream::start(&store, service, is_framed).await;
        let spec = NodeSpec::new("n1", "dc-a");
        let node = start_node(&spec, store.address).await;
        let caller = Caller::new(&spec);
        caller.wait_until_ready().await;
        Self {
            _node: node,
            caller,
            upstream,
        }
    }

    /// Sends a call whose answer is cut, after one whose answer is whole if the connection
    /// to the upstream is to be a kept one. Each call has a path of its own, so that none
    /// counts as crashing its upstream again.
    async fn call_cut_at(&self, path: &str, cut_at: usize, is_kept: bool) -> Response {
        if is_kept {
            self.upstream.cut_at.store(UNCUT, Ordering::Relaxed);
            let whole = self.call(path, "whole", cut_at).await;
            assert_eq!(whole.status, 200, "{whole:?}");
        }
        self.upstream.cut_at.store(cut_at, Ordering::Relaxed);
        let before = self.upstream.call_count.load(Ordering::Relaxed);
        let got = self.call(path, "cut", cut_at).await;
        let arrived = self.upstream.call_count.load(Ordering::Relaxed) - before;
        assert!(
            arrived > 0,
            "the call cut at {cut_at} was not sent: {got:?}"
        );
        got
    }

    async fn call(&self, path: &str, name: &str, number: usize) -> Response {
        let method = if path == IDEMPOTENT_PATH {
            "GET"
        } else {
            "POST"
        };
        let path = format!("{path}{name}-{number}");
        self.caller.call(method, &path, CALL_HEADERS).await
    }

    /// Cuts answers after each byte of their heads.
    async fn cut_at_each_byte(&self, path: &str, is_kept: bool) {
        let id_length = self.caller.call("GET", "/none/1", "").await.call_id.len();
        let head_length = self.upstream.head(&"x".repeat(id_length)).len();
        for cut_at in 0..head_length {
            let got = self.call_cut_at(path, cut_at, is_kept).await;

            let is_success = (200..300).contains(&got.status);
            assert!(!is_success, "cut at {cut_at} of {head_length}: {got:?}");
        }
    }
}

#[tokio::test]
async fn a_plain_answer_whose_head_breaks_off_is_no_success() {
    let scene = Scene::start("pay", true).await;

    for path in [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH] {
        scene.cut_at_each_byte(path, false).await;
    }
}

#[tokio::test]
async fn a_plain_answer_whose_head_breaks_off_on_a_kept_connection_is_no_success() {
    let scene = Scene::start("pay", true).await;

    for path in [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH] {
        scene.cut_at_each_byte(path, true).await;
    }
}

#[tokio::test]
async fn an_answer_without_length_whose_head_breaks_off_is_no_success() {
    let scene = Scene::start("pay", false).await;

    scene.cut_at_each_byte(NON_IDEMPOTENT_PATH, false).await;
}

#[tokio::test]
async fn a_stream_whose_head_breaks_off_is_no_success() {
    for is_framed in [true, false] {
        let scene = Scene::start("llm", is_framed).await;

        scene.cut_at_each_byte(STREAM_PATH, false).await;
    }
}

/// The head is whole, and the connection closes where the body is due.
#[tokio::test]
async fn an_answer_that_ends_with_its_head_is_no_complete_success() {
    for (service, path) in [("pay", NON_IDEMPOTENT_PATH), ("llm", STREAM_PATH)] {
        let scene = Scene::start(service, true).await;
        let id_length = scene.caller.call("GET", "/none/1", "").await.call_id.len();
        let head_length = scene.upstream.head(&"x".repeat(id_length)).len();

        let got = scene.call_cut_at(path, head_length, false).await;

        assert!(got.status != 200 || !got.is_complete, "{service}: {got:?}");
    }
}
