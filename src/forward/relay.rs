//! Sends calls through a peer when this node reaches no upstream of their service.
//!
//! `docs/REACH.md` says why, and how a call runs at most once over both hops.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::{TryFutureExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Response};
use tokio_util::sync::CancellationToken;

use super::answer_body::{self, BodyStart};
use super::connection::{Connection, ConnectionPool, SendFailure};
use super::forwarder::{Forwarder, NodeContext};
use super::request::Call;
use super::run_origin::RunKey;
use super::send_history::SendHistory;
use super::stream_relay::charged_event;
use crate::http::{self, HttpResponse, TruncatedResponse};
use crate::id::NodeId;
use crate::memory::budget::MemoryBudget;
use crate::observe::metrics::Counter;
use crate::platform::answer;
use crate::platform::call::{self, RelayHeaders};
use crate::policy::failure_response::{GiveUpReason, Progress};

/// Number of peers that are asked to take one call.
const PEERS_TRIED_MAX: usize = 2;
/// Number of upstreams to which no connection could be opened, after which a call
/// goes to a peer.
const UNCONNECTED_SENDS_MAX: u32 = 2;

/// A peer that may take calls of this node.
#[derive(Clone, Debug)]
pub(crate) struct RelayPeer {
    pub(crate) node: NodeId,
    pub(crate) pool: Arc<ConnectionPool>,
    /// Cloned into each call that the peer has of this node, so that its reference
    /// count shows how many it has.
    pub(crate) calls: Arc<()>,
}

/// How the attempt to relay a call ended.
#[derive(Debug)]
pub(super) enum RelayOutcome {
    Answered(HttpResponse),
    /// No peer took the call.
    NotRun,
    /// A peer took the call, and its answer was lost.
    MayHaveRun(String),
}

/// How one peer dealt with a call.
enum PeerAnswer {
    Answered(Box<Response<Incoming>>, Connection),
    NotRun(&'static str),
    MayHaveRun(String),
}

/// What a relayed response holds until its body has been sent.
struct RelayedBody {
    body: Incoming,
    /// Dropping it tells the peer that the caller has left.
    _connection: Connection,
    _peer_call: Arc<()>,
    /// Counts the call as in flight at this node.
    _in_flight: Option<Arc<()>>,
}

impl<N: NodeContext> Forwarder<N> {
    /// Whether the call should go to a peer, given its sends so far.
    pub(super) fn should_relay(&self, call: &Call, sends: &SendHistory) -> bool {
        call.relayed.is_none()
            && (self.reach.is_cut(&call.service)
                || sends.unconnected_count() >= UNCONNECTED_SENDS_MAX)
            && self.node.relay_peer(&call.service, &[]).is_some()
    }

    /// Completes when a call to the service should be taken from its upstreams and go to
    /// a peer, because this node has lost its paths to them. Never completes unless the
    /// call [may move](Call::may_move_to_peer).
    pub(super) async fn wait_until_relay_due(&self, service: &str, may_move: bool) {
        if !may_move {
            return std::future::pending().await;
        }
        self.reach.wait_until_cut(service).await;
        if self.node.relay_peer(service, &[]).is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// Relays a call as it arrives, if this node can't reach its service. The peer
    /// counts it in its retry budget.
    pub(super) async fn relay_on_arrival(self: &Arc<Self>, call: &Call) -> Option<HttpResponse> {
        let sends = SendHistory::new();
        if !self.should_relay(call, &sends) {
            return None;
        }
        let response = match self.relay(call, &sends, false).await {
            RelayOutcome::Answered(response) => response,
            RelayOutcome::NotRun => {
                let cause = "this node reaches no upstream, and no peer took the call";
                self.give_up(call, GiveUpReason::NoUpstream, Progress::NotRun, cause)
            }
            RelayOutcome::MayHaveRun(cause) => self.give_up_relayed(call, &cause),
        };
        Some(response)
    }

    /// Relays a call whose sends all failed, if it may be sent again.
    pub(super) async fn relay_after_failures(
        self: &Arc<Self>,
        call: &Call,
        sends: &SendHistory,
    ) -> Option<HttpResponse> {
        let may_repeat = call.matched.route.kind.may_repeat();
        let may_be_sent = sends.progress() == Progress::NotRun || may_repeat;
        if !may_be_sent
            || sends.attempt_count() >= call.sends_max
            || !self.should_relay(call, sends)
        {
            return None;
        }
        if sends.sent_count() > 0 && !self.spend_own_retry(call) {
            return None;
        }
        match self.relay(call, sends, true).await {
            RelayOutcome::Answered(response) => Some(response),
            RelayOutcome::NotRun => None,
            RelayOutcome::MayHaveRun(cause) => Some(self.give_up_relayed(call, &cause)),
        }
    }

    fn give_up_relayed(&self, call: &Call, cause: &str) -> HttpResponse {
        let reason = if call.time_left(Instant::now()).is_zero() {
            GiveUpReason::TimeOver
        } else {
            GiveUpReason::UpstreamsFailed
        };
        self.give_up(call, reason, Progress::MayHaveRun, cause)
    }

    /// Sends the call to one peer after the other until one answers it.
    async fn relay(
        self: &Arc<Self>,
        call: &Call,
        sends: &SendHistory,
        is_counted: bool,
    ) -> RelayOutcome {
        let may_repeat = call.matched.route.kind.may_repeat();
        if let Some(run) = call.new_run() {
            self.node.withdraw_origin(run);
        }
        let mut tried: Vec<NodeId> = Vec::new();
        let mut outcome = RelayOutcome::NotRun;
        while tried.len() < PEERS_TRIED_MAX {
            let Some(peer) = self.node.relay_peer(&call.service, &tried) else {
                break;
            };
            tried.push(peer.node.clone());
            let headers = RelayHeaders {
                sends_left: call.sends_max.saturating_sub(sends.attempt_count()),
                is_counted,
            };
            let answer = tokio::select! {
                biased;
                answer = relay_to(&peer, call, headers) => answer,
                () = self.wait_until_answer_due(call.deadline) => {
                    return RelayOutcome::MayHaveRun("the peer did not answer in time".to_owned());
                }
            };
            self.log_relay(call, &peer, &answer);
            match answer {
                PeerAnswer::Answered(response, connection) => {
                    self.metrics.add(Counter::CallsRelayed, 1);
                    return self.pass_on(call, &peer, *response, connection).await;
                }
                PeerAnswer::NotRun(_) => {}
                PeerAnswer::MayHaveRun(cause) => {
                    outcome = RelayOutcome::MayHaveRun(cause);
                    if !may_repeat {
                        break;
                    }
                }
            }
        }
        outcome
    }

    fn log_relay(&self, call: &Call, peer: &RelayPeer, answer: &PeerAnswer) {
        let outcome = match answer {
            PeerAnswer::Answered(response, _) => response.status().as_u16().to_string(),
            PeerAnswer::NotRun(cause) => format!("NotRun({cause:?})"),
            PeerAnswer::MayHaveRun(cause) => format!("MayHaveRun({cause:?})"),
        };
        log::info!(
            "event=call_relayed call={} service={} peer={} outcome={outcome} age_ms={}",
            call.id(),
            call.service,
            peer.node,
            call.age().as_millis()
        );
    }

    /// Passes the peer's answer on: events as they arrive, any other body once it is
    /// complete, or as it arrives if it is long. Events wait until the store has no record by
    /// this node of where the stream was to begin, since the peer may have sent it to another
    /// version.
    async fn pass_on(
        self: &Arc<Self>,
        call: &Call,
        peer: &RelayPeer,
        response: Response<Incoming>,
        connection: Connection,
    ) -> RelayOutcome {
        let (mut head, body) = response.into_parts();
        self.record_relayed_statements(&head.headers);
        call::strip_hop_headers(&mut head.headers);
        if call.matched.route.kind.is_stream() {
            let body = RelayedBody {
                body,
                _connection: connection,
                _peer_call: peer.calls.clone(),
                _in_flight: call.in_flight.clone(),
            };
            let withdrawn = self
                .clone()
                .wait_until_withdrawn(call.new_run(), call.deadline);
            let frames = body.into_frames(withdrawn, self.memory.clone(), call.deadline);
            let end = self.answer_end(call, CancellationToken::new());
            head.extensions.insert(end);
            return RelayOutcome::Answered(HttpResponse::from_parts(head, frames));
        }
        let start = answer_body::read_start(body, &self.memory);
        let response = match tokio::time::timeout_at(call.deadline.into(), start).await {
            Ok(Ok(BodyStart::Whole(bytes))) => {
                peer.pool.put(connection, None);
                HttpResponse::from_parts(head, http::full(bytes))
            }
            Ok(Ok(BodyStart::Long(body))) => {
                let kept = (connection, peer.calls.clone(), call.in_flight.clone());
                body.pass_on(head, self, call, kept)
            }
            Ok(Err(_)) | Err(_) => {
                return RelayOutcome::MayHaveRun("the peer's answer was not complete".to_owned());
            }
        };
        RelayOutcome::Answered(response)
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Waits until the store has no record by this node of where the run was to begin. Fails
    /// at the deadline.
    async fn wait_until_withdrawn(
        self: Arc<Self>,
        run: Option<RunKey>,
        deadline: Instant,
    ) -> Result<(), TruncatedResponse> {
        let Some(run) = run else { return Ok(()) };
        let withdrawn = self.node.wait_for_origin_correction(run);
        let waited = tokio::time::timeout_at(deadline.into(), withdrawn).await;
        waited.map_err(|_| TruncatedResponse)
    }

    /// Records what an upstream says of itself in an answer that a peer got from it. A rest
    /// or a limit is the peer's to keep.
    fn record_relayed_statements(&self, headers: &HeaderMap) {
        if answer::says_leaving(headers)
            && let Some(start) = call::relay_upstream(headers)
        {
            self.directory.record_leaving(&start);
        }
    }
}

impl RelayedBody {
    /// The frames of the body, once `ready` has completed. Each frame is charged to the budget of
    /// this node, which holds it until the caller reads it. The stream is cut if no memory is free
    /// by the `deadline`.
    fn into_frames(
        self,
        ready: impl Future<Output = Result<(), TruncatedResponse>> + Send + 'static,
        memory: Arc<MemoryBudget>,
        deadline: Instant,
    ) -> http::ResponseBody {
        let frames = stream::unfold((self, memory), move |(mut relayed, memory)| async move {
            let frame = relayed.body.frame().await?;
            let passed_on = charged_frame(&memory, frame, deadline).await;
            Some((passed_on, (relayed, memory)))
        });
        let frames = ready.map_ok(|()| frames).try_flatten_stream();
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }
}

async fn charged_frame(
    memory: &MemoryBudget,
    frame: Result<Frame<Bytes>, hyper::Error>,
    deadline: Instant,
) -> Result<Frame<Bytes>, TruncatedResponse> {
    let data = match frame.map_err(|_| TruncatedResponse)?.into_data() {
        Ok(data) => data,
        Err(trailers) => return Ok(trailers),
    };
    let charging = charged_event(memory, data);
    let charged = tokio::time::timeout_at(deadline.into(), charging).await;
    charged.map(Frame::data).map_err(|_| TruncatedResponse)
}

async fn relay_to(peer: &RelayPeer, call: &Call, headers: RelayHeaders) -> PeerAnswer {
    let _peer_call = peer.calls.clone();
    let Some(time_left) = call.time_for_upstream(Instant::now()) else {
        return PeerAnswer::NotRun("no time is left");
    };
    let request = call.request_to_peer(headers, time_left);
    match peer.pool.send(request).await {
        Ok((_, response)) if call::is_relay_refused(response.headers()) => {
            PeerAnswer::NotRun("the peer did not run the call")
        }
        Ok((connection, response)) => PeerAnswer::Answered(Box::new(response), connection),
        Err(SendFailure::NoAnswer(error)) => PeerAnswer::MayHaveRun(error.to_string()),
        // A peer of an earlier version passes such a status on.
        Err(failure @ SendFailure::NoFinalStatus(_)) => PeerAnswer::MayHaveRun(failure.to_string()),
        Err(SendFailure::NotConnected(cause) | SendFailure::NotSent(cause)) => {
            PeerAnswer::NotRun(cause)
        }
        Err(SendFailure::Withheld) => PeerAnswer::NotRun("not sent"),
    }
}
