//! The rest that an upstream asks of each node whose request it turns away.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

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
        state.refusals.push(Refusal { port, at, until });
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

    /// Largest number of requests that one node sent between half a second after it was
    /// turned away and the end of that rest. Requests over connections without a call
    /// count as those of one more node.
    pub fn arrivals_in_rest_max(&self) -> usize {
        let state = self.state.lock().expect("unpoisoned");
        let arrivals_in = |refusal: &Refusal| {
            let is_counted = |(port, at): &&(u16, Instant)| {
                state.nodes.get(port) == state.nodes.get(&refusal.port)
                    && *at > refusal.at + GRACE
                    && *at < refusal.until
            };
            state.arrivals.iter().filter(is_counted).count()
        };
        state.refusals.iter().map(arrivals_in).max().unwrap_or(0)
    }
}
