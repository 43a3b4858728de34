//! Cost and use of a limit that an upstream names, by the number of nodes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use prost::Message;

use crate::membership::message::{PeerReply, PeerRequest, PermitReply, PermitRequest};
use crate::membership::message::{ReplyBody, RequestBody};
use crate::observe::report::Report;
use crate::policy::upstream_limit::{Grantor, PermitBucket, PermitDemand, Rate};
use crate::simulation::permits::{CALL_INTERVAL, simulate_permits};

/// Simulated intervals: a minute.
const INTERVAL_COUNT: u32 = 6_000;
/// Grants of which the mean time is taken.
const GRANT_COUNT: u32 = 1_000_000;

/// Simulates each number of nodes with each limit, all nodes with a call for the
/// upstream in each interval.
pub(crate) fn measure_limits() -> Report {
    let columns = [
        "nodes",
        "limit_per_s",
        "sent_per_s",
        "asks_per_s",
        "asks_per_s_and_node",
        "grant_ns",
        "ask_bytes",
    ];
    let mut report = Report::new("one upstream with a limit (model)", &columns);
    let grant_ns = grant_time().as_nanos();
    for node_count in [7, 89, 390] {
        for limit_per_s in [0.5, 2.0, 30.0] {
            let Some(rate) = Rate::from_per_second(limit_per_s) else {
                continue;
            };
            let log = simulate_permits(node_count, rate, INTERVAL_COUNT);
            let duration_s = (CALL_INTERVAL * INTERVAL_COUNT).as_secs_f64();
            let asks_per_s = log.ask_count as f64 / duration_s;
            report.push([
                node_count.to_string(),
                limit_per_s.to_string(),
                format!("{:.2}", log.sent.iter().sum::<usize>() as f64 / duration_s),
                format!("{asks_per_s:.1}"),
                format!("{:.2}", asks_per_s / node_count as f64),
                grant_ns.to_string(),
                ask_bytes().to_string(),
            ]);
        }
    }
    report
}

fn grant_time() -> Duration {
    let began_at = Instant::now();
    let mut bucket = PermitBucket::new(began_at);
    let demand = PermitDemand {
        rate: Rate { per_1000_s: 2_000 },
        wanted_count: 1,
        refused_count: 1,
    };
    for grant in 0..GRANT_COUNT {
        let now = began_at + Duration::from_millis(1) * grant;
        black_box(bucket.grant(demand, Grantor::Coordinator, now));
    }
    began_at.elapsed() / GRANT_COUNT
}

/// Bytes of a request for permits and its reply.
fn ask_bytes() -> usize {
    let request = PeerRequest {
        id: 1_000_000,
        body: Some(RequestBody::Permit(PermitRequest {
            upstream: "i-0123456789".to_owned(),
            rate_per_1000_s: 2_100,
            wanted_count: 1,
            refused_count: 100,
            is_standby: false,
        })),
    };
    let reply = PeerReply {
        id: 1_000_000,
        body: Some(ReplyBody::Permit(PermitReply {
            granted_count: 0,
            wait_ms: 300,
            backlog_ms: 20_000,
        })),
    };
    request.encoded_len() + reply.encoded_len()
}
