//! The rest that an upstream asks of each node whose request it turns away.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::net::TcpStream;

use super::raw::RawRequest;

/// Header by which callers name the node that they call, which passes it on.
pub const NODE_HEADER: &str = "x-test-node";
/// Time after its refusal in which a node's requests are free.
const GRACE: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Refusal {
    port: u16,
    at: Instant,
    until: Instant,
    /// The node had closed the connection before it was turned away.
    had_left: bool,
}

#[derive(Debug, Default)]
struct State {
    /// While set, everything is turned away until this time, with this `Retry-After`.
    refusing: Option<(Instant, String)>,
    arrivals: Vec<(u16, Instant)>,
    refusals: Vec<Refusal>,
    /// The node at the other end of each connection, by its port there.
    nodes: BTreeMap<u16, String>,
}

/// The rests that an upstream asked for, and the requests that reached it.
#[derive(Debug, Default)]
pub struct AskedRest {
    state: Mutex<State>,
}

impl AskedRest {
    /// Turns everything away from now on for `duration`, with this `Retry-After`.
    pub fn refuse_all(&self, duration: Duration, retry_after: &str) {
        let refusing = (Instant::now() + duration, retry_after.to_owned());
        self.state.lock().expect("unpoisoned").refusing = Some(refusing);
    }

    pub fn record_arrival(&self, request: &RawRequest, stream: &TcpStream) {
        let port = stream.peer_addr().as_ref().map_or(0, SocketAddr::port);
        let mut state = self.state.lock().expect("unpoisoned");
        state.arrivals.push((port, Instant::now()));
        if let Some(node) = request.header(NODE_HEADER) {
            state.nodes.insert(port, node.to_owned());
        }
    }

    /// The header lines of a refusal, if the upstream turns everything away now.
    pub fn refusal(&self, stream: &TcpStream) -> Option<String> {
        let port = stream.peer_addr().as_ref().map_or(0, SocketAddr::port);
        let mut state = self.state.lock().expect("unpoisoned");
        let at = Instant::now();
        let (_, text) = state.refusing.clone().filter(|(until, _)| at < *until)?;
        let rest_s = text.parse().unwrap_or(0.0);
        let until = at + Duration::from_secs_f64(rest_s);
        let had_left = has_closed(stream);
        state.refusals.push(Refusal {
            port,
            at,
            until,
            had_left,
        });
        Some(format!(
            "x-zinniawing-not-executed: 1\r\nretry-after: {text}\r\n"
        ))
    }

    /// Number of requests that reached the upstream since `since`.
    pub fn arrivals_since(&self, since: Instant) -> usize {
        let state = self.state.lock().expect("unpoisoned");
        state.arrivals.iter().filter(|(_, at)| *at >= since).count()
    }

    /// Number of requests that were turned away.
    pub fn refusal_count(&self) -> usize {
        self.state.lock().expect("unpoisoned").refusals.len()
    }

    /// For each node that was asked for rest, the time from the end of its last rest to
    /// its next request, the shortest first.
    pub fn return_times(&self) -> Vec<Duration> {
        let state = self.state.lock().expect("unpoisoned");
        let mut ends: BTreeMap<&str, Instant> = BTreeMap::new();
        for refusal in &state.refusals {
            if let Some(node) = state.nodes.get(&refusal.port) {
                let end = ends.entry(node).or_insert(refusal.until);
                *end = refusal.until.max(*end);
            }
        }
        let next_at = |(node, end): (&str, Instant)| {
            let arrivals = state.arrivals.iter();
            let of_node =
                arrivals.filter(|(port, _)| state.nodes.get(port).is_some_and(|n| n == node));
            let next = of_node.map(|(_, at)| *at).find(|at| *at >= end)?;
            Some(next - end)
        };
        let mut times: Vec<Duration> = ends.into_iter().filter_map(next_at).collect();
        times.sort_unstable();
        times
    }

    /// Records that the upstream started again. A new incarnation has asked for nothing.
    pub fn record_start(&self) {
        let mut state = self.state.lock().expect("unpoisoned");
        state.refusing = None;
        state.refusals.clear();
    }

    /// Number of refusals that their nodes can't have read.
    pub fn unread_count(&self, since: Instant) -> usize {
        let state = self.state.lock().expect("unpoisoned");
        let refusals = state.refusals.iter().filter(|refusal| refusal.at >= since);
        refusals.filter(|refusal| refusal.had_left).count()
    }

    /// Of the refusals not before `since`, the one after which its node sent most requests
    /// from half a second later to the end of that rest: when it was, and when they arrived.
    /// Requests over connections without a call count as those of one more node.
    pub fn worst_rest(&self, since: Instant) -> Option<(Instant, Vec<Instant>, bool)> {
        let state = self.state.lock().expect("unpoisoned");
        let arrivals_in = |refusal: &Refusal| {
            let is_counted = |(port, at): &&(u16, Instant)| {
                state.nodes.get(port) == state.nodes.get(&refusal.port)
                    && *at > refusal.at + GRACE
                    && *at < refusal.until
            };
            let counted = state.arrivals.iter().filter(is_counted);
            let arrivals = counted.map(|(_, at)| *at).collect();
            (refusal.at, arrivals, refusal.had_left)
        };
        let refusals = state.refusals.iter().filter(|refusal| refusal.at >= since);
        let rests = refusals.map(arrivals_in);
        rests.max_by_key(|(_, arrivals, _): &(Instant, Vec<Instant>, bool)| arrivals.len())
    }

    /// Largest number of requests that one node sent in such a time.
    pub fn arrivals_in_rest_max(&self, since: Instant) -> usize {
        self.worst_rest(since)
            .map_or(0, |(_, arrivals, _)| arrivals.len())
    }
}

/// Whether the other end has closed the connection.
fn has_closed(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    !matches!(SockRef::from(stream).peek(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
}
