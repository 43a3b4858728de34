//! Callers that leave before they are answered, and their calls that upstreams read long
//! after that.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::caller::{Caller, new_call_id, send_request};
use super::run_log::Arrival;
use super::{IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH, TestEnvironment};

/// Time after which no call of a caller that left may reach an upstream.
pub const LATE_ARRIVAL_AGE: Duration = Duration::from_millis(500);
/// Number of late arrivals that a scene may have.
pub const LATE_ARRIVALS_MAX: usize = 3;

/// A kind of call, with the method, the path and the headers of its request.
pub type CallKind = (&'static str, &'static str, &'static str);

pub const CALL_KINDS: [CallKind; 3] = [
    ("GET", IDEMPOTENT_PATH, ""),
    ("POST", NON_IDEMPOTENT_PATH, ""),
    ("POST", STREAM_PATH, "x-zinniawing-token-usage: 800,5\r\n"),
];

/// A call whose caller left before its answer was complete.
pub struct LeftCall {
    pub call_id: String,
    pub path: &'static str,
    pub left_at: Instant,
}

/// Sends a call and disconnects after `patience`. Returns none if the answer was
/// complete before.
pub async fn call_and_leave(
    caller: Caller,
    kind: CallKind,
    patience: Duration,
) -> Option<LeftCall> {
    let (method, path, headers) = kind;
    let call_id = new_call_id();
    let head = caller.head(method, path, &call_id, headers);
    let request = format!("{head}content-length: 0\r\n\r\n");
    let answer = send_request(caller.address, request.as_bytes());
    let answered = tokio::time::timeout(patience, answer).await;
    answered.is_err().then(|| LeftCall {
        call_id,
        path,
        left_at: Instant::now(),
    })
}

impl TestEnvironment {
    /// Arrivals of a call at all upstreams, in the order of their arrival.
    pub fn arrivals_of(&self, call_id: &str) -> Vec<Arrival> {
        let engines = self.engines.iter().map(|engine| &engine.run_log);
        let services = self.services.iter().map(|service| &service.run_log);
        let mut arrivals: Vec<Arrival> = engines
            .chain(services)
            .flat_map(|log| log.of_call(call_id))
            .collect();
        arrivals.sort_by_key(|arrival| arrival.arrived_at);
        arrivals
    }

    /// Number of arrivals long after the callers left, for each path.
    pub fn late_counts(&self, calls: &[LeftCall]) -> BTreeMap<&'static str, usize> {
        let mut late_counts = BTreeMap::new();
        for call in calls {
            let arrivals = self.arrivals_of(&call.call_id);
            let is_late = |a: &&Arrival| a.arrived_at > call.left_at + LATE_ARRIVAL_AGE;
            *late_counts.entry(call.path).or_default() += arrivals.iter().filter(is_late).count();
        }
        late_counts
    }
}
